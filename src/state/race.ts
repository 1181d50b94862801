import { describeUnexpected } from "../utils/describeUnexpected.js";
import { fail } from "../utils/result.js";
import type { Result } from "../utils/result.js";
import type { TimerService } from "../utils/timer.js";
import type { HedgeSlots, HedgeTicket } from "./hedgeSlots.js";
import { isAnswered, isHeldBack } from "./reachability.js";
import { StateErrorKind } from "./types.js";
import type { StateError } from "./types.js";

/** One way to perform an operation: directly or through a peer. */
export interface Attempt<Value> {
    perform(): Promise<Result<Value, StateError>>;
    /** Called when an attempt that started later got the first answer while this one had none. */
    onOvertaken(): void;
}

/** Further attempts of an operation; each is chosen when it starts, by what is known of the ways by then. */
export interface FurtherAttempts<Value> {
    isPossible(): boolean;
    /** Takes the next one; `undefined` when there is none. */
    take(): Attempt<Value> | undefined;
}

/** Options of {@link race}. */
export interface RaceOptions<Value> {
    first: Attempt<Value>;
    further: FurtherAttempts<Value>;
    timer: TimerService;
    /** Time without an answer after which the next attempt starts beside those in progress, once a slot is free. */
    hedgeDelayMs: number;
    /** Time from the start after which no further attempt starts beside those in progress. */
    hedgeForMs: number;
    hedgeSlots: HedgeSlots;
    /** Time from the start for which the operation waits for a further attempt to become possible when all have failed. */
    waitForMs: number;
    /** Whether such an attempt is to be expected; asked when all have failed, and from time to time after that. */
    isWaitOfUse: () => boolean;
    /** Calls the listener when a further attempt has become possible; returns a function that removes it. */
    onFurtherAttempt: (listener: (attempt: Attempt<Value>) => void) => () => void;
}

/** Time between two checks whether an operation whose attempts have all failed is to go on waiting. */
const waitCheckMs = 100;

/** Performs an attempt; one that fails unexpectedly has an unknown outcome, and the others go on. */
const performGuarded = async <Value>(attempt: Attempt<Value>): Promise<Result<Value, StateError>> => {
    try {
        return await attempt.perform();
    }
    catch (error) {
        return fail({ kind: StateErrorKind.NoAnswer, detail: describeUnexpected(error) });
    }
};

/** A write without an answer may have taken effect, whatever another attempt returns. */
const combineErrors = (errors: readonly StateError[]): StateError =>
    errors.find(error => error.kind === StateErrorKind.NoAnswer) ?? errors[0];

/**
 * Starts attempts one after the other, the next when one fails or gives no answer for some time, and resolves with the
 * first answer of the table.
 */
export const race = <Value>(options: RaceOptions<Value>): Promise<Result<Value, StateError>> =>
    new Promise(resolve => {
        const { first, further, timer, hedgeDelayMs, hedgeForMs, hedgeSlots, waitForMs, onFurtherAttempt } = options;
        const startedAtMs = timer.nowMs();
        const errors: StateError[] = [];
        /** In the order in which they started. */
        const inProgress = new Set<Attempt<Value>>();
        let settled = false;
        /** Whether the operation goes on when all attempts have failed. */
        let isWaiting = waitForMs > 0;
        let cancelHedge = (): void => {};
        let cancelCheck = (): void => {};
        /** Set from the first request for a slot on; an operation takes one, however many ways it is attempted. */
        let ticket: HedgeTicket | undefined;
        let hasSlot = false;

        const settle = (reply: Result<Value, StateError>, wonByHedge: boolean): void => {
            settled = true;
            cancelHedge();
            cancelCheck();
            cancelEndOfWait();
            ticket?.release(wonByHedge);
            removeListener();
            resolve(reply);
        };

        const startNext = (): void => {
            const next = further.take();
            if (next !== undefined) {
                void start(next);
            }
        };

        const hedge = (): void => {
            if (timer.nowMs() - startedAtMs > hedgeForMs) {
                return;
            }
            cancelHedge = timer.after(hedgeDelayMs, hedge);
            if (!further.isPossible()) {
                return;
            }
            if (hasSlot) {
                startNext();
            }
            else if (ticket === undefined) {
                ticket = hedgeSlots.request(() => {
                    hasSlot = true;
                    startNext();
                });
            }
            else {
                ticket.retry();
            }
        };

        const start = async (attempt: Attempt<Value>): Promise<void> => {
            inProgress.add(attempt);
            cancelHedge();
            cancelHedge = timer.after(hedgeDelayMs, hedge);
            const reply = await performGuarded(attempt);
            if (settled) {
                return;
            }
            if (reply.ok || isAnswered(reply)) {
                const started = [...inProgress];
                started.slice(0, started.indexOf(attempt)).forEach(overtaken => overtaken.onOvertaken());
                settle(reply, attempt !== first);
                return;
            }
            inProgress.delete(attempt);
            errors.push(reply.error);
            if (further.isPossible()) {
                startNext();
            }
            else {
                failUnlessWaiting();
            }
        };

        // a read that this VM held back is one of many, and waits for no lost request
        const failUnlessWaiting = (): void => {
            cancelCheck();
            if (inProgress.size > 0) {
                return;
            }
            if (isWaiting && !errors.some(isHeldBack) && options.isWaitOfUse()) {
                cancelCheck = timer.after(waitCheckMs, failUnlessWaiting);
            }
            else {
                settle(fail(combineErrors(errors)), false);
            }
        };

        const endWait = (): void => {
            isWaiting = false;
            failUnlessWaiting();
        };

        const cancelEndOfWait = isWaiting ? timer.after(waitForMs, endWait) : () => {};
        const removeListener = onFurtherAttempt(attempt => void start(attempt));
        void start(first);
    });
