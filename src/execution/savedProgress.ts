import type { Run, TaskState } from "../jobs/progress.js";

/** Time within which work that saves its progress has done so for the first time; workers save every second or so. */
const firstSaveMs = 3_000;

/** Whether a run can go on elsewhere; one that declares so and has saved nothing in its time so far cannot. */
export const savesProgress = ({ unit, checkpoint }: TaskState, run: Run, nowMs: number): boolean =>
    unit.step.checkpointing && (checkpoint !== "" || nowMs - run.orderedAtMs < firstSaveMs);
