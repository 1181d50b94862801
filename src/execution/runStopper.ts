import { RunPhase, taskIdOf, taskKey } from "../jobs/progress.js";
import type { Run, TaskState, Unit } from "../jobs/progress.js";
import { describeRunWork } from "./context.js";
import type { PlannerContext } from "./context.js";
import { Refusal } from "./types.js";

/** Stops runs and repeats stop orders until the worker answers. */
export interface RunStopper {
    /** Stops a run; its resources stay occupied until the worker reports its end. */
    stop(task: TaskState, run: Run, reason: string): void;
    /** Stops all runs of a unit with the given run number: the members of a gang. */
    stopMembers(unit: Unit, run: number, reason: string): void;
}

/** Delay before a stop order without an answer is repeated. */
const stopRetryMs = 300;

/** Creates the part of a planner that sends stop orders. */
export const createRunStopper = (context: PlannerContext): RunStopper => {
    const { log, timer, runs } = context;

    const sendStop = async (task: TaskState, run: Run): Promise<void> => {
        const { client } = run.worker;
        while (task.run === run && !run.worker.closed && client !== undefined && !context.isTermOver()) {
            const { fencingToken } = run.worker;
            const stopped = await client.stop(taskIdOf(task), run.number, fencingToken);
            const refusal = !stopped.ok && stopped.error.kind === "refused" ? stopped.error.refusal : undefined;
            if (refusal === Refusal.Fenced && fencingToken < run.worker.fencingToken) {
                // a later order of the same session overtook it
                continue;
            }
            if (stopped.ok || (refusal !== undefined && refusal !== Refusal.Unhealthy)) {
                // a healthy worker refuses a stop only if it does not have the run
                run.orderAnsweredAtMs = timer.nowMs();
                run.worker.resumePolling(true);
                return;
            }
            if (refusal === undefined) {
                run.worker.recordNoAnswer(stopped.error.detail);
                run.worker.resumePolling();
            }
            await timer.sleep(stopRetryMs);
        }
    };

    const stop = (task: TaskState, run: Run, reason: string): void => {
        if (task.run !== run || run.phase === RunPhase.Stopping) {
            return;
        }
        if (run.phase === RunPhase.Recording) {
            runs.clear(task);
            return;
        }
        run.phase = RunPhase.Stopping;
        run.orderAnsweredAtMs = Number.POSITIVE_INFINITY;
        const name = taskKey(taskIdOf(task));
        const work = describeRunWork(task, run, timer.nowMs());
        // a run that saves checkpoints saves one when it is stopped
        const unsavedMs = task.unit.step.checkpointing ? 0 : work.unsavedMs;
        log("info", "stopping a run", {
            task: name,
            run: run.number,
            worker: run.worker.id,
            reason,
            ...work,
            unsavedMs,
        });
        void sendStop(task, run);
    };

    const stopMembers = (unit: Unit, run: number, reason: string): void => {
        for (const member of unit.tasks) {
            if (member.run?.number === run) {
                stop(member, member.run, reason);
            }
        }
    };

    return { stop, stopMembers };
};
