import type { CachedPhase, PhaseCache } from "../phaseCache.js";

/** What is known of the phases of jobs without reading the table. */
export interface PhaseRecall {
    /** Phases that callers read through this VM, or that planners told it. */
    cache: PhaseCache;
    /** What this VM tells others: how a job ended, and other phases as it recorded them while it plans. */
    tell: (jobId: string) => CachedPhase | undefined;
    /** Whether a phase cannot change any more. */
    isFinal: (phase: CachedPhase) => boolean;
    /**
     * Asks the VMs that plan, or did so before, and remembers what they tell. Resolves with the first phase that is final,
     * or with the newest once all have answered; `undefined` if none of them knows any.
     */
    askPlanners: (jobId: string, timeoutMs: number) => Promise<CachedPhase | undefined>;
}

/** Finds a phase that this VM or another one tells; the job is in the table then. */
export const recallPhase = async (
    { tell, askPlanners }: PhaseRecall,
    jobId: string,
    timeoutMs: number,
): Promise<CachedPhase | undefined> => tell(jobId) ?? askPlanners(jobId, timeoutMs);
