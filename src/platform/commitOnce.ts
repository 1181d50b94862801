import { fail, succeed } from "../utils/result.js";
import type { Result } from "../utils/result.js";
import { PlatformErrorKind } from "./types.js";
import type { PlatformClient, PlatformError, Row, Transaction } from "./types.js";

/** Attempts to learn the fate of a write whose answer was lost. */
const readBackAttempts = 3;

/**
 * Commits a transaction and, when the answer is lost, reads one written row back to learn whether it took effect.
 *
 * @param transaction must write `key`
 * @param isOwn tells whether the row's value was written by this transaction
 */
export const commitOnce = async <Value>(
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
    for (let attempt = 0; attempt < readBackAttempts; attempt++) {
        const row: Result<Row<Value> | undefined, PlatformError> = await platform.read<Value>(key);
        if (row.ok) {
            return readBackResult(row.value, committed.error, key, isOwn);
        }
    }
    return committed;
};

const readBackResult = <Value>(
    row: Row<Value> | undefined,
    error: PlatformError,
    key: string,
    isOwn: (value: Value) => boolean,
): Result<{ version: number; }, PlatformError> => {
    if (row !== undefined && isOwn(row.value)) {
        return succeed({ version: row.version });
    }
    // without an answer the write may still be on its way, so only a conflict is certain
    return fail(error.kind === PlatformErrorKind.Conflict ? { ...error, keys: [key] } : error);
};
