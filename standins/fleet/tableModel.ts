/** In-memory model of the platform's table for stand-ins and tests: rows, conditional transactions, change feed. */
import { StateErrorKind } from "../../src/state/types.js";
import type { ReadRange, RowsAt, StateError, StateRow, StateTransaction } from "../../src/state/types.js";
import { fail, succeed } from "../../src/utils/result.js";
import type { Result } from "../../src/utils/result.js";

/** An in-memory table. */
export interface TableModel {
    /** Applies all writes if every condition's version matches; otherwise fails with the current rows. */
    commit(transaction: StateTransaction): Result<{ version: number; }, StateError>;
    read(range: ReadRange): RowsAt;
    /** Rows changed after a version; `undefined` if the history that far back was discarded. */
    changes(table: string, afterVersion: number): RowsAt | undefined;
    /** Calls the listener once, at the next committed transaction. */
    onceChanged(listener: () => void): void;
    /** Discards the change history up to the present version. */
    compact(): void;
}

const rowIdOf = (table: string, part: string, key: string): string => JSON.stringify([table, part, key]);

/** Creates an empty table. */
export const createTableModel = (): TableModel => {
    const rows = new Map<string, StateRow>();
    let version = 0;
    let oldestKnownVersion = 0;
    let listeners: (() => void)[] = [];

    const commit = ({ part, conditions, writes }: StateTransaction): Result<{ version: number; }, StateError> => {
        const findRow = (key: { table: string; key: string; }): StateRow | undefined => {
            const row = rows.get(rowIdOf(key.table, part, key.key));
            return row?.value === undefined ? undefined : row;
        };
        const areConditionsMet = conditions.every(condition =>
            (findRow(condition)?.version ?? 0) === condition.version
        );
        if (!areConditionsMet) {
            const current = conditions.map(findRow).filter(row => row !== undefined);
            return fail({ kind: StateErrorKind.Conflict, rows: structuredClone(current) });
        }
        version += 1;
        for (const write of writes) {
            const value = write.value === undefined ? undefined : JSON.parse(JSON.stringify(write.value));
            rows.set(rowIdOf(write.table, part, write.key), {
                table: write.table,
                part,
                key: write.key,
                version,
                value,
            });
        }
        const notified = listeners;
        listeners = [];
        notified.forEach(listener => listener());
        return succeed({ version });
    };

    return {
        commit,
        read: ({ table, part, from, before }) => {
            const found = [...rows.values()].filter(row =>
                row.table === table && row.part === part && row.value !== undefined
                && (from === undefined || row.key >= from) && (before === undefined || row.key < before)
            );
            return { rows: structuredClone(found), version };
        },
        changes: (table, afterVersion) => {
            if (afterVersion < oldestKnownVersion) {
                return undefined;
            }
            const changed = [...rows.values()]
                .filter(row => row.table === table && row.version > afterVersion)
                .sort((left, right) => left.version - right.version);
            return { rows: structuredClone(changed), version };
        },
        onceChanged: listener => {
            listeners.push(listener);
        },
        compact: () => {
            oldestKnownVersion = version;
        },
    };
};
