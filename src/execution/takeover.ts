import { createJobProjection } from "../jobs/projection.js";
import type { JobProjection } from "../jobs/projection.js";
import { jobParts, jobsTable, progressTable, termKey } from "../jobs/rows.js";
import { StateErrorKind } from "../state/types.js";
import type { StateRow, StateTable } from "../state/types.js";
import type { TimerService } from "../utils/timer.js";

/** Options of {@link takeOver}. */
export interface TakeoverOptions {
    state: StateTable;
    timer: TimerService;
    term: number;
    /** Whether the term may still be the current one. */
    isCurrent: () => boolean;
}

/** Jobs that a new planner takes over. */
export interface TakeoverResult {
    projection: JobProjection;
    /** Version of the jobs table that was read; later changes are not in the projection. */
    version: number;
    /** Versions of the term rows by part; a write of this term is conditional on them. */
    termVersions: Map<string, number>;
}

/** Delay before a failed call to the table is repeated. */
const retryMs = 150;

/** Writes the term into one part, so that writes of earlier planners are refused; false if a later term was written. */
const fencePart = async (options: TakeoverOptions, part: string, versions: Map<string, number>): Promise<boolean> => {
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
        const storedTerm = (row?.value as { term: number; } | undefined)?.term ?? 0;
        versions.set(part, row?.version ?? 0);
        if (storedTerm >= options.term) {
            // this planner's term is stored if the write took effect and its answer was lost
            return storedTerm === options.term;
        }
    }
    return false;
};

/** Reads the rows of one part into the projection; resolves with their version, `undefined` when the term has ended. */
const readPart = async (
    options: TakeoverOptions,
    table: string,
    part: string,
    projection: JobProjection,
): Promise<number | undefined> => {
    while (options.isCurrent()) {
        const read = await options.state.read({ table, part });
        if (read.ok) {
            read.value.rows.forEach((row: StateRow) => projection.apply(row));
            return read.value.version;
        }
        await options.timer.sleep(retryMs);
    }
    return undefined;
};

/** Fences earlier planners, then reads all stored jobs; `undefined` when the term has ended. */
export const takeOver = async (options: TakeoverOptions): Promise<TakeoverResult | undefined> => {
    const termVersions = new Map<string, number>();
    const fenced = await Promise.all(jobParts.map(part => fencePart(options, part, termVersions)));
    if (!fenced.every(Boolean)) {
        return undefined;
    }
    const projection = createJobProjection();
    const readTable = (table: string) => Promise.all(jobParts.map(part => readPart(options, table, part, projection)));
    const [jobVersions, progressVersions] = await Promise.all([jobsTable, progressTable].map(readTable));
    const versions = jobVersions.filter(version => version !== undefined);
    return versions.length === jobParts.length && progressVersions.every(version => version !== undefined)
        ? { projection, termVersions, version: Math.min(...versions) }
        : undefined;
};
