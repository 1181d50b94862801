import type { TimerService } from "./timer.js";

/** When something that another process knows was last confirmed. */
export interface Confirmation {
    /** Time since the question of the latest confirmation was sent; infinite before the first. */
    ageMs(): number;
    /** Notes that a question is being sent; its answer confirms as of now. */
    ask(): { confirm(): void; };
}

/**
 * Creates the memory of confirmations. The age is the greater one by both clocks: the steady clock stands still while a
 * VM is suspended, and the wall clock may step.
 */
export const createConfirmation = (timer: TimerService): Confirmation => {
    let atMs = Number.NEGATIVE_INFINITY;
    let wallMs = Number.NEGATIVE_INFINITY;
    return {
        ageMs: () => Math.max(timer.nowMs() - atMs, timer.wallClockMs() - wallMs),
        ask: () => {
            const askedAtMs = timer.nowMs();
            const askedWallMs = timer.wallClockMs();
            return {
                confirm: () => {
                    atMs = askedAtMs;
                    wallMs = askedWallMs;
                },
            };
        },
    };
};
