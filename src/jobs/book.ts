import type { StateRow } from "../state/types.js";
import { JobRowKind, parseJobRowKey } from "./rows.js";
import { isEnded, JobPhase } from "./types.js";
import type { JobRecord, JobSubmission } from "./types.js";

/** What a VM knows of one job. */
export interface JobEntry {
    submission?: JobSubmission;
    record?: JobRecord;
    /** Version of the progress row; 0 while there is none. */
    recordVersion: number;
    cancelled: boolean;
}

/** Jobs as the rows of the table tell them. */
export interface JobBook {
    entries: Map<string, JobEntry>;
    /** Takes a changed row; tells which job it was of. */
    apply(row: StateRow): string | undefined;
}

/** State of a job as shown to its customer; `undefined` when there is no such job. */
export const phaseOf = (entry: JobEntry | undefined): JobPhase | undefined => {
    if (entry?.submission === undefined) {
        return undefined;
    }
    const phase = entry.record?.phase ?? JobPhase.Queued;
    return entry.cancelled && !isEnded(phase) ? JobPhase.Cancelled : phase;
};

const applyValue = (entry: JobEntry, kind: JobRowKind, row: StateRow): void => {
    switch (kind) {
        case JobRowKind.Submission:
            entry.submission = row.value as JobSubmission | undefined;
            return;
        case JobRowKind.Cancellation:
            entry.cancelled = row.value !== undefined;
            return;
        case JobRowKind.Progress:
            if (row.version >= entry.recordVersion) {
                entry.record = row.value as JobRecord | undefined;
                entry.recordVersion = row.value === undefined ? 0 : row.version;
            }
    }
};

/** Creates an empty book. */
export const createJobBook = (): JobBook => {
    const entries = new Map<string, JobEntry>();
    return {
        entries,
        apply: row => {
            const parsed = parseJobRowKey(row.key);
            if (parsed === undefined) {
                return undefined;
            }
            const entry = entries.get(parsed.jobId) ?? { recordVersion: 0, cancelled: false };
            applyValue(entry, parsed.kind, row);
            if (entry.submission === undefined && entry.record === undefined && !entry.cancelled) {
                entries.delete(parsed.jobId);
            }
            else {
                entries.set(parsed.jobId, entry);
            }
            return parsed.jobId;
        },
    };
};
