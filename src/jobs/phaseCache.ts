import type { JobOwner } from "./jobAccess.js";
import { phaseOf } from "./projection.js";
import type { StoredJob } from "./projection.js";
import { isEnded } from "./types.js";
import type { JobPhase } from "./types.js";

/** Phase of a job as last read or written, with the job's owner. */
export interface CachedPhase {
    phase: JobPhase;
    owner: JobOwner;
    /** Versions of the rows that it was read from. */
    submissionVersion: number;
    recordVersion: number;
    /** Wall-clock time of the job's end as the planner recorded it. @default no end is recorded */
    endedAtMs?: number;
}

/** Phase of a job by its rows; `undefined` if the job does not exist. */
export const toCachedPhase = (job: StoredJob | undefined): CachedPhase | undefined => {
    const phase = phaseOf(job);
    return job?.submission === undefined || phase === undefined ? undefined : {
        phase,
        owner: job.submission,
        submissionVersion: job.submissionVersion,
        recordVersion: job.recordVersion,
        endedAtMs: job.record?.endedAtMs,
    };
};

/** Last known phases of jobs, served while the table is unavailable. */
export interface PhaseCache {
    /** Remembers a phase, unless a newer one is known. */
    set(jobId: string, cached: CachedPhase): void;
    get(jobId: string): CachedPhase | undefined;
    forget(jobId: string): void;
}

/** Capacity; the least recently set phase is evicted first. */
const maxCachedJobs = 2_000;

/**
 * Whether a phase was read from older rows of the same job; a job that is submitted again has a newer submission. A
 * cancellation changes neither version.
 */
export const isOlderPhase = (phase: CachedPhase, than: CachedPhase): boolean => {
    if (phase.submissionVersion !== than.submissionVersion) {
        return phase.submissionVersion < than.submissionVersion;
    }
    return phase.recordVersion === than.recordVersion
        ? !isEnded(phase.phase) && isEnded(than.phase)
        : phase.recordVersion < than.recordVersion;
};

/** Creates an empty cache. */
export const createPhaseCache = (): PhaseCache => {
    const phases = new Map<string, CachedPhase>();
    return {
        set: (jobId, cached) => {
            const { customer, queue } = cached.owner;
            const known = phases.get(jobId);
            if (known !== undefined && isOlderPhase(cached, known)) {
                return;
            }
            phases.delete(jobId);
            phases.set(jobId, { ...cached, owner: { customer, queue } });
            if (phases.size > maxCachedJobs) {
                phases.delete(phases.keys().next().value ?? "");
            }
        },
        get: jobId => phases.get(jobId),
        forget: jobId => void phases.delete(jobId),
    };
};
