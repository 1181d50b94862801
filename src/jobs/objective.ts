import type { JobSubmission, Step } from "./types.js";

/** Declared time of the longest path of steps that ends with the given one, memoized by step index. */
const longestPathToMs = (steps: readonly Step[], index: number, pathLengthsMs: Map<number, number>): number => {
    const knownMs = pathLengthsMs.get(index);
    if (knownMs !== undefined) {
        return knownMs;
    }
    const longestBeforeMs = Math.max(
        0,
        ...steps[index].after.map(earlier => longestPathToMs(steps, earlier, pathLengthsMs)),
    );
    const pathMs = longestBeforeMs + steps[index].estimateMs;
    pathLengthsMs.set(index, pathMs);
    return pathMs;
};

/** Declared time of the critical path through the steps, without waiting times. */
export const criticalPathMs = (steps: readonly Step[]): number => {
    const pathLengthsMs = new Map<number, number>();
    return Math.max(0, ...steps.map((_, index) => longestPathToMs(steps, index, pathLengthsMs)));
};

/** Completion objective: time from acceptance, or from when an occurrence is due, until it should be complete. */
export const objectiveMs = (job: JobSubmission): number =>
    job.slackFactor * criticalPathMs(job.steps) + job.targetLatencyMs;

/** Time, counted like the objective, after which completing it has no value; infinite unless its queue limits it. */
export const expiresAfterMs = (job: JobSubmission): number =>
    job.uselessAfterObjectives === undefined
        ? Number.POSITIVE_INFINITY
        : job.uselessAfterObjectives * objectiveMs(job);
