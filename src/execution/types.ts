import type { TaskId, TaskResources } from "../jobs/types.js";
import type { Result } from "../utils/result.js";

/** What one incarnation of a worker, a single run of its process, publishes about itself. */
export interface WorkerDescriptor {
    id: string;
    /** Service whose pool of workers it belongs to. */
    service: string;
    /** `host:port` of its control interface. */
    address: string;
    availabilityZone: string;
    /** Labels that steps can require, including the rack. */
    labels: string[];
    rack: string;
    capacity: TaskResources;
    /** Wall-clock time at which its process started; identifies the incarnation. */
    bornMs: number;
    /** Whether it is about to shut down and must not be assigned new runs. */
    draining: boolean;
    /** Earliest time at which a draining worker shuts down, on this VM's monotonic clock. */
    leavesAtMs?: number;
}

/** The platform's list of workers; kept up to date between `start` and `stop`, while this VM is the planner. */
export interface WorkerDirectory {
    start(): void;
    stop(): void;
    /** Listed workers by id. */
    workers(): ReadonlyMap<string, WorkerDescriptor>;
    /** Adds a listener that is called when the list has changed. */
    onChange(listener: () => void): void;
}

/** A run in progress, as its worker reports it. */
export interface ReportedRun {
    task: TaskId;
    /** Number of the run; grows with each run of the task. */
    run: number;
    /** Last checkpoint; empty if there is none. */
    checkpoint: string;
    /** Completed share of the work in percent, 0 to 100. */
    percent: number;
    /** Tail latency in milliseconds for a serving task, otherwise the CPU in use in milli-cores. */
    usage: number;
}

/** Why a run ended. */
export enum EndKind {
    /** It completed its work. */
    Done = "done",
    /** The task or the worker failed. */
    Failed = "failed",
    /** The planner ordered it to stop. */
    Stopped = "stopped",
    /** The lease of the worker's runs expired. */
    Lapsed = "lapsed",
    /** Another member of its gang ended. */
    Broken = "broken",
    /** The other members of its gang did not start in time. */
    Alone = "alone",
}

/** An ended run; the worker reports it until it is acknowledged. */
export interface EndedRun {
    /** Position among the ended runs of the incarnation, from 1. */
    number: number;
    task: TaskId;
    run: number;
    kind: EndKind;
    /** Last checkpoint; empty if there is none. */
    checkpoint: string;
}

/** The runs of a worker, as its answer to a {@link HoldOrder} reports them. */
export interface WorkerReport {
    /** Reading of the worker's monotonic clock. */
    clockMs: number;
    bornMs: number;
    running: ReportedRun[];
    /** Ended runs that are not acknowledged yet, as many as one answer lists; the others follow once these are. */
    ended: EndedRun[];
    /** Whether `ended` certainly lists all of them. */
    endsComplete: boolean;
}

/** Progress of a run whose work is complete. */
export const completePercent = 100;

/** Order to start a run of a task. */
export interface StartOrder {
    task: TaskId;
    run: number;
    /** Specification of the work, passed on from the submission. */
    spec: string;
    /** End of the lease of all runs on the worker, on the worker's clock. */
    untilClockMs: number;
    /** Checkpoint to resume from; empty to start from the beginning. */
    checkpoint: string;
    fencingToken: number;
    /** Number of members of its gang, which make progress only together. @default the task is in no gang */
    gangSize?: number;
    /** Permit for queues whose policy restricts workers. */
    ticket?: string;
    /** Time after which the order counts as unanswered. @default that of all orders */
    answerTimeoutMs?: number;
}

/** Order that renews the lease of the runs, acknowledges ended runs and requests a report. */
export interface HoldOrder {
    fencingToken: number;
    /** Highest number of an ended run up to which all are recorded. */
    acknowledged: number;
    /** New end of the lease, on the worker's clock. @default the lease is not renewed */
    untilClockMs?: number;
    /** Time for which the worker may wait for a run to end before it answers. @default it answers immediately */
    waitMs?: number;
}

/** Why a worker refused an order. */
export enum Refusal {
    /** The worker has seen a higher fencing token. */
    Fenced = "fenced",
    /** This run or a later one of the task was stopped or has ended on the worker. */
    OldRun = "oldRun",
    /** The lease in the order has already expired. */
    Late = "late",
    /** The free resources do not suffice. */
    NoRoom = "noRoom",
    /** The queue's policy requires a permit that the order does not carry. */
    NoTicket = "noTicket",
    /** The worker is unhealthy and did not carry out the order. */
    Unhealthy = "unhealthy",
    /** Another incarnation answers at the address. */
    OtherIncarnation = "otherIncarnation",
    /** The order is malformed or not supported. */
    Invalid = "invalid",
}

/** Answer to an order that was carried out. */
export interface OrderAnswer {
    /** Reading of the worker's monotonic clock. @default the answer held none */
    clockMs?: number;
}

/** Why an order has no successful outcome. */
export type OrderError =
    | { kind: "refused"; refusal: Refusal; clockMs?: number; detail: string; }
    /** No answer arrived: the worker may have carried the order out, or still may. */
    | { kind: "noAnswer"; detail: string; };

/** Whether an order was answered, so that it is not carried out any more if it was not before. */
export const isAnswered = (result: Result<unknown, OrderError>): boolean =>
    result.ok || result.error.kind === "refused";

/** Sends orders to one incarnation of a worker; every answer carries a reading of the worker's clock. */
export interface WorkerClient {
    start(order: StartOrder): Promise<Result<OrderAnswer, OrderError>>;
    /** Stops a run, or prevents its start if the start order arrives later. */
    stop(task: TaskId, run: number, fencingToken: number): Promise<Result<OrderAnswer, OrderError>>;
    /** Renews the lease, acknowledges ended runs and resolves with a report. */
    hold(order: HoldOrder): Promise<Result<WorkerReport, OrderError>>;
    /** Throttles a run to a share of its full rate of work, in percent. */
    pace(task: TaskId, run: number, percent: number, fencingToken: number): Promise<Result<OrderAnswer, OrderError>>;
    /** Closes the connections. */
    close(): void;
}
