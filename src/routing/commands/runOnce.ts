import type { PlatformClient } from "../../platform/types.js";
import type { TimerService } from "../../utils/timer.js";
import { claimAttempt, RecordState, settleAttempt } from "../attemptRecord.js";
import type { Claim, ClaimError } from "../attemptRecord.js";
import { Outcome } from "../types.js";
import type { Call, CallAnswer } from "../types.js";

/** What running a call at most once needs. */
export interface OnceRunner {
    platform: PlatformClient;
    timer: TimerService;
    /** Name of the VM, recorded with the attempt. */
    router: string;
    /** Runs the one attempt; its identities start with the attempt's. */
    run: (call: Call, attemptId: string) => Promise<CallAnswer>;
}

const recheckMs = 100;
/** Longest wait for the record of an answer that is already there. */
const maxSettleWaitMs = 400;

const settledStates = { [Outcome.Done]: RecordState.Done, [Outcome.NotRun]: RecordState.NotRun };

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

const settle = async (runner: OnceRunner, claim: Claim, answer: CallAnswer): Promise<void> => {
    if (answer.outcome === Outcome.Unknown) {
        return;
    }
    const settled = settleAttempt(runner.platform, runner.timer, claim, settledStates[answer.outcome], answer.result);
    await Promise.race([settled, runner.timer.sleep(maxSettleWaitMs)]);
};

const hasTime = (runner: OnceRunner, call: Call): boolean =>
    runner.timer.nowMs() + recheckMs < call.deadlineAtMs && !call.callerGone.aborted;

/** Runs a call at most once: its attempt is recorded before it is sent, and a repeated key answers from the record. */
export const runOnce = async (runner: OnceRunner, call: Call): Promise<CallAnswer> => {
    for (;;) {
        const claimed = await claimAttempt(runner.platform, runner.timer, call, runner.router);
        if (claimed.ok) {
            const answer = await runner.run(call, claimed.value.record.attemptId);
            await settle(runner, claimed.value, answer);
            return answer;
        }
        if (claimed.error.kind !== "inProgress" || !hasTime(runner, call)) {
            return answerOfClaimError(claimed.error);
        }
        await runner.timer.sleep(recheckMs);
    }
};
