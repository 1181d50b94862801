import type { Adjacency } from "../configuration/types.js";

/** Resources that one task occupies on a worker. */
export interface TaskResources {
    milliCores: number;
    memoryMb: number;
    accelerators: number;
}

/** A set of identical tasks of a job, which start once the steps it depends on are complete. */
export interface Step {
    taskCount: number;
    resources: TaskResources;
    /** Declared run time of a task; often inaccurate. */
    estimateMs: number;
    /** Indexes of the earlier steps that must be complete first. */
    after: number[];
    /** Its tasks save checkpoints and can resume from them on another worker. */
    checkpointing: boolean;
    /** Its tasks are started together or not at all (gang scheduling). */
    gang: boolean;
    /** Failure domain within which all tasks of a gang are placed. @default anywhere */
    adjacency?: Adjacency;
    /** Whether the gang may span several domains, where it runs slower, if no single domain can hold it. */
    mayBeSpread: boolean;
    /** Label that a worker must have. */
    requiredLabel?: string;
    /** Rack that holds its data; its tasks run slower elsewhere. */
    dataRack?: string;
    /** Limit of tasks of one occurrence on the same worker. @default no limit */
    maxPerWorker?: number;
    /** Whether copies of a task may run at the same time. */
    speculative: boolean;
    /** Its tasks run until the job is cancelled and are restarted whenever they end. */
    longRunning: boolean;
    /** Image that its tasks run; tasks with the same image behave alike. */
    image?: string;
    /** Objective for the tail latency of tasks that serve requests of their own users, in milliseconds. */
    targetMs?: number;
    /** Its tasks use cores that other tasks leave idle; their cores do not count as occupied. */
    fillsIdleCores: boolean;
    /** Limit of tasks that scheduling decisions may make unavailable at the same time. @default no limit */
    maxUnavailable?: number;
}

/** An accepted job; immutable. */
export interface JobSubmission {
    id: string;
    /** Name of the queue that it was submitted to. */
    queue: string;
    /** Pool of workers that runs it. */
    service: string;
    /** Absent for queues that accept jobs without an API key. */
    customer?: string;
    /** 0 is the most important and may preempt others. */
    priority: number;
    /** Number of failed runs of a task at which the job fails. */
    maxAttempts: number;
    /** Completion objective: this multiple of the steps' critical path ... */
    slackFactor: number;
    /** ... plus this time. */
    targetLatencyMs: number;
    /** Multiple of the objective after which completing the job has no value. @default never */
    uselessAfterObjectives?: number;
    /** Description of the work, passed to the workers as is. */
    spec: string;
    steps: Step[];
    /** Number of scheduled occurrences; 0 for a job that runs once, immediately. */
    repeatCount: number;
    /** Wall-clock time of the first occurrence. */
    startAtMs: number;
    /** Time between the starts of occurrences. */
    intervalMs: number;
    /** Wall-clock time of acceptance, by the clock of the accepting VM. */
    acceptedAtMs: number;
}

/** Phase of a job as reported to its customer. */
export enum JobPhase {
    Queued = "queued",
    Running = "running",
    Succeeded = "succeeded",
    Failed = "failed",
    Cancelled = "cancelled",
}

/** Whether the phase is terminal: no task of the job will start any more. */
export const isEnded = (phase: JobPhase): boolean =>
    phase === JobPhase.Succeeded || phase === JobPhase.Failed || phase === JobPhase.Cancelled;

/** Identifies a task of one occurrence of a job. */
export interface TaskId {
    jobId: string;
    occurrence: number;
    step: number;
    index: number;
}

/** A run of a task as it is stored, which happens before the order to start it is sent. */
export interface RecordedRun {
    /** Index of the task. */
    index: number;
    /** Run number; increases with each start of the task and is the same for all members of a gang. */
    run: number;
    workerId: string;
    /** Wall-clock time of the worker's start; identifies its incarnation. */
    bornMs: number;
}

/** Stored progress of a unit: the tasks of one step in one occurrence. */
export interface UnitRecord {
    /** All tasks are done; `done` and `checkpoints` are empty then. */
    complete: boolean;
    /** Indexes of done tasks. */
    done: number[];
    /** Numbers of failed runs, by task index; those of a gang are listed under index 0. */
    failedRuns: Record<string, number[]>;
    /** Latest checkpoints, by task index. */
    checkpoints: Record<string, string>;
    /** Runs that are not known to have ended. */
    runs: RecordedRun[];
}

/** Stored progress of a job; written only by the planner. */
export interface JobRecord {
    /** Number of the write; with `term` it lets a planner recognise its own write after an answer was lost. */
    sequence: number;
    /** Term of the planner that wrote it. */
    term: number;
    phase: JobPhase;
    /** Wall-clock time at which the job ended. */
    endedAtMs?: number;
    /** Human-readable reason for the end. */
    reason?: string;
    /** Units by key: `occurrence.step`; without those in their initial state and those in `completeOccurrences`. */
    units: Record<string, UnitRecord>;
    /**
     * Addresses of the workers in `units`, by id: a planner that takes over needs them if a worker is not listed then.
     * @default unknown
     */
    addresses?: Record<string, string>;
    /** Ranges of occurrences, both ends inclusive, in which a step is complete; by index of the step. @default none */
    completeOccurrences?: Record<string, [first: number, last: number][]>;
}
