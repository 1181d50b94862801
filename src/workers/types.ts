import type { Member, Resources } from "../scheduling/types.js";
import type { Result } from "../utils/result.js";

/** Identifies one placement of a job on workers. */
export interface GangKey {
    jobId: string;
    attempt: number;
    /** Planner that placed it; holds of different planners never mix. */
    planner: string;
}

/** Reserves resources on one worker for a while. */
export interface HoldRequest extends GangKey {
    taskCount: number;
    resourcesPerTask: Resources;
    /** The hold expires after this time unless the tasks were started. */
    holdMs: number;
}

/** Starts the held tasks; they wait at the barrier until a renewal releases them. */
export interface StartRequest extends GangKey {
    members: Member[];
    leaseMs: number;
    /** Progress of the last checkpoint to go on from. */
    resumeFromMs: number;
    /** Opaque description of the work. */
    work: unknown;
}

/** Renews the lease of one gang's tasks on one worker. */
export interface RenewRequest {
    jobId: string;
    attempt: number;
    /** Releases tasks that wait at the barrier. */
    release: boolean;
}

/** State of a gang's tasks on one worker. */
export enum TaskState {
    /** Resources are held; nothing has started. */
    Held = "held",
    /** Started, waiting at the barrier. */
    Ready = "ready",
    Running = "running",
    Finished = "finished",
    Failed = "failed",
}

/** A gang's tasks on one worker, as the worker reports them. */
export interface TaskReport extends GangKey {
    state: TaskState;
    taskCount: number;
    members: Member[];
    /** Progress saved by the last checkpoint. */
    checkpointedMs: number;
    /** Progress so far; what lies past the checkpoint is lost if the task is stopped. */
    progressMs: number;
}

/** What a worker says of itself. */
export interface WorkerReport {
    name: string;
    availabilityZone: string;
    rack: string;
    capacity: Resources;
    leaving: boolean;
    tasks: TaskReport[];
}

/** Kinds of failure of a request to a worker. */
export enum WorkerErrorKind {
    /** Not reached; nothing took effect. */
    Unreachable = "unreachable",
    /** No answer; it may have taken effect. */
    NoAnswer = "noAnswer",
    /** Refused; nothing took effect. */
    Refused = "refused",
}

/** Failure of a request to a worker. */
export interface WorkerError {
    kind: WorkerErrorKind;
    detail: string;
}

/** Answer to a renewal. */
export interface RenewReply {
    /** Every task on the worker. */
    tasks: TaskReport[];
    leaving: boolean;
}

/** Control of one worker's tasks. */
export interface WorkerClient {
    report(): Promise<Result<WorkerReport, WorkerError>>;
    hold(request: HoldRequest): Promise<Result<unknown, WorkerError>>;
    release(gang: GangKey): Promise<Result<unknown, WorkerError>>;
    start(request: StartRequest): Promise<Result<unknown, WorkerError>>;
    /** Renews the named gangs and answers with every task on the worker. */
    renew(gangs: RenewRequest[], leaseMs: number): Promise<Result<RenewReply, WorkerError>>;
    /** Asks the tasks to save their progress; answers once saved. */
    checkpoint(gangs: { jobId: string; attempt: number; }[]): Promise<Result<{ tasks: TaskReport[]; }, WorkerError>>;
    /** Stops tasks and refuses any later start of the same or an earlier attempt. */
    stop(gangs: { jobId: string; attempt: number; }[]): Promise<Result<unknown, WorkerError>>;
}

/** Finds the client of a worker by its address. */
export type WorkerClients = (httpAddress: string) => WorkerClient;
