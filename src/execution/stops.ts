import { RunPhase, taskIdOf, taskKey } from "../jobs/progress.js";
import type { Run, TaskState, Unit } from "../jobs/progress.js";
import type { PlannerContext } from "./context.js";

/** Ends runs and follows the orders up. */
export interface Stops {
    /** Ends a run; it counts until the worker lists its end. */
    stop(task: TaskState, run: Run, reason: string): void;
    /** Ends all runs of a unit that share a number: the members of a gang. */
    stopMembers(unit: Unit, run: number, reason: string): void;
}

/** Pause before an order to stop is repeated. */
const stopRetryMs = 300;

/** Creates the part of a planner that orders runs to end. */
export const createStops = (context: PlannerContext): Stops => {
    const { log, timer, runs, term } = context;

    const send = async (task: TaskState, run: Run): Promise<void> => {
        const { client } = run.worker;
        while (task.run === run && !run.worker.closed && client !== undefined && !context.isOver()) {
            const stopped = await client.stop(taskIdOf(task), run.number, term);
            if (stopped.ok || stopped.error.kind === "refused") {
                // any refusal says that the run is not there
                run.orderAnsweredAtMs = timer.nowMs();
                run.worker.resumePolling(true);
                return;
            }
            run.worker.recordNoAnswer(stopped.error.detail);
            run.worker.resumePolling();
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
        log("info", "stopping a run", { task: name, run: run.number, worker: run.worker.id, reason });
        void send(task, run);
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
