import type { JobState } from "../progress.js";
import { JobPhase } from "../types.js";

/** Number of accepted jobs without a started task, by queue; queues without such jobs are absent. */
export type PendingCounts = Record<string, number>;

/** Counts the jobs without a started task, by queue. */
export const countPendingJobs = (jobs: Iterable<JobState>): PendingCounts => {
    const counts: PendingCounts = {};
    for (const { submission, phase } of jobs) {
        if (phase === JobPhase.Queued) {
            counts[submission.queue] = (counts[submission.queue] ?? 0) + 1;
        }
    }
    return counts;
};
