import type { TimerService, Unsubscribe } from "./timer.js";

/** A timer service whose clock moves only when it is advanced; for tests and benchmarks. */
export interface VirtualTimer extends TimerService {
    /** Moves the clock forward and runs the tasks that become due in order, including those that they schedule. */
    advance(durationMs: number): Promise<void>;
}

interface ScheduledTask {
    atMs: number;
    insertionIndex: number;
    run: () => void;
}

/** Resolves after the promise callbacks that are already queued have run. */
const flushPromises = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** Creates a virtual timer that starts at 0. */
export const createVirtualTimer = (): VirtualTimer => {
    let nowMs = 0;
    let nextInsertionIndex = 0;
    let scheduledTasks: ScheduledTask[] = [];

    const after = (delayMs: number, run: () => void): Unsubscribe => {
        const scheduledTask = { atMs: nowMs + Math.max(0, delayMs), insertionIndex: nextInsertionIndex++, run };
        scheduledTasks.push(scheduledTask);
        return () => {
            scheduledTasks = scheduledTasks.filter(other => other !== scheduledTask);
        };
    };

    const every = (periodMs: number, task: () => Promise<void> | void): Unsubscribe => {
        let cancel: Unsubscribe = () => {};
        let stopped = false;
        const run = async (): Promise<void> => {
            await task();
            if (!stopped) {
                cancel = after(periodMs, () => void run());
            }
        };
        cancel = after(periodMs, () => void run());
        return () => {
            stopped = true;
            cancel();
        };
    };

    const popNextDue = (untilMs: number): ScheduledTask | undefined => {
        const due = scheduledTasks.filter(task => task.atMs <= untilMs);
        due.sort((left, right) => left.atMs - right.atMs || left.insertionIndex - right.insertionIndex);
        const first = due.at(0);
        scheduledTasks = scheduledTasks.filter(task => task !== first);
        return first;
    };

    const advance = async (durationMs: number): Promise<void> => {
        const untilMs = nowMs + durationMs;
        await flushPromises();
        for (let next = popNextDue(untilMs); next !== undefined; next = popNextDue(untilMs)) {
            nowMs = next.atMs;
            next.run();
            await flushPromises();
        }
        nowMs = untilMs;
    };

    return {
        nowMs: () => nowMs,
        wallClockMs: () => nowMs,
        every,
        after,
        sleep: delayMs => new Promise(resolve => after(delayMs, resolve)),
        advance,
    };
};
