import type { JobState, Run, TaskState } from "../jobs/progress.js";
import type { EntryMetrics } from "../node/entryMetrics.js";
import type { Log } from "../node/logs.js";
import type { OperatorState } from "../queues/types.js";
import type { TimerService } from "../utils/timer.js";
import type { WorkerSession } from "./session.js";
import type { WorkerHealth } from "./workerHealth.js";

/** Runs that are not known to have ended, found by worker. */
export interface RunTable {
    on(session: WorkerSession): ReadonlySet<TaskState>;
    set(task: TaskState, run: Run): void;
    clear(task: TaskState): void;
}

/** What the parts of a planner share during one term. */
export interface PlannerContext {
    timer: TimerService;
    log: Log;
    metrics: EntryMetrics;
    /** Number of the term, which is the fencing token towards workers. */
    term: number;
    jobs: Map<string, JobState>;
    /** Those of them that have not ended or still have runs; ended ones are remembered much longer than they last. */
    openJobs: Set<JobState>;
    /** By worker id; the newest incarnation. */
    sessions: Map<string, WorkerSession>;
    runs: RunTable;
    health: WorkerHealth;
    operator: () => OperatorState;
    /** Whether new orders may be sent. */
    mayOrder: () => boolean;
    /** Records a job's progress; resolves with false if the term ended before. */
    record: (job: JobState) => Promise<boolean>;
    /** Plans soon. */
    requestRound: () => void;
    /** Whether the term is over. */
    isOver: () => boolean;
}

/** Creates an empty table of runs. */
export const createRunTable = (): RunTable => {
    const bySession = new Map<WorkerSession, Set<TaskState>>();
    const none: ReadonlySet<TaskState> = new Set();
    const clear = (task: TaskState): void => {
        if (task.run !== undefined) {
            const tasks = bySession.get(task.run.worker);
            tasks?.delete(task);
            if (tasks?.size === 0) {
                bySession.delete(task.run.worker);
            }
            task.run = undefined;
        }
    };
    return {
        on: session => bySession.get(session) ?? none,
        set: (task, run) => {
            clear(task);
            task.run = run;
            task.lastRunNumber = Math.max(task.lastRunNumber, run.number);
            const tasks = bySession.get(run.worker) ?? new Set();
            tasks.add(task);
            bySession.set(run.worker, tasks);
        },
        clear,
    };
};
