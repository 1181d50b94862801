import type { TaskState } from "../jobs/progress.js";
import type { TimerService } from "../utils/timer.js";
import { lateOrderMs } from "./workerLease.js";

/** Start orders without an answer, which a worker may still carry out, also in its next incarnation, which knows of no stop. */
export interface UnansweredStarts {
    record(workerId: string, task: TaskState, run: number): void;
    /** Those to a worker whose runs were given up since, so that they must not start there any more. */
    givenUpOn(workerId: string): UnansweredStart[];
}

/** A start order without an answer. */
export interface UnansweredStart {
    task: TaskState;
    /** Number of the run. */
    run: number;
    /** Monotonic time at which it was sent. */
    sentAtMs: number;
}

/** Creates the record of a planner that has sent no orders. */
export const createUnansweredStarts = (timer: TimerService): UnansweredStarts => {
    const byWorker = new Map<string, UnansweredStart[]>();

    const dropOld = (): void => {
        for (const [workerId, starts] of byWorker) {
            const recent = starts.filter(({ sentAtMs }) => timer.nowMs() - sentAtMs < lateOrderMs);
            if (recent.length === 0) {
                byWorker.delete(workerId);
            }
            else {
                byWorker.set(workerId, recent);
            }
        }
    };

    return {
        record: (workerId, task, run) => {
            dropOld();
            byWorker.set(workerId, [...byWorker.get(workerId) ?? [], { task, run, sentAtMs: timer.nowMs() }]);
        },
        givenUpOn: workerId => {
            dropOld();
            return (byWorker.get(workerId) ?? []).filter(({ task, run }) => task.run?.number !== run);
        },
    };
};
