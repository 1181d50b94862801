import { taskKey, unitKeyOf } from "../jobs/progress.js";
import type { JobState, Run, TaskState } from "../jobs/progress.js";
import type { TaskId } from "../jobs/types.js";
import type { EntryMetrics } from "../node/entryMetrics.js";
import type { Log } from "../node/logs.js";
import { coreEquivalentsOf } from "../planning/resources.js";
import type { OperatorState } from "../queues/types.js";
import type { TimerService } from "../utils/timer.js";
import type { WorkerSession } from "./session.js";
import type { SpeedHistory } from "./speedHistory.js";
import type { UnansweredStarts } from "./unansweredStarts.js";
import type { WorkerHealth } from "./workerHealth.js";

/** Runs that are not known to have ended, indexed by worker. */
export interface RunTable {
    /** Tasks that have a run on a worker. */
    tasksOn(session: WorkerSession): ReadonlySet<TaskState>;
    /** Makes a run the current one of its task. */
    set(task: TaskState, run: Run): void;
    /** Removes the current run of a task. */
    clear(task: TaskState): void;
}

/** State that the parts of a planner share during one term. */
export interface PlannerContext {
    timer: TimerService;
    log: Log;
    metrics: EntryMetrics;
    /** Number of the term; fencing tokens in orders to workers begin with it. */
    term: number;
    /** All stored jobs, by id. */
    jobs: Map<string, JobState>;
    /** Jobs that have not ended or still have runs; a separate set since ended jobs are retained for long. */
    openJobs: Set<JobState>;
    /** Session of the newest incarnation of each worker, by worker id. */
    sessions: Map<string, WorkerSession>;
    runs: RunTable;
    unansweredStarts: UnansweredStarts;
    health: WorkerHealth;
    speeds: SpeedHistory;
    /** Configuration in force and availability zones out of service. */
    operator: () => OperatorState;
    /** Whether new orders may be sent. */
    mayOrder: () => boolean;
    /** Stores a job's progress; resolves with false if the term ended before that. */
    record: (job: JobState) => Promise<boolean>;
    /** Schedules a planning round. */
    requestRound: () => void;
    /** Whether the term has ended. */
    isTermOver: () => boolean;
}

/** Finds a task of a stored job; `undefined` if there is none. */
export const findTask = ({ jobs }: PlannerContext, { jobId, occurrence, step, index }: TaskId): TaskState | undefined =>
    jobs.get(jobId)?.units.get(unitKeyOf(occurrence, step))?.tasks[index];

/** Key of a run among all runs. */
export const runKey = (task: TaskId, run: number): string => `${taskKey(task)}#${run}`;

/** Fields of log lines about a run that say what stopping it now would throw away. */
export const describeRunWork = (task: TaskState, run: Run, nowMs: number) => ({
    priority: task.unit.job.submission.priority,
    ranMs: Math.round(nowMs - run.orderedAtMs),
    unsavedMs: Math.round(nowMs - (task.checkpoint === "" ? run.orderedAtMs : run.checkpointedAtMs)),
    cores: coreEquivalentsOf(task.unit.step.resources),
});

/** Creates an empty table of runs. */
export const createRunTable = (): RunTable => {
    const bySession = new Map<WorkerSession, Set<TaskState>>();
    const noTasks: ReadonlySet<TaskState> = new Set();
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
        tasksOn: session => bySession.get(session) ?? noTasks,
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
