import type { TimerService } from "../../utils/timer.js";
import type { CallQueue } from "../callQueue.js";
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
    /** Called after every attempt, for metrics. */
    onAttempt: (attempt: Attempt) => void;
}

/** Time reserved before the deadline to fence a request without an answer and learn whether it ran. */
const fenceTimeoutMs = 150;
/** Share of the remaining time that one attempt of a retryable call may take. */
const retryableAttemptShare = 0.6;
/** Time for which an endpoint gets no calls after it refused one. */
const refusalBackoffMs = 20;

const httpServiceUnavailable = 503;
const httpBadGateway = 502;
const httpGatewayTimeout = 504;

interface Progress {
    attempts: number;
    /** Whether an earlier attempt may have run. */
    mayHaveRun: boolean;
    /** Names of endpoints at which an attempt failed. */
    excluded: Set<string>;
}

type NextAction = { kind: "answer"; answer: CallAnswer; } | { kind: "again"; };

const again: NextAction = { kind: "again" };

const failureAnswer = (progress: Progress, status: number, detail: string): CallAnswer =>
    progress.mayHaveRun
        ? { outcome: Outcome.Unknown, status: httpGatewayTimeout, detail }
        : { outcome: Outcome.NotRun, status, detail, retryAfterSeconds: 1 };

const answerWith = (answer: CallAnswer): NextAction => ({ kind: "answer", answer });

const attemptTimeoutMs = (call: Call, remainingMs: number): number =>
    call.atMostOnce
        ? Math.max(remainingMs / 2, remainingMs - fenceTimeoutMs)
        : remainingMs * retryableAttemptShare;

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
    runner.onAttempt(reply.attempt);
};

const retryOrAnswer = (runner: CallRunner, progress: Progress, endpoint: Endpoint, answer: CallAnswer): NextAction => {
    progress.excluded.add(endpoint.name);
    return runner.budget.tryConsume() ? again : answerWith(answer);
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
        return retryOrAnswer(runner, progress, endpoint, failureAnswer(progress, httpBadGateway, reason));
    }
    progress.mayHaveRun = true;
    const answer = failureAnswer(progress, httpGatewayTimeout, reason);
    return call.atMostOnce ? answerWith(answer) : retryOrAnswer(runner, progress, endpoint, answer);
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
            return retryOrAnswer(runner, progress, endpoint, failureAnswer(progress, httpBadGateway, attempt.reason));
        case AttemptKind.Failed: {
            progress.mayHaveRun = true;
            const answer = failureAnswer(
                progress,
                httpBadGateway,
                `the endpoint ran it and failed: ${attempt.reason}`,
            );
            return call.atMostOnce ? answerWith(answer) : retryOrAnswer(runner, progress, endpoint, answer);
        }
        case AttemptKind.Doubtful:
            return handleDoubtfulAttempt(runner, call, progress, endpoint, requestId, attempt.reason);
    }
};

const sendAttempt = async (
    runner: CallRunner,
    call: Call,
    progress: Progress,
    endpoint: Endpoint,
    callId: string,
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
    const reply = await endpoint.connections.send(request, attemptTimeoutMs(call, remainingMs));
    endpoint.outstanding -= 1;
    recordReply(runner, endpoint, reply);
    runner.line.dispatch();
    return handleAttempt(runner, call, progress, endpoint, requestId, reply.attempt);
};

/**
 * Runs a call on an endpoint. After a refusal by an endpoint it is retried until its deadline. Within the retry budget
 * it is also retried if the attempt did not run for another reason, and after any failure if it may run twice.
 *
 * @param callId prefix of the request ids of its attempts
 */
export const runCall = async (runner: CallRunner, call: Call, callId: string): Promise<CallAnswer> => {
    const progress: Progress = { attempts: 0, mayHaveRun: false, excluded: new Set() };
    runner.budget.recordFirstAttempt();
    for (;;) {
        const waited = await runner.line.wait({
            urgency: call.urgency,
            deadlineAtMs: call.deadlineAtMs,
            choose: () => runner.choose(progress.excluded),
        });
        if (waited.kind !== "endpoint") {
            const detail = waited.kind === "expired"
                ? "no endpoint had room before the deadline"
                : "too many calls wait";
            return failureAnswer(progress, httpServiceUnavailable, detail);
        }
        const action = await sendAttempt(runner, call, progress, waited.endpoint, callId);
        if (action.kind === "answer") {
            return action.answer;
        }
    }
};
