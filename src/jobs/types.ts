import type { Adjacency } from "../configuration/types.js";

/** Resources that one task occupies on a worker. */
export interface TaskResources {
    milliCores: number;
    memoryMb: number;
    accelerators: number;
}

/** A set of like tasks of a job that run after other steps are done. */
export interface Step {
    taskCount: number;
    resources: TaskResources;
    /** Declared run time of a task; often far off. */
    estimateMs: number;
    /** Indexes of earlier steps that must be done first. */
    after: number[];
    /** Its tasks save their progress and can go on from it elsewhere. */
    checkpointing: boolean;
    /** Its tasks run together or not at all. */
    gang: boolean;
    /** Domain that the tasks of a gang share. */
    adjacency?: Adjacency;
    /** Rather runs slowed down across domains than not at all. */
    mayBeSpread: boolean;
    /** Label that a worker must have. */
    requiredLabel?: string;
    /** Rack where its data is; elsewhere its tasks are slowed down. */
    dataRack?: string;
    /** Tasks of one occurrence that may run on one worker. */
    maxPerWorker?: number;
    /** Copies of a task may run at the same time. */
    speculative: boolean;
    /** Its tasks run until the job is cancelled and are restarted however they end. */
    longRunning: boolean;
    /** What its tasks run; tasks of one image behave alike. */
    image?: string;
    /** Bound on the tail of the response times of tasks that serve their own users. */
    targetMs?: number;
    /** Its cores come from what other tasks leave unused and are not counted. */
    fillsIdleCores: boolean;
    /** Tasks that may be taken away at the same time by decisions of the scheduler. */
    maxUnavailable?: number;
}

/** A job as it was accepted; never changes. */
export interface JobSubmission {
    id: string;
    /** Name of the queue that it was submitted to. */
    queue: string;
    /** Pool of workers that runs it. */
    service: string;
    /** Absent for a queue that needs no key. */
    customer?: string;
    /** 0 goes first and may displace others. */
    priority: number;
    /** Runs of a task that may fail before the job fails. */
    maxAttempts: number;
    /** Completion objective: this many times the longest chain of work ... */
    slackFactor: number;
    /** ... and this much more. */
    targetLatencyMs: number;
    /** Times its objective after which completing it is of no use. @default it always is of some */
    uselessAfterObjectives?: number;
    /** Description of the work, passed to workers unread. */
    spec: string;
    steps: Step[];
    /** Occurrences at set times; 0 for a job that runs once, at once. */
    repeatCount: number;
    /** Wall-clock time of the first occurrence. */
    startAtMs: number;
    intervalMs: number;
    /** Wall-clock time of acceptance, by the accepting VM. */
    acceptedAtMs: number;
}

/** State of a job as shown to its customer. */
export enum JobPhase {
    Queued = "queued",
    Running = "running",
    Succeeded = "succeeded",
    Failed = "failed",
    Cancelled = "cancelled",
}

/** Whether nothing of the job will run any more. */
export const isEnded = (phase: JobPhase): boolean =>
    phase === JobPhase.Succeeded || phase === JobPhase.Failed || phase === JobPhase.Cancelled;

/** Names one task of one occurrence of a job. */
export interface TaskId {
    jobId: string;
    occurrence: number;
    step: number;
    index: number;
}

/** A started run of a task, as recorded before the order is sent. */
export interface RecordedRun {
    index: number;
    /** Rises with each start of the task; the members of a gang share it. */
    run: number;
    workerId: string;
    /** Incarnation of the worker. */
    bornMs: number;
}

/** What is recorded of the tasks of one step and occurrence. */
export interface UnitRecord {
    /** All tasks are done; the other fields are empty then. */
    complete: boolean;
    /** Indexes of done tasks. */
    done: number[];
    /** Runs that failed, by task index; those of a gang stand under index 0. */
    failedRuns: Record<string, number[]>;
    /** Last saved progress, by task index. */
    checkpoints: Record<string, string>;
    runs: RecordedRun[];
}

/** What is recorded of a job's progress; only the planner writes it. */
export interface JobRecord {
    /** Counts the writes of the record, so that a writer recognises its own. */
    sequence: number;
    /** Term of the planner that wrote it. */
    term: number;
    phase: JobPhase;
    /** Wall-clock time of the end. */
    endedAtMs?: number;
    /** Why it ended, for people. */
    reason?: string;
    /** By `occurrence.step`. */
    units: Record<string, UnitRecord>;
}
