import type { Run, TaskState } from "../jobs/progress.js";

/** Time within which a run that saves checkpoints has saved its first one; workers save about every second. */
const firstCheckpointMs = 3_000;

/** Whether a run can continue elsewhere; one that has saved no checkpoint in time cannot, whatever it declares. */
export const isResumable = ({ unit, checkpoint }: TaskState, run: Run, nowMs: number): boolean =>
    unit.step.checkpointing && (checkpoint !== "" || nowMs - run.orderedAtMs < firstCheckpointMs);
