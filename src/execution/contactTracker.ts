import type { Log } from "../node/logs.js";
import type { TimerService } from "../utils/timer.js";

/** Tracks whether a worker answers, and logs each change. */
export const createContactTracker = (timer: TimerService, log: Log, worker: string) => {
    let lastAnswerAtMs = timer.nowMs();
    let silentSinceMs: number | undefined;
    return {
        silentMs: (): number => silentSinceMs === undefined ? 0 : timer.nowMs() - silentSinceMs,
        recordAnswer: (): void => {
            lastAnswerAtMs = timer.nowMs();
            if (silentSinceMs !== undefined) {
                log("info", "worker answers again", { worker, silentMs: Math.round(lastAnswerAtMs - silentSinceMs) });
                silentSinceMs = undefined;
            }
        },
        recordNoAnswer: (reason: string): void => {
            if (silentSinceMs === undefined) {
                silentSinceMs = lastAnswerAtMs;
                log("warn", "worker does not answer", { worker, reason });
            }
        },
    };
};
