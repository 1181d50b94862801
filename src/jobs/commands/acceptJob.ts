import type { Log } from "../../node/logs.js";
import { describeStateError } from "../../state/types.js";
import type { StateTable } from "../../state/types.js";
import { firstDefined } from "../../utils/firstDefined.js";
import { resolveWithin } from "../../utils/resolveWithin.js";
import type { TimerService } from "../../utils/timer.js";
import { recallAnyPhase } from "../queries/recallPhase.js";
import type { PhaseRecall } from "../queries/recallPhase.js";
import { jobRowKey, JobRowKind, jobsTable, partOfJob } from "../rows.js";
import { toWriteOutcome, WriteOutcome } from "../sentSubmissions.js";
import type { SentSubmissions } from "../sentSubmissions.js";
import type { SubmissionAdmission, UnsentRefusal } from "../submissionAdmission.js";
import type { JobSubmission } from "../types.js";

/** Outcome of storing a submission. */
export enum Acceptance {
    /** It is stored. */
    Accepted = "accepted",
    /** It is not stored and will not be. */
    NotRun = "notRun",
    /** A write got no answer; it may have taken effect or still do so. */
    Unknown = "unknown",
}

/** Result of a submission. */
export interface AcceptResult {
    acceptance: Acceptance;
    /** Time after which the caller of a submission that was not sent may come back. */
    retryAfterMs?: number;
}

/** Dependencies of the commands on jobs. */
export interface JobCommandContext {
    state: StateTable;
    timer: TimerService;
    log: Log;
}

/** Dependencies of {@link acceptJob}. */
export interface AcceptContext extends JobCommandContext, PhaseRecall {
    admission: SubmissionAdmission;
    sentSubmissions: SentSubmissions;
}

/** Pause before a write is retried. */
const retryPauseMs = 60;
/** Share of the caller's deadline in which a write without an answer is retried; afterwards the outcome is unknown. */
const retryShareOfDeadline = 0.5;
/** Share of the caller's deadline after which it is told that the outcome of a write in progress is unknown. */
export const answerShareOfDeadline = 0.9;

/** Writes a submission until it is answered or the time is over. */
const store = async (
    { state, timer, log }: AcceptContext,
    submission: JobSubmission,
    giveUpAtMs: number,
    wasSentBefore: boolean,
): Promise<WriteOutcome> => {
    const key = jobRowKey(submission.id, JobRowKind.Submission);
    const startedAtMs = timer.nowMs();
    let mayHaveArrived = wasSentBefore;
    for (let attempt = 1;; attempt++) {
        const written = await state.commit({
            part: partOfJob(submission.id),
            conditions: [{ table: jobsTable, key, version: 0 }],
            writes: [{ table: jobsTable, key, value: submission }],
        });
        if (written.ok) {
            log("info", "job accepted", {
                jobId: submission.id,
                queue: submission.queue,
                priority: submission.priority,
                version: written.value.version,
                attempt,
                tookMs: Math.round(timer.nowMs() - startedAtMs),
            });
            return WriteOutcome.Stored;
        }
        const outcome = toWriteOutcome(written);
        if (outcome === WriteOutcome.StoredEarlier) {
            log("info", "job is stored already", { jobId: submission.id, attempt });
            return outcome;
        }
        mayHaveArrived ||= outcome === WriteOutcome.Unknown;
        const reason = describeStateError(written.error);
        if (!mayHaveArrived) {
            log("warn", "job not accepted", { jobId: submission.id, reason, attempt });
            return WriteOutcome.NotStored;
        }
        if (timer.nowMs() > giveUpAtMs) {
            log("warn", "job may have been accepted", { jobId: submission.id, reason, attempt });
            return WriteOutcome.Unknown;
        }
        await timer.sleep(retryPauseMs);
    }
};

const acceptanceOf: Record<WriteOutcome, Acceptance> = {
    [WriteOutcome.Stored]: Acceptance.Accepted,
    [WriteOutcome.StoredEarlier]: Acceptance.Accepted,
    [WriteOutcome.NotStored]: Acceptance.NotRun,
    [WriteOutcome.Unknown]: Acceptance.Unknown,
};

/** Answers a submission that is not sent: one that this VM sent before is or may be stored, whatever happens now. */
const answerUnsent = (
    { log, sentSubmissions }: AcceptContext,
    { id, priority }: JobSubmission,
    { retryAfterMs, outageMs }: UnsentRefusal,
): AcceptResult => {
    const reason = "not sent: the table answers no operation";
    const acceptance = acceptanceOf[sentSubmissions.outcomeOf(id)];
    switch (acceptance) {
        case Acceptance.NotRun:
            log("warn", "job not accepted", {
                jobId: id,
                priority,
                reason,
                attempt: 0,
                outageMs: Math.round(outageMs),
                retryAfterMs,
            });
            return { acceptance, retryAfterMs };
        case Acceptance.Unknown:
            log("warn", "job may have been accepted", { jobId: id, reason, attempt: 0 });
            return { acceptance };
        case Acceptance.Accepted:
            log("info", "job is stored already", { jobId: id, attempt: 0 });
            return { acceptance };
    }
};

/** Finds out without the table whether a submission of the same customer is stored under the id. */
const recallStored = async (
    context: AcceptContext,
    { id, customer, queue }: JobSubmission,
    timeoutMs: number,
): Promise<WriteOutcome | undefined> => {
    const known = await recallAnyPhase(context, id, timeoutMs);
    return known?.owner.customer === customer && known?.owner.queue === queue ? WriteOutcome.StoredEarlier : undefined;
};

/** Awaits the outcome of writes; from `doubtAtMs` on it is also looked for where jobs are known without the table. */
const awaitOutcome = async (
    context: AcceptContext,
    submission: JobSubmission,
    stored: Promise<WriteOutcome>,
    doubtAtMs: number,
    answerAtMs: number,
): Promise<WriteOutcome> => {
    const { timer } = context;
    const early = await resolveWithin(timer, doubtAtMs - timer.nowMs(), stored, WriteOutcome.Unknown);
    if (early !== WriteOutcome.Unknown) {
        return early;
    }
    const restMs = answerAtMs - timer.nowMs();
    const known = stored.then(outcome => outcome === WriteOutcome.Unknown ? undefined : outcome);
    const outcomes = firstDefined([known, recallStored(context, submission, restMs)]);
    return await resolveWithin(timer, restMs, outcomes, undefined) ?? WriteOutcome.Unknown;
};

/**
 * Stores a submission; its customer is answered only afterwards. A submission whose id is already stored counts as
 * accepted. One that the table would not answer is refused without being sent.
 *
 * @param deadlineMs time that the caller waits, from now
 */
export const acceptJob = async (
    context: AcceptContext,
    submission: JobSubmission,
    deadlineMs: number,
): Promise<AcceptResult> => {
    const { timer, admission, sentSubmissions } = context;
    const startedAtMs = timer.nowMs();
    const giveUpAtMs = startedAtMs + deadlineMs * retryShareOfDeadline;
    const refusal = await admission.admit(submission.priority, deadlineMs * retryShareOfDeadline);
    if (refusal !== undefined) {
        return answerUnsent(context, submission, refusal);
    }
    const earlier = sentSubmissions.outcomeOf(submission.id);
    const finish = sentSubmissions.begin(submission.id);
    const stored = store(context, submission, giveUpAtMs, earlier !== WriteOutcome.NotStored).then(result => {
        finish(result);
        return result;
    });
    const answerAtMs = startedAtMs + deadlineMs * answerShareOfDeadline;
    const outcome = await awaitOutcome(context, submission, stored, giveUpAtMs, answerAtMs);
    // what was stored before is still there when a repeated write gets no answer
    const isStoredBefore = outcome === WriteOutcome.Unknown && earlier === WriteOutcome.Stored;
    return { acceptance: isStoredBefore ? Acceptance.Accepted : acceptanceOf[outcome] };
};
