import type { TimerService, Unsubscribe } from "./timer.js";

/** A timer service whose time passes only when told to; for tests and benchmarks. */
export interface VirtualTimer extends TimerService {
    /** Lets time pass, running everything that falls due and what follows from it. */
    advance(durationMs: number): Promise<void>;
}

interface Entry {
    atMs: number;
    order: number;
    run: () => void;
}

const settlePromises = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** Creates a virtual timer that starts at 0. */
export const createVirtualTimer = (): VirtualTimer => {
    let nowMs = 0;
    let order = 0;
    let entries: Entry[] = [];

    const after = (delayMs: number, run: () => void): Unsubscribe => {
        const entry = { atMs: nowMs + Math.max(0, delayMs), order: order++, run };
        entries.push(entry);
        return () => {
            entries = entries.filter(other => other !== entry);
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

    const takeDue = (untilMs: number): Entry | undefined => {
        const due = entries.filter(entry => entry.atMs <= untilMs);
        due.sort((left, right) => left.atMs - right.atMs || left.order - right.order);
        const first = due.at(0);
        entries = entries.filter(entry => entry !== first);
        return first;
    };

    const advance = async (durationMs: number): Promise<void> => {
        const untilMs = nowMs + durationMs;
        await settlePromises();
        for (let entry = takeDue(untilMs); entry !== undefined; entry = takeDue(untilMs)) {
            nowMs = entry.atMs;
            entry.run();
            await settlePromises();
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
