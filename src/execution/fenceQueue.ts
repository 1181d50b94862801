import { taskKey } from "../jobs/progress.js";
import type { TaskId } from "../jobs/types.js";
import type { TimerService } from "../utils/timer.js";
import { Refusal } from "./types.js";
import type { OrderError, WorkerClient } from "./types.js";

/** A run that must not start on a worker any more. */
export interface FencedRun {
    task: TaskId;
    run: number;
}

/** Runs to fence on a worker: a stop order ends the run, or prevents its start if the start order arrives later. */
export const createFenceQueue = (
    timer: TimerService,
    fencingToken: () => number,
    handleOrderError: (error: OrderError, sentAtMs: number) => void,
) => {
    const pending = new Map<string, FencedRun>();
    return {
        add: (task: TaskId, run: number): void => {
            pending.set(`${taskKey(task)}#${run}`, { task, run });
        },
        count: (): number => pending.size,
        list: (): readonly FencedRun[] => [...pending.values()],
        /** Sends the pending orders; resolves with false when the worker does not answer or is too unhealthy to obey. */
        send: async (client: WorkerClient): Promise<boolean> => {
            for (const [key, { task, run }] of [...pending]) {
                const sentAtMs = timer.nowMs();
                const stopped = await client.stop(task, run, fencingToken());
                if (!stopped.ok) {
                    handleOrderError(stopped.error, sentAtMs);
                    if (stopped.error.kind === "noAnswer" || stopped.error.refusal === Refusal.Unhealthy) {
                        return false;
                    }
                }
                pending.delete(key);
            }
            return true;
        },
    };
};
