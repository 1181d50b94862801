/** What a service can do by the times at which its waiting work must have started. */
import type { TaskResources } from "../jobs/types.js";
import { addResources, noResources, resourceNames } from "./resources.js";
import type { WorkerInfo } from "./types.js";

const stride = resourceNames.length;

/** Resources times milliseconds that are available by given times. */
export interface Supply {
    /** Adds `count` times the resources from a time on, or takes them if the count is negative. */
    add(resources: TaskResources, count: number, fromMs: number): void;
    /** Reads, for each of the times and in the order of `resourceNames`, what is available. */
    read(): { untilThen: Float64Array; atThatTime: Float64Array; };
}

const findFirstFrom = (sortedMs: Float64Array, fromMs: number): number => {
    let low = 0;
    let high = sortedMs.length;
    while (low < high) {
        const middle = (low + high) >>> 1;
        if (sortedMs[middle] < fromMs) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
};

/** Creates an empty supply for times in ascending order. It is a sum of lines, each of which begins at some time. */
export const createSupply = (timesMs: Float64Array): Supply => {
    const slopes = new Float64Array(timesMs.length * stride);
    const offsets = new Float64Array(timesMs.length * stride);
    const addLine = (at: number, slope: number, fromMs: number): void => {
        slopes[at] += slope;
        offsets[at] -= slope * fromMs;
    };
    return {
        add: ({ accelerators, milliCores, memoryMb }, count, fromMs) => {
            const at = findFirstFrom(timesMs, fromMs) * stride;
            if (at < slopes.length) {
                addLine(at, accelerators * count, fromMs);
                addLine(at + 1, milliCores * count, fromMs);
                addLine(at + 2, memoryMb * count, fromMs);
            }
        },
        read: () => {
            const untilThen = new Float64Array(slopes.length);
            const atThatTime = new Float64Array(slopes.length);
            for (let resource = 0; resource < stride; resource++) {
                let slope = 0;
                let offset = 0;
                for (let at = resource; at < slopes.length; at += stride) {
                    slope += slopes[at];
                    offset += offsets[at];
                    untilThen[at] = slope * timesMs[(at - resource) / stride] + offset;
                    atThatTime[at] = slope;
                }
            }
            return { untilThen, atThatTime };
        },
    };
};

/** Resources of a worker that are not free, in place of `target`. */
const setOccupied = (target: TaskResources, { capacity, free }: WorkerInfo): TaskResources => {
    target.accelerators = capacity.accelerators - free.accelerators;
    target.milliCores = capacity.milliCores - free.milliCores;
    target.memoryMb = capacity.memoryMb - free.memoryMb;
    return target;
};

/** Adds what is free on workers and what their runs leave, by declared run times. */
export const addWorkers = (supply: Supply, workers: readonly WorkerInfo[]): void => {
    const free = noResources();
    const occupied = noResources();
    for (const worker of workers) {
        addResources(free, worker.free, 1);
        const { endingShare = 0, meanRemainingMs = 0 } = worker;
        if (endingShare > 0) {
            supply.add(setOccupied(occupied, worker), endingShare, meanRemainingMs);
        }
    }
    supply.add(free, 1, 0);
};

/** Adds what urgent work gains by preempting other runs: they leave at once, not at their ends. */
export const addPreemptible = (supply: Supply, workers: readonly WorkerInfo[]): void => {
    const occupied = noResources();
    for (const worker of workers) {
        const { preemptibleShare = 0, meanRemainingMs = 0 } = worker;
        setOccupied(occupied, worker);
        supply.add(occupied, preemptibleShare, 0);
        supply.add(occupied, -preemptibleShare, meanRemainingMs);
    }
};
