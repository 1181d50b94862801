import { describeStateError, StateErrorKind } from "../../state/types.js";
import { phaseOf } from "../book.js";
import { readJob } from "../queries/readJob.js";
import { jobRowKey, JobRowKind, jobsTable, partOfJob } from "../rows.js";
import { isEnded } from "../types.js";
import type { JobCommandContext } from "./acceptJob.js";

/** What became of a cancellation. */
export enum Cancellation {
    /** It is stored, or the job had ended. */
    Done = "done",
    NoSuchJob = "noSuchJob",
    /** The table did not answer; the caller should ask again. */
    Unavailable = "unavailable",
}

/** Tries to store a cancellation; each takes up to the time-out of the table's client. */
const maxAttempts = 3;
const retryPauseMs = 60;

/** Stores a cancellation; the planner stops what runs. */
export const cancelStoredJob = async (
    context: JobCommandContext,
    jobId: string,
): Promise<Cancellation> => {
    const entry = await readJob(context.state, jobId);
    if (entry === "unavailable") {
        return Cancellation.Unavailable;
    }
    const phase = phaseOf(entry);
    if (phase === undefined) {
        return Cancellation.NoSuchJob;
    }
    if (isEnded(phase)) {
        return Cancellation.Done;
    }
    const cancelRow = { table: jobsTable, key: jobRowKey(jobId, JobRowKind.Cancellation) };
    for (let attempt = 1; attempt <= maxAttempts; attempt++) {
        const written = await context.state.commit({
            part: partOfJob(jobId),
            conditions: [],
            writes: [{ ...cancelRow, value: { atMs: context.timer.wallClockMs() } }],
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
