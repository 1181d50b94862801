import type { Step, TaskResources } from "../jobs/types.js";

/** Cores that one accelerator counts as when work is compared. */
export const coresPerAccelerator = 8;

const milliCoresPerCore = 1_000;

/** What a task of a step takes from a worker; tasks that fill idle cores take no cores of their own. */
export const occupiedBy = (step: Step): TaskResources =>
    step.fillsIdleCores ? { ...step.resources, milliCores: 0 } : step.resources;

/** Work of a task in cores, accelerators included. */
export const coresOf = (resources: TaskResources): number =>
    resources.milliCores / milliCoresPerCore + resources.accelerators * coresPerAccelerator;

/** Takes a number of tasks from what is free; a negative number gives back. */
export const take = (free: TaskResources, perTask: TaskResources, count: number): void => {
    free.milliCores -= perTask.milliCores * count;
    free.memoryMb -= perTask.memoryMb * count;
    free.accelerators -= perTask.accelerators * count;
};

const timesIn = (free: number, perTask: number): number =>
    perTask <= 0 ? Number.POSITIVE_INFINITY : Math.floor(free / perTask);

/** Tasks that fit into what is free, never negative. */
export const fitCount = (free: TaskResources, perTask: TaskResources): number =>
    Math.max(
        0,
        Math.min(
            timesIn(free.milliCores, perTask.milliCores),
            timesIn(free.memoryMb, perTask.memoryMb),
            timesIn(free.accelerators, perTask.accelerators),
        ),
    );
