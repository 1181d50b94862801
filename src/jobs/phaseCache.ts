import type { JobPhase } from "./types.js";

/** Last read phases of jobs, served while the table is unavailable. */
export interface PhaseCache {
    set(jobId: string, phase: JobPhase): void;
    get(jobId: string): JobPhase | undefined;
}

/** Capacity; the least recently set phase is evicted first. */
const maxCachedJobs = 2_000;

/** Creates an empty cache. */
export const createPhaseCache = (): PhaseCache => {
    const phases = new Map<string, JobPhase>();
    return {
        set: (jobId, phase) => {
            phases.delete(jobId);
            phases.set(jobId, phase);
            if (phases.size > maxCachedJobs) {
                phases.delete(phases.keys().next().value ?? "");
            }
        },
        get: jobId => phases.get(jobId),
    };
};
