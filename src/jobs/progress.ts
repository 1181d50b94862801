import type { WorkerSession } from "../execution/session.js";
import { JobPhase } from "./types.js";
import type { JobRecord, JobSubmission, Step, TaskId, UnitRecord } from "./types.js";

/** Phases of a run, as the planner knows it. */
export enum RunPhase {
    /** Its record is being written; nothing was ordered yet. */
    Recording = "recording",
    Starting = "starting",
    /** The start got no answer, or an earlier planner ordered it. */
    Unknown = "unknown",
    Running = "running",
    Stopping = "stopping",
}

/** One run of a task. */
export interface Run {
    number: number;
    worker: WorkerSession;
    phase: RunPhase;
    /** Steady time of the order to start. */
    orderedAtMs: number;
    /** Steady time at which the latest order (start or stop) was answered; reports sent later show its effect. */
    answeredAtMs: number;
    /** Share of the work that is done, as last listed. */
    percent: number;
    usage: number;
    /** Steady time of the last change of its checkpoint. */
    savedAtMs: number;
    /** Steady time at which it was first listed as running. */
    seenAtMs?: number;
}

/** One task of a unit. */
export interface TaskState {
    unit: Unit;
    index: number;
    done: boolean;
    failedRuns: Set<number>;
    /** Last saved progress; empty if there is none. */
    checkpoint: string;
    /** Highest run number ever used. */
    lastRun: number;
    run?: Run;
}

/** The tasks of one step in one occurrence of a job. */
export interface Unit {
    key: string;
    job: JobState;
    occurrence: number;
    stepIndex: number;
    step: Step;
    /** Wall-clock time from which it may run. */
    dueAtMs: number;
    /** Steady time since which its tasks can be started; unset while earlier steps are not done. */
    readySinceMs?: number;
    tasks: TaskState[];
    complete: boolean;
    /** Workers on which its tasks failed. */
    avoid: Set<string>;
    /** Steady time until which it rather waits than run on one of these. */
    avoidUntilMs: number;
    evictions: number;
    /** Steady time before which it is not started again. */
    notBeforeMs: number;
}

/** A job with its progress. */
export interface JobState {
    submission: JobSubmission;
    cancelled: boolean;
    phase: JobPhase;
    reason?: string;
    endedAtMs?: number;
    sequence: number;
    recordVersion: number;
    units: Map<string, Unit>;
    /** Occurrences whose units exist. */
    occurrences: number;
}

/** Key of a unit within its job. */
export const unitKeyOf = (occurrence: number, stepIndex: number): string => `${occurrence}.${stepIndex}`;

/** Names a task. */
export const taskIdOf = (task: TaskState): TaskId => ({
    jobId: task.unit.job.submission.id,
    occurrence: task.unit.occurrence,
    step: task.unit.stepIndex,
    index: task.index,
});

/** Renders a task's name for log lines and maps. */
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
        avoid: new Set(),
        avoidUntilMs: Number.NEGATIVE_INFINITY,
        evictions: 0,
        notBeforeMs: Number.NEGATIVE_INFINITY,
    };
    for (let index = 0; index < step.taskCount; index++) {
        unit.tasks.push({ unit, index, done: false, failedRuns: new Set(), checkpoint: "", lastRun: 0 });
    }
    return unit;
};

/** Wall-clock time at which an occurrence is due. */
export const dueAtMs = (job: JobSubmission, occurrence: number): number =>
    job.repeatCount === 0 ? job.acceptedAtMs : job.startAtMs + occurrence * job.intervalMs;

/** Number of occurrences of a job. */
export const occurrenceCount = (job: JobSubmission): number => Math.max(1, job.repeatCount);

/** Adds the units of the next occurrence. */
export const addOccurrence = (job: JobState): void => {
    const occurrence = job.occurrences;
    job.occurrences += 1;
    job.submission.steps.forEach((_, stepIndex) => {
        const unit = createUnit(job, occurrence, stepIndex, dueAtMs(job.submission, occurrence));
        job.units.set(unitKeyOf(occurrence, stepIndex), unit);
    });
};

/** Wall-clock time at which the next occurrence without units is due. */
export const nextDueAtMs = (job: JobState): number =>
    job.occurrences >= occurrenceCount(job.submission)
        ? Number.POSITIVE_INFINITY
        : dueAtMs(job.submission, job.occurrences);

/** Finds a session for a recorded worker. */
export type FindWorker = (workerId: string, bornMs: number) => WorkerSession;

const restoreUnit = (unit: Unit, record: UnitRecord, findWorker: FindWorker, nowMs: number): void => {
    unit.complete = record.complete;
    record.done.forEach(index => {
        unit.tasks[index].done = true;
    });
    for (const task of unit.tasks) {
        task.done ||= record.complete;
        task.failedRuns = new Set(record.failedRuns[task.index] ?? []);
        task.checkpoint = record.checkpoints[task.index] ?? "";
        task.lastRun = Math.max(0, ...task.failedRuns);
    }
    for (const recorded of record.runs) {
        const task = unit.tasks[recorded.index];
        task.lastRun = Math.max(task.lastRun, recorded.run);
        task.run = {
            number: recorded.run,
            worker: findWorker(recorded.workerId, recorded.bornMs),
            phase: RunPhase.Unknown,
            orderedAtMs: nowMs,
            answeredAtMs: nowMs,
            percent: 0,
            usage: 0,
            savedAtMs: nowMs,
        };
    }
};

/** Builds the state of a job from its rows. */
export const restoreJob = (
    submission: JobSubmission,
    record: JobRecord | undefined,
    recordVersion: number,
    cancelled: boolean,
    findWorker: FindWorker,
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
        occurrences: 0,
    };
    const recorded = Object.keys(record?.units ?? {}).map(key => Number(key.split(".")[0]));
    const present = submission.repeatCount === 0 ? 1 : Math.max(-1, ...recorded) + 1;
    while (job.occurrences < present) {
        addOccurrence(job);
    }
    for (const [key, unitRecord] of Object.entries(record?.units ?? {})) {
        const unit = job.units.get(key);
        if (unit !== undefined) {
            restoreUnit(unit, unitRecord, findWorker, nowMs);
        }
    }
    return job;
};

const recordUnit = (unit: Unit): UnitRecord => {
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

/** Builds the record of a job's progress. */
export const recordJob = (job: JobState, term: number): JobRecord => ({
    sequence: job.sequence,
    term,
    phase: job.phase,
    endedAtMs: job.endedAtMs,
    reason: job.reason,
    units: Object.fromEntries([...job.units].map(([key, unit]) => [key, recordUnit(unit)])),
});

/** The members of a task's gang, or the task alone. */
export const membersWith = (task: TaskState): readonly TaskState[] => task.unit.step.gang ? task.unit.tasks : [task];

/** Whether all earlier steps of a unit are done. */
export const isReleased = (unit: Unit): boolean =>
    unit.step.after.every(earlier => unit.job.units.get(unitKeyOf(unit.occurrence, earlier))?.complete === true);

/** Whether every occurrence of the job is complete. */
export const isJobComplete = (job: JobState): boolean =>
    job.occurrences >= occurrenceCount(job.submission) && [...job.units.values()].every(unit => unit.complete);

/** Runs of a job that are not known to have ended. */
export const activeRuns = (job: JobState): { task: TaskState; run: Run; }[] =>
    [...job.units.values()].flatMap(unit =>
        unit.tasks.flatMap(task => task.run === undefined ? [] : [{ task, run: task.run }])
    );
