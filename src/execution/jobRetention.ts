import { activeRuns } from "../jobs/progress.js";
import type { JobState } from "../jobs/progress.js";
import { jobRowKey, JobRowKind, partOfJob, tableOf } from "../jobs/rows.js";
import { describeStateError } from "../state/types.js";
import type { StateTable } from "../state/types.js";
import type { PlannerContext } from "./context.js";

/** Jobs deleted in one transaction: each has three rows, and the platform accepts 100 entries. */
const maxJobsPerCommit = 30;

const isExpired = (job: JobState, wallMs: number, retainMs: number): boolean =>
    job.endedAtMs !== undefined && wallMs - job.endedAtMs > retainMs && activeRuns(job).length === 0;

/** Deletes the rows of jobs that ended more than `retainMs` ago; a failed deletion is retried by the next call. */
export const deleteExpiredJobs = async (
    context: PlannerContext,
    state: StateTable,
    retainMs: number,
): Promise<void> => {
    const wallMs = context.timer.wallClockMs();
    const byPart = new Map<string, string[]>();
    for (const [jobId, job] of context.jobs) {
        const part = partOfJob(jobId);
        const expired = byPart.get(part) ?? [];
        if (context.mayOrder() && isExpired(job, wallMs, retainMs) && expired.length < maxJobsPerCommit) {
            byPart.set(part, [...expired, jobId]);
        }
    }
    for (const [part, jobIds] of byPart) {
        const kinds = Object.values(JobRowKind);
        const writes = jobIds.flatMap(jobId =>
            kinds.map(kind => ({ table: tableOf(kind), key: jobRowKey(jobId, kind) }))
        );
        const removed = await state.commit({ part, conditions: [], writes });
        if (removed.ok) {
            jobIds.forEach(jobId => context.jobs.delete(jobId));
            context.log("info", "ended jobs deleted", { part, jobs: jobIds.length, version: removed.value.version });
        }
        else {
            context.log("warn", "ended jobs not deleted yet", { part, reason: describeStateError(removed.error) });
        }
    }
};
