/** Table of submissions and cancellations; written by entry VMs, followed by the planner. */
export const jobsTable = "jobs";

/** Table of the jobs' progress and of the term that may write it; has the same parts as the jobs table. */
export const progressTable = "progress";

/** Table of the planner's lease; followed by every entry VM. */
export const plannerTable = "planner";

/** Parts over which jobs are distributed; the platform accepts 200 transactions a second in a part, 800 in total. */
export const jobParts: readonly string[] = ["p0", "p1", "p2", "p3", "p4", "p5", "p6", "p7"];

/** Part of the planner's lease. */
export const plannerPart = "planner";

/** Maximum size of a submission or a record as JSON, which is the platform's limit on a row. */
export const maxRowBytes = 65_536;

/** Key of the planner's lease. */
export const plannerLeaseKey = "lease";

/** Key of the row in each part that contains the term whose planner may write progress there. */
export const termKey = "term";

/** Kinds of rows that a job has; the value is the last segment of the row's key. */
export enum JobRowKind {
    Submission = "job",
    Progress = "progress",
    Cancellation = "cancel",
}

/** Table that holds the rows of a kind. */
export const tableOf = (kind: JobRowKind): string => kind === JobRowKind.Progress ? progressTable : jobsTable;

/** Key of a job's row. */
export const jobRowKey = (jobId: string, kind: JobRowKind): string => `${jobId}/${kind}`;

/** Parses the key of a job's row; `undefined` for other rows. */
export const parseJobRowKey = (key: string): { jobId: string; kind: JobRowKind; } | undefined => {
    const [jobId, kind] = key.split("/");
    const rowKind = Object.values(JobRowKind).find(candidate => candidate === kind);
    return rowKind === undefined ? undefined : { jobId, kind: rowKind };
};

const hashMultiplier = 31;

/** Part that holds all rows of a job, by a hash of its id. */
export const partOfJob = (jobId: string): string => {
    let hash = 0;
    for (let index = 0; index < jobId.length; index++) {
        hash = (hash * hashMultiplier + jobId.charCodeAt(index)) >>> 0;
    }
    return jobParts[hash % jobParts.length];
};
