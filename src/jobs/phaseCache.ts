import type { JobOwner } from "./jobAccess.js";
import { phaseOf } from "./projection.js";
import type { StoredJob } from "./projection.js";
import type { JobPhase } from "./types.js";

/** Phase of a job as last read or written, with the job's owner. */
export interface CachedPhase {
    phase: JobPhase;
    owner: JobOwner;
    /** Versions of the rows that it was read from. */
    submissionVersion: number;
    recordVersion: number;
}

/** Phase of a job by its rows; `undefined` if the job does not exist. */
export const toCachedPhase = (job: StoredJob | undefined): CachedPhase | undefined => {
    const phase = phaseOf(job);
    return job?.submission === undefined || phase === undefined ? undefined : {
        phase,
        owner: job.submission,
        submissionVersion: job.submissionVersion,
        recordVersion: job.recordVersion,
    };
};

/** Last known phases of jobs, served while the table is unavailable. */
export interface PhaseCache {
    /** Remembers a phase, unless a newer one is known. */
    set(jobId: string, cached: CachedPhase): void;
    get(jobId: string): CachedPhase | undefined;
}

/** Capacity; the least recently set phase is evicted first. */
const maxCachedJobs = 2_000;

/** Whether a phase was read from older rows of the same job; a job that is submitted again has a newer submission. */
const isOlder = (phase: CachedPhase, than: CachedPhase): boolean =>
    phase.submissionVersion < than.submissionVersion
    || (phase.submissionVersion === than.submissionVersion && phase.recordVersion < than.recordVersion);

/** Creates an empty cache. */
export const createPhaseCache = (): PhaseCache => {
    const phases = new Map<string, CachedPhase>();
    return {
        set: (jobId, cached) => {
            const { customer, queue } = cached.owner;
            const known = phases.get(jobId);
            if (known !== undefined && isOlder(cached, known)) {
                return;
            }
            phases.delete(jobId);
            phases.set(jobId, { ...cached, owner: { customer, queue } });
            if (phases.size > maxCachedJobs) {
                phases.delete(phases.keys().next().value ?? "");
            }
        },
        get: jobId => phases.get(jobId),
    };
};
