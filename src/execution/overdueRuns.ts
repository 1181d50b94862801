import { RunPhase, taskIdOf, taskKey } from "../jobs/progress.js";
import type { Run, TaskState } from "../jobs/progress.js";
import type { PlannerContext } from "./context.js";
import type { WorkerSession } from "./session.js";

/** Watches for runs that are neither started nor ended in the time that recording and ordering them takes. */
export interface OverdueRunMonitor {
    /** Logs the runs that became overdue since the last check, and counts all overdue runs in a metric. */
    check(): void;
}

/** Time in a phase after which a run is overdue; without contact to its worker it stays until the lease expires. */
const overdueAfterMs = 3_000;
/** Maximum number of lines that one check logs. */
const maxLinesPerCheck = 20;
const watchedPhases = [RunPhase.Recording, RunPhase.Starting, RunPhase.Unknown, RunPhase.Stopping];

/** A phase of a task's run, as first seen by a check. */
interface ObservedPhase {
    run: number;
    phase: RunPhase;
    /** Monotonic time of the first check that saw it. */
    sinceMs: number;
    logged: boolean;
}

/** Creates the monitor of a planner's runs. */
export const createOverdueRunMonitor = (context: PlannerContext): OverdueRunMonitor => {
    const { timer, log, metrics, sessions, runs } = context;
    const observed = new WeakMap<TaskState, ObservedPhase>();

    const observe = (task: TaskState, { number: run, phase }: Run): ObservedPhase => {
        const previous = observed.get(task);
        if (previous?.run === run && previous.phase === phase) {
            return previous;
        }
        const entry = { run, phase, sinceMs: timer.nowMs(), logged: false };
        observed.set(task, entry);
        return entry;
    };

    const logOverdue = (task: TaskState, session: WorkerSession, { run, phase, sinceMs }: ObservedPhase): void =>
        log("warn", "run overdue", {
            task: taskKey(taskIdOf(task)),
            run,
            worker: session.id,
            phase,
            inPhaseMs: Math.round(timer.nowMs() - sinceMs),
            silentMs: Math.round(session.silentMs()),
            listed: session.descriptor !== undefined,
        });

    const findOverdue = (session: WorkerSession): { task: TaskState; entry: ObservedPhase; }[] =>
        [...runs.tasksOn(session)].flatMap(task => {
            const entry = task.run === undefined ? undefined : observe(task, task.run);
            const isOverdue = entry !== undefined && watchedPhases.includes(entry.phase)
                && timer.nowMs() - entry.sinceMs >= overdueAfterMs;
            return isOverdue ? [{ task, entry }] : [];
        });

    const check = (): void => {
        const counts = new Map<RunPhase, number>(watchedPhases.map(phase => [phase, 0]));
        let lines = 0;
        for (const session of sessions.values()) {
            for (const { task, entry } of findOverdue(session)) {
                counts.set(entry.phase, (counts.get(entry.phase) ?? 0) + 1);
                if (!entry.logged && lines < maxLinesPerCheck) {
                    entry.logged = true;
                    lines += 1;
                    logOverdue(task, session, entry);
                }
            }
        }
        counts.forEach((count, phase) => metrics.setOverdueRuns(phase, count));
    };

    return { check };
};
