import { areDependenciesComplete, restoreJob } from "../jobs/progress.js";
import type { JobState, RestoreJobOptions } from "../jobs/progress.js";
import type { StoredJob } from "../jobs/projection.js";
import type { JobSubmission } from "../jobs/types.js";
import { relaxAfterMs } from "../planning/placement.js";
import type { TimerService } from "../utils/timer.js";

/**
 * Restores a job. Steps whose turn has come count as having waited until they may relax what they prefer, if the job is
 * that old: the time of their turn is not stored, and a wait that began anew with each planner could exceed the bound on
 * waiting work.
 */
export const restoreWaitingJob = (
    submission: JobSubmission,
    stored: StoredJob,
    { timer, ...options }: Omit<RestoreJobOptions, "nowMs"> & { timer: TimerService; },
): JobState => {
    const nowMs = timer.nowMs();
    const job = restoreJob(submission, stored, { ...options, nowMs });
    for (const unit of job.units.values()) {
        const ageMs = unit.dueAtMs === undefined ? options.ageMs : timer.wallClockMs() - unit.dueAtMs;
        if (!unit.complete && ageMs >= 0 && areDependenciesComplete(unit)) {
            unit.readySinceMs = nowMs - Math.min(ageMs, relaxAfterMs);
        }
    }
    return job;
};
