import { delayLoss, untilDropMs } from "../planning/delayCost.js";
import { untilLatestStartMs, workOf } from "../planning/order.js";
import type { Candidate, Postponements } from "../planning/types.js";
import type { PlannerContext } from "./context.js";

/** Logs and counts work that is postponed since not all waiting work can be completed in time. */
export interface PostponementReporter {
    /** Logs what changed since the previous round; `candidates` and `postponements` are those of a round. */
    onRound(candidates: readonly Candidate[], postponements: Postponements): void;
}

/** Why work is no longer postponed. */
enum ReturnReason {
    /** It has a place, its step has ended, or its job is cancelled. */
    NoLongerWaiting = "noLongerWaiting",
    /** All work of its tier can be completed in time again, or other work loses less by its delay. */
    Fits = "fits",
    /** It has been postponed for as long as its objective allows. */
    BoundedWait = "boundedWait",
}

/** Priorities reported in the metric of postponed jobs; queues use 0 to 2. */
const reportedPriorities = [0, 1, 2];
/** Maximum number of lines in an interval, so that a large backlog does not delay orders. */
const maxLines = 20;
const intervalMs = 250;

/** Creates the reporter of a planner's term. */
export const createPostponementReporter = ({ log, timer, metrics }: PlannerContext): PostponementReporter => {
    let previous: Postponements = new Map();
    let intervalStartMs = Number.NEGATIVE_INFINITY;
    let linesInInterval = 0;
    let suppressed = 0;

    const write = (message: string, fields: Record<string, unknown>): void => {
        if (timer.nowMs() - intervalStartMs >= intervalMs) {
            intervalStartMs = timer.nowMs();
            linesInInterval = 0;
        }
        linesInInterval += 1;
        if (linesInInterval > maxLines) {
            suppressed += 1;
            return;
        }
        log("info", message, suppressed === 0 ? fields : { ...fields, suppressed });
        suppressed = 0;
    };

    const logPostponed = (candidate: Candidate): void =>
        write("work postponed", {
            unit: candidate.key,
            priority: candidate.job.priority,
            waitingMs: Math.round(candidate.waitingMs),
            slackMs: Math.round(untilLatestStartMs(candidate)),
            untilDropMs: Math.round(untilDropMs(candidate)),
            coreMs: Math.round(workOf(candidate)),
            loss: Number(delayLoss(candidate).toFixed(3)),
        });

    const logReturned = (key: string, postponedMs: number, reason: ReturnReason): void =>
        write("work no longer postponed", { unit: key, reason, postponedMs: Math.round(postponedMs) });

    const setMetrics = (candidates: readonly Candidate[], postponements: Postponements): void => {
        const isPostponed = ({ key }: Candidate): boolean => postponements.get(key)?.active === true;
        for (const priority of reportedPriorities) {
            const postponed = candidates.filter(candidate =>
                candidate.job.priority === priority && isPostponed(candidate)
            );
            metrics.setPostponedJobs(priority, new Set(postponed.map(({ job }) => job.id)).size);
        }
    };

    return {
        onRound: (candidates, postponements) => {
            if (previous.size === 0 && postponements.size === 0) {
                return;
            }
            for (const candidate of candidates) {
                const isPostponed = postponements.get(candidate.key)?.active === true;
                if (isPostponed && previous.get(candidate.key)?.active !== true) {
                    logPostponed(candidate);
                }
            }
            for (const [key, { active, sinceMs }] of previous) {
                const current = postponements.get(key);
                if (active && current?.active !== true) {
                    const reason = current === undefined ? ReturnReason.NoLongerWaiting : current.returned
                        ? ReturnReason.BoundedWait
                        : ReturnReason.Fits;
                    logReturned(key, timer.nowMs() - sinceMs, reason);
                }
            }
            setMetrics(candidates, postponements);
            previous = postponements;
        },
    };
};
