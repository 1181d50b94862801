import type { JobState } from "../progress.js";
import { isEnded } from "../types.js";

/** Number of accepted jobs without a started task, by queue; queues without such jobs are absent. */
export type PendingCounts = Record<string, number>;

/** Counts the jobs without a started task, by queue. */
export const countPendingJobs = (jobs: Iterable<JobState>): PendingCounts => {
    const counts: PendingCounts = {};
    for (const { submission, phase, hasStarted } of jobs) {
        if (!isEnded(phase) && !hasStarted) {
            counts[submission.queue] = (counts[submission.queue] ?? 0) + 1;
        }
    }
    return counts;
};
