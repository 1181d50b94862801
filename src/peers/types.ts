import type { Snapshot } from "../configuration/types.js";

/** Which daemon a process runs. */
export enum Role {
    Router = "router",
    Scheduler = "scheduler",
}

/** State of a process, exchanged between peers in each heartbeat. */
export interface Heartbeat {
    /** Name of the entry VM. */
    vm: string;
    role: Role;
    availabilityZone: string;
    /** Unique per start of the process. */
    processId: string;
    configurationVersion: number;
    /** Whether this process reaches the platform directly, without a relay. */
    platformReachable: boolean;
    /** Set while the process is stopping. */
    stopping: boolean;
}

/** Requests a configuration snapshot of at least a version. */
export interface SnapshotRequest {
    version: number;
}

/** Configuration snapshot of the peer, if it has one. */
export interface SnapshotReply {
    snapshot?: Snapshot;
}

/** Platform operation that a peer performs for a VM that cannot reach the platform. */
export interface RelayRequest {
    operation: "read" | "scan" | "changes" | "commit" | "listVms";
    argument: unknown;
}

/** Result of a relayed operation. */
export interface RelayReply {
    result: unknown;
}

/** Kinds of {@link PeerError}. */
export enum PeerErrorKind {
    /** The peer was not reached; the request had no effect. */
    Unreachable = "unreachable",
    /** No valid answer in time; the request may have taken effect. */
    NoAnswer = "noAnswer",
}

/** Failure of a request to a peer. */
export interface PeerError {
    kind: PeerErrorKind;
    /** For people. */
    detail: string;
}

/** Reply without content. */
export type Empty = Record<string, never>;
