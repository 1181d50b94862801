import type { Result } from "../utils/result.js";

/** One row of the platform's table. */
export interface Row<Value = unknown> {
    key: string;
    /** Changes with every write of the row; 0 stands for an absent row. */
    version: number;
    value: Value;
}

/** Precondition of a transaction: the row has this version at commit. */
export interface Condition {
    key: string;
    /** Expected version; 0 requires the row to be absent. */
    version: number;
}

/** Sets a row; without a value it is deleted. */
export interface Write {
    key: string;
    value?: unknown;
}

/** Writes that take effect atomically if every condition holds. */
export interface Transaction {
    conditions: Condition[];
    writes: Write[];
}

/** Versions of the rows that a committed transaction wrote, by key; all equal the transaction's version. */
export interface CommitReceipt {
    versions: Record<string, number>;
}

/** Role of a VM. */
export enum VmKind {
    Entry = "entry",
    Endpoint = "endpoint",
}

/** State of a VM according to the platform. */
export enum VmState {
    Live = "live",
    Leaving = "leaving",
}

/** One entry of the platform's list of VMs. */
export interface Vm {
    name: string;
    kind: VmKind;
    state: VmState;
    availabilityZone: string;
    /** Increases when the VM is replaced or returns after it was leaving. */
    incarnation: number;
    /** HTTP address: control interface and calls on endpoints, the scheduler's interface for callers on entry VMs. */
    httpAddress: string;
    /** gRPC address of the scheduler; entry VMs only. */
    schedulerPeerAddress?: string;
    /** gRPC address of the router; entry VMs only. */
    routerPeerAddress?: string;
}

/** Answer to a read of the list since a revision; `vms` is absent when nothing has changed. */
export interface VmListChange {
    revision: number;
    vms?: Vm[];
}

/** The platform's list of VMs; it is eventually consistent. */
export interface VmList {
    /** Increases with every change of the list. */
    revision: number;
    vms: Vm[];
}

/** Consistent snapshot of rows. */
export interface RowsAsOf<Value = unknown> {
    rows: Row<Value>[];
    /** Version of the table as of which they were read. */
    version: number;
}

/** A row that was written; without a value it was deleted. */
export interface ChangedRow {
    key: string;
    version: number;
    value?: unknown;
}

/** Changes after a version, in the order of their commits. */
export interface TableChanges {
    rows: ChangedRow[];
    /** Version to pass as `afterVersion` of the next request. */
    version: number;
}

/** Range of keys to read. */
export interface KeyRange {
    prefix: string;
    /** First key, inclusive. @default the first with the prefix */
    from?: string;
    /** End of the range, exclusive. @default the end of the prefix */
    before?: string;
}

/** Request for the changes of a key prefix after a version. */
export interface ChangesRequest {
    prefix: string;
    afterVersion: number;
    /** Time for which the platform holds the request when there is no change yet (long poll). */
    waitMs: number;
}

/** Kinds of failure of a platform operation. */
export enum PlatformErrorKind {
    /** The request did not reach the platform or was refused; nothing took effect. */
    Unavailable = "unavailable",
    /** No answer was received; a write may have taken effect. */
    NoAnswer = "noAnswer",
    /** A condition did not hold; nothing took effect. */
    Conflict = "conflict",
}

/** Failure of a platform operation. */
export type PlatformError =
    | { kind: PlatformErrorKind.Unavailable; detail: string; }
    | { kind: PlatformErrorKind.NoAnswer; detail: string; }
    | { kind: PlatformErrorKind.Conflict; keys: string[]; rows: Row[]; };

/** Operations on the platform's table and list of VMs. */
export interface PlatformClient {
    /** Reads one row; resolves with `undefined` if it does not exist. */
    read<Value>(key: string): Promise<Result<Row<Value> | undefined, PlatformError>>;
    /** Reads the rows of a range, in key order. */
    scan<Value>(range: KeyRange): Promise<Result<RowsAsOf<Value>, PlatformError>>;
    /** Resolves with the changes of rows with a key prefix after a version; waits up to `waitMs` for the first one. */
    changes(request: ChangesRequest): Promise<Result<TableChanges, PlatformError>>;
    /** Commits a transaction; fails with a conflict when a condition does not hold. */
    commit(transaction: Transaction): Promise<Result<CommitReceipt, PlatformError>>;
    /** Reads the list of VMs if it has changed since a revision. */
    listVms(sinceRevision: number): Promise<Result<VmListChange, PlatformError>>;
    /** Closes the connections. */
    close(): Promise<void>;
}
