import type { TimerService } from "./timer.js";

/** Tracks the age of data whose source is another process. */
export interface ConfirmationTracker {
    /** Time since the latest confirmed request was sent; infinite before the first confirmation. */
    ageMs(): number;
    /** Records that a request is sent now; `confirm`, called on its answer, sets the age to the time since then. */
    startRequest(): { confirm(): void; };
}

/**
 * Creates a tracker without a confirmation. The age is the greater of those by the monotonic and the wall clock: the
 * monotonic clock stops while a VM is suspended, and the wall clock can step.
 */
export const createConfirmationTracker = (timer: TimerService): ConfirmationTracker => {
    let confirmedAtMs = Number.NEGATIVE_INFINITY;
    let confirmedAtWallMs = Number.NEGATIVE_INFINITY;
    return {
        ageMs: () => Math.max(timer.nowMs() - confirmedAtMs, timer.wallClockMs() - confirmedAtWallMs),
        startRequest: () => {
            const sentAtMs = timer.nowMs();
            const sentAtWallMs = timer.wallClockMs();
            return {
                confirm: () => {
                    confirmedAtMs = sentAtMs;
                    confirmedAtWallMs = sentAtWallMs;
                },
            };
        },
    };
};
