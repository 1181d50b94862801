import type { TimerService } from "../../utils/timer.js";
import type { EndpointReply } from "../connections.js";
import type { Endpoint, Endpoints } from "../endpoints.js";
import type { RetryBudget } from "../retryBudget.js";
import { AttemptKind, FenceState, Outcome } from "../types.js";
import type { Attempt, Call, CallAnswer } from "../types.js";
import type { WaitingLine } from "../waitingLine.js";

/** What running a call needs. */
export interface CallRunner {
    timer: TimerService;
    endpoints: Endpoints;
    line: WaitingLine;
    budget: RetryBudget;
    /** Picks an endpoint with room, other than those to avoid. */
    choose: (avoid: ReadonlySet<string>) => Endpoint | undefined;
    /** Called after every attempt, for metrics. */
    onAttempt: (attempt: Attempt) => void;
}

/** Time kept back before the deadline to ask whether an unanswered call ran. */
const fenceMs = 150;
/** Share of the remaining time that one attempt of a repeatable call may take. */
const repeatableAttemptShare = 0.6;
/** Time for which an endpoint that was busy is left alone. */
const busyPauseMs = 20;

const httpTooManyWaiting = 503;
const httpBadGateway = 502;
const httpGatewayTimeout = 504;

interface Progress {
    attempts: number;
    /** An earlier attempt may have run. */
    maybeRan: boolean;
    avoid: Set<string>;
}

type Step = { kind: "answer"; answer: CallAnswer; } | { kind: "again"; };

const again: Step = { kind: "again" };

const notDone = (progress: Progress, status: number, detail: string): CallAnswer =>
    progress.maybeRan
        ? { outcome: Outcome.Unknown, status: httpGatewayTimeout, detail }
        : { outcome: Outcome.NotRun, status, detail, retryAfterSeconds: 1 };

const answerWith = (answer: CallAnswer): Step => ({ kind: "answer", answer });

const attemptTimeoutMs = (call: Call, remainingMs: number): number =>
    call.atMostOnce
        ? Math.max(remainingMs / 2, remainingMs - fenceMs)
        : remainingMs * repeatableAttemptShare;

const noteReply = (runner: CallRunner, endpoint: Endpoint, reply: EndpointReply): void => {
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

const retryOr = (runner: CallRunner, progress: Progress, endpoint: Endpoint, answer: CallAnswer): Step => {
    progress.avoid.add(endpoint.name);
    return runner.budget.tryTake() ? again : answerWith(answer);
};

const afterDoubt = async (
    runner: CallRunner,
    call: Call,
    progress: Progress,
    endpoint: Endpoint,
    requestId: string,
    reason: string,
): Promise<Step> => {
    const state = call.atMostOnce ? await endpoint.connections.fence(requestId, fenceMs) : undefined;
    if (state === FenceState.NeverRan) {
        return retryOr(runner, progress, endpoint, notDone(progress, httpBadGateway, reason));
    }
    progress.maybeRan = true;
    const answer = notDone(progress, httpGatewayTimeout, reason);
    return call.atMostOnce ? answerWith(answer) : retryOr(runner, progress, endpoint, answer);
};

const afterAttempt = async (
    runner: CallRunner,
    call: Call,
    progress: Progress,
    endpoint: Endpoint,
    requestId: string,
    attempt: Attempt,
): Promise<Step> => {
    switch (attempt.kind) {
        case AttemptKind.Done:
            return answerWith({ outcome: Outcome.Done, status: 200, result: attempt.result });
        case AttemptKind.Refused:
            endpoint.busyUntilMs = runner.timer.nowMs() + busyPauseMs;
            return again;
        case AttemptKind.NotSent:
            return retryOr(runner, progress, endpoint, notDone(progress, httpBadGateway, attempt.reason));
        case AttemptKind.Failed: {
            progress.maybeRan = true;
            const answer = notDone(progress, httpBadGateway, `the endpoint ran it and failed: ${attempt.reason}`);
            return call.atMostOnce ? answerWith(answer) : retryOr(runner, progress, endpoint, answer);
        }
        case AttemptKind.Doubtful:
            return afterDoubt(runner, call, progress, endpoint, requestId, attempt.reason);
    }
};

const attemptAt = async (
    runner: CallRunner,
    call: Call,
    progress: Progress,
    endpoint: Endpoint,
    callId: string,
): Promise<Step> => {
    const remainingMs = call.deadlineAtMs - runner.timer.nowMs();
    if (remainingMs <= 0 || call.callerGone.aborted) {
        endpoint.outstanding -= 1;
        return answerWith(notDone(progress, httpGatewayTimeout, "the deadline passed before it was sent"));
    }
    progress.attempts += 1;
    const requestId = `${callId}/${progress.attempts}`;
    const { key, customer, service, body } = call;
    const request = { requestId, key, customer, service, body };
    const reply = await endpoint.connections.send(request, attemptTimeoutMs(call, remainingMs));
    endpoint.outstanding -= 1;
    noteReply(runner, endpoint, reply);
    runner.line.serve();
    return afterAttempt(runner, call, progress, endpoint, requestId, reply.attempt);
};

/**
 * Runs a call on an endpoint and repeats it where that cannot run it twice or does no harm.
 *
 * @param callId prefix of the identities of its attempts
 */
export const runCall = async (runner: CallRunner, call: Call, callId: string): Promise<CallAnswer> => {
    const progress: Progress = { attempts: 0, maybeRan: false, avoid: new Set() };
    runner.budget.recordFirstAttempt();
    for (;;) {
        const waited = await runner.line.wait({
            urgency: call.urgency,
            deadlineAtMs: call.deadlineAtMs,
            choose: () => runner.choose(progress.avoid),
        });
        if (waited.kind !== "endpoint") {
            const detail = waited.kind === "expired"
                ? "no endpoint had room before the deadline"
                : "too many calls wait";
            return notDone(progress, httpTooManyWaiting, detail);
        }
        const step = await attemptAt(runner, call, progress, waited.endpoint, callId);
        if (step.kind === "answer") {
            return step.answer;
        }
    }
};
