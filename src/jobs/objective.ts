import type { JobSubmission, Step } from "./types.js";

const chainTo = (steps: readonly Step[], index: number, known: Map<number, number>): number => {
    const before = known.get(index);
    if (before !== undefined) {
        return before;
    }
    const longest = Math.max(0, ...steps[index].after.map(earlier => chainTo(steps, earlier, known)));
    const total = longest + steps[index].estimateMs;
    known.set(index, total);
    return total;
};

/** Declared time of the longest chain of steps, without waiting. */
export const longestChainMs = (steps: readonly Step[]): number => {
    const known = new Map<number, number>();
    return Math.max(0, ...steps.map((_, index) => chainTo(steps, index, known)));
};

/** Time within which a job or occurrence should be complete. */
export const objectiveMs = (job: JobSubmission): number =>
    job.slackFactor * longestChainMs(job.steps) + job.targetLatencyMs;

/** Time after which completing it is of no use; infinite unless its queue says so. */
export const uselessAfterMs = (job: JobSubmission): number =>
    job.uselessAfterObjectives === undefined
        ? Number.POSITIVE_INFINITY
        : job.uselessAfterObjectives * objectiveMs(job);
