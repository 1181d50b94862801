import { createRecentPlanners } from "../execution/recentPlanners.js";
import { createPhaseCache, isOlderPhase } from "../jobs/phaseCache.js";
import type { CachedPhase } from "../jobs/phaseCache.js";
import type { PhaseRecall } from "../jobs/queries/recallPhase.js";
import type { TimerService } from "../utils/timer.js";
import type { AskForPhase } from "./phasePeer.js";

/** Options of {@link createPhaseKnowledge}. */
export interface PhaseKnowledgeOptions {
    /** Name of this VM. */
    vm: string;
    timer: Pick<TimerService, "nowMs" | "wallClockMs">;
    /** Time after its end for which a job stays stored. */
    retainMs: number;
    /** Asks another VM for what it knows of a job's phase. */
    askForPhase: AskForPhase;
    /** Whether this VM plans and does not know that its term has ended. */
    isPlanning: () => boolean;
}

/** What VMs know of the phases of jobs without reading the table. */
export interface PhaseKnowledge extends PhaseRecall {
    /** Records a phase that this VM stored or read as the planner. */
    recordStored(jobId: string, phase: CachedPhase): void;
    /** Records which VM planned last, as the lease says. */
    observePlanner(name: string): void;
}

/** Share of the retention time in which rows are certainly there; the clocks of VMs differ. */
const safeShareOfRetention = 0.9;

/** Time for which a VM that gave no answer is not asked again, so that a caller waits for it on its first try alone. */
const cooldownMs = 3_000;

/** Creates the knowledge of a VM that has read nothing yet. */
export const createPhaseKnowledge = (options: PhaseKnowledgeOptions): PhaseKnowledge => {
    const { vm, timer, retainMs, askForPhase, isPlanning } = options;
    const cache = createPhaseCache();
    const stored = createPhaseCache();
    const cooldownUntilMs = new Map<string, number>();
    const recentPlanners = createRecentPlanners(vm);

    const isFinal = ({ endedAtMs }: CachedPhase): boolean =>
        endedAtMs !== undefined && timer.wallClockMs() - endedAtMs < retainMs * safeShareOfRetention;

    const isAnswering = (name: string): boolean => (cooldownUntilMs.get(name) ?? 0) <= timer.nowMs();

    const ask = async (name: string, jobId: string, timeoutMs: number): Promise<CachedPhase | undefined> => {
        const answer = await askForPhase(name, jobId, timeoutMs);
        if (answer === undefined) {
            cooldownUntilMs.set(name, timer.nowMs() + cooldownMs);
        }
        // also for a read whose time is over before the other VMs have answered
        if (answer?.known !== undefined) {
            cache.set(jobId, answer.known);
        }
        return answer?.known;
    };

    return {
        cache,
        recordStored: stored.set,
        observePlanner: recentPlanners.observe,
        askPlanners: (jobId, timeoutMs) =>
            recentPlanners.names().filter(isAnswering).map(name => ask(name, jobId, timeoutMs)),
        tell: jobId => {
            const read = cache.get(jobId);
            const recorded = stored.get(jobId);
            const isRead = read !== undefined && (recorded === undefined || isOlderPhase(recorded, read));
            const newest = isRead ? read : recorded;
            const isOfTerm = !isRead && isPlanning();
            return newest !== undefined && (isOfTerm || isFinal(newest)) ? newest : undefined;
        },
        isFinal,
    };
};
