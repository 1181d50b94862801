import { describeStateError, StateErrorKind } from "../../state/types.js";
import { resolveWithin } from "../../utils/resolveWithin.js";
import { mayAccess } from "../jobAccess.js";
import type { JobAccess } from "../jobAccess.js";
import { phaseOf } from "../projection.js";
import { readJob } from "../queries/readJob.js";
import { jobRowKey, JobRowKind, jobsTable, partOfJob } from "../rows.js";
import { isEnded } from "../types.js";
import type { JobCommandContext } from "./acceptJob.js";

/** Outcome of a request to cancel a job. */
export enum Cancellation {
    /** The cancellation is stored, or the job had ended already. */
    Done = "done",
    NoSuchJob = "noSuchJob",
    /** The table could not be read or written; the caller should retry. */
    Unavailable = "unavailable",
}

/** Attempts to store a cancellation; each takes up to the timeout of the table's client. */
const maxAttempts = 3;
const retryPauseMs = 60;

/** Options of {@link cancelStoredJob}. */
export interface CancelOptions {
    /** Who cancels. @default anyone */
    access?: JobAccess;
    /** Time that the caller waits, from now; afterwards a cancellation in progress may still be stored. @default unlimited */
    deadlineMs?: number;
}

/** Shares of the caller's deadline in which the job is read, and after which it is answered. */
const readShareOfDeadline = 0.5;
const answerShareOfDeadline = 0.9;

const readAndStore = async (
    context: JobCommandContext,
    jobId: string,
    { access, deadlineMs }: CancelOptions,
): Promise<Cancellation> => {
    const readMs = deadlineMs === undefined ? undefined : deadlineMs * readShareOfDeadline;
    const job = await readJob(context.state, jobId, readMs);
    if (job === "unavailable") {
        return Cancellation.Unavailable;
    }
    const phase = phaseOf(job);
    if (job?.submission === undefined || phase === undefined || !mayAccess(job.submission, access)) {
        return Cancellation.NoSuchJob;
    }
    if (isEnded(phase)) {
        return Cancellation.Done;
    }
    const cancellationRow = { table: jobsTable, key: jobRowKey(jobId, JobRowKind.Cancellation) };
    for (let attempt = 1; attempt <= maxAttempts; attempt++) {
        const written = await context.state.commit({
            part: partOfJob(jobId),
            conditions: [],
            writes: [{ ...cancellationRow, value: { atMs: context.timer.wallClockMs() } }],
        });
        if (written.ok) {
            context.log("info", "job cancelled", { jobId, phase, version: written.value.version });
            return Cancellation.Done;
        }
        context.log("warn", "cancellation not stored yet", {
            jobId,
            attempt,
            reason: describeStateError(written.error),
        });
        if (written.error.kind === StateErrorKind.Unavailable && attempt > 1) {
            break;
        }
        await context.timer.sleep(retryPauseMs);
    }
    return Cancellation.Unavailable;
};

/** Stores the cancellation of a job that its caller may cancel; the planner then stops its runs. */
export const cancelStoredJob = (
    context: JobCommandContext,
    jobId: string,
    options: CancelOptions = {},
): Promise<Cancellation> => {
    const { deadlineMs } = options;
    const answerMs = deadlineMs === undefined ? undefined : deadlineMs * answerShareOfDeadline;
    return resolveWithin(
        context.timer,
        answerMs,
        readAndStore(context, jobId, options),
        Cancellation.Unavailable,
    );
};
