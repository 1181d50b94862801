import { Urgency } from "../configuration/types.js";
import type { TimerService } from "../utils/timer.js";
import type { Endpoint } from "./endpoints.js";

/**
 * Result of waiting for an endpoint: one was acquired, the deadline passed, the full queue refused the call, or none is
 * needed any more.
 */
export type WaitResult =
    | { kind: "endpoint"; endpoint: Endpoint; }
    | { kind: "expired"; }
    | { kind: "refused"; }
    | { kind: "withdrawn"; };

/** Request of a call for an endpoint. */
export interface WaitRequest {
    urgency: Urgency;
    /** Monotonic time at which waiting ends without an endpoint. */
    deadlineAtMs: number;
    /** Chooses an endpoint with free capacity, if any. */
    choose: () => Endpoint | undefined;
    /** Whether it may not get every endpoint, so that it says nothing about the calls behind it if it finds none. */
    excludesEndpoints: boolean;
    /** Whether no endpoint is needed any more. @default never */
    isWithdrawn?: () => boolean;
}

/** Queue of the calls that wait for an endpoint, ordered by urgency, then by deadline. */
export interface CallQueue {
    /** Waits for an endpoint and counts the call as outstanding there. */
    wait(request: WaitRequest): Promise<WaitResult>;
    /** Assigns endpoints with free capacity to waiting calls. */
    dispatch(): void;
    /** Number of waiting calls. */
    length(): number;
}

interface Waiter extends WaitRequest {
    resolve: (result: WaitResult) => void;
}

const dispatchPeriodMs = 10;
/** Number of calls without a suitable endpoint after which a dispatch ends; bounds its cost when the queue is long. */
const maxSkippedCalls = 4;
/** Number of such calls with excluded endpoints after which the others like them are passed over without a try. */
const maxSkippedRetries = 20;

const urgencyRank = { [Urgency.Urgent]: 0, [Urgency.Normal]: 1, [Urgency.MayWait]: 2 };

const isBefore = (left: WaitRequest, right: WaitRequest): boolean =>
    urgencyRank[left.urgency] !== urgencyRank[right.urgency]
        ? urgencyRank[left.urgency] < urgencyRank[right.urgency]
        : left.deadlineAtMs < right.deadlineAtMs;

/** Creates a queue of at most `maxLength` calls; when it is full, the call that is last in the order is refused. */
export const createCallQueue = (timer: TimerService, maxLength: number): CallQueue => {
    const waiters: Waiter[] = [];
    let scheduled = false;

    const insert = (waiter: Waiter): void => {
        const index = waiters.findIndex(other => isBefore(waiter, other));
        waiters.splice(index === -1 ? waiters.length : index, 0, waiter);
    };

    const removeEnded = (): void => {
        const nowMs = timer.nowMs();
        for (let index = waiters.length - 1; index >= 0; index--) {
            const isExpired = waiters[index].deadlineAtMs <= nowMs;
            if (isExpired || waiters[index].isWithdrawn?.() === true) {
                waiters.splice(index, 1)[0].resolve({ kind: isExpired ? "expired" : "withdrawn" });
            }
        }
    };

    const dispatch = (): void => {
        removeEnded();
        let skippedCalls = 0;
        let skippedRetries = 0;
        for (let index = 0; index < waiters.length && skippedCalls < maxSkippedCalls;) {
            const waiter = waiters[index];
            const isPassedOver = waiter.excludesEndpoints && skippedRetries >= maxSkippedRetries;
            const endpoint = isPassedOver ? undefined : waiter.choose();
            if (endpoint === undefined) {
                skippedCalls += waiter.excludesEndpoints ? 0 : 1;
                skippedRetries += waiter.excludesEndpoints ? 1 : 0;
                index += 1;
                continue;
            }
            endpoint.outstanding += 1;
            waiters.splice(index, 1)[0].resolve({ kind: "endpoint", endpoint });
        }
        scheduleDispatch();
    };

    /** Schedules the next dispatch; one timer serves all waiting calls. */
    const scheduleDispatch = (): void => {
        if (waiters.length > 0 && !scheduled) {
            scheduled = true;
            timer.after(dispatchPeriodMs, () => {
                scheduled = false;
                dispatch();
            });
        }
    };

    const wait = (request: WaitRequest): Promise<WaitResult> => {
        const isBehindOthers = waiters.some(other => isBefore(other, request));
        const endpoint = isBehindOthers ? undefined : request.choose();
        if (endpoint !== undefined) {
            endpoint.outstanding += 1;
            return Promise.resolve({ kind: "endpoint", endpoint });
        }
        const last = waiters.at(-1);
        if (waiters.length >= maxLength) {
            if (last === undefined || !isBefore(request, last)) {
                return Promise.resolve({ kind: "refused" });
            }
            waiters.pop();
            last.resolve({ kind: "refused" });
        }
        return new Promise(resolve => {
            insert({ ...request, resolve });
            scheduleDispatch();
        });
    };

    return { wait, dispatch, length: () => waiters.length };
};
