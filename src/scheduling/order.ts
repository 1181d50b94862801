import { Urgency } from "../configuration/types.js";
import { acceleratorsOf } from "./resources.js";
import type { RunTimeModel } from "./runTimes.js";
import type { JobSpec } from "./types.js";

/** A job that waits for a placement. */
export interface QueuedJob {
    spec: JobSpec;
    attempts: number;
    /** Earliest time of the next placement, after a member was lost. */
    notBeforeMs: number;
}

/** Waiting time after which a job counts as one step more urgent. */
const ageingMs = 30 * 60_000;
/** Accelerators from which on a gang is starved by smaller jobs unless it goes before them in the end. */
const largeAccelerators = 32;
/** Waiting time after which a large gang goes before all that is not urgent. */
const largeAgeingMs = 40 * 60_000;
const agedLargeRank = 0.5;
const deadlineSlackShare = 0.5;

const baseRank = {
    [Urgency.Urgent]: 0,
    [Urgency.Normal]: 1,
    [Urgency.MayWait]: 2,
};

const hasLittleTime = (job: JobSpec, runTimes: RunTimeModel, nowMs: number): boolean => {
    if (job.deadlineAtMs === undefined) {
        return false;
    }
    const estimateMs = runTimes.estimateMs(job);
    return job.deadlineAtMs - nowMs < estimateMs * (1 + deadlineSlackShare);
};

/** Rank of a waiting job: 0 is served first; waiting and a near deadline raise it. */
export const rankOf = (job: JobSpec, runTimes: RunTimeModel, nowMs: number): number => {
    if (job.urgency === Urgency.Urgent || hasLittleTime(job, runTimes, nowMs)) {
        return 0;
    }
    const waitedMs = nowMs - job.submittedAtMs;
    if (waitedMs > largeAgeingMs && acceleratorsOf(job.shape) >= largeAccelerators) {
        return agedLargeRank;
    }
    const steps = Math.floor(waitedMs / ageingMs);
    return Math.max(1, baseRank[job.urgency] - steps);
};

/** Orders waiting jobs by rank, then by time of submission. */
export const orderQueue = (queue: readonly QueuedJob[], runTimes: RunTimeModel, nowMs: number): QueuedJob[] => {
    const ranked = queue.map(job => ({ job, rank: rankOf(job.spec, runTimes, nowMs) }));
    ranked.sort((left, right) =>
        left.rank - right.rank
        || left.job.spec.submittedAtMs - right.job.spec.submittedAtMs
        || (left.job.spec.id < right.job.spec.id ? -1 : 1)
    );
    return ranked.map(entry => entry.job);
};
