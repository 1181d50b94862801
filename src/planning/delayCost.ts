/**
 * What it costs callers that waiting work is delayed. Answers a load in which more work is due than the workers can complete
 * in time, so that some of it loses value whatever is placed first.
 */
import type { JobSubmission, Step, TaskResources } from "../jobs/types.js";
import { coreEquivalentsOf, coresPerAccelerator } from "./resources.js";
import type { Candidate } from "./types.js";

/** Weight of a job by its priority, the only indication of value in a configuration; the last one holds for all others. */
const weightsByPriority = [4, 2, 1];
/** Work that adds as much to a job's value as the fixed component: one accelerator for a minute. */
const balancedWorkCoreMs = 60_000 * coresPerAccelerator;
/** Share of its value that a job keeps between its objective and its expiry; what is in time precedes what is late. */
const lateShare = 0.25;

/** Weight of a job of the given priority. */
const weightOf = (priority: number): number => weightsByPriority[Math.min(priority, weightsByPriority.length - 1)];

const stepWorkCoreMs = ({ taskCount, estimateMs, resources }: Step): number =>
    taskCount * estimateMs * coreEquivalentsOf(resources);

/** Values of jobs, which never change: a large backlog is priced in many rounds. */
const knownValues = new WeakMap<JobSubmission, number>();

/** Value of completing a job in time: a component that is the same for each job of its priority, and one by its work. */
export const valueOf = (job: JobSubmission): number => {
    const knownValue = knownValues.get(job);
    if (knownValue !== undefined) {
        return knownValue;
    }
    const workCoreMs = job.steps.reduce((sum, step) => sum + stepWorkCoreMs(step), 0);
    const value = weightOf(job.priority) * (1 + workCoreMs / balancedWorkCoreMs);
    knownValues.set(job, value);
    return value;
};

const isLate = ({ timeToObjectiveMs, remainingCriticalPathMs }: Candidate): boolean =>
    timeToObjectiveMs < remainingCriticalPathMs;

const isExpired = ({ timeToExpiryMs, remainingCriticalPathMs }: Candidate): boolean =>
    timeToExpiryMs < remainingCriticalPathMs;

/** Value of the candidate's job if it is completed as soon as possible. */
export const remainingValue = (candidate: Candidate): number => {
    if (isExpired(candidate)) {
        return 0;
    }
    return valueOf(candidate.job) * (isLate(candidate) ? lateShare : 1);
};

/** Value that is lost if the candidate is delayed past the next drop in its job's value. */
export const delayLoss = (candidate: Candidate): number => {
    const keepsLateValue = !isLate(candidate) && candidate.timeToExpiryMs > candidate.timeToObjectiveMs;
    return remainingValue(candidate) * (keepsLateValue ? 1 - lateShare : 1);
};

/** Time until the candidate's tasks must have ended, so that its job completes before the next drop in its value. */
export const untilDropMs = (candidate: Candidate): number => {
    const { timeToObjectiveMs, timeToExpiryMs, remainingCriticalPathMs, step } = candidate;
    return (isLate(candidate) ? timeToExpiryMs : timeToObjectiveMs) - (remainingCriticalPathMs - step.estimateMs);
};

const noSteps: readonly Step[] = [];

/** Steps that depend on a step, directly or by way of others. */
const laterSteps = ({ steps }: JobSubmission, step: Step): readonly Step[] => {
    if (steps.length === 1) {
        return noSteps;
    }
    const found = new Set([steps.indexOf(step)]);
    // steps depend on earlier ones only, so that one pass finds all
    steps.forEach(({ after }, index) => after.some(earlier => found.has(earlier)) && found.add(index));
    return steps.filter((other, index) => other !== step && found.has(index));
};

/**
 * Work that is left until the value of a candidate's job is earned, as a resource times milliseconds by declared run times:
 * the tasks to place and the steps after them. What has run already does not count, so that a step of which most is done
 * takes little.
 */
export const workToEarn = ({ job, step, taskIndexes }: Candidate, resource: keyof TaskResources): number =>
    laterSteps(job, step).reduce(
        (sum, later) => sum + later.taskCount * later.estimateMs * later.resources[resource],
        taskIndexes.length * step.estimateMs * step.resources[resource],
    );
