import type { PlatformClient } from "../../platform/types.js";
import type { TimerService } from "../../utils/timer.js";
import { claimAttempt, recordAttemptOutcome, RecordState } from "../attemptRecord.js";
import type { Claim, ClaimError } from "../attemptRecord.js";
import { Outcome } from "../types.js";
import type { Call, CallAnswer } from "../types.js";

/** Dependencies of {@link runOnce}. */
export interface AtMostOnceRunner {
    platform: PlatformClient;
    timer: TimerService;
    /** Name of this router's VM, recorded with the attempt. */
    router: string;
    /** Runs the call; its request ids start with the id of the recorded attempt. */
    run: (call: Call, attemptId: string) => Promise<CallAnswer>;
    /** Called with each write of an outcome, which may take longer than the answer of the call. */
    onRecording: (recording: Promise<unknown>) => void;
}

const claimRetryMs = 100;
/** Maximum time that an answer is delayed until its outcome is recorded; then the write continues in the background. */
const maxRecordWaitMs = 400;

const recordStates = { [Outcome.Done]: RecordState.Done, [Outcome.NotRun]: RecordState.NotRun };

const answerOfClaimError = (error: ClaimError): CallAnswer => {
    switch (error.kind) {
        case "answered":
            return { outcome: Outcome.Done, status: 200, result: error.result };
        case "inProgress":
            return {
                outcome: Outcome.Unknown,
                status: 409,
                detail: "an attempt with this key is in progress or its fate is unknown",
            };
        case "keyReused":
            return { outcome: Outcome.NotRun, status: 422, detail: "the key was used with a different body" };
        case "unavailable":
            return { outcome: Outcome.NotRun, status: 503, detail: error.detail, retryAfterSeconds: 1 };
    }
};

const recordOutcome = async (runner: AtMostOnceRunner, claim: Claim, answer: CallAnswer): Promise<void> => {
    if (answer.outcome === Outcome.Unknown) {
        return;
    }
    const recorded = recordAttemptOutcome(
        runner.platform,
        runner.timer,
        claim,
        recordStates[answer.outcome],
        answer.result,
    );
    runner.onRecording(recorded);
    await Promise.race([recorded, runner.timer.sleep(maxRecordWaitMs)]);
};

const canRetryClaim = (runner: AtMostOnceRunner, call: Call): boolean =>
    runner.timer.nowMs() + claimRetryMs < call.deadlineAtMs && !call.callerGone.aborted;

/** Runs a call at most once: its attempt is recorded before it is sent; a repeated key is answered from the record. */
export const runOnce = async (runner: AtMostOnceRunner, call: Call): Promise<CallAnswer> => {
    for (;;) {
        const claimed = await claimAttempt(runner.platform, runner.timer, call, runner.router);
        if (claimed.ok) {
            const answer = await runner.run(call, claimed.value.record.attemptId);
            await recordOutcome(runner, claimed.value, answer);
            return answer;
        }
        if (claimed.error.kind !== "inProgress" || !canRetryClaim(runner, call)) {
            return answerOfClaimError(claimed.error);
        }
        await runner.timer.sleep(claimRetryMs);
    }
};
