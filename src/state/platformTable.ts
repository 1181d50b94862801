import { PlatformErrorKind } from "../platform/types.js";
import type { ChangedRow, PlatformClient, PlatformError } from "../platform/types.js";
import { fail, succeed } from "../utils/result.js";
import { StateErrorKind } from "./types.js";
import type { StateError, StateRow, StateTable } from "./types.js";

const separator = "/";

const toKey = (table: string, part: string, key: string): string => [table, part, key].join(separator);

const toStateRow = ({ key, version, value }: ChangedRow): StateRow => {
    const [table, part, ...rest] = key.split(separator);
    return { table, part, key: rest.join(separator), version, value };
};

const toStateError = (error: PlatformError): StateError => {
    switch (error.kind) {
        case PlatformErrorKind.Unavailable:
            return { kind: StateErrorKind.Unavailable, detail: error.detail };
        case PlatformErrorKind.NoAnswer:
            return { kind: StateErrorKind.NoAnswer, detail: error.detail };
        case PlatformErrorKind.Conflict:
            return { kind: StateErrorKind.Conflict, rows: error.rows.map(toStateRow) };
    }
};

/** Maps tables with parts onto the platform's flat key space; keys have the form `table/part/key`. */
export const createPlatformTable = (platform: PlatformClient): StateTable => ({
    commit: async ({ part, conditions, writes }) => {
        const committed = await platform.commit({
            conditions: conditions.map(({ table, key, version }) => ({ key: toKey(table, part, key), version })),
            writes: writes.map(({ table, key, value }) => ({ key: toKey(table, part, key), value })),
        });
        // all rows that a transaction writes get the same version
        return committed.ok
            ? succeed({ version: Math.max(0, ...Object.values(committed.value.versions)) })
            : fail(toStateError(committed.error));
    },
    read: async ({ table, part, from, before }) => {
        const read = await platform.scan({
            prefix: toKey(table, part, ""),
            from: from === undefined ? undefined : toKey(table, part, from),
            before: before === undefined ? undefined : toKey(table, part, before),
        });
        return read.ok
            ? succeed({ rows: read.value.rows.map(toStateRow), version: read.value.version })
            : fail(toStateError(read.error));
    },
    changes: async (table, afterVersion, waitMs) => {
        const changes = await platform.changes({ prefix: `${table}${separator}`, afterVersion, waitMs });
        return changes.ok
            ? succeed({ rows: changes.value.rows.map(toStateRow), version: changes.value.version })
            : fail(toStateError(changes.error));
    },
});
