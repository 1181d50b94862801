import type { Urgency } from "../configuration/types.js";

/** What a caller can rely on about its request. */
export enum Outcome {
    /** It ran and the whole answer is there. */
    Done = "done",
    /** It did not run and cannot run later. */
    NotRun = "notRun",
    /** It may have run. */
    Unknown = "unknown",
}

/** A caller's request. */
export interface Call {
    customer: string;
    service: string;
    /** The caller's idempotency key, if it gave one. */
    key?: string;
    body: unknown;
    urgency: Urgency;
    atMostOnce: boolean;
    /** Monotonic time by which the caller wants its answer. */
    deadlineAtMs: number;
    /** Aborted when the caller has gone. */
    callerGone: AbortSignal;
}

/** The answer to a caller's request. */
export interface CallAnswer {
    outcome: Outcome;
    /** What the endpoint answered; only with the outcome `done`. */
    result?: unknown;
    /** Why there is no result, for people. */
    detail?: string;
    /** HTTP status that fits the reason. */
    status: number;
    /** Seconds after which another try makes sense. */
    retryAfterSeconds?: number;
}

/** How one attempt at one endpoint ended. */
export enum AttemptKind {
    Done = "done",
    /** Refused before it started. */
    Refused = "refused",
    /** It ran and failed. */
    Failed = "failed",
    /** Never sent. */
    NotSent = "notSent",
    /** Sent, without an answer that can be trusted. */
    Doubtful = "doubtful",
}

/** Outcome of one attempt at one endpoint. */
export type Attempt =
    | { kind: AttemptKind.Done; result: unknown; }
    | { kind: AttemptKind.Refused; reason: string; }
    | { kind: AttemptKind.Failed; reason: string; }
    | { kind: AttemptKind.NotSent; reason: string; }
    | { kind: AttemptKind.Doubtful; reason: string; };

/** What an endpoint says of a request that is not to start any more. */
export enum FenceState {
    NeverRan = "neverRan",
    Running = "running",
    Ran = "ran",
}
