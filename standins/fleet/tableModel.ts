/** Model of the platform's table for stand-ins and tests: rows, conditional transactions, a feed of changes. */
import { StateErrorKind } from "../../src/state/types.js";
import type { ReadRange, RowsAt, StateError, StateRow, StateTransaction } from "../../src/state/types.js";
import { fail, succeed } from "../../src/utils/result.js";
import type { Result } from "../../src/utils/result.js";

/** A table in memory. */
export interface TableModel {
    commit(transaction: StateTransaction): Result<{ version: number; }, StateError>;
    read(range: ReadRange): RowsAt;
    /** Changes after a version; `undefined` when that history is gone. */
    changes(table: string, afterVersion: number): RowsAt | undefined;
    /** Calls back once at the next transaction. */
    onceChanged(listener: () => void): void;
    /** Forgets the history so far. */
    compact(): void;
}

const idOf = (table: string, part: string, key: string): string => JSON.stringify([table, part, key]);

/** Creates an empty table. */
export const createTableModel = (): TableModel => {
    const rows = new Map<string, StateRow>();
    let version = 0;
    let oldest = 0;
    let listeners: (() => void)[] = [];

    const commit = ({ part, conditions, writes }: StateTransaction): Result<{ version: number; }, StateError> => {
        const present = (key: { table: string; key: string; }): StateRow | undefined => {
            const row = rows.get(idOf(key.table, part, key.key));
            return row?.value === undefined ? undefined : row;
        };
        const isMet = conditions.every(condition => (present(condition)?.version ?? 0) === condition.version);
        if (!isMet) {
            const current = conditions.map(present).filter(row => row !== undefined);
            return fail({ kind: StateErrorKind.Conflict, rows: structuredClone(current) });
        }
        version += 1;
        for (const write of writes) {
            const value = write.value === undefined ? undefined : JSON.parse(JSON.stringify(write.value));
            rows.set(idOf(write.table, part, write.key), { table: write.table, part, key: write.key, version, value });
        }
        const waiting = listeners;
        listeners = [];
        waiting.forEach(listener => listener());
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
            if (afterVersion < oldest) {
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
            oldest = version;
        },
    };
};
