import { gangMembersOf } from "../jobs/progress.js";
import type { Run, TaskState, Unit } from "../jobs/progress.js";
import { EndKind } from "./types.js";
import type { EndedRun } from "./types.js";

/**
 * Keeps the newest checkpoint of each task. That of any member covers a whole gang, and all members must start from the
 * same one. Checkpoints cannot be compared, so that one counts as newer if its run has not reported it before.
 */
export interface TaskCheckpoints {
    /** Stores the checkpoint that a listed run reports; returns whether it is a new one. */
    apply(task: TaskState, run: Run, checkpoint: string): boolean;
    /** Stores the checkpoint of an ended run. */
    applyEnd(task: TaskState, run: Run, end: EndedRun): void;
}

/** Creates the keeper of a planner's checkpoints. */
export const createTaskCheckpoints = (): TaskCheckpoints => {
    /** By gang, the number of the run of which a member was stopped and saved a checkpoint. */
    const savedWhenStopped = new WeakMap<Unit, number>();

    const apply = (task: TaskState, run: Run, checkpoint: string): boolean => {
        if (checkpoint === "" || checkpoint === (run.ownCheckpoint ?? task.checkpoint)) {
            return false;
        }
        run.ownCheckpoint = checkpoint;
        gangMembersOf(task).forEach(member => {
            member.checkpoint = checkpoint;
        });
        return true;
    };

    const applyEnd = (task: TaskState, run: Run, { kind, checkpoint }: EndedRun): void => {
        const { unit } = task;
        const wasStopped = kind === EndKind.Stopped;
        // other ends carry the last periodic checkpoint, which is older than one that was saved when a member was stopped
        const isOlder = !wasStopped && savedWhenStopped.get(unit) === run.number;
        if (!isOlder && apply(task, run, checkpoint) && wasStopped && unit.step.gang) {
            savedWhenStopped.set(unit, run.number);
        }
    };

    return { apply, applyEnd };
};
