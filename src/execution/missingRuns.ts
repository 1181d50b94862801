import { RunPhase } from "../jobs/progress.js";
import type { Run, TaskState } from "../jobs/progress.js";
import type { PlannerContext } from "./context.js";
import type { RunStopper } from "./runStopper.js";

/** Handles runs that a worker does not report. */
export interface MissingRunHandler {
    /**
     * Orders a run to stop, so that it cannot start any more, then abandons it on a report that was requested after that
     * order was answered; `sentAtMs` is the monotonic time at which the present report was requested.
     */
    resolve(task: TaskState, run: Run, sentAtMs: number): void;
}

/** Creates the handler of the runs that workers do not report to a planner. */
export const createMissingRunHandler = (
    { unansweredStarts }: PlannerContext,
    runStopper: RunStopper,
    abandonRun: (task: TaskState, run: Run, reason: string) => void,
): MissingRunHandler => {
    /** Stops a run, and the members of its gang, which would wait for it until they end alone. */
    const stopWithGang = (task: TaskState, run: Run, reason: string): void => {
        runStopper.stop(task, run, reason);
        if (task.unit.step.gang && !task.unit.complete) {
            runStopper.stopMembers(task.unit, run.number, "another member may not have started");
        }
    };

    const resolve: MissingRunHandler["resolve"] = (task, run, sentAtMs) => {
        const isAnswered = run.orderAnsweredAtMs < sentAtMs;
        if (run.phase === RunPhase.Unknown) {
            stopWithGang(task, run, "it is not known whether it started");
        }
        else if (run.phase === RunPhase.Running && isAnswered) {
            stopWithGang(task, run, "the worker does not list it");
        }
        else if (run.phase === RunPhase.Stopping && isAnswered) {
            if (run.firstListedAtMs === undefined) {
                // its start may still be on its way, also one that an earlier planner sent
                unansweredStarts.record(run.worker.id, task, run.number);
            }
            abandonRun(task, run, "stopped");
        }
    };

    return { resolve };
};
