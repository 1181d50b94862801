import type { Result } from "../utils/result.js";

/** Identifies a row in the platform's table service. */
export interface RowId {
    table: string;
    /** Partition of the table; a transaction is limited to rows of one part. */
    part: string;
    key: string;
}

/** A row; one without a value was removed. */
export interface StateRow extends RowId {
    /** Version of the transaction that wrote it; increases with every transaction of the whole table service. */
    version: number;
    value?: unknown;
}

/** Precondition of a transaction: the row has this version at commit; 0 requires it to be absent. */
export interface RowCondition {
    table: string;
    key: string;
    version: number;
}

/** Sets a row; without a value it is removed. */
export interface RowWrite {
    table: string;
    key: string;
    value?: unknown;
}

/** Writes to one part that take effect atomically if every condition holds. */
export interface StateTransaction {
    part: string;
    conditions: RowCondition[];
    writes: RowWrite[];
}

/** Kinds of failure of an operation on the table. */
export enum StateErrorKind {
    /** The request was refused or did not reach the table; nothing took effect. */
    Unavailable = "unavailable",
    /** No answer was received; a write may have taken effect, or may still do so if its conditions hold then. */
    NoAnswer = "noAnswer",
    /** A condition did not hold; nothing took effect. */
    Conflict = "conflict",
    /** The platform no longer has the requested history of changes. */
    HistoryLost = "historyLost",
}

/** Failure of an operation on the table. */
export type StateError =
    | {
        kind: StateErrorKind.Unavailable;
        detail: string;
        /** Whether this VM did not send the request, which says nothing about the table. @default false */
        isHeldBack?: boolean;
    }
    | { kind: StateErrorKind.NoAnswer; detail: string; }
    | { kind: StateErrorKind.Conflict; rows: StateRow[]; }
    | { kind: StateErrorKind.HistoryLost; };

/** Rows as of one version of the table service. */
export interface RowsAt {
    rows: StateRow[];
    /** Version as of which they were read; of a range with several pages, the lowest of the pages' versions. */
    version: number;
}

/** Options of {@link StateTable.read}. */
export interface ReadRange {
    table: string;
    part: string;
    /** First key, inclusive. @default the first of the part */
    from?: string;
    /** End of the range, exclusive. @default the end of the part */
    before?: string;
    /** Time in which the rows are needed, from now; further ways to the table are tried within it. @default unlimited */
    deadlineMs?: number;
}

/** Learns when an operation is sent, by a table that may hold it back; one without a call is sent at once. */
export interface SendObserver {
    onHeldBack(): void;
    onSent(): void;
}

/** Transactional table service of the platform. */
export interface StateTable {
    /** Commits a transaction; resolves with its version. */
    commit(transaction: StateTransaction, observer?: SendObserver): Promise<Result<{ version: number; }, StateError>>;
    /** Reads a whole range of one part; each page of it is a consistent snapshot, the range as a whole is not. */
    read(range: ReadRange, observer?: SendObserver): Promise<Result<RowsAt, StateError>>;
    /** Resolves with the changes of all parts after a version; waits up to `waitMs` for the first one. */
    changes(table: string, afterVersion: number, waitMs: number): Promise<Result<RowsAt, StateError>>;
}

/** Renders an error for a log line. */
export const describeStateError = (error: StateError): string =>
    "detail" in error ? `${error.kind}: ${error.detail}` : error.kind;
