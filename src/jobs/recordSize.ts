import type { JobState, TaskState } from "./progress.js";
import { maxRowBytes } from "./rows.js";
import type { JobRecord } from "./types.js";

/** Size of a record as JSON, in bytes. */
export const sizeOfRecord = (record: JobRecord): number => Buffer.byteLength(JSON.stringify(record));

/** A record without what saves work, but is not needed: checkpoints and addresses. */
const toEssentialRecord = (record: JobRecord): JobRecord => {
    const units = Object.entries(record.units).map(([key, unit]) => [key, { ...unit, checkpoints: {} }]);
    return { ...record, addresses: undefined, units: Object.fromEntries(units) };
};

/** Drops what is not needed of a record that is too large for a row. */
export const fitRow = (record: JobRecord): JobRecord =>
    sizeOfRecord(record) <= maxRowBytes ? record : toEssentialRecord(record);

/** Upper bounds on the bytes that a record has for a unit, a run without its worker's id, a done task and failed runs. */
const unitBytes = 100;
const runBytes = 70;
const doneBytes = 6;
const failedTaskBytes = 12;
const failedRunBytes = 10;

const estimateTask = ({ run, done, failedRuns }: TaskState): number =>
    (run === undefined ? 0 : runBytes + Buffer.byteLength(run.worker.id)) + (done ? doneBytes : 0)
    + (failedRuns.size === 0 ? 0 : failedTaskBytes + failedRunBytes * failedRuns.size);

/** Estimates the size of a job's record without what is not needed, in bytes; serialising it would cost much more. */
export const estimateRecordBytes = (job: JobState): number => {
    let bytes = unitBytes;
    for (const unit of job.units.values()) {
        const isPlainlyComplete = unit.complete && unit.tasks.every(({ run }) => run === undefined);
        const taskBytes = isPlainlyComplete ? 0 : unit.tasks.reduce((sum, task) => sum + estimateTask(task), 0);
        // units in their initial state are not recorded
        bytes += taskBytes === 0 ? 0 : unitBytes + taskBytes;
    }
    return bytes;
};

/** Share of a row that placements may fill; the rest is left for runs that fail, which are recorded as well. */
const maxPlacedShare = 0.75;

/** Whether the record of a job leaves room in its row. */
export const leavesRoomInRow = (job: JobState): boolean => estimateRecordBytes(job) <= maxRowBytes * maxPlacedShare;
