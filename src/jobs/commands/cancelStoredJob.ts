import { describeStateError, StateErrorKind } from "../../state/types.js";
import { resolveWithin } from "../../utils/resolveWithin.js";
import { mayAccess } from "../jobAccess.js";
import type { JobAccess } from "../jobAccess.js";
import { phaseOf } from "../projection.js";
import { readJob } from "../queries/readJob.js";
import { recallPhase } from "../queries/recallPhase.js";
import type { PhaseRecall } from "../queries/recallPhase.js";
import { jobRowKey, JobRowKind, jobsTable, partOfJob } from "../rows.js";
import { isEnded } from "../types.js";
import type { JobPhase } from "../types.js";
import { answerShareOfDeadline } from "./acceptJob.js";
import type { JobCommandContext } from "./acceptJob.js";

/** Outcome of a request to cancel a job. */
export enum Cancellation {
    /** The cancellation is stored, or the job had ended already. */
    Done = "done",
    NoSuchJob = "noSuchJob",
    /** The table could not be read or written, and the cancellation will not be stored; the caller should retry. */
    Unavailable = "unavailable",
    /** A write got no answer; it may have taken effect or still do so. */
    Unknown = "unknown",
}

/** Attempts to store a cancellation; each takes up to the timeout of the table's client. */
const maxAttempts = 3;
const retryPauseMs = 60;

/** Options of {@link cancelStoredJob}. */
export interface CancelOptions {
    /** Who cancels. @default anyone */
    access?: JobAccess;
    /** Time that the caller waits, from now; a write that has been sent by then may still take effect. @default unlimited */
    deadlineMs?: number;
}

/** Share of the caller's deadline in which the job is read, so that a refused caller can ask another VM. */
const readShareOfDeadline = 0.35;

/** Time in which another VM tells what it knows, on the slowest machines. */
const maxRecallMs = 300;

/** Writes a cancellation until it is answered or the time is over. */
const store = async (context: JobCommandContext, jobId: string, phase: JobPhase, giveUpAtMs: number) => {
    const cancellationRow = { table: jobsTable, key: jobRowKey(jobId, JobRowKind.Cancellation) };
    let outcome = Cancellation.Unavailable;
    for (let attempt = 1; attempt <= maxAttempts && context.timer.nowMs() <= giveUpAtMs; attempt++) {
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
        if (written.error.kind !== StateErrorKind.Unavailable) {
            outcome = Cancellation.Unknown;
        }
        else if (attempt > 1) {
            break;
        }
        await context.timer.sleep(retryPauseMs);
    }
    return outcome;
};

/** Stores the cancellation of a job that its caller may cancel; the planner then stops its runs. */
export const cancelStoredJob = async (
    context: JobCommandContext & PhaseRecall,
    jobId: string,
    { access, deadlineMs }: CancelOptions = {},
): Promise<Cancellation> => {
    const { state, timer } = context;
    const startedAtMs = timer.nowMs();
    const readMs = deadlineMs === undefined ? undefined : deadlineMs * readShareOfDeadline;
    const job = await resolveWithin(timer, readMs, readJob(state, jobId, readMs), "unavailable" as const);
    if (job === "unavailable") {
        const known = await recallPhase(context, jobId, Math.min(maxRecallMs, (readMs ?? maxRecallMs) / 2));
        const hasEnded = known !== undefined && context.isFinal(known) && mayAccess(known.owner, access);
        return hasEnded ? Cancellation.Done : Cancellation.Unavailable;
    }
    const phase = phaseOf(job);
    if (job?.submission === undefined || phase === undefined || !mayAccess(job.submission, access)) {
        return Cancellation.NoSuchJob;
    }
    if (isEnded(phase)) {
        return Cancellation.Done;
    }
    if (deadlineMs === undefined) {
        return store(context, jobId, phase, Number.POSITIVE_INFINITY);
    }
    const answerAtMs = startedAtMs + deadlineMs * answerShareOfDeadline;
    const stored = store(context, jobId, phase, answerAtMs);
    return resolveWithin(timer, answerAtMs - timer.nowMs(), stored, Cancellation.Unknown);
};
