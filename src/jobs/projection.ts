import type { StateRow } from "../state/types.js";
import { JobRowKind, parseJobRowKey } from "./rows.js";
import { isEnded, JobPhase } from "./types.js";
import type { JobRecord, JobSubmission } from "./types.js";

/** The stored rows of one job, combined; each may be missing. */
export interface StoredJob {
    submission?: JobSubmission;
    /** Version of the submission's row; 0 if there is none. */
    submissionVersion: number;
    /** Progress as last recorded by the planner. */
    record?: JobRecord;
    /** Version of the progress row; 0 if there is none. */
    recordVersion: number;
    cancelled: boolean;
}

/** Jobs assembled from rows of the jobs and progress tables. */
export interface JobProjection {
    /** By job id. */
    jobs: Map<string, StoredJob>;
    /** Applies a changed row; returns the id of its job, `undefined` if it is not a row of a job. */
    apply(row: StateRow): string | undefined;
}

/** Phase of a job as reported to its customer; `undefined` if the job does not exist. */
export const phaseOf = (job: StoredJob | undefined): JobPhase | undefined => {
    if (job?.submission === undefined) {
        return undefined;
    }
    const phase = job.record?.phase ?? JobPhase.Queued;
    return job.cancelled && !isEnded(phase) ? JobPhase.Cancelled : phase;
};

/** A stored value; `undefined` for a removed row and for one that holds no object. */
const asRecord = <Value extends object>(value: unknown): Value | undefined =>
    typeof value === "object" && value !== null ? value as Value : undefined;

const applyValue = (job: StoredJob, kind: JobRowKind, row: StateRow): void => {
    switch (kind) {
        case JobRowKind.Submission:
            job.submission = asRecord<JobSubmission>(row.value);
            job.submissionVersion = job.submission === undefined ? 0 : row.version;
            return;
        case JobRowKind.Cancellation:
            job.cancelled = row.value !== undefined;
            return;
        case JobRowKind.Progress:
            if (row.version >= job.recordVersion) {
                job.record = asRecord<JobRecord>(row.value);
                job.recordVersion = row.value === undefined ? 0 : row.version;
            }
    }
};

/** Creates an empty projection. */
export const createJobProjection = (): JobProjection => {
    const jobs = new Map<string, StoredJob>();
    return {
        jobs,
        apply: row => {
            const parsed = parseJobRowKey(row.key);
            if (parsed === undefined) {
                return undefined;
            }
            const job = jobs.get(parsed.jobId) ?? { submissionVersion: 0, recordVersion: 0, cancelled: false };
            applyValue(job, parsed.kind, row);
            if (job.submission === undefined && job.record === undefined && !job.cancelled) {
                jobs.delete(parsed.jobId);
            }
            else {
                jobs.set(parsed.jobId, job);
            }
            return parsed.jobId;
        },
    };
};
