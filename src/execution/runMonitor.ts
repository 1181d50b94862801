import { RunPhase, workersOf } from "../jobs/progress.js";
import type { Run, TaskState } from "../jobs/progress.js";
import type { PlannerContext } from "./context.js";
import { createEvacuation } from "./evacuation.js";
import type { RunStopper } from "./runStopper.js";
import type { WorkerSession } from "./session.js";
import { completePercent } from "./types.js";

/** Stops runs that have to continue on another worker. */
export interface RunMonitor {
    /** Stops the runs on a worker that have stalled, after each report from it. */
    onReport(session: WorkerSession): void;
    /** Moves runs from workers that are about to leave, and resumable ones from availability zones that are out of service. */
    evacuateRuns(): void;
}

/**
 * Time without progress, as a share of the declared time, after which a run counts as stalled. Progress is reported in
 * whole percents, and a run far from its data on a worker that is not known to be slow is some 25 times slower than
 * declared.
 */
const stallShare = 0.3;
/** Minimum time without progress before a run counts as stalled: two polls of the worker. */
const minStallMs = 1_500;
/** Minimum for a gang without any progress yet: its members wait for each other to start. */
const minGangStallMs = 2_500;
/** Time for which a stalled unit waits rather than run on the same worker again. */
const mustAvoidMs = 2_000;

/** Last change in the progress of a task's run. */
interface ObservedProgress {
    run: Run;
    percent: number;
    checkpoint: string;
    /** Monotonic time of the change. */
    sinceMs: number;
}

/** Time without progress after which a run on workers of a speed counts as stalled. */
const stallTimeoutMs = ({ unit: { step } }: TaskState, run: Run, speed: number): number =>
    Math.max(
        step.gang && run.percent === 0 ? minGangStallMs : minStallMs,
        step.estimateMs * stallShare / speed,
    );

/** Creates the part of a planner that stops stalled runs and evacuates workers. */
export const createRunMonitor = (context: PlannerContext, runStopper: RunStopper): RunMonitor => {
    const observed = new WeakMap<TaskState, ObservedProgress>();

    const isStalled = (task: TaskState, run: Run): boolean => {
        const nowMs = context.timer.nowMs();
        const previous = observed.get(task);
        const changed = previous?.run !== run || previous.percent !== run.percent
            || previous.checkpoint !== task.checkpoint;
        if (changed || run.phase !== RunPhase.Running || run.percent >= completePercent || task.unit.step.longRunning) {
            // a run first reported without progress has made none since its start
            const sinceMs = previous?.run !== run && run.percent === 0 ? Math.min(nowMs, run.orderAnsweredAtMs) : nowMs;
            observed.set(task, { run, percent: run.percent, checkpoint: task.checkpoint, sinceMs });
            return false;
        }
        return nowMs - previous.sinceMs > stallTimeoutMs(task, run, context.speeds.slowestOf(workersOf(task)));
    };

    const onReport = (session: WorkerSession): void => {
        const stalled = [...context.runs.tasksOn(session)].filter(task =>
            task.run !== undefined && isStalled(task, task.run)
        );
        if (stalled.length === 0) {
            return;
        }
        context.log("warn", "runs stalled on a worker", { worker: session.id, runs: stalled.length });
        context.health.recordFault(session.id);
        for (const task of stalled) {
            task.unit.avoidedWorkers.add(session.id);
            task.unit.mustAvoidUntilMs = context.timer.nowMs() + mustAvoidMs;
            if (task.run !== undefined) {
                runStopper.stop(task, task.run, "it stands still");
            }
        }
    };

    return { onReport, evacuateRuns: createEvacuation(context, runStopper) };
};
