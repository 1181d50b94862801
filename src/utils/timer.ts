/** Cancels a subscription or a timer; further calls do nothing. */
export type Unsubscribe = () => void;

/** Clocks and timers, injected into every component so that tests can control time. */
export interface TimerService {
    /** Monotonic time in milliseconds from an arbitrary origin. */
    nowMs(): number;
    /** Wall-clock time in milliseconds since the Unix epoch, for records that people read. */
    wallClockMs(): number;
    /** Runs a task repeatedly, with `periodMs` between the end of one run and the start of the next. */
    every(periodMs: number, task: () => Promise<void> | void): Unsubscribe;
    /** Runs a task once after a delay. */
    after(delayMs: number, task: () => void): Unsubscribe;
    /** Resolves after a delay. */
    sleep(delayMs: number): Promise<void>;
}

const nowMs = (): number => Number(process.hrtime.bigint() / 1000n) / 1000;

const every = (periodMs: number, task: () => Promise<void> | void): Unsubscribe => {
    let stopped = false;
    let handle: NodeJS.Timeout | undefined;
    const run = async (): Promise<void> => {
        await task();
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

const after = (delayMs: number, task: () => void): Unsubscribe => {
    const handle = setTimeout(task, delayMs);
    return () => clearTimeout(handle);
};

/** Creates the timer service that uses the system clocks. */
export const createTimerService = (): TimerService => ({
    nowMs,
    wallClockMs: () => Date.now(),
    every,
    after,
    sleep: delayMs => new Promise(resolve => setTimeout(resolve, delayMs)),
});
