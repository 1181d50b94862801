/** Bounds the memory that the values of large request bodies take, and the processor time that parsing takes. */
import type { TimerService } from "./timer.js";

/** A body that has arrived and is not parsed yet. */
export interface ParseTurn {
    /** Resolves when the body may be parsed. */
    ready: Promise<void>;
    /** Notes that the body is parsed. */
    parsed(): void;
    /** Gives the turn back when the request is answered or its connection closed; further calls do nothing. */
    end(): void;
}

/** Lets bodies be parsed, in the order in which they arrived. */
export interface ParseQueue {
    add(sizeBytes: number): ParseTurn;
}

/** Options of {@link createParseQueue}. */
export interface ParseQueueOptions {
    /** Limit on the size of all large bodies that are handled at a time; a larger body is handled by itself. */
    maxParsedBytes: number;
    timer: TimerService;
}

/** Size up to which bodies do not wait: ordinary ones have a few KB, and are not to wait for a crowd's. */
const smallBytes = 8_192;
/** Shortest time for everything else after a body was parsed; it gets at least as long as parsing took. */
const minPauseMs = 1;

interface Waiter {
    sizeBytes: number;
    start: () => void;
}

/** Creates an empty queue. */
export const createParseQueue = ({ maxParsedBytes, timer }: ParseQueueOptions): ParseQueue => {
    const waiting = new Set<Waiter>();
    let parsedBytes = 0;
    /** Whether a body is being parsed, or the pause after it is not over. */
    let isBusy = false;

    const startNext = (): void => {
        const [next] = waiting;
        if (isBusy || next === undefined || (parsedBytes > 0 && parsedBytes + next.sizeBytes > maxParsedBytes)) {
            return;
        }
        waiting.delete(next);
        parsedBytes += next.sizeBytes;
        isBusy = true;
        next.start();
    };

    const pause = (durationMs: number): void => {
        timer.after(Math.max(minPauseMs, durationMs), () => {
            isBusy = false;
            startNext();
        });
    };

    return {
        add: sizeBytes => {
            if (sizeBytes <= smallBytes) {
                return { ready: Promise.resolve(), parsed: () => {}, end: () => {} };
            }
            let resolveReady = (): void => {};
            const ready = new Promise<void>(resolve => {
                resolveReady = resolve;
            });
            let startedAtMs: number | undefined;
            const start = (): void => {
                startedAtMs = timer.nowMs();
                resolveReady();
            };
            const parsed = (): void => {
                if (startedAtMs !== undefined) {
                    pause(timer.nowMs() - startedAtMs);
                    startedAtMs = undefined;
                }
            };
            const waiter = { sizeBytes, start };
            let hasEnded = false;
            waiting.add(waiter);
            startNext();
            return {
                ready,
                parsed,
                end: () => {
                    if (hasEnded) {
                        return;
                    }
                    hasEnded = true;
                    if (waiting.delete(waiter)) {
                        resolveReady();
                    }
                    else {
                        parsedBytes -= sizeBytes;
                        parsed();
                    }
                    startNext();
                },
            };
        },
    };
};
