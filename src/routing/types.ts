import type { Urgency } from "../configuration/types.js";

/** What is known about a call's execution when the caller is answered. */
export enum Outcome {
    /** It ran, and its complete result was received. */
    Done = "done",
    /** It did not run and cannot run later. */
    NotRun = "notRun",
    /** It may have run. */
    Unknown = "unknown",
}

/** A call of a service on behalf of a customer. */
export interface Call {
    customer: string;
    service: string;
    /** Idempotency key from the caller; required if the call may run at most once. */
    key?: string;
    body: unknown;
    urgency: Urgency;
    /** Whether a second run must be prevented; otherwise the call may be retried after an unknown outcome. */
    atMostOnce: boolean;
    /** Monotonic time by which the caller must be answered. */
    deadlineAtMs: number;
    /** Aborted when the caller disconnects. */
    callerGone: AbortSignal;
}

/** Answer to a call. */
export interface CallAnswer {
    outcome: Outcome;
    /** Result from the endpoint; only with the outcome `done`. */
    result?: unknown;
    /** Reason for an outcome other than `done`, for people. */
    detail?: string;
    /** HTTP status of the answer. */
    status: number;
    /** Value of the Retry-After header, in seconds. */
    retryAfterSeconds?: number;
}

/** Kinds of outcome of one attempt at one endpoint. */
export enum AttemptKind {
    Done = "done",
    /** Refused by the endpoint; it did not run. */
    Refused = "refused",
    /** It ran and failed. */
    Failed = "failed",
    /** The request did not leave this process. */
    NotSent = "notSent",
    /** Sent without a valid answer: it is unknown whether it ran. */
    Doubtful = "doubtful",
}

/** Outcome of one attempt at one endpoint. */
export type Attempt =
    | { kind: AttemptKind.Done; result: unknown; }
    | { kind: AttemptKind.Refused; reason: string; }
    | { kind: AttemptKind.Failed; reason: string; }
    | { kind: AttemptKind.NotSent; reason: string; }
    | { kind: AttemptKind.Doubtful; reason: string; };

/** State of a request when the endpoint fenced it, that is, prevented it from starting later. */
export enum FenceState {
    NeverRan = "neverRan",
    Running = "running",
    Ran = "ran",
}
