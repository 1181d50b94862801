import { fail, succeed } from "../utils/result.js";
import type { Result } from "../utils/result.js";
import { PlatformErrorKind } from "./types.js";
import type { PlatformClient, PlatformError, Row, Transaction } from "./types.js";

/** Limit on reads that find out whether a write whose answer was lost took effect. */
const maxReadBackAttempts = 3;

/**
 * Commits a transaction. After a lost answer or a conflict, reads one written row back to find out whether it took
 * effect.
 *
 * @param transaction must write `key`
 * @param isOwn returns whether a value of that row was written by this transaction
 */
export const commitWithReadBack = async <Value>(
    platform: PlatformClient,
    transaction: Transaction,
    key: string,
    isOwn: (value: Value) => boolean,
): Promise<Result<{ version: number; }, PlatformError>> => {
    const committed = await platform.commit(transaction);
    if (committed.ok) {
        return succeed({ version: committed.value.versions[key] });
    }
    if (committed.error.kind === PlatformErrorKind.Unavailable) {
        return committed;
    }
    for (let attempt = 0; attempt < maxReadBackAttempts; attempt++) {
        const row: Result<Row<Value> | undefined, PlatformError> = await platform.read<Value>(key);
        if (row.ok) {
            return resultFromRow(row.value, committed.error, key, isOwn);
        }
    }
    return committed;
};

const resultFromRow = <Value>(
    row: Row<Value> | undefined,
    error: PlatformError,
    key: string,
    isOwn: (value: Value) => boolean,
): Result<{ version: number; }, PlatformError> => {
    if (row !== undefined && isOwn(row.value)) {
        return succeed({ version: row.version });
    }
    // without an answer the write may still take effect later, so only a conflict proves that it did not
    return fail(error.kind === PlatformErrorKind.Conflict ? { ...error, keys: [key] } : error);
};
