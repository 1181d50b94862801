/** Table of submissions and cancellations; entry VMs write it, the planner follows it. */
export const jobsTable = "jobs";

/** Table of the jobs' progress and of the term that may write it; in the same parts as the jobs. */
export const progressTable = "progress";

/** Table of the planner's lease, which every entry VM follows. */
export const plannerTable = "planner";

/** Parts over which jobs are spread; a part takes 200 transactions a second, the platform 800. */
export const jobParts: readonly string[] = ["p0", "p1", "p2", "p3", "p4", "p5", "p6", "p7"];

/** Part of the planner's lease. */
export const plannerPart = "planner";

/** Key of the planner's lease. */
export const plannerLeaseKey = "lease";

/** Key of the row in each part that names the term whose planner may write there. */
export const termKey = "term";

/** What the rows of a job hold. */
export enum JobRowKind {
    Submission = "job",
    Progress = "progress",
    Cancellation = "cancel",
}

/** Table that holds a kind of row. */
export const tableOf = (kind: JobRowKind): string => kind === JobRowKind.Progress ? progressTable : jobsTable;

/** Key of a row of a job. */
export const jobRowKey = (jobId: string, kind: JobRowKind): string => `${jobId}/${kind}`;

/** Splits the key of a row of a job; `undefined` for other rows. */
export const parseJobRowKey = (key: string): { jobId: string; kind: JobRowKind; } | undefined => {
    const [jobId, kind] = key.split("/");
    const known = Object.values(JobRowKind).find(candidate => candidate === kind);
    return known === undefined ? undefined : { jobId, kind: known };
};

const hashMultiplier = 31;

/** Part that holds all rows of a job. */
export const partOfJob = (jobId: string): string => {
    let hash = 0;
    for (let index = 0; index < jobId.length; index++) {
        hash = (hash * hashMultiplier + jobId.charCodeAt(index)) >>> 0;
    }
    return jobParts[hash % jobParts.length];
};
