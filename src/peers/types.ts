import type { Snapshot } from "../configuration/types.js";

/** Which daemon a process runs. */
export enum Role {
    Router = "router",
    Scheduler = "scheduler",
}

/** What peers tell each other in every heartbeat. */
export interface Heartbeat {
    /** Name of the entry VM. */
    vm: string;
    role: Role;
    availabilityZone: string;
    /** Identifies one run of the process. */
    processId: string;
    configurationVersion: number;
    /** Whether the platform answered lately. */
    platformReachable: boolean;
    /** Set while the process is stopping. */
    stopping: boolean;
}

/** Asks for a snapshot of at least a version. */
export interface SnapshotRequest {
    version: number;
}

/** A snapshot, if the peer has one. */
export interface SnapshotReply {
    snapshot?: Snapshot;
}

/** A table transaction or read that a peer performs for a VM that is cut off from the platform. */
export interface RelayRequest {
    operation: "read" | "scan" | "changes" | "commit" | "listVms";
    argument: unknown;
}

/** Outcome of a relayed operation. */
export interface RelayReply {
    result: unknown;
}

/** Kinds of failure of a request to a peer. */
export enum PeerErrorKind {
    /** Not reached; nothing took effect. */
    Unreachable = "unreachable",
    /** No answer in time; it may have taken effect. */
    NoAnswer = "noAnswer",
}

/** Failure of a request to a peer. */
export interface PeerError {
    kind: PeerErrorKind;
    detail: string;
}

/** Confirmation without content. */
export type Empty = Record<string, never>;
