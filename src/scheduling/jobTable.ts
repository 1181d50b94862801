import { randomUUID } from "node:crypto";
import { commitOnce } from "../platform/commitOnce.js";
import type { Condition, PlatformClient, PlatformError, Row } from "../platform/types.js";
import { succeed } from "../utils/result.js";
import type { Result } from "../utils/result.js";
import { JobState } from "./types.js";
import type { JobRecord } from "./types.js";

/** Key of the row of a job that has not ended. */
export const activeJobKey = (jobId: string): string => `jobs/${jobId}`;

/** Key of the row of a job that has ended. */
export const endedJobKey = (jobId: string): string => `ended/${jobId}`;

/** Key of the row that tells the planner about a new or changed job. */
export const inboxKey = (jobId: string): string => `inbox/${jobId}`;

/** A job's record with the version of its row. */
export interface StoredJob {
    record: JobRecord;
    rowVersion: number;
}

const endedStates = [JobState.Done, JobState.Failed, JobState.Cancelled, JobState.Rejected];

/** Whether a job in this state will not run again. */
export const hasEnded = (state: JobState): boolean => endedStates.includes(state);

const toStored = (row: Row<JobRecord>): StoredJob => ({ record: row.value, rowVersion: row.version });

/** Reads all jobs that have not ended. */
export const readActiveJobs = async (platform: PlatformClient): Promise<Result<StoredJob[], PlatformError>> => {
    const rows = await platform.scan<JobRecord>("jobs/");
    return rows.ok ? succeed(rows.value.map(toStored)) : rows;
};

/** Reads one job, ended or not. */
export const readJob = async (
    platform: PlatformClient,
    jobId: string,
): Promise<Result<StoredJob | undefined, PlatformError>> => {
    const active = await platform.read<JobRecord>(activeJobKey(jobId));
    if (!active.ok) {
        return active;
    }
    if (active.value !== undefined) {
        return succeed(toStored(active.value));
    }
    const ended = await platform.read<JobRecord>(endedJobKey(jobId));
    return ended.ok ? succeed(ended.value === undefined ? undefined : toStored(ended.value)) : ended;
};

/** Creates the row of a new job and tells the planner, unless the job exists. */
export const insertJob = async (
    platform: PlatformClient,
    record: Omit<JobRecord, "writeId">,
): Promise<Result<StoredJob, PlatformError>> => {
    const written: JobRecord = { ...record, writeId: randomUUID() };
    const { id } = record.spec;
    const committed = await commitOnce<JobRecord>(
        platform,
        {
            conditions: [{ key: activeJobKey(id), version: 0 }, { key: endedJobKey(id), version: 0 }],
            writes: [{ key: activeJobKey(id), value: written }, { key: inboxKey(id), value: {} }],
        },
        activeJobKey(id),
        value => value.writeId === written.writeId,
    );
    return committed.ok ? succeed({ record: written, rowVersion: committed.value.version }) : committed;
};

/** Changes of a job's record. */
export type JobChange = Partial<Omit<JobRecord, "spec" | "writeId">>;

/**
 * Writes a changed record if nobody else changed the row; an ended job moves to the ended rows.
 *
 * @param guards further rows that must be unchanged
 * @param notifyPlanner also adds an inbox entry
 */
export const changeJob = async (
    platform: PlatformClient,
    stored: StoredJob,
    change: JobChange,
    guards: Condition[],
    notifyPlanner = false,
): Promise<Result<StoredJob, PlatformError>> => {
    const record: JobRecord = { ...stored.record, ...change, writeId: randomUUID() };
    const { id } = record.spec;
    const key = hasEnded(record.state) ? endedJobKey(id) : activeJobKey(id);
    const committed = await commitOnce<JobRecord>(
        platform,
        {
            conditions: [{ key: activeJobKey(id), version: stored.rowVersion }, ...guards],
            writes: [
                ...(hasEnded(record.state) ? [{ key: activeJobKey(id) }] : []),
                { key, value: record },
                ...(notifyPlanner ? [{ key: inboxKey(id), value: {} }] : []),
            ],
        },
        key,
        value => value.writeId === record.writeId,
    );
    return committed.ok ? succeed({ record, rowVersion: committed.value.version }) : committed;
};
