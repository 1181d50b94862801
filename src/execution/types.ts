import type { TaskId, TaskResources } from "../jobs/types.js";
import type { Result } from "../utils/result.js";

/** One incarnation of a worker, as it describes itself. */
export interface WorkerView {
    id: string;
    /** Pool that it belongs to. */
    service: string;
    /** `host:port` of its control interface. */
    address: string;
    availabilityZone: string;
    /** Everything that a step may require, the rack among it. */
    labels: string[];
    rack: string;
    capacity: TaskResources;
    /** Wall-clock time of its start; names the incarnation. */
    bornMs: number;
    draining: boolean;
    /** Steady time of this VM before which it does not leave, while it drains. */
    leavesAtMs?: number;
}

/** The platform's list of workers, followed while this VM plans. */
export interface WorkerDirectory {
    start(): void;
    stop(): void;
    workers(): ReadonlyMap<string, WorkerView>;
    onChange(listener: () => void): void;
}

/** A task that runs on a worker, as listed by it. */
export interface RunningTask {
    task: TaskId;
    run: number;
    /** Last saved progress; empty if there is none. */
    checkpoint: string;
    /** Share of the work that is done. */
    percent: number;
    /** Tail of the response times in milliseconds for a task that serves, else milli-cores in use. */
    usage: number;
}

/** How a run ended. */
export enum EndKind {
    Done = "done",
    /** By its own fault or the worker's. */
    Failed = "failed",
    Stopped = "stopped",
    /** Its lease ended. */
    Lapsed = "lapsed",
    /** Another member of its gang ended. */
    Broken = "broken",
    /** The other members of its gang did not come in time. */
    Alone = "alone",
}

/** An ended run, listed until it is acknowledged. */
export interface EndedTask {
    /** Counts the ends of the incarnation from 1. */
    number: number;
    task: TaskId;
    run: number;
    kind: EndKind;
    checkpoint: string;
}

/** What a worker says about its runs. */
export interface WorkerReport {
    /** Steady clock of the worker. */
    clockMs: number;
    bornMs: number;
    running: RunningTask[];
    ended: EndedTask[];
}

/** Order to start a task. */
export interface StartOrder {
    task: TaskId;
    run: number;
    spec: string;
    /** Lease of everything on the worker, on the worker's clock. */
    untilClockMs: number;
    /** Empty to start from the beginning. */
    checkpoint: string;
    fencingToken: number;
    /** Members of its gang, which work only together. @default it is in no gang */
    gangSize?: number;
    /** Permit for queues whose policy restricts workers. */
    ticket?: string;
}

/** Order that renews the lease, acknowledges ends and asks what runs. */
export interface HoldOrder {
    fencingToken: number;
    /** Ends up to this number are recorded. */
    acknowledged: number;
    /** New end of the lease on the worker's clock. @default not renewed */
    untilClockMs?: number;
    /** Time to wait for an end. @default answers at once */
    waitMs?: number;
}

/** Why a worker refused an order. */
export enum Refusal {
    /** It has seen a higher fencing token. */
    Fenced = "fenced",
    /** This or a later run of the task was stopped or has ended there. */
    OldRun = "oldRun",
    /** The lease named in the order has passed. */
    Late = "late",
    NoRoom = "noRoom",
    NoTicket = "noTicket",
    /** The worker is not healthy; nothing was done. */
    Unhealthy = "unhealthy",
    /** Another incarnation answers at the address. */
    OtherIncarnation = "otherIncarnation",
    Invalid = "invalid",
}

/** Failure of an order. */
export type OrderError =
    | { kind: "refused"; refusal: Refusal; clockMs?: number; detail: string; }
    /** It may have been carried out or still be. */
    | { kind: "noAnswer"; detail: string; };

/** Sends orders to one incarnation of a worker; every answer carries the worker's clock. */
export interface WorkerClient {
    start(order: StartOrder): Promise<Result<{ clockMs: number; }, OrderError>>;
    stop(task: TaskId, run: number, fencingToken: number): Promise<Result<{ clockMs: number; }, OrderError>>;
    hold(order: HoldOrder): Promise<Result<WorkerReport, OrderError>>;
    /** Limits a task to a share of its work, in percent. */
    pace(task: TaskId, run: number, percent: number, fencingToken: number): Promise<
        Result<{ clockMs: number; }, OrderError>
    >;
    /** Closes the connections. */
    close(): void;
}
