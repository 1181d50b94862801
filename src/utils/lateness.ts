import type { TimerService, Unsubscribe } from "./timer.js";

/** How late the timers of this process fire, which tells how far its work exceeds its processor. */
export interface LatenessMeter {
    /** Mean of the last seconds. */
    meanMs(): number;
    stop: Unsubscribe;
}

const tickMs = 100;
/** Weight of one tick in the mean, which so follows a change within some two seconds. */
const weight = 0.05;
/** Lateness counted at most: one long pause of the process is no lack of power. */
const maxCountedMs = 1_000;

/** Creates a meter that ticks on the timer service. */
export const createLatenessMeter = (timer: TimerService): LatenessMeter => {
    let meanMs = 0;
    let lastMs = timer.nowMs();
    const tick = (): void => {
        const lateMs = timer.nowMs() - lastMs - tickMs;
        meanMs += (Math.min(Math.max(0, lateMs), maxCountedMs) - meanMs) * weight;
        lastMs = timer.nowMs();
    };
    return { meanMs: () => meanMs, stop: timer.every(tickMs, tick) };
};
