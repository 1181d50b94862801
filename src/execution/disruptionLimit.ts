import { RunPhase } from "../jobs/progress.js";
import type { TaskState, Unit } from "../jobs/progress.js";
import type { DisruptionLimit } from "../planning/types.js";

/** Progress that a long-running task reports while it is at work. */
const atWorkPercent = 100;

/** Whether a task is at work, as far as its worker has reported lately. */
const isAvailable = ({ run }: TaskState): boolean =>
    run?.phase === RunPhase.Running && run.percent >= atWorkPercent && run.worker.silentMs() === 0;

/** How many tasks of a unit's step may be unavailable, and which are; `undefined` if there is no limit. */
export const disruptionLimitOf = ({ step: { maxUnavailable }, tasks }: Unit): DisruptionLimit | undefined =>
    maxUnavailable === undefined ? undefined : {
        maxUnavailable,
        unavailableTasks: new Set(tasks.filter(task => !isAvailable(task)).map(({ index }) => index)),
    };
