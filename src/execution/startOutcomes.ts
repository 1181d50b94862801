import { requeueUnstarted, RunPhase } from "../jobs/progress.js";
import type { Run, TaskState } from "../jobs/progress.js";
import type { PlannerContext } from "./context.js";
import type { RunStopper } from "./runStopper.js";
import type { StartTries } from "./startRetry.js";
import { Refusal } from "./types.js";
import type { OrderError } from "./types.js";

/** A task with the run that was created for its placement. */
export interface PlacedTask {
    task: TaskState;
    run: Run;
}

/** Whether the run was neither abandoned nor replaced meanwhile. */
export const isCurrent = ({ task, run }: PlacedTask): boolean => task.run === run;

/** Creates the part of a planner that applies the outcomes of start orders. */
export const createStartOutcomes = (context: PlannerContext, runStopper: RunStopper) => {
    const { timer, runs, health } = context;

    const onStarted = ({ task, run }: PlacedTask, clockMs: number | undefined, sentAtMs: number): void => {
        task.unit.job.hasStarted = true;
        run.startConfirmed = clockMs !== undefined && run.worker.isOwnClock(clockMs);
        run.worker.recordAnswer(clockMs, sentAtMs);
        if (run.phase === RunPhase.Starting) {
            run.phase = RunPhase.Running;
            run.orderAnsweredAtMs = timer.nowMs();
        }
        run.worker.resumePolling();
    };

    /** The run has certainly not started, since its only order was refused. */
    const withdraw = ({ task, run }: PlacedTask): void => {
        runs.clear(task);
        if (task.unit.step.gang) {
            runStopper.stopMembers(task.unit, run.number, "another member was refused");
        }
        run.worker.resumePolling(true);
        requeueUnstarted(task.unit.job);
        void context.record(task.unit.job);
        context.requestRound();
    };

    /** An earlier try may have been carried out, or may be later, so that the run is stopped rather than withdrawn. */
    const onRepeatRefused = ({ task, run }: PlacedTask, refusal: Refusal): void => {
        run.worker.resumePolling(true);
        if (run.phase !== RunPhase.Starting) {
            return;
        }
        if (refusal === Refusal.OldRun) {
            // it has started and ended there: the next report lists the end, or shows that there is none
            run.phase = RunPhase.Running;
            run.orderAnsweredAtMs = timer.nowMs();
            return;
        }
        runStopper.stop(task, run, "it is not known whether it started");
        runStopper.stopMembers(task.unit, run.number, "another member was refused");
    };

    const onRefused = (
        placed: PlacedTask,
        { refusal, clockMs }: OrderError & { kind: "refused"; },
        { count, lastSentAtMs }: StartTries,
    ): void => {
        const { worker } = placed.run;
        if (refusal === Refusal.Unhealthy) {
            health.recordFault(worker.id);
        }
        if (clockMs !== undefined) {
            worker.recordAnswer(clockMs, lastSentAtMs);
        }
        if (count === 1) {
            withdraw(placed);
        }
        else {
            onRepeatRefused(placed, refusal);
        }
    };

    /** Leaves it to the worker's reports whether the run has started; a gang is stopped. */
    const onUnanswered = (placed: PlacedTask): void => {
        const { task, run } = placed;
        if (!isCurrent(placed) || (run.phase !== RunPhase.Starting && run.phase !== RunPhase.Unknown)) {
            return;
        }
        run.phase = RunPhase.Unknown;
        if (task.unit.step.gang) {
            // the others would wait for this member until they end alone
            runStopper.stop(task, run, "it is not known whether it started");
            runStopper.stopMembers(task.unit, run.number, "another member may not have started");
        }
    };

    return { onStarted, onRefused, onUnanswered };
};
