import type { Result } from "../utils/result.js";

/** Names a row of the platform's table. */
export interface RowId {
    table: string;
    /** Rows of one part can change together in a transaction. */
    part: string;
    key: string;
}

/** One row; without a value it was removed. */
export interface StateRow extends RowId {
    /** Grows with every transaction of the whole table service. */
    version: number;
    value?: unknown;
}

/** Requires a row to have a version when a transaction commits; 0 requires it to be absent. */
export interface RowCondition {
    table: string;
    key: string;
    version: number;
}

/** Writes or, without a value, removes a row. */
export interface RowWrite {
    table: string;
    key: string;
    value?: unknown;
}

/** Writes of one part that take effect together if every condition holds. */
export interface StateTransaction {
    part: string;
    conditions: RowCondition[];
    writes: RowWrite[];
}

/** Kinds of failure of an operation on the table. */
export enum StateErrorKind {
    /** It was refused or not reached; nothing took effect. */
    Unavailable = "unavailable",
    /** No answer came; a write may have taken effect or still will, if its conditions hold then. */
    NoAnswer = "noAnswer",
    /** A condition did not hold; nothing took effect. */
    Conflict = "conflict",
    /** The requested history of changes is gone. */
    HistoryLost = "historyLost",
}

/** Failure of an operation on the table. */
export type StateError =
    | { kind: StateErrorKind.Unavailable; detail: string; }
    | { kind: StateErrorKind.NoAnswer; detail: string; }
    | { kind: StateErrorKind.Conflict; rows: StateRow[]; }
    | { kind: StateErrorKind.HistoryLost; };

/** Rows as of one version. */
export interface RowsAt {
    rows: StateRow[];
    /** Version of the table service as of which the rows were read. */
    version: number;
}

/** Options of {@link StateTable.read}. */
export interface ReadRange {
    table: string;
    part: string;
    /** First key. @default the first of the part */
    from?: string;
    /** Key before which the range ends. @default the end of the part */
    before?: string;
}

/** The platform's transactional table, as the product uses it. */
export interface StateTable {
    /** Commits a transaction; resolves with the version that it was given. */
    commit(transaction: StateTransaction): Promise<Result<{ version: number; }, StateError>>;
    /** Reads a range of one part whole, as of one moment a page. */
    read(range: ReadRange): Promise<Result<RowsAt, StateError>>;
    /** Waits for changes of a table, in any part, after a version. */
    changes(table: string, afterVersion: number, waitMs: number): Promise<Result<RowsAt, StateError>>;
}

/** Renders an error for a log line. */
export const describeStateError = (error: StateError): string =>
    "detail" in error ? `${error.kind}: ${error.detail}` : error.kind;
