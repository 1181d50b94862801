import { awaitGuarded, runGuarded } from "../utils/runGuarded.js";
import type { TimerService } from "../utils/timer.js";

/** Delay of the next poll after one without an answer. */
export const pollRetryMs = 300;

/** Pause between polls. */
export interface PollPause {
    wait(durationMs: number): Promise<void>;
    /** Ends the pause, also when called just before it begins; may request a poll that does not wait for a run to end. */
    interrupt(skipNextLongPoll: boolean): void;
    /** Whether a poll that does not wait for a run to end has been requested. */
    isPollRequested(): boolean;
    /** Returns whether the next poll is not to wait for a run to end, and resets that. */
    consumeSkipLongPoll(): boolean;
}

/** Options of {@link runPollLoop}. */
export interface PollLoopOptions {
    pause: PollPause;
    isClosed: () => boolean;
    /** Whether there is nothing to poll for until the pause is interrupted. */
    isIdle: () => boolean;
    /** Polls once; resolves with whether the worker answered. */
    poll: () => Promise<boolean>;
    /** Pause before the next poll, which would be answered at once and show nothing new; 0 for none. */
    pauseMs: () => number;
    /** Called after each poll. */
    onPolled: () => void;
    /** Called when a poll fails unexpectedly, which counts as a missing answer. */
    onUnexpected: (detail: string) => void;
}

/** Polls a worker until the loop is closed. */
export const runPollLoop = async (options: PollLoopOptions): Promise<void> => {
    const { pause } = options;
    while (!options.isClosed()) {
        if (options.isIdle()) {
            await pause.wait(Number.POSITIVE_INFINITY);
            continue;
        }
        const ok = await awaitGuarded(options.poll, options.onUnexpected) === true;
        runGuarded(options.onPolled, options.onUnexpected);
        if (!ok) {
            await pause.wait(pollRetryMs);
        }
        else if (options.pauseMs() > 0) {
            await pause.wait(options.pauseMs());
        }
    }
};

/** Pause between polls that can be interrupted, also by a call that comes just before it begins. */
export const createPollPause = (timer: TimerService): PollPause => {
    let interruptWait: (() => void) | undefined;
    let interrupted = false;
    let skipLongPoll = false;
    return {
        wait: async (durationMs: number): Promise<void> => {
            if (!interrupted) {
                await new Promise<void>(resolve => {
                    const cancel = Number.isFinite(durationMs) ? timer.after(durationMs, resolve) : undefined;
                    interruptWait = () => {
                        cancel?.();
                        resolve();
                    };
                });
            }
            interruptWait = undefined;
            interrupted = false;
        },
        interrupt: (skipNextLongPoll: boolean): void => {
            interrupted = true;
            skipLongPoll ||= skipNextLongPoll;
            interruptWait?.();
        },
        isPollRequested: () => skipLongPoll,
        consumeSkipLongPoll: (): boolean => {
            const consumed = skipLongPoll;
            skipLongPoll = false;
            interrupted = false;
            return consumed;
        },
    };
};
