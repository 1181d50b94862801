import type { WorkerSession } from "../execution/session.js";
import { JobPhase } from "./types.js";
import type { JobRecord, JobSubmission, Step, TaskId, UnitRecord } from "./types.js";

/** Phases of a run from the planner's point of view. */
export enum RunPhase {
    /** Its record is being written; the order to start is not sent yet. */
    Recording = "recording",
    Starting = "starting",
    /** It may be running: the order to start got no answer, or an earlier planner sent it. */
    Unknown = "unknown",
    Running = "running",
    Stopping = "stopping",
}

/** A run of a task on a worker. */
export interface Run {
    number: number;
    worker: WorkerSession;
    phase: RunPhase;
    /** Monotonic time at which the order to start was sent; until then, at which the task was placed. */
    orderedAtMs: number;
    /**
     * Monotonic time of the answer to the latest order (start or stop), infinite before; reports that are requested
     * later show its effect.
     */
    orderAnsweredAtMs: number;
    /** Completed share of the work in percent, as last reported. */
    percent: number;
    /** Last reported tail latency in milliseconds for tasks that serve requests, else milli-cores in use. */
    usage: number;
    /** Monotonic time at which its checkpoint last changed. */
    checkpointedAtMs: number;
    /** Monotonic time at which the worker first listed it as running. */
    firstListedAtMs?: number;
}

/** State of one task of a unit. */
export interface TaskState {
    unit: Unit;
    index: number;
    done: boolean;
    /** Numbers of its failed runs; those of a gang are stored in its first task. */
    failedRuns: Set<number>;
    /** Latest checkpoint; empty if there is none. */
    checkpoint: string;
    /** Highest run number used so far. */
    lastRunNumber: number;
    /** Current run; unset if no run of it may be active. */
    run?: Run;
}

/** The tasks of one step in one occurrence of a job. */
export interface Unit {
    /** `jobId.occurrence.step`, unique among all jobs. */
    key: string;
    job: JobState;
    occurrence: number;
    stepIndex: number;
    step: Step;
    /** Wall-clock time from which its tasks may run. */
    dueAtMs: number;
    /** Monotonic time since which its tasks can be started; unset while earlier steps are not complete. */
    readySinceMs?: number;
    /** Monotonic time since which some of its tasks have waited in every round; unset while none waits. */
    waitingSinceMs?: number;
    tasks: TaskState[];
    complete: boolean;
    /** Workers on which its tasks failed or stalled. */
    avoidedWorkers: Set<string>;
    /** Monotonic time until which its tasks wait rather than run on avoided workers; then these are the last choice. */
    mustAvoidUntilMs: number;
    /** Time spent in runs that failed under the present planner; the objective allows for the work to be repeated. */
    failedRunMs: number;
    /** Number of times that its runs were preempted. */
    evictions: number;
    /** Monotonic time before which its tasks are not started again. */
    notBeforeMs: number;
}

/** A job and its progress. */
export interface JobState {
    submission: JobSubmission;
    /** Whether its customer has cancelled it. */
    cancelled: boolean;
    phase: JobPhase;
    /** Human-readable reason for its end. */
    reason?: string;
    /** Wall-clock time of its end. */
    endedAtMs?: number;
    /** Sequence number of its latest record. */
    sequence: number;
    /** Version of its progress row; 0 if there is none. */
    recordVersion: number;
    /** By {@link unitKeyOf}. */
    units: Map<string, Unit>;
    /** Number of occurrences whose units have been created. */
    createdOccurrences: number;
}

/** Key of a unit within its job. */
export const unitKeyOf = (occurrence: number, stepIndex: number): string => `${occurrence}.${stepIndex}`;

/** Identifier of a task, as sent to workers. */
export const taskIdOf = (task: TaskState): TaskId => ({
    jobId: task.unit.job.submission.id,
    occurrence: task.unit.occurrence,
    step: task.unit.stepIndex,
    index: task.index,
});

/** Key of a task: `jobId.occurrence.step.index`, for maps and log lines. */
export const taskKey = (task: TaskId): string => `${task.jobId}.${task.occurrence}.${task.step}.${task.index}`;

const createUnit = (job: JobState, occurrence: number, stepIndex: number, dueAtMs: number): Unit => {
    const step = job.submission.steps[stepIndex];
    const unit: Unit = {
        key: `${job.submission.id}.${unitKeyOf(occurrence, stepIndex)}`,
        job,
        occurrence,
        stepIndex,
        step,
        dueAtMs,
        tasks: [],
        complete: false,
        avoidedWorkers: new Set(),
        mustAvoidUntilMs: Number.NEGATIVE_INFINITY,
        failedRunMs: 0,
        evictions: 0,
        notBeforeMs: Number.NEGATIVE_INFINITY,
    };
    for (let index = 0; index < step.taskCount; index++) {
        unit.tasks.push({ unit, index, done: false, failedRuns: new Set(), checkpoint: "", lastRunNumber: 0 });
    }
    return unit;
};

/** Wall-clock time at which an occurrence is due. */
export const dueAtMs = (job: JobSubmission, occurrence: number): number =>
    job.repeatCount === 0 ? job.acceptedAtMs : job.startAtMs + occurrence * job.intervalMs;

/** Number of occurrences of a job. */
export const occurrenceCount = (job: JobSubmission): number => Math.max(1, job.repeatCount);

/** Creates the units of a job's next occurrence. */
export const addOccurrence = (job: JobState): void => {
    const occurrence = job.createdOccurrences;
    job.createdOccurrences += 1;
    job.submission.steps.forEach((_, stepIndex) => {
        const unit = createUnit(job, occurrence, stepIndex, dueAtMs(job.submission, occurrence));
        job.units.set(unitKeyOf(occurrence, stepIndex), unit);
    });
};

/** Wall-clock time at which the next occurrence to be created is due; infinite after the last. */
export const nextDueAtMs = (job: JobState): number =>
    job.createdOccurrences >= occurrenceCount(job.submission)
        ? Number.POSITIVE_INFINITY
        : dueAtMs(job.submission, job.createdOccurrences);

/** Returns the session of a recorded worker, by its id and incarnation. */
export type FindSession = (workerId: string, bornMs: number) => WorkerSession;

const restoreUnit = (unit: Unit, record: UnitRecord, findSession: FindSession, nowMs: number): void => {
    unit.complete = record.complete;
    record.done.forEach(index => {
        unit.tasks[index].done = true;
    });
    for (const task of unit.tasks) {
        task.done ||= record.complete;
        task.failedRuns = new Set(record.failedRuns[task.index] ?? []);
        task.checkpoint = record.checkpoints[task.index] ?? "";
        task.lastRunNumber = Math.max(0, ...task.failedRuns);
    }
    for (const recorded of record.runs) {
        const task = unit.tasks[recorded.index];
        task.lastRunNumber = Math.max(task.lastRunNumber, recorded.run);
        task.run = {
            number: recorded.run,
            worker: findSession(recorded.workerId, recorded.bornMs),
            phase: RunPhase.Unknown,
            orderedAtMs: nowMs,
            orderAnsweredAtMs: nowMs,
            percent: 0,
            usage: 0,
            checkpointedAtMs: nowMs,
        };
    }
};

/** Restores the state of a job from its rows; whether its recorded runs are alive is not known yet. */
export const restoreJob = (
    submission: JobSubmission,
    record: JobRecord | undefined,
    recordVersion: number,
    cancelled: boolean,
    findSession: FindSession,
    nowMs: number,
): JobState => {
    const job: JobState = {
        submission,
        cancelled,
        phase: record?.phase ?? JobPhase.Queued,
        reason: record?.reason,
        endedAtMs: record?.endedAtMs,
        sequence: record?.sequence ?? 0,
        recordVersion,
        units: new Map(),
        createdOccurrences: 0,
    };
    const recordedOccurrences = Object.keys(record?.units ?? {}).map(key => Number(key.split(".")[0]));
    const occurrencesToCreate = submission.repeatCount === 0 ? 1 : Math.max(-1, ...recordedOccurrences) + 1;
    while (job.createdOccurrences < occurrencesToCreate) {
        addOccurrence(job);
    }
    for (const [key, unitRecord] of Object.entries(record?.units ?? {})) {
        const unit = job.units.get(key);
        if (unit !== undefined) {
            restoreUnit(unit, unitRecord, findSession, nowMs);
        }
    }
    return job;
};

const toUnitRecord = (unit: Unit): UnitRecord => {
    const record: UnitRecord = { complete: unit.complete, done: [], failedRuns: {}, checkpoints: {}, runs: [] };
    for (const task of unit.tasks) {
        if (task.done && !unit.complete) {
            record.done.push(task.index);
        }
        if (task.failedRuns.size > 0) {
            record.failedRuns[task.index] = [...task.failedRuns];
        }
        if (task.checkpoint !== "" && !task.done) {
            record.checkpoints[task.index] = task.checkpoint;
        }
        if (task.run !== undefined) {
            const { number, worker } = task.run;
            record.runs.push({ index: task.index, run: number, workerId: worker.id, bornMs: worker.bornMs });
        }
    }
    return record;
};

/** Converts the progress of a job to the form in which it is stored. */
export const toJobRecord = (job: JobState, term: number): JobRecord => ({
    sequence: job.sequence,
    term,
    phase: job.phase,
    endedAtMs: job.endedAtMs,
    reason: job.reason,
    units: Object.fromEntries([...job.units].map(([key, unit]) => [key, toUnitRecord(unit)])),
});

/** Members of a task's gang, itself included; just the task if it is in none. */
export const gangMembersOf = (task: TaskState): readonly TaskState[] => task.unit.step.gang ? task.unit.tasks : [task];

/** Whether all steps that a unit depends on are complete. */
export const areDependenciesComplete = (unit: Unit): boolean =>
    unit.step.after.every(earlier => unit.job.units.get(unitKeyOf(unit.occurrence, earlier))?.complete === true);

/** Whether every occurrence of the job is complete. */
export const isJobComplete = (job: JobState): boolean =>
    job.createdOccurrences >= occurrenceCount(job.submission) && [...job.units.values()].every(unit => unit.complete);

/** Runs of a job that are not known to have ended. */
export const activeRuns = (job: JobState): { task: TaskState; run: Run; }[] =>
    [...job.units.values()].flatMap(unit =>
        unit.tasks.flatMap(task => task.run === undefined ? [] : [{ task, run: task.run }])
    );
