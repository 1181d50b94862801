import { createRecentPlanners } from "../execution/recentPlanners.js";
import { createPhaseCache } from "../jobs/phaseCache.js";
import type { CachedPhase, PhaseCache } from "../jobs/phaseCache.js";
import { isEnded } from "../jobs/types.js";
import { firstDefined } from "../utils/firstDefined.js";
import type { AskForPhase } from "./phasePeer.js";

/** Options of {@link createPhaseKnowledge}. */
export interface PhaseKnowledgeOptions {
    /** Name of this VM. */
    vm: string;
    /** Asks another VM for what it knows of a job's phase. */
    askForPhase: AskForPhase;
    /** Whether this VM plans and its term was confirmed recently. */
    isPlanning: () => boolean;
}

/** What VMs know of the phases of jobs without reading the table. */
export interface PhaseKnowledge {
    /** Phases that this VM read, or stored as the planner. */
    cache: PhaseCache;
    /** Records who holds the planner's term, as the lease says. */
    observePlanner(holder: string): void;
    /** Asks the VMs that plan, or did so before; `undefined` if none of them knows the phase or answers in time. */
    askPlanners(jobId: string, timeoutMs: number): Promise<CachedPhase | undefined>;
    /** What this VM tells others: a phase that is final, or one that is current as this VM plans. */
    tell(jobId: string): CachedPhase | undefined;
}

/** Creates the knowledge of a VM that has read nothing yet. */
export const createPhaseKnowledge = ({ vm, askForPhase, isPlanning }: PhaseKnowledgeOptions): PhaseKnowledge => {
    const cache = createPhaseCache();
    const recentPlanners = createRecentPlanners(vm);
    return {
        cache,
        observePlanner: recentPlanners.observe,
        askPlanners: (jobId, timeoutMs) =>
            firstDefined(recentPlanners.names().map(name => askForPhase(name, jobId, timeoutMs))),
        tell: jobId => {
            const known = cache.get(jobId);
            return known !== undefined && (isEnded(known.phase) || isPlanning()) ? known : undefined;
        },
    };
};
