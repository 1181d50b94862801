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

    const recentTo = (workerId: string): UnansweredStart[] =>
        (byWorker.get(workerId) ?? []).filter(({ sentAtMs }) => timer.nowMs() - sentAtMs < lateOrderMs);

    return {
        record: (workerId, task, run) => {
            [...byWorker.keys()].filter(id => recentTo(id).length === 0).forEach(id => byWorker.delete(id));
            const others = recentTo(workerId).filter(start => start.task !== task || start.run !== run);
            byWorker.set(workerId, [...others, { task, run, sentAtMs: timer.nowMs() }]);
        },
        givenUpOn: workerId => recentTo(workerId).filter(({ task, run }) => task.run?.number !== run),
    };
};
