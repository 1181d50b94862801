import { firstDefined } from "../../utils/firstDefined.js";
import { isOlderPhase } from "../phaseCache.js";
import type { CachedPhase, PhaseCache } from "../phaseCache.js";

/** What is known of the phases of jobs without reading the table. */
export interface PhaseRecall {
    /** Phases that callers read through this VM, or that planners told it. */
    cache: PhaseCache;
    /** What this VM tells others: how a job ended, and other phases as it recorded them while it plans. */
    tell: (jobId: string) => CachedPhase | undefined;
    /** Whether a phase cannot change any more. */
    isFinal: (phase: CachedPhase) => boolean;
    /** Asks each of the VMs that plan, or did so before, and remembers what they tell; `undefined` if that is nothing. */
    askPlanners: (jobId: string, timeoutMs: number) => Promise<CachedPhase | undefined>[];
}

const findNewest = (phases: readonly (CachedPhase | undefined)[]): CachedPhase | undefined =>
    phases.filter(phase => phase !== undefined)
        .reduce<CachedPhase | undefined>(
            (newest, phase) => newest !== undefined && isOlderPhase(phase, newest) ? newest : phase,
            undefined,
        );

/** Finds a final phase that this VM or another one tells, or the newest once all have answered. */
export const recallPhase = async (
    { tell, isFinal, askPlanners }: PhaseRecall,
    jobId: string,
    timeoutMs: number,
): Promise<CachedPhase | undefined> => {
    const own = tell(jobId);
    if (own !== undefined && isFinal(own)) {
        return own;
    }
    const asked = askPlanners(jobId, timeoutMs);
    const final = asked.map(async answer => {
        const told = await answer;
        return told !== undefined && isFinal(told) ? told : undefined;
    });
    return await firstDefined(final) ?? findNewest([own, ...await Promise.all(asked)]);
};

/** Finds the first phase that this VM or another one tells; the job is in the table then. */
export const recallAnyPhase = async (
    { tell, askPlanners }: PhaseRecall,
    jobId: string,
    timeoutMs: number,
): Promise<CachedPhase | undefined> => tell(jobId) ?? firstDefined(askPlanners(jobId, timeoutMs));
