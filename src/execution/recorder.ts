import type { CachedPhase } from "../jobs/phaseCache.js";
import { toJobRecord } from "../jobs/progress.js";
import type { JobState } from "../jobs/progress.js";
import { fitRow, sizeOfRecord } from "../jobs/recordSize.js";
import { jobRowKey, JobRowKind, maxRowBytes, partOfJob, progressTable, termKey } from "../jobs/rows.js";
import type { JobRecord } from "../jobs/types.js";
import type { Log } from "../node/logs.js";
import { describeStateError, StateErrorKind } from "../state/types.js";
import type { StateError, StateRow, StateTable } from "../state/types.js";
import { runGuarded } from "../utils/runGuarded.js";
import type { TimerService } from "../utils/timer.js";

/** Options of {@link createRecorder}. */
export interface RecorderOptions {
    state: StateTable;
    timer: TimerService;
    log: Log;
    /** Number of the planner's term. */
    term: number;
    /** Version of the term row by part, as written at the start of the term. */
    termVersions: ReadonlyMap<string, number>;
    /** Called with the phase of each job that was written. */
    onPhaseStored: (jobId: string, phase: CachedPhase) => void;
    /** Called when the table shows that a later term has begun. */
    onFenced: (detail: string) => void;
}

/** Writes the progress of jobs to the table, batching the jobs of one part into transactions. */
export interface Recorder {
    /**
     * Resolves with true once the job's present state is written, or once its rows turn out to be deleted; with false if
     * the term ended first or the state is too large for a row.
     */
    record(job: JobState): Promise<boolean>;
    /** Number of jobs in the queues, without those that are being written. */
    pendingCount(): number;
    /** Stops writing; what is not written yet resolves with false. */
    stop(): void;
}

/** Jobs in one transaction; the platform accepts 100 entries, and each job needs two. */
const maxJobsPerCommit = 40;
/** Size of the records in one transaction as JSON; the platform accepts requests of 1 MB, with values in base64. */
const maxBytesPerCommit = 650_000;
/** Delay before a transaction that was refused or got no answer is retried. */
const retryPauseMs = 200;

interface PartQueue {
    part: string;
    /** Jobs to write, with the callbacks of their callers. */
    waiting: Map<JobState, ((recorded: boolean) => void)[]>;
    /** Whether the queue is being written. */
    writing: boolean;
}

interface Batch {
    jobs: { job: JobState; record: JobRecord; resolvers: ((recorded: boolean) => void)[]; }[];
}

const findProgressRow = ({ submission }: JobState, rows: readonly StateRow[]): StateRow | undefined =>
    rows.find(row => row.key === jobRowKey(submission.id, JobRowKind.Progress));

/** Rows of a conflict; `undefined` without the term's row, which every write names and which is never deleted. */
const toConflict = (error: StateError): { termVersion: number; rows: readonly StateRow[]; } | undefined => {
    const rows = error.kind === StateErrorKind.Conflict ? error.rows : [];
    const termRow = rows.find(row => row.key === termKey);
    return termRow === undefined ? undefined : { termVersion: termRow.version, rows };
};

/** Adopts the row versions in a conflict, which an earlier attempt without an answer may have written. */
const updateVersions = (batch: Batch, rows: readonly StateRow[]): void => {
    for (const { job } of batch.jobs) {
        job.recordVersion = findProgressRow(job, rows)?.version ?? job.recordVersion;
    }
};

/** Whether the rows in a conflict show that an earlier attempt has written the batch. */
const isWritten = (batch: Batch, rows: readonly StateRow[], term: number): boolean =>
    batch.jobs.every(({ job, record }) => {
        const found = findProgressRow(job, rows)?.value as JobRecord | undefined;
        return found?.term === term && found.sequence === record.sequence;
    });

const resolveBatch = (batch: Batch, recorded: boolean): void => {
    batch.jobs.forEach(({ resolvers }) => resolvers.forEach(resolve => resolve(recorded)));
};

const finishBatch = (batch: Batch, { onPhaseStored }: RecorderOptions): void => {
    for (const { job: { submission, submissionVersion, recordVersion }, record } of batch.jobs) {
        const { phase, endedAtMs } = record;
        onPhaseStored(submission.id, { phase, owner: submission, submissionVersion, recordVersion, endedAtMs });
    }
    resolveBatch(batch, true);
};

/** The next record of a job; `undefined`, logged, if an unexpected error keeps it from being built. */
const buildRecord = (job: JobState, { term, log }: RecorderOptions): JobRecord | undefined =>
    runGuarded(
        () => fitRow({ ...toJobRecord(job, term), sequence: job.sequence + 1 }),
        detail => log("error", "a job cannot be recorded", { jobId: job.submission.id, detail }),
    );

/** Creates the recorder of a term. Each write requires the part's term row and fails once a later term has begun. */
export const createRecorder = (options: RecorderOptions): Recorder => {
    const { state, timer, log, term } = options;
    const queues = new Map<string, PartQueue>();
    let stopped = false;

    const dequeueBatch = (queue: PartQueue): Batch => {
        const batch: Batch = { jobs: [] };
        let sizeBytes = 0;
        for (const [job, resolvers] of queue.waiting) {
            const record = buildRecord(job, options);
            if (record === undefined) {
                queue.waiting.delete(job);
                resolvers.forEach(resolve => resolve(false));
                continue;
            }
            const recordBytes = sizeOfRecord(record);
            if (recordBytes > maxRowBytes) {
                log("error", "the record of a job is too large", { jobId: job.submission.id, recordBytes });
                queue.waiting.delete(job);
                resolvers.forEach(resolve => resolve(false));
                continue;
            }
            sizeBytes += recordBytes;
            if (batch.jobs.length > 0 && (batch.jobs.length === maxJobsPerCommit || sizeBytes > maxBytesPerCommit)) {
                break;
            }
            queue.waiting.delete(job);
            job.sequence = record.sequence;
            batch.jobs.push({ job, record, resolvers });
        }
        return batch;
    };

    const commit = (part: string, batch: Batch) =>
        state.commit({
            part,
            conditions: [
                { table: progressTable, key: termKey, version: options.termVersions.get(part) ?? 0 },
                ...batch.jobs.map(({ job }) => ({
                    table: progressTable,
                    key: jobRowKey(job.submission.id, JobRowKind.Progress),
                    version: job.recordVersion,
                })),
            ],
            writes: batch.jobs.map(({ job, record }) => ({
                table: progressTable,
                key: jobRowKey(job.submission.id, JobRowKind.Progress),
                value: record,
            })),
        });

    /** Takes the jobs out of a batch whose rows were deleted after their retention time: nothing is to be written. */
    const dropDeletedJobs = (batch: Batch, rows: readonly StateRow[]): void => {
        const isDeleted = (job: JobState): boolean => job.recordVersion > 0 && findProgressRow(job, rows) === undefined;
        const deleted = batch.jobs.filter(({ job }) => isDeleted(job));
        if (deleted.length > 0) {
            log("warn", "progress of deleted jobs", { jobIds: deleted.map(({ job }) => job.submission.id) });
            batch.jobs = batch.jobs.filter(({ job }) => !isDeleted(job));
            resolveBatch({ jobs: deleted }, true);
        }
    };

    const writeBatch = async (part: string, batch: Batch): Promise<void> => {
        while (!stopped && batch.jobs.length > 0) {
            const written = await commit(part, batch);
            if (written.ok) {
                batch.jobs.forEach(({ job }) => {
                    job.recordVersion = written.value.version;
                });
                finishBatch(batch, options);
                return;
            }
            const conflict = toConflict(written.error);
            if (conflict !== undefined) {
                if (conflict.termVersion !== options.termVersions.get(part)) {
                    options.onFenced("the table names a later term");
                    break;
                }
                dropDeletedJobs(batch, conflict.rows);
                updateVersions(batch, conflict.rows);
                if (isWritten(batch, conflict.rows, term)) {
                    finishBatch(batch, options);
                    return;
                }
                continue;
            }
            log("warn", "progress not recorded yet", {
                part,
                jobs: batch.jobs.length,
                reason: describeStateError(written.error),
            });
            await timer.sleep(retryPauseMs);
        }
        resolveBatch(batch, false);
    };

    const drainQueue = async (queue: PartQueue): Promise<void> => {
        // jobs recorded in the same turn of the event loop join the transaction
        await Promise.resolve();
        while (queue.waiting.size > 0 && !stopped) {
            await writeBatch(queue.part, dequeueBatch(queue));
        }
        queue.writing = false;
        if (stopped) {
            queue.waiting.forEach(resolvers => resolvers.forEach(resolve => resolve(false)));
            queue.waiting.clear();
        }
    };

    return {
        record: job =>
            new Promise(resolve => {
                if (stopped) {
                    resolve(false);
                    return;
                }
                const part = partOfJob(job.submission.id);
                const queue = queues.get(part) ?? { part, waiting: new Map(), writing: false };
                queues.set(part, queue);
                queue.waiting.set(job, [...queue.waiting.get(job) ?? [], resolve]);
                if (!queue.writing) {
                    queue.writing = true;
                    void drainQueue(queue);
                }
            }),
        pendingCount: () => [...queues.values()].reduce((sum, queue) => sum + queue.waiting.size, 0),
        stop: () => {
            stopped = true;
        },
    };
};
