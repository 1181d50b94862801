import { Urgency } from "../configuration/types.js";
import type { TimerService } from "../utils/timer.js";
import type { Endpoint } from "./endpoints.js";

/** How waiting for an endpoint ended. */
export type WaitResult = { kind: "endpoint"; endpoint: Endpoint; } | { kind: "expired"; } | { kind: "refused"; };

/** A call that wants an endpoint. */
export interface WaitRequest {
    urgency: Urgency;
    /** Monotonic time after which an endpoint is of no use. */
    deadlineAtMs: number;
    /** Picks an endpoint that has room, if any. */
    choose: () => Endpoint | undefined;
}

/** Calls that wait for an endpoint, most urgent and nearest deadline first. */
export interface WaitingLine {
    wait(request: WaitRequest): Promise<WaitResult>;
    /** Hands out endpoints that have room again. */
    serve(): void;
    length(): number;
}

interface Waiter extends WaitRequest {
    settle: (result: WaitResult) => void;
}

const servePeriodMs = 10;
/** Calls at the head of the line that may find nothing before the rest is left for the next time. */
const maxPassedOver = 4;

const rank = { [Urgency.Urgent]: 0, [Urgency.Normal]: 1, [Urgency.MayWait]: 2 };

const isBefore = (left: WaitRequest, right: WaitRequest): boolean =>
    rank[left.urgency] !== rank[right.urgency]
        ? rank[left.urgency] < rank[right.urgency]
        : left.deadlineAtMs < right.deadlineAtMs;

/** Creates an empty line that holds at most `maxLength` calls. */
export const createWaitingLine = (timer: TimerService, maxLength: number): WaitingLine => {
    const waiters: Waiter[] = [];
    let scheduled = false;

    const insert = (waiter: Waiter): void => {
        const index = waiters.findIndex(other => isBefore(waiter, other));
        waiters.splice(index === -1 ? waiters.length : index, 0, waiter);
    };

    const expire = (): void => {
        const nowMs = timer.nowMs();
        for (let index = waiters.length - 1; index >= 0; index--) {
            if (waiters[index].deadlineAtMs <= nowMs) {
                waiters.splice(index, 1)[0].settle({ kind: "expired" });
            }
        }
    };

    const serve = (): void => {
        expire();
        for (let index = 0; index < Math.min(waiters.length, maxPassedOver);) {
            const endpoint = waiters[index].choose();
            if (endpoint === undefined) {
                index += 1;
                continue;
            }
            endpoint.outstanding += 1;
            waiters.splice(index, 1)[0].settle({ kind: "endpoint", endpoint });
        }
        scheduleServe();
    };

    /** One timer serves the whole line, however many calls wait. */
    const scheduleServe = (): void => {
        if (waiters.length > 0 && !scheduled) {
            scheduled = true;
            timer.after(servePeriodMs, () => {
                scheduled = false;
                serve();
            });
        }
    };

    const wait = (request: WaitRequest): Promise<WaitResult> => {
        const urgentWaits = waiters.some(other => isBefore(other, request));
        const endpoint = urgentWaits ? undefined : request.choose();
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
            last.settle({ kind: "refused" });
        }
        return new Promise(resolve => {
            insert({ ...request, settle: resolve });
            scheduleServe();
        });
    };

    return { wait, serve, length: () => waiters.length };
};
