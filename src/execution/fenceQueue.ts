import { taskKey } from "../jobs/progress.js";
import type { TaskId } from "../jobs/types.js";
import type { OrderError, WorkerClient } from "./types.js";

/** Runs to fence on a worker: a stop order ends the run, or prevents its start if the start order arrives later. */
export const createFenceQueue = (fencingToken: number, handleOrderError: (error: OrderError) => void) => {
    const pending = new Map<string, { task: TaskId; run: number; }>();
    return {
        add: (task: TaskId, run: number): void => {
            pending.set(`${taskKey(task)}#${run}`, { task, run });
        },
        count: (): number => pending.size,
        /** Sends the pending orders; resolves with false when the worker does not answer. */
        send: async (client: WorkerClient): Promise<boolean> => {
            for (const [key, { task, run }] of [...pending]) {
                const stopped = await client.stop(task, run, fencingToken);
                if (!stopped.ok) {
                    handleOrderError(stopped.error);
                    if (stopped.error.kind === "noAnswer") {
                        return false;
                    }
                }
                pending.delete(key);
            }
            return true;
        },
    };
};
