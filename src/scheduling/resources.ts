import type { Shape } from "../configuration/types.js";
import type { Member, Resources } from "./types.js";

/** Resources of nothing. */
export const noResources = (): Resources => ({ accelerators: 0, cores: 0, memoryGb: 0 });

/** What one task of a shape needs. */
export const resourcesPerTask = (shape: Shape): Resources => ({
    accelerators: shape.acceleratorsPerTask,
    cores: shape.coresPerTask,
    memoryGb: shape.memoryGbPerTask,
});

/** Adds `factor` times the second operand to the first. */
export const addScaled = (left: Resources, right: Resources, factor: number): Resources => ({
    accelerators: left.accelerators + factor * right.accelerators,
    cores: left.cores + factor * right.cores,
    memoryGb: left.memoryGb + factor * right.memoryGb,
});

/** What a number of tasks needs. */
export const scale = (perTask: Resources, taskCount: number): Resources => addScaled(noResources(), perTask, taskCount);

/** What the tasks of some members need on one worker. */
export const resourcesOn = (members: readonly Member[], worker: string, perTask: Resources): Resources =>
    scale(perTask, members.find(member => member.worker === worker)?.taskCount ?? 0);

/** Takes the smaller of two amounts in each dimension, at least 0. */
export const atMost = (left: Resources, right: Resources): Resources => ({
    accelerators: Math.max(0, Math.min(left.accelerators, right.accelerators)),
    cores: Math.max(0, Math.min(left.cores, right.cores)),
    memoryGb: Math.max(0, Math.min(left.memoryGb, right.memoryGb)),
});

const tasksInDimension = (needed: number, available: number): number =>
    needed === 0 ? Number.POSITIVE_INFINITY : Math.floor(available / needed);

/** How many tasks of a size fit into what is available. */
export const tasksThatFit = (perTask: Resources, available: Resources): number =>
    Math.max(
        0,
        Math.min(
            tasksInDimension(perTask.accelerators, available.accelerators),
            tasksInDimension(perTask.cores, available.cores),
            tasksInDimension(perTask.memoryGb, available.memoryGb),
        ),
    );

/** Accelerators of a whole gang. */
export const acceleratorsOf = (shape: Shape): number => shape.taskCount * shape.acceleratorsPerTask;
