import type { TimerService } from "./timer.js";

/**
 * Resolves like `promise`, or with `otherwise` once `timeMs` has passed; what the promise stands for goes on. Without a
 * time it waits for the promise.
 */
export const resolveWithin = <Value, Otherwise>(
    timer: TimerService,
    timeMs: number | undefined,
    promise: Promise<Value>,
    otherwise: Otherwise,
): Promise<Value | Otherwise> =>
    timeMs === undefined ? promise : new Promise((resolve, reject) => {
        const cancel = timer.after(timeMs, () => resolve(otherwise));
        promise.then(resolve, reject).finally(cancel);
    });
