import type { Result } from "../utils/result.js";

/** One row of the platform's table. */
export interface Row<Value = unknown> {
    key: string;
    /** Changes with every write of the row; 0 stands for an absent row. */
    version: number;
    value: Value;
}

/** Requires a row to have a version when a transaction commits. */
export interface Condition {
    key: string;
    /** Expected version; 0 requires the row to be absent. */
    version: number;
}

/** Writes or, without a value, deletes a row. */
export interface Write {
    key: string;
    value?: unknown;
}

/** A set of writes that takes effect as a whole if every condition holds. */
export interface Transaction {
    conditions: Condition[];
    writes: Write[];
}

/** Versions of the rows that a committed transaction wrote, by key; all are the transaction's. */
export interface CommitReceipt {
    versions: Record<string, number>;
}

/** What a VM of the platform's list does. */
export enum VmKind {
    Entry = "entry",
    Endpoint = "endpoint",
}

/** State of a VM according to the platform. */
export enum VmState {
    Live = "live",
    Leaving = "leaving",
}

/** One VM of the platform's lagging list. */
export interface Vm {
    name: string;
    kind: VmKind;
    state: VmState;
    availabilityZone: string;
    /** Grows when the VM is replaced or returns after it was leaving. */
    incarnation: number;
    /** Worker control and calls (endpoints); callers' HTTP (entry VMs: the scheduler). */
    httpAddress: string;
    /** gRPC address of the scheduler; entry VMs only. */
    schedulerPeerAddress?: string;
    /** gRPC address of the router; entry VMs only. */
    routerPeerAddress?: string;
}

/** Answer to a read of the list since a revision; without `vms` nothing has changed. */
export interface VmListChange {
    revision: number;
    vms?: Vm[];
}

/** The platform's list of VMs; it lags behind the truth. */
export interface VmList {
    /** Grows with every change of the list. */
    revision: number;
    vms: Vm[];
}

/** Rows as of one version of the table. */
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

/** Changes after a version, in order. */
export interface TableChanges {
    rows: ChangedRow[];
    /** Version from which to go on. */
    version: number;
}

/** Keys to read. */
export interface KeyRange {
    prefix: string;
    /** First key. @default the first with the prefix */
    from?: string;
    /** Key before which the range ends. @default the last with the prefix */
    before?: string;
}

/** A request for changes. */
export interface ChangesRequest {
    prefix: string;
    afterVersion: number;
    /** Time that the request waits for the first change. */
    waitMs: number;
}

/** Kinds of failure of a platform operation. */
export enum PlatformErrorKind {
    /** The platform was not reached or refused; nothing took effect. */
    Unavailable = "unavailable",
    /** No answer came; a write may have taken effect. */
    NoAnswer = "noAnswer",
    /** A condition did not hold; nothing took effect. */
    Conflict = "conflict",
}

/** Failure of a platform operation. */
export type PlatformError =
    | { kind: PlatformErrorKind.Unavailable; detail: string; }
    | { kind: PlatformErrorKind.NoAnswer; detail: string; }
    | { kind: PlatformErrorKind.Conflict; keys: string[]; rows: Row[]; };

/** The platform as the daemons see it. */
export interface PlatformClient {
    /** Reads one row; absent rows read as `undefined`. */
    read<Value>(key: string): Promise<Result<Row<Value> | undefined, PlatformError>>;
    /** Reads the rows of a range, in key order. */
    scan<Value>(range: KeyRange): Promise<Result<RowsAsOf<Value>, PlatformError>>;
    /** Waits for changes of rows whose key starts with the prefix. */
    changes(request: ChangesRequest): Promise<Result<TableChanges, PlatformError>>;
    /** Commits a transaction. */
    commit(transaction: Transaction): Promise<Result<CommitReceipt, PlatformError>>;
    /** Reads the lagging list of VMs if it has changed since a revision. */
    listVms(sinceRevision: number): Promise<Result<VmListChange, PlatformError>>;
    /** Closes the connections. */
    close(): Promise<void>;
}
