import { describeStateError, StateErrorKind } from "../../state/types.js";
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

/** Stores the cancellation of a job that `access` may cancel; the planner then stops its runs. */
export const cancelStoredJob = async (
    context: JobCommandContext,
    jobId: string,
    access?: JobAccess,
): Promise<Cancellation> => {
    const job = await readJob(context.state, jobId);
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
