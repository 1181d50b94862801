import type { Log } from "../node/logs.js";
import { createConfirmation } from "../utils/confirmation.js";
import type { TimerService } from "../utils/timer.js";
import { attempt } from "../utils/unexpected.js";
import { describeStateError, StateErrorKind } from "./types.js";
import type { StateError, StateRow, StateTable } from "./types.js";

/** Options of {@link createTableFollower}. */
export interface TableFollowerOptions {
    state: StateTable;
    timer: TimerService;
    log: Log;
    table: string;
    /** Parts that are read when the history is gone. */
    parts: readonly string[];
    /** Time that a request for changes waits at the platform. */
    waitMs: () => number;
    /** Version from which on changes are followed. @default the table is read whole first */
    afterVersion?: number;
    /** Pause between two requests, which bounds their rate. */
    pauseMs: () => number;
    /** Takes changed rows in order. */
    onRows: (rows: readonly StateRow[]) => void;
    /** Called before the rows of a full read, which replace all that was known. */
    onReset?: () => void;
    /** Called after every answer, also an empty one. */
    onConfirmed?: () => void;
}

/** Keeps a local copy of a table up to date. */
export interface TableFollower {
    /** Age of what is known: time since the last answered request was sent; infinite before the first. */
    ageMs(): number;
    /** Ends the following. */
    stop(): void;
}

/** Pause after a failed request: short against the bounds on freshness, long against the platform's rates. */
const retryPauseMs = 250;

/** Follows the changes of a table and reads it whole when its history is gone. */
export const createTableFollower = (options: TableFollowerOptions): TableFollower => {
    const { state, timer, log, table } = options;
    const confirmation = createConfirmation(timer);
    let { afterVersion } = options;
    let stopped = false;
    let reachable = true;

    const noteAnswer = (): void => {
        if (!reachable) {
            log("info", "table readable again", { table, version: afterVersion });
            reachable = true;
        }
        options.onConfirmed?.();
    };

    const noteFailure = (error: StateError): void => {
        if (reachable) {
            log("warn", "table cannot be read", { table, version: afterVersion, reason: describeStateError(error) });
            reachable = false;
        }
    };

    /** Rows that cannot be taken are passed over: read again, they would fail again. */
    const takeRows = (rows: readonly StateRow[]): void =>
        attempt(
            () => options.onRows(rows),
            detail => log("error", "rows could not be taken", { table, rows: rows.length, detail }),
        );

    const readWhole = async (): Promise<boolean> => {
        const reads = await Promise.all(options.parts.map(part => state.read({ table, part })));
        const rows: StateRow[] = [];
        let oldest = Number.POSITIVE_INFINITY;
        for (const read of reads) {
            if (!read.ok) {
                noteFailure(read.error);
                return false;
            }
            rows.push(...read.value.rows);
            oldest = Math.min(oldest, read.value.version);
        }
        options.onReset?.();
        takeRows(rows);
        afterVersion = oldest;
        log("info", "table read whole", { table, rows: rows.length, version: oldest });
        return true;
    };

    const readChanges = async (after: number): Promise<boolean> => {
        const changes = await state.changes(table, after, options.waitMs());
        if (!changes.ok) {
            if (changes.error.kind === StateErrorKind.HistoryLost) {
                afterVersion = undefined;
                return true;
            }
            noteFailure(changes.error);
            return false;
        }
        afterVersion = Math.max(after, changes.value.version);
        if (changes.value.rows.length > 0) {
            takeRows(changes.value.rows);
        }
        return true;
    };

    const follow = async (): Promise<void> => {
        while (!stopped) {
            const asked = confirmation.ask();
            const ok = afterVersion === undefined ? await readWhole() : await readChanges(afterVersion);
            if (ok && afterVersion !== undefined) {
                asked.confirm();
                noteAnswer();
            }
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
