import type { JobOwner } from "./jobAccess.js";
import type { JobPhase } from "./types.js";

/** Phase of a job as last read, with the job's owner. */
export interface CachedPhase {
    phase: JobPhase;
    owner: JobOwner;
}

/** Last read phases of jobs, served while the table is unavailable. */
export interface PhaseCache {
    set(jobId: string, cached: CachedPhase): void;
    get(jobId: string): CachedPhase | undefined;
}

/** Capacity; the least recently set phase is evicted first. */
const maxCachedJobs = 2_000;

/** Creates an empty cache. */
export const createPhaseCache = (): PhaseCache => {
    const phases = new Map<string, CachedPhase>();
    return {
        set: (jobId, { phase, owner: { customer, queue } }) => {
            phases.delete(jobId);
            phases.set(jobId, { phase, owner: { customer, queue } });
            if (phases.size > maxCachedJobs) {
                phases.delete(phases.keys().next().value ?? "");
            }
        },
        get: jobId => phases.get(jobId),
    };
};
