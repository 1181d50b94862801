import type { JobState } from "../progress.js";
import { JobPhase } from "../types.js";

/** Accepted jobs of which no task has started, by queue; queues without any are absent. */
export type PendingCounts = Record<string, number>;

/** Counts the jobs of which no task has started. */
export const countPendingJobs = (jobs: Iterable<JobState>): PendingCounts => {
    const counts: PendingCounts = {};
    for (const { submission, phase } of jobs) {
        if (phase === JobPhase.Queued) {
            counts[submission.queue] = (counts[submission.queue] ?? 0) + 1;
        }
    }
    return counts;
};
