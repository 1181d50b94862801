import { completePercent } from "./types.js";

/** A run on a worker that is about to leave. */
export interface DepartingRun {
    /** Time until the worker leaves. */
    untilDepartureMs: number;
    /** Declared run time of its task. */
    estimateMs: number;
    /** Completed share of the work in percent, as last reported. */
    percent: number;
    /** Time for which it had worked when that was reported. */
    workedMs: number;
    /** Age of that report. */
    reportAgeMs: number;
    /** Whether it can continue elsewhere from a checkpoint. */
    resumable: boolean;
}

/** Time before the worker leaves at which a resumable run is moved in any case: a stop with its checkpoint takes as long. */
export const latestMoveMs = 900;
/**
 * Time before the worker leaves at which a resumable run is moved that cannot end before: the stop with its checkpoint,
 * 0.9 s, the interval of 0.25 s between the rounds that decide it, and 0.35 s for the report and the start elsewhere.
 */
const moveLeadMs = 1_500;
/** Progress from which the remaining time is taken from the rate of progress, as declared times are often off by half. */
const reliablePercent = 10;

/**
 * Shortest remaining time of a run by what is known: by its progress, which is reported in whole percents, once that is
 * enough to tell its rate, and by its declared time before.
 */
export const shortestRemainingMs = (run: Omit<DepartingRun, "untilDepartureMs" | "resumable">): number => {
    const reachedPercent = Math.min(run.percent + 1, completePercent);
    const remainingPercent = completePercent - reachedPercent;
    const remainingAtReportMs = run.percent >= reliablePercent
        ? run.workedMs * remainingPercent / reachedPercent
        : run.estimateMs * remainingPercent / completePercent;
    return remainingAtReportMs - run.reportAgeMs;
};

/** Whether a run cannot end before its worker leaves. */
const cannotEnd = (run: DepartingRun): boolean => shortestRemainingMs(run) > run.untilDepartureMs;

/**
 * Whether a run is stopped now so that it can run elsewhere: a resumable one as late as it can be moved with its
 * checkpoint, another one as soon as it is known that it cannot end in time, since all that it does is lost.
 */
export const mustDepart = (run: DepartingRun): boolean => {
    if (!run.resumable) {
        return cannotEnd(run);
    }
    return run.untilDepartureMs < latestMoveMs || (run.untilDepartureMs < moveLeadMs && cannotEnd(run));
};
