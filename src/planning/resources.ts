import type { Step, TaskResources } from "../jobs/types.js";

/** Cores that one accelerator counts as when lost work is compared. */
export const coresPerAccelerator = 8;

/** Names of the resources that work is accounted in. */
export const resourceNames = ["accelerators", "milliCores", "memoryMb"] as const;

const milliCoresPerCore = 1_000;

/** Creates a sum of resources that begins with nothing. */
export const noResources = (): TaskResources => ({ milliCores: 0, memoryMb: 0, accelerators: 0 });

/** Resources that a task of a step occupies on a worker; tasks that fill idle cores occupy no cores. */
export const occupiedBy = (step: Step): TaskResources =>
    step.fillsIdleCores ? { ...step.resources, milliCores: 0 } : step.resources;

/** Size of a task in cores, accelerators included. */
export const coreEquivalentsOf = (resources: TaskResources): number =>
    resources.milliCores / milliCoresPerCore + resources.accelerators * coresPerAccelerator;

/** Subtracts the resources of `count` tasks from `free`, in place; a negative count adds them. */
export const subtractResources = (free: TaskResources, perTask: TaskResources, count: number): void => {
    free.milliCores -= perTask.milliCores * count;
    free.memoryMb -= perTask.memoryMb * count;
    free.accelerators -= perTask.accelerators * count;
};

/** Adds the resources of `count` tasks to `sum`, in place. */
export const addResources = (sum: TaskResources, perTask: TaskResources, count: number): void =>
    subtractResources(sum, perTask, -count);

const quotient = (free: number, perTask: number): number =>
    perTask <= 0 ? Number.POSITIVE_INFINITY : Math.floor(free / perTask);

/** Number of tasks that fit into `free`: never negative, and infinite for a task that occupies nothing. */
export const fitCount = (free: TaskResources, perTask: TaskResources): number =>
    Math.max(
        0,
        Math.min(
            quotient(free.milliCores, perTask.milliCores),
            quotient(free.memoryMb, perTask.memoryMb),
            quotient(free.accelerators, perTask.accelerators),
        ),
    );
