import type { CachedPhase, PhaseCache } from "../phaseCache.js";

/** What is known of the phases of jobs without reading the table. */
export interface PhaseRecall {
    /** Phases that callers read through this VM, or that planners told it. */
    cache: PhaseCache;
    /** What this VM is sure of: how a job ended, and other phases while it plans. */
    tell: (jobId: string) => CachedPhase | undefined;
    /** Whether a phase cannot change any more. */
    isFinal: (phase: CachedPhase) => boolean;
    /** Asks the VMs that plan, or did so before, for a phase; `undefined` if none of them knows it or answers in time. */
    askPlanners: (jobId: string, timeoutMs: number) => Promise<CachedPhase | undefined>;
}

/** Finds a phase that this VM or a planner is sure of; the job is in the table then. */
export const recallPhase = async (
    { cache, tell, askPlanners }: PhaseRecall,
    jobId: string,
    timeoutMs: number,
): Promise<CachedPhase | undefined> => {
    const own = tell(jobId);
    if (own !== undefined) {
        return own;
    }
    const told = await askPlanners(jobId, timeoutMs);
    if (told !== undefined) {
        cache.set(jobId, told);
    }
    return told;
};
