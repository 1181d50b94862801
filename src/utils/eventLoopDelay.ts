import type { TimerService, Unsubscribe } from "./timer.js";

/** Measures the event loop delay, by which timers fire late: it grows when the process needs more CPU than it gets. */
export interface EventLoopDelayMonitor {
    /** Moving average of the last seconds. */
    meanMs(): number;
    stop: Unsubscribe;
}

const sampleIntervalMs = 100;
/** Weight of one sample in the exponential moving average, which follows a change within about 2 s. */
const smoothingFactor = 0.05;
/** Upper limit of a sample: one long pause of the process does not mean that it lacks CPU. */
const maxSampleMs = 1_000;

/** Creates a monitor that takes samples with the timer service. */
export const createEventLoopDelayMonitor = (timer: TimerService): EventLoopDelayMonitor => {
    let meanMs = 0;
    let lastSampleAtMs = timer.nowMs();
    const sample = (): void => {
        const delayMs = timer.nowMs() - lastSampleAtMs - sampleIntervalMs;
        meanMs += (Math.min(Math.max(0, delayMs), maxSampleMs) - meanMs) * smoothingFactor;
        lastSampleAtMs = timer.nowMs();
    };
    return { meanMs: () => meanMs, stop: timer.every(sampleIntervalMs, sample) };
};
