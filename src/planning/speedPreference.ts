/** Which workers a step is placed on where they differ in speed. It addresses fleets in which some workers are slow. */
import type { Candidate } from "./types.js";

/** What speed of workers a placement prefers, where they do not differ in what matters more. */
export enum SpeedPreference {
    /** Faster workers, even where slower ones would be a better fit. */
    Fast,
    /** Slower workers, even where faster ones would be a better fit. */
    Slow,
    /** Slower workers, where faster ones are no better fit. */
    SlowIfFitIsEqual,
    None,
}

/** Tasks from which independent work counts as wide: it uses workers that other work cannot use together. */
const wideTaskCount = 8;
/** Multiple of the remaining critical path that has to be left: a worker at half speed, and a declared time 1.5 too short. */
const slackFactorOnSlow = 3;

/** Preference of a candidate for the workers of its tasks; that of a gang is for its slowest worker. */
export const speedPreferenceOf = (candidate: Candidate): SpeedPreference => {
    const { step, job, timeToObjectiveMs, remainingCriticalPathMs } = candidate;
    if (step.gang || job.priority === 0) {
        return SpeedPreference.Fast;
    }
    const hasTime = timeToObjectiveMs >= remainingCriticalPathMs * slackFactorOnSlow;
    return step.taskCount >= wideTaskCount && hasTime ? SpeedPreference.SlowIfFitIsEqual : SpeedPreference.None;
};

/** Sign of the difference in speed by which workers are ordered before how well they fit is compared. */
export const signBeforeFit: Record<SpeedPreference, number> = {
    [SpeedPreference.Fast]: -1,
    [SpeedPreference.Slow]: 1,
    [SpeedPreference.SlowIfFitIsEqual]: 0,
    [SpeedPreference.None]: 0,
};

/** Sign of the difference in speed by which workers that fit equally well are ordered. */
export const signAfterFit: Record<SpeedPreference, number> = {
    ...signBeforeFit,
    [SpeedPreference.SlowIfFitIsEqual]: 1,
};
