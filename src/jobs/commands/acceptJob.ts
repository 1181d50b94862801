import type { Log } from "../../node/logs.js";
import { describeStateError, StateErrorKind } from "../../state/types.js";
import type { StateTable } from "../../state/types.js";
import type { TimerService } from "../../utils/timer.js";
import { jobRowKey, JobRowKind, jobsTable, partOfJob } from "../rows.js";
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

/** Dependencies of the commands on jobs. */
export interface JobCommandContext {
    state: StateTable;
    timer: TimerService;
    log: Log;
}

/** Pause before a write is retried. */
const retryPauseMs = 60;
/** Share of the caller's deadline in which a write without an answer is retried; afterwards the outcome is unknown. */
const retryShareOfDeadline = 0.5;

/**
 * Stores a submission; its customer is answered only afterwards. A submission whose id is already stored counts as
 * accepted.
 *
 * @param deadlineMs time that the caller waits, from now
 */
export const acceptJob = async (
    context: JobCommandContext,
    submission: JobSubmission,
    deadlineMs: number,
): Promise<Acceptance> => {
    const { state, timer, log } = context;
    const key = jobRowKey(submission.id, JobRowKind.Submission);
    const startedAtMs = timer.nowMs();
    const giveUpAtMs = startedAtMs + deadlineMs * retryShareOfDeadline;
    let mayHaveArrived = false;
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
            return Acceptance.Accepted;
        }
        if (written.error.kind === StateErrorKind.Conflict) {
            log("info", "job is stored already", { jobId: submission.id, attempt });
            return Acceptance.Accepted;
        }
        mayHaveArrived ||= written.error.kind === StateErrorKind.NoAnswer;
        const reason = describeStateError(written.error);
        if (!mayHaveArrived) {
            log("warn", "job not accepted", { jobId: submission.id, reason, attempt });
            return Acceptance.NotRun;
        }
        if (timer.nowMs() > giveUpAtMs) {
            log("warn", "job may have been accepted", { jobId: submission.id, reason, attempt });
            return Acceptance.Unknown;
        }
        await timer.sleep(retryPauseMs);
    }
};
