import { createCancellation } from "../../utils/cancellation.js";
import type { Cancellation } from "../../utils/cancellation.js";
import type { TimerService } from "../../utils/timer.js";
import type { CallQueue, WaitResult } from "../callQueue.js";
import type { EndpointReply } from "../connections.js";
import type { Endpoint, Endpoints } from "../endpoints.js";
import type { RetryBudget } from "../retryBudget.js";
import { AttemptKind, FenceState, Outcome } from "../types.js";
import type { Attempt, Call, CallAnswer } from "../types.js";

/** Dependencies of {@link runCall}. */
export interface CallRunner {
    timer: TimerService;
    endpoints: Endpoints;
    /** Calls that wait for an endpoint. */
    line: CallQueue;
    budget: RetryBudget;
    /** Chooses an endpoint with free capacity that is not excluded. */
    choose: (excluded: ReadonlySet<string>) => Endpoint | undefined;
    /** Called after every attempt, for metrics and logs. */
    onAttempt: (ended: EndedAttempt) => void;
}

/** An attempt that ended, with what decided about it. */
export interface EndedAttempt {
    requestId: string;
    endpoint: string;
    attempt: Attempt;
    /** Whether it was ended because another attempt got the result. */
    overtaken: boolean;
    /** Time after which it is cut off. */
    timeoutMs: number;
    elapsedMs: number;
    /** Time left until the call's deadline; negative after it. */
    remainingMs: number;
}

/** Time reserved before the deadline to fence a request without an answer and learn whether it ran. */
const fenceTimeoutMs = 150;
/**
 * Share of the remaining time without an answer after which a call that may run twice is also sent to another endpoint.
 * The first attempt goes on: its endpoint may be at work on it, and a later one has less time.
 */
const hedgeDelayShare = 0.6;
/** Time for which an endpoint gets no calls after it refused one. */
const refusalBackoffMs = 20;

const httpServiceUnavailable = 503;
const httpBadGateway = 502;
const httpGatewayTimeout = 504;

interface Progress {
    attempts: number;
    /** Why an attempt may have run; `undefined` while none has. */
    doubt?: string;
    /** Names of endpoints at which an attempt failed or had no answer for long. */
    excluded: Set<string>;
}

type NextAction = { kind: "answer"; answer: CallAnswer; } | { kind: "again"; };

const again: NextAction = { kind: "again" };

const withDoubt = (detail: string, doubt: string): string =>
    detail === doubt ? detail : `${detail}; an attempt before may have run: ${doubt}`;

const failureAnswer = (progress: Progress, status: number, detail: string): CallAnswer =>
    progress.doubt !== undefined
        ? { outcome: Outcome.Unknown, status: httpGatewayTimeout, detail: withDoubt(detail, progress.doubt) }
        : { outcome: Outcome.NotRun, status, detail, retryAfterSeconds: 1 };

const answerWith = (answer: CallAnswer): NextAction => ({ kind: "answer", answer });

const attemptTimeoutMs = (call: Call, remainingMs: number): number =>
    call.atMostOnce
        ? Math.max(remainingMs / 2, remainingMs - fenceTimeoutMs)
        : remainingMs;

const recordReply = (runner: CallRunner, endpoint: Endpoint, reply: EndpointReply): void => {
    const { kind } = reply.attempt;
    if (reply.slotsBusy !== undefined && Number.isFinite(reply.slotsBusy)) {
        endpoint.slotsBusy = reply.slotsBusy;
        endpoint.slotsBusyAtMs = runner.timer.nowMs();
    }
    if (reply.leaving) {
        runner.endpoints.markLeaving(endpoint);
    }
    if (kind !== AttemptKind.Refused) {
        runner.endpoints.ejection.record(endpoint.name, kind !== AttemptKind.Done);
    }
};

const retryOrAnswer = (
    runner: CallRunner,
    call: Call,
    progress: Progress,
    endpoint: Endpoint,
    answer: CallAnswer,
): NextAction => {
    progress.excluded.add(endpoint.name);
    const hasTime = runner.timer.nowMs() < call.deadlineAtMs;
    return hasTime && runner.budget.tryConsume() ? again : answerWith(answer);
};

const handleDoubtfulAttempt = async (
    runner: CallRunner,
    call: Call,
    progress: Progress,
    endpoint: Endpoint,
    requestId: string,
    reason: string,
): Promise<NextAction> => {
    const state = call.atMostOnce ? await endpoint.connections.fence(requestId, fenceTimeoutMs) : undefined;
    if (state === FenceState.NeverRan) {
        return retryOrAnswer(runner, call, progress, endpoint, failureAnswer(progress, httpBadGateway, reason));
    }
    progress.doubt = reason;
    const answer = failureAnswer(progress, httpGatewayTimeout, reason);
    return call.atMostOnce ? answerWith(answer) : retryOrAnswer(runner, call, progress, endpoint, answer);
};

const handleAttempt = async (
    runner: CallRunner,
    call: Call,
    progress: Progress,
    endpoint: Endpoint,
    requestId: string,
    attempt: Attempt,
): Promise<NextAction> => {
    switch (attempt.kind) {
        case AttemptKind.Done:
            return answerWith({ outcome: Outcome.Done, status: 200, result: attempt.result });
        case AttemptKind.Refused:
            endpoint.backoffUntilMs = runner.timer.nowMs() + refusalBackoffMs;
            return again;
        case AttemptKind.NotSent:
            return retryOrAnswer(
                runner,
                call,
                progress,
                endpoint,
                failureAnswer(progress, httpBadGateway, attempt.reason),
            );
        case AttemptKind.Failed: {
            const reason = `the endpoint ran it and failed: ${attempt.reason}`;
            progress.doubt = reason;
            const answer = failureAnswer(progress, httpBadGateway, reason);
            return call.atMostOnce ? answerWith(answer) : retryOrAnswer(runner, call, progress, endpoint, answer);
        }
        case AttemptKind.Doubtful:
            return handleDoubtfulAttempt(runner, call, progress, endpoint, requestId, attempt.reason);
    }
};

/** Sends one attempt; `overtaken` ends it when another one was answered first. */
const sendAttempt = async (
    runner: CallRunner,
    call: Call,
    progress: Progress,
    endpoint: Endpoint,
    callId: string,
    overtaken?: Cancellation,
): Promise<NextAction> => {
    const remainingMs = call.deadlineAtMs - runner.timer.nowMs();
    if (remainingMs <= 0 || call.callerGone.aborted) {
        endpoint.outstanding -= 1;
        return answerWith(
            failureAnswer(
                progress,
                httpGatewayTimeout,
                "the deadline passed before it was sent",
            ),
        );
    }
    progress.attempts += 1;
    const requestId = `${callId}/${progress.attempts}`;
    const { key, customer, service, body } = call;
    const request = { requestId, key, customer, service, body };
    const timeoutMs = attemptTimeoutMs(call, remainingMs);
    const reply = await endpoint.connections.send(request, timeoutMs, overtaken);
    endpoint.outstanding -= 1;
    const leftMs = call.deadlineAtMs - runner.timer.nowMs();
    runner.onAttempt({
        requestId,
        endpoint: endpoint.name,
        attempt: reply.attempt,
        overtaken: overtaken?.isCancelled() === true,
        timeoutMs,
        elapsedMs: remainingMs - leftMs,
        remainingMs: leftMs,
    });
    if (overtaken?.isCancelled() === true) {
        runner.line.dispatch();
        return again;
    }
    recordReply(runner, endpoint, reply);
    runner.line.dispatch();
    return handleAttempt(runner, call, progress, endpoint, requestId, reply.attempt);
};

/**
 * Sends a call that may run twice. While it has no answer, it is also sent to other endpoints within the retry budget;
 * the first result counts. Resolves when there is one or all attempts have failed.
 */
const sendHedged = (
    runner: CallRunner,
    call: Call,
    progress: Progress,
    firstEndpoint: Endpoint,
    callId: string,
): Promise<NextAction> =>
    new Promise((resolve, reject) => {
        const settled = createCancellation();
        /** In the order in which their attempts started. */
        const inProgress: Endpoint[] = [];
        let mayRetry = false;
        let cancelHedge = (): void => {};

        const settle = (action: NextAction): void => {
            settled.cancel();
            cancelHedge();
            resolve(action);
        };

        const handleEnd = (endpoint: Endpoint, action: NextAction): void => {
            if (settled.isCancelled()) {
                return;
            }
            const earlier = inProgress.slice(0, inProgress.indexOf(endpoint));
            inProgress.splice(earlier.length, 1);
            if (action.kind === "answer" && action.answer.outcome === Outcome.Done) {
                earlier.forEach(silent => runner.endpoints.ejection.record(silent.name, true));
                settle(action);
                return;
            }
            mayRetry ||= action.kind === "again";
            if (inProgress.length === 0) {
                settle(mayRetry ? again : action);
            }
        };

        const hedge = async (): Promise<void> => {
            inProgress.forEach(silent => progress.excluded.add(silent.name));
            if (call.callerGone.aborted || !runner.budget.tryConsume()) {
                return;
            }
            const waited = await waitForEndpoint(runner, call, progress, settled.isCancelled);
            if (waited.kind !== "endpoint") {
                return;
            }
            if (settled.isCancelled()) {
                waited.endpoint.outstanding -= 1;
                runner.line.dispatch();
                return;
            }
            start(waited.endpoint);
        };

        const start = (endpoint: Endpoint): void => {
            inProgress.push(endpoint);
            const remainingMs = call.deadlineAtMs - runner.timer.nowMs();
            cancelHedge = runner.timer.after(remainingMs * hedgeDelayShare, () => void hedge());
            sendAttempt(runner, call, progress, endpoint, callId, settled)
                .then(action => handleEnd(endpoint, action))
                .catch(reject);
        };

        start(firstEndpoint);
    });

const waitForEndpoint = (
    runner: CallRunner,
    call: Call,
    progress: Progress,
    isWithdrawn?: () => boolean,
): Promise<WaitResult> =>
    runner.line.wait({
        urgency: call.urgency,
        deadlineAtMs: call.deadlineAtMs,
        choose: () => runner.choose(progress.excluded),
        excludesEndpoints: progress.excluded.size > 0,
        isWithdrawn,
    });

const waitFailureDetails = {
    expired: "no endpoint had room before the deadline",
    refused: "too many calls wait",
    withdrawn: "it was answered",
};

/**
 * Runs a call on an endpoint. After a refusal by an endpoint it is retried until its deadline. Within the retry budget
 * it is also retried if the attempt did not run for another reason; if it may run twice, after any failure and beside
 * an attempt that has no answer for long.
 *
 * @param callId prefix of the request ids of its attempts
 */
export const runCall = async (runner: CallRunner, call: Call, callId: string): Promise<CallAnswer> => {
    const progress: Progress = { attempts: 0, excluded: new Set() };
    const send = call.atMostOnce ? sendAttempt : sendHedged;
    runner.budget.recordFirstAttempt();
    for (;;) {
        const waited = await waitForEndpoint(runner, call, progress);
        if (waited.kind !== "endpoint") {
            return failureAnswer(progress, httpServiceUnavailable, waitFailureDetails[waited.kind]);
        }
        const action = await send(runner, call, progress, waited.endpoint, callId);
        if (action.kind === "answer") {
            return action.answer;
        }
    }
};
