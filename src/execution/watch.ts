import { gangMembersOf, RunPhase } from "../jobs/progress.js";
import type { Run, TaskState } from "../jobs/progress.js";
import type { PlannerContext } from "./context.js";
import { savesProgress } from "./savedProgress.js";
import type { WorkerSession } from "./session.js";
import type { Stops } from "./stops.js";

/** Looks after runs that are in trouble where they are. */
export interface Watch {
    /** Looks for runs that stand still, after a report. */
    onReport(session: WorkerSession): void;
    /** Takes work that can be resumed off workers that are about to leave. */
    moveFromLeaving(): void;
}

/**
 * Share of its declared time without progress after which a run stands still. Progress comes in whole percents, on a slow
 * worker and away from its data some 25 times as slowly as declared.
 */
const standstillShare = 0.3;
/** Least time without progress: two looks at the worker. */
const minStandstillMs = 1_500;
/** Least time for a gang that has not begun: its members wait for each other. */
const minGangStandstillMs = 2_500;
/** Least time that a leaving worker has left when its work is taken off: a stop, its report and a start elsewhere. */
const moveBeforeMs = 900;
/** Time for which work that stood still rather waits than go back to its worker. */
const avoidMs = 2_000;
/** Share of work that is complete. */
const fullPercent = 100;

interface Progress {
    run: Run;
    percent: number;
    checkpoint: string;
    sinceMs: number;
}

/** Time without progress after which a run stands still. */
const standstillMs = ({ unit: { step } }: TaskState, run: Run): number =>
    Math.max(
        step.gang && run.percent === 0 ? minGangStandstillMs : minStandstillMs,
        step.estimateMs * standstillShare,
    );

/** Creates the part of a planner that moves work in trouble. */
export const createWatch = (context: PlannerContext, stops: Stops): Watch => {
    const progress = new WeakMap<TaskState, Progress>();

    const isStuck = (task: TaskState, run: Run): boolean => {
        const nowMs = context.timer.nowMs();
        const known = progress.get(task);
        const moved = known?.run !== run || known.percent !== run.percent || known.checkpoint !== task.checkpoint;
        if (moved || run.phase !== RunPhase.Running || run.percent >= fullPercent || task.unit.step.longRunning) {
            // a run that is first seen without progress has made none since its start
            const sinceMs = known?.run !== run && run.percent === 0 ? Math.min(nowMs, run.orderAnsweredAtMs) : nowMs;
            progress.set(task, { run, percent: run.percent, checkpoint: task.checkpoint, sinceMs });
            return false;
        }
        return nowMs - known.sinceMs > standstillMs(task, run);
    };

    const onReport = (session: WorkerSession): void => {
        const stuck = [...context.runs.on(session)].filter(task => task.run !== undefined && isStuck(task, task.run));
        if (stuck.length === 0) {
            return;
        }
        context.log("warn", "runs stand still on a worker", { worker: session.id, runs: stuck.length });
        context.health.recordFault(session.id);
        for (const task of stuck) {
            task.unit.avoidedWorkers.add(session.id);
            task.unit.mustAvoidUntilMs = context.timer.nowMs() + avoidMs;
            if (task.run !== undefined) {
                stops.stop(task, task.run, "it stands still");
            }
        }
    };

    const moveTask = (task: TaskState, reason: string): void => {
        const { run } = task;
        if (run === undefined || run.phase !== RunPhase.Running || !savesProgress(task, run, context.timer.nowMs())) {
            return;
        }
        gangMembersOf(task).forEach(member => member.run !== undefined && stops.stop(member, member.run, reason));
    };

    const reasonToMove = ({ descriptor: view }: WorkerSession): string | undefined => {
        const { configuration, evacuatedZones } = context.operator();
        if (view === undefined) {
            return undefined;
        }
        if (view.draining && (view.leavesAtMs ?? Infinity) - context.timer.nowMs() < moveBeforeMs) {
            return "its worker is leaving";
        }
        return configuration?.evacuatesRunsFromZones === true && evacuatedZones.has(view.availabilityZone)
            ? "its availability zone is out"
            : undefined;
    };

    const moveFromLeaving = (): void => {
        for (const session of context.sessions.values()) {
            const reason = reasonToMove(session);
            if (reason !== undefined) {
                [...context.runs.on(session)].forEach(task => moveTask(task, reason));
            }
        }
    };

    return { onReport, moveFromLeaving };
};
