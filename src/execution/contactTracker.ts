import type { Log } from "../node/logs.js";
import type { TimerService } from "../utils/timer.js";

/** Whether a worker answers. */
export interface ContactTracker {
    /** Time since the last answer; 0 while the worker answers. */
    silentMs(): number;
    recordAnswer(): void;
    recordNoAnswer(reason: string): void;
}

/** Tracks whether a worker answers, and logs each change. */
export const createContactTracker = (
    timer: TimerService,
    log: Log,
    worker: string,
    onLost: () => void = () => {},
): ContactTracker => {
    let lastAnswerAtMs = timer.nowMs();
    let silentSinceMs: number | undefined;
    return {
        silentMs: () => silentSinceMs === undefined ? 0 : timer.nowMs() - silentSinceMs,
        recordAnswer: () => {
            lastAnswerAtMs = timer.nowMs();
            if (silentSinceMs !== undefined) {
                log("info", "worker answers again", { worker, silentMs: Math.round(lastAnswerAtMs - silentSinceMs) });
                silentSinceMs = undefined;
            }
        },
        recordNoAnswer: reason => {
            if (silentSinceMs === undefined) {
                silentSinceMs = lastAnswerAtMs;
                log("warn", "worker does not answer", { worker, reason });
                onLost();
            }
        },
    };
};
