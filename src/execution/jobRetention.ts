import { activeRuns } from "../jobs/progress.js";
import type { JobState } from "../jobs/progress.js";
import { jobRowKey, JobRowKind, jobsTable, partOfJob, tableOf } from "../jobs/rows.js";
import { describeStateError, StateErrorKind } from "../state/types.js";
import type { StateError, StateTable, StateTransaction } from "../state/types.js";
import type { PlannerContext } from "./context.js";

/** Jobs deleted in one transaction: each takes four of the 100 entries that the platform accepts. */
const maxJobsPerCommit = 25;

const isExpired = (job: JobState, wallMs: number, retainMs: number): boolean =>
    job.endedAtMs !== undefined && wallMs - job.endedAtMs > retainMs && activeRuns(job).length === 0;

const submissionKeyOf = ({ submission }: JobState): string => jobRowKey(submission.id, JobRowKind.Submission);

/** The deletion of jobs in one part; it does not concern jobs that were submitted again meanwhile. */
const toDeletion = (part: string, jobs: readonly JobState[]): StateTransaction => ({
    part,
    conditions: jobs.map(job => ({ table: jobsTable, key: submissionKeyOf(job), version: job.submissionVersion })),
    writes: jobs.flatMap(({ submission }) =>
        Object.values(JobRowKind).map(kind => ({ table: tableOf(kind), key: jobRowKey(submission.id, kind) }))
    ),
});

/** Jobs whose submission is gone or another one: an earlier deletion took effect although its answer was lost. */
const deletedJobs = (jobs: readonly JobState[], error: StateError): JobState[] => {
    const rows = error.kind === StateErrorKind.Conflict ? error.rows : undefined;
    return rows === undefined
        ? []
        : jobs.filter(job =>
            !rows.some(row => row.key === submissionKeyOf(job) && row.version === job.submissionVersion)
        );
};

/** Deletes the rows of jobs that ended more than `retainMs` ago; a failed deletion is retried by the next call. */
export const deleteExpiredJobs = async (
    context: PlannerContext,
    state: StateTable,
    retainMs: number,
): Promise<void> => {
    const wallMs = context.timer.wallClockMs();
    const byPart = new Map<string, JobState[]>();
    for (const [jobId, job] of context.jobs) {
        const part = partOfJob(jobId);
        const expired = byPart.get(part) ?? [];
        if (context.mayOrder() && isExpired(job, wallMs, retainMs) && expired.length < maxJobsPerCommit) {
            byPart.set(part, [...expired, job]);
        }
    }
    const forget = (job: JobState): void => {
        if (context.jobs.get(job.submission.id) === job) {
            context.jobs.delete(job.submission.id);
        }
    };
    for (const [part, jobs] of byPart) {
        const removed = await state.commit(toDeletion(part, jobs));
        if (removed.ok) {
            jobs.forEach(forget);
            context.log("info", "ended jobs deleted", { part, jobs: jobs.length, version: removed.value.version });
        }
        else {
            deletedJobs(jobs, removed.error).forEach(forget);
            context.log("warn", "ended jobs not deleted yet", { part, reason: describeStateError(removed.error) });
        }
    }
};
