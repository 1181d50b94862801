import type { Step } from "../../jobs/types.js";
import type { Shape } from "../types.js";

const mbPerGb = 1_000;
const milliCoresPerCore = 1_000;

/** Builds the step that runs one gang of a shape. */
export const stepOf = (shape: Shape, estimateMs: number, checkpointing: boolean): Step => ({
    taskCount: shape.taskCount,
    resources: {
        milliCores: shape.coresPerTask * milliCoresPerCore,
        memoryMb: shape.memoryGbPerTask * mbPerGb,
        accelerators: shape.acceleratorsPerTask,
    },
    estimateMs,
    after: [],
    checkpointing,
    gang: true,
    adjacency: shape.adjacency,
    mayBeSpread: false,
    speculative: false,
    longRunning: false,
    fillsIdleCores: false,
});
