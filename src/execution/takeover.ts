import { createJobProjection } from "../jobs/projection.js";
import type { JobProjection } from "../jobs/projection.js";
import { jobParts, jobsTable, progressTable, termKey } from "../jobs/rows.js";
import { StateErrorKind } from "../state/types.js";
import type { StateRow, StateTable } from "../state/types.js";
import type { TimerService } from "../utils/timer.js";

/** What a new planner needs to take over the records. */
export interface TakeoverOptions {
    state: StateTable;
    timer: TimerService;
    term: number;
    /** Whether the term may still be the present one. */
    isCurrent: () => boolean;
}

/** What was found in the table. */
export interface Inheritance {
    book: JobProjection;
    /** Version of the jobs table from which on its changes are not in the book. */
    version: number;
    /** Versions of the term rows; writes of earlier planners are refused from here on. */
    termVersions: Map<string, number>;
}

/** Time between tries to reach the table. */
const retryMs = 150;

/** Claims the right to write in one part; false when a later term has done so. */
const claimPart = async (options: TakeoverOptions, part: string, versions: Map<string, number>): Promise<boolean> => {
    while (options.isCurrent()) {
        const written = await options.state.commit({
            part,
            conditions: [{ table: progressTable, key: termKey, version: versions.get(part) ?? 0 }],
            writes: [{ table: progressTable, key: termKey, value: { term: options.term } }],
        });
        if (written.ok) {
            versions.set(part, written.value.version);
            return true;
        }
        if (written.error.kind !== StateErrorKind.Conflict) {
            await options.timer.sleep(retryMs);
            continue;
        }
        const row = written.error.rows.find(candidate => candidate.key === termKey);
        const found = (row?.value as { term: number; } | undefined)?.term ?? 0;
        versions.set(part, row?.version ?? 0);
        if (found >= options.term) {
            // the own term stands there when an answer was lost
            return found === options.term;
        }
    }
    return false;
};

/** Reads the rows of one part into the book; resolves with the version as of which, `undefined` when the term is over. */
const readPart = async (
    options: TakeoverOptions,
    table: string,
    part: string,
    book: JobProjection,
): Promise<number | undefined> => {
    while (options.isCurrent()) {
        const read = await options.state.read({ table, part });
        if (read.ok) {
            read.value.rows.forEach((row: StateRow) => book.apply(row));
            return read.value.version;
        }
        await options.timer.sleep(retryMs);
    }
    return undefined;
};

/** Shuts earlier planners out of the records, then reads them; `undefined` when the term is over. */
export const takeOver = async (options: TakeoverOptions): Promise<Inheritance | undefined> => {
    const termVersions = new Map<string, number>();
    const claimed = await Promise.all(jobParts.map(part => claimPart(options, part, termVersions)));
    if (!claimed.every(Boolean)) {
        return undefined;
    }
    const book = createJobProjection();
    const readTable = (table: string) => Promise.all(jobParts.map(part => readPart(options, table, part, book)));
    const [jobVersions, progressVersions] = await Promise.all([jobsTable, progressTable].map(readTable));
    const versions = jobVersions.filter(version => version !== undefined);
    return versions.length === jobParts.length && progressVersions.every(version => version !== undefined)
        ? { book, termVersions, version: Math.min(...versions) }
        : undefined;
};
