import type { WorkerSession } from "../execution/session.js";
import type { StoredJob } from "./projection.js";
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
    /** Monotonic time of the latest order's answer, infinite before; reports that are requested later show its effect. */
    orderAnsweredAtMs: number;
    /** Completed share of the work in percent, as last reported. */
    percent: number;
    /** Monotonic time of the latest report of it. @default it was not listed yet */
    reportedAtMs?: number;
    /** Last reported tail latency in milliseconds for tasks that serve requests, else milli-cores in use. */
    usage: number;
    /** Checkpoint that it started from or last reported itself. @default not known */
    ownCheckpoint?: string;
    /** Monotonic time at which its checkpoint last changed. */
    checkpointedAtMs: number;
    /** Monotonic time at which the worker first listed it as running. */
    firstListedAtMs?: number;
    /** Whether the answer to the order to start certainly came from the worker's incarnation. @default false */
    startConfirmed?: boolean;
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
    /** Wall-clock time from which its tasks may run; unset for a job without scheduled occurrences. */
    dueAtMs?: number;
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
    /** Monotonic time until which it preempts nothing, as it was moved from a worker that is about to leave. */
    holdsPreemptionUntilMs: number;
}

/** A job and its progress. */
export interface JobState {
    submission: JobSubmission;
    /** Version of the submission's row; another one belongs to a job that was submitted again after its deletion. */
    submissionVersion: number;
    /** Estimated monotonic time of acceptance, which a step of the wall clock does not change. */
    acceptedAtMs: number;
    /** Whether its customer has cancelled it. */
    cancelled: boolean;
    phase: JobPhase;
    /** Whether a worker has confirmed the start of one of its tasks; a placement may still be refused. */
    hasStarted: boolean;
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
    /** Monotonic time at which this planner last created an occurrence that had become due. */
    occurrenceAddedAtMs?: number;
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

const createUnit = (job: JobState, occurrence: number, stepIndex: number): Unit => {
    const step = job.submission.steps[stepIndex];
    const unit: Unit = {
        key: `${job.submission.id}.${unitKeyOf(occurrence, stepIndex)}`,
        job,
        occurrence,
        stepIndex,
        step,
        dueAtMs: dueAtMs(job.submission, occurrence),
        tasks: [],
        complete: false,
        avoidedWorkers: new Set(),
        mustAvoidUntilMs: Number.NEGATIVE_INFINITY,
        failedRunMs: 0,
        evictions: 0,
        notBeforeMs: Number.NEGATIVE_INFINITY,
        holdsPreemptionUntilMs: Number.NEGATIVE_INFINITY,
    };
    for (let index = 0; index < step.taskCount; index++) {
        unit.tasks.push({ unit, index, done: false, failedRuns: new Set(), checkpoint: "", lastRunNumber: 0 });
    }
    return unit;
};

/** Wall-clock time at which an occurrence is due; `undefined` for a job without scheduled occurrences. */
const dueAtMs = (job: JobSubmission, occurrence: number): number | undefined =>
    job.repeatCount === 0 ? undefined : job.startAtMs + occurrence * job.intervalMs;

/** Number of occurrences of a job. */
export const occurrenceCount = (job: JobSubmission): number => Math.max(1, job.repeatCount);

/** Creates the units of a job's next occurrence. */
const addOccurrence = (job: JobState): void => {
    const occurrence = job.createdOccurrences;
    job.createdOccurrences += 1;
    job.submission.steps.forEach((_, stepIndex) => {
        job.units.set(unitKeyOf(occurrence, stepIndex), createUnit(job, occurrence, stepIndex));
    });
};

/** Tasks in the incomplete units of one job beyond which no further occurrence starts: its record has to fit a row. */
const maxOpenTasks = 600;

const countOpenTasks = (job: JobState): number =>
    [...job.units.values()].reduce((sum, unit) => sum + (unit.complete ? 0 : unit.tasks.length), 0);

const isNextOccurrenceDue = ({ submission, createdOccurrences }: JobState, wallMs: number): boolean =>
    createdOccurrences < occurrenceCount(submission) && (dueAtMs(submission, createdOccurrences) ?? wallMs) <= wallMs;

/** Creates the units of a job's occurrences that are due; `nowMs` is the monotonic time. */
export const addDueOccurrences = (job: JobState, wallMs: number, nowMs: number): void => {
    if (!isNextOccurrenceDue(job, wallMs)) {
        return;
    }
    const addedTasks = job.submission.steps.reduce((sum, step) => sum + step.taskCount, 0);
    let openTasks = countOpenTasks(job);
    while (isNextOccurrenceDue(job, wallMs) && (openTasks === 0 || openTasks + addedTasks <= maxOpenTasks)) {
        addOccurrence(job);
        job.occurrenceAddedAtMs = nowMs;
        openTasks += addedTasks;
    }
};

/** Returns the session of a recorded worker, by its id, incarnation and, if it is recorded, address. */
export type FindSession = (workerId: string, bornMs: number, address?: string) => WorkerSession;

/** Creates a run that may have been started on a worker; `orderedAtMs` is the monotonic time from which its work counts. */
export const createUnknownRun = (number: number, worker: WorkerSession, orderedAtMs: number): Run => ({
    number,
    worker,
    phase: RunPhase.Unknown,
    orderedAtMs,
    orderAnsweredAtMs: orderedAtMs,
    percent: 0,
    usage: 0,
    checkpointedAtMs: orderedAtMs,
});

const restoreUnit = (
    unit: Unit,
    record: UnitRecord,
    { findSession, nowMs }: RestoreJobOptions,
    addresses: Record<string, string> = {},
): void => {
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
        const worker = findSession(recorded.workerId, recorded.bornMs, addresses[recorded.workerId]);
        task.run = createUnknownRun(recorded.run, worker, nowMs);
    }
};

const completeUnitRecord: UnitRecord = { complete: true, done: [], failedRuns: {}, checkpoints: {}, runs: [] };

/** Calls `action` with the key of each unit that a record names in a range of complete occurrences. */
const forEachCompleteUnit = (record: JobRecord | undefined, action: (unitKey: string) => void): void => {
    for (const [stepIndex, ranges] of Object.entries(record?.completeOccurrences ?? {})) {
        for (const [first, last] of ranges) {
            for (let occurrence = first; occurrence <= last; occurrence++) {
                action(unitKeyOf(occurrence, Number(stepIndex)));
            }
        }
    }
};

/** Highest number of an occurrence in a record; -1 if there is none. */
const lastRecordedOccurrence = (record: JobRecord | undefined): number => {
    const ofUnits = Object.keys(record?.units ?? {}).map(key => Number(key.split(".")[0]));
    const ofRanges = Object.values(record?.completeOccurrences ?? {}).flatMap(ranges => ranges.map(([, last]) => last));
    return [...ofUnits, ...ofRanges].reduce((highest, occurrence) => Math.max(highest, occurrence), -1);
};

/** Whether a record shows that a task has run; runs that are not known to have ended may not have started. */
const hasRecordedWork = (record: JobRecord | undefined): boolean =>
    Object.keys(record?.completeOccurrences ?? {}).length > 0
    || Object.values(record?.units ?? {}).some(({ complete, done, failedRuns, checkpoints }) =>
        complete || done.length > 0 || Object.keys(failedRuns).length > 0 || Object.keys(checkpoints).length > 0
    );

/** Options of {@link restoreJob}. */
export interface RestoreJobOptions {
    findSession: FindSession;
    /** Monotonic time. */
    nowMs: number;
    /** Estimated time since the job was accepted. */
    ageMs: number;
}

/** Restores the state of a job from its rows; whether its recorded runs are alive is not known yet. */
export const restoreJob = (
    submission: JobSubmission,
    { submissionVersion, record, recordVersion, cancelled }: Omit<StoredJob, "submission">,
    options: RestoreJobOptions,
): JobState => {
    const { nowMs, ageMs } = options;
    const job: JobState = {
        submission,
        submissionVersion,
        acceptedAtMs: nowMs - ageMs,
        cancelled,
        phase: record?.phase ?? JobPhase.Queued,
        hasStarted: hasRecordedWork(record),
        reason: record?.reason,
        endedAtMs: record?.endedAtMs,
        sequence: record?.sequence ?? 0,
        recordVersion,
        units: new Map(),
        createdOccurrences: 0,
    };
    const occurrencesToCreate = submission.repeatCount === 0 ? 1 : lastRecordedOccurrence(record) + 1;
    while (job.createdOccurrences < occurrencesToCreate) {
        addOccurrence(job);
    }
    forEachCompleteUnit(record, unitKey => {
        const unit = job.units.get(unitKey);
        if (unit !== undefined) {
            restoreUnit(unit, completeUnitRecord, options);
        }
    });
    for (const [key, unitRecord] of Object.entries(record?.units ?? {})) {
        const unit = job.units.get(key);
        if (unit !== undefined) {
            restoreUnit(unit, unitRecord, options, record?.addresses);
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

/** Addresses of the workers on which a job's runs are not known to have ended. */
const collectAddresses = (job: JobState): Record<string, string> =>
    Object.fromEntries(
        activeRuns(job).flatMap(({ run: { worker } }) =>
            worker.address === undefined ? [] : [[worker.id, worker.address]]
        ),
    );

const isInitial = ({ complete, done, failedRuns, checkpoints, runs }: UnitRecord): boolean =>
    !complete && done.length === 0 && runs.length === 0 && Object.keys(failedRuns).length === 0
    && Object.keys(checkpoints).length === 0;

/** Adds an occurrence to ranges that end before it. */
const appendOccurrence = (ranges: [first: number, last: number][], occurrence: number): void => {
    const lastRange = ranges.at(-1);
    if (lastRange?.[1] === occurrence - 1) {
        lastRange[1] = occurrence;
    }
    else {
        ranges.push([occurrence, occurrence]);
    }
};

/** Converts the progress of a job to the form in which it is stored. */
export const toJobRecord = (job: JobState, term: number): JobRecord => {
    const units: Record<string, UnitRecord> = {};
    const completeOccurrences: Record<string, [first: number, last: number][]> = {};
    // in the order of their occurrences
    for (const [key, unit] of job.units) {
        // a run of a complete unit still has to be known
        const isPlainlyComplete = unit.complete && unit.tasks.every(task => task.run === undefined);
        if (job.submission.repeatCount > 0 && isPlainlyComplete) {
            appendOccurrence(completeOccurrences[unit.stepIndex] ??= [], unit.occurrence);
            continue;
        }
        const record = toUnitRecord(unit);
        if (!isInitial(record)) {
            units[key] = record;
        }
    }
    const { sequence, phase, endedAtMs, reason } = job;
    const record = { sequence, term, phase, endedAtMs, reason, units, addresses: collectAddresses(job) };
    return job.submission.repeatCount > 0 ? { ...record, completeOccurrences } : record;
};

/** Members of a task's gang, itself included; just the task if it is in none. */
export const gangMembersOf = (task: TaskState): readonly TaskState[] => task.unit.step.gang ? task.unit.tasks : [task];

/** Workers on which a task and the other members of its gang have runs. */
export const workersOf = (task: TaskState): WorkerSession[] =>
    gangMembersOf(task).flatMap(member => member.run === undefined ? [] : [member.run.worker]);

/** Whether all steps that a unit depends on are complete. */
export const areDependenciesComplete = (unit: Unit): boolean =>
    unit.step.after.every(earlier => unit.job.units.get(unitKeyOf(unit.occurrence, earlier))?.complete === true);

/** Whether every occurrence of the job is complete. */
export const isJobComplete = (job: JobState): boolean =>
    job.createdOccurrences >= occurrenceCount(job.submission) && [...job.units.values()].every(unit => unit.complete);

/** Shows a job as waiting again if none of its tasks has started and none is placed any more. */
export const requeueUnstarted = (job: JobState): void => {
    if (job.phase === JobPhase.Running && !job.hasStarted && activeRuns(job).length === 0) {
        job.phase = JobPhase.Queued;
    }
};

/** Runs of a job that are not known to have ended. */
export const activeRuns = (job: JobState): { task: TaskState; run: Run; }[] =>
    [...job.units.values()].flatMap(unit =>
        unit.tasks.flatMap(task => task.run === undefined ? [] : [{ task, run: task.run }])
    );
