import { awaitGuarded, runGuarded } from "./runGuarded.js";

/** Cancels a subscription or a timer; further calls do nothing. */
export type Unsubscribe = () => void;

/** Clocks and timers, injected into every component so that tests can control time. */
export interface TimerService {
    /** Monotonic time in milliseconds from an arbitrary origin. */
    nowMs(): number;
    /** Wall-clock time in milliseconds since the Unix epoch, for records that people read. */
    wallClockMs(): number;
    /**
     * Runs a task repeatedly, with `periodMs` between the end of one run and the start of the next, also after one that
     * failed unexpectedly.
     */
    every(periodMs: number, task: () => Promise<void> | void): Unsubscribe;
    /** Runs a task once after a delay. */
    after(delayMs: number, task: () => void): Unsubscribe;
    /** Resolves after a delay. */
    sleep(delayMs: number): Promise<void>;
}

const nowMs = (): number => Number(process.hrtime.bigint() / 1000n) / 1000;

/** Receives the description of an exception that a task threw. */
type OnUnexpected = (detail: string) => void;

const createEvery = (onUnexpected: OnUnexpected): TimerService["every"] => (periodMs, task) => {
    let stopped = false;
    let handle: NodeJS.Timeout | undefined;
    const run = async (): Promise<void> => {
        await awaitGuarded(task, onUnexpected);
        if (!stopped) {
            handle = setTimeout(run, periodMs);
        }
    };
    handle = setTimeout(run, periodMs);
    return () => {
        stopped = true;
        clearTimeout(handle);
    };
};

const createAfter = (onUnexpected: OnUnexpected): TimerService["after"] => (delayMs, task) => {
    const handle = setTimeout(() => runGuarded(task, onUnexpected), delayMs);
    return () => clearTimeout(handle);
};

const writeToStandardError: OnUnexpected = detail => void process.stderr.write(`a timed task failed: ${detail}\n`);

/** Creates the timer service that uses the system clocks; `onUnexpected` receives exceptions of its tasks. */
export const createTimerService = (onUnexpected: OnUnexpected = writeToStandardError): TimerService => ({
    nowMs,
    wallClockMs: () => Date.now(),
    every: createEvery(onUnexpected),
    after: createAfter(onUnexpected),
    sleep: delayMs => new Promise(resolve => setTimeout(resolve, delayMs)),
});
