import type { Log } from "../node/logs.js";
import { createConfirmationTracker } from "../utils/confirmation.js";
import { awaitGuarded, runGuarded } from "../utils/runGuarded.js";
import type { TimerService } from "../utils/timer.js";
import { describeStateError, StateErrorKind } from "./types.js";
import type { StateError, StateRow, StateTable } from "./types.js";

/** Options of {@link createTableFollower}. */
export interface TableFollowerOptions {
    state: StateTable;
    timer: TimerService;
    log: Log;
    table: string;
    /** Parts that a full read consists of. */
    parts: readonly string[];
    /** Time that a request for changes waits at the platform for a change (long poll). */
    waitMs: () => number;
    /** Version after which changes are followed. @default starts with a full read */
    afterVersion?: number;
    /** Pause between requests, which limits their rate. */
    pauseMs: () => number;
    /** Called with changed rows in their order, and with all rows after a full read. */
    onRows: (rows: readonly StateRow[]) => void;
    /** Called before `onRows` gets the rows of a full read, which replace the whole local copy. */
    onReset?: () => void;
    /** Called after every successful request, also one without changes. */
    onConfirmed?: () => void;
}

/** Keeps a local copy of a table up to date. */
export interface TableFollower {
    /** Staleness of the local copy: time since the latest answered request was sent; infinite before the first. */
    ageMs(): number;
    /** Ends following after the request in flight. */
    stop(): void;
}

/** Pause after a failed request; while no way to the table is open, a request fails without a call. */
const retryPauseMs = 100;

/** Follows the changes of a table; reads it in full when the platform no longer has the requested history. */
export const createTableFollower = (options: TableFollowerOptions): TableFollower => {
    const { state, timer, log, table } = options;
    const confirmation = createConfirmationTracker(timer);
    let { afterVersion } = options;
    let stopped = false;
    let reachable = true;

    const handleAnswer = (): void => {
        if (!reachable) {
            log("info", "table readable again", { table, version: afterVersion });
            reachable = true;
        }
        options.onConfirmed?.();
    };

    const handleFailure = (error: StateError): void => {
        if (reachable) {
            log("warn", "table cannot be read", { table, version: afterVersion, reason: describeStateError(error) });
            reachable = false;
        }
    };

    /** Skips a batch of rows whose handler throws: it would fail again if it were read again. */
    const deliverRows = (rows: readonly StateRow[]): void =>
        runGuarded(
            () => options.onRows(rows),
            detail => log("error", "rows could not be taken", { table, rows: rows.length, detail }),
        );

    const readFullTable = async (): Promise<boolean> => {
        const reads = await Promise.all(options.parts.map(part => state.read({ table, part })));
        const rows: StateRow[] = [];
        let lowestVersion = Number.POSITIVE_INFINITY;
        for (const read of reads) {
            if (!read.ok) {
                handleFailure(read.error);
                return false;
            }
            rows.push(...read.value.rows);
            lowestVersion = Math.min(lowestVersion, read.value.version);
        }
        options.onReset?.();
        deliverRows(rows);
        afterVersion = lowestVersion;
        log("info", "table read whole", { table, rows: rows.length, version: lowestVersion });
        return true;
    };

    const readChanges = async (after: number): Promise<boolean> => {
        // after a failure, an answer without changes confirms the local copy; a long poll would delay it
        const changes = await state.changes(table, after, reachable ? options.waitMs() : 0);
        if (!changes.ok) {
            if (changes.error.kind === StateErrorKind.HistoryLost) {
                afterVersion = undefined;
                return true;
            }
            handleFailure(changes.error);
            return false;
        }
        afterVersion = Math.max(after, changes.value.version);
        if (changes.value.rows.length > 0) {
            deliverRows(changes.value.rows);
        }
        return true;
    };

    const requestOnce = async (): Promise<boolean> => {
        const request = confirmation.startRequest();
        const ok = afterVersion === undefined ? await readFullTable() : await readChanges(afterVersion);
        if (ok && afterVersion !== undefined) {
            request.confirm();
            handleAnswer();
        }
        return ok;
    };

    const handleUnexpected = (detail: string): void =>
        handleFailure({ kind: StateErrorKind.NoAnswer, detail: `unexpected error: ${detail}` });

    const follow = async (): Promise<void> => {
        while (!stopped) {
            const ok = await awaitGuarded(requestOnce, handleUnexpected) === true;
            await timer.sleep(ok ? options.pauseMs() : retryPauseMs);
        }
    };

    void follow();
    return {
        ageMs: confirmation.ageMs,
        stop: () => {
            stopped = true;
        },
    };
};
