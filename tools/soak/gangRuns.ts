/** Derives from workers' events when the members of a gang ran. */
import type { WorkerEvent } from "../../standins/worker/types.js";

/** Groups items by a key. */
export const groupBy = <Item>(items: readonly Item[], keyOf: (item: Item) => string): Map<string, Item[]> => {
    const groups = new Map<string, Item[]>();
    for (const item of items) {
        const group = groups.get(keyOf(item)) ?? [];
        group.push(item);
        groups.set(keyOf(item), group);
    }
    return groups;
};

/** Interval in which one task of a gang ran. */
export interface RunInterval {
    worker: string;
    fromMs: number;
    /** `Infinity` while it runs. */
    untilMs: number;
    finished: boolean;
}

const endKinds = ["taskFinished", "taskFailed", "taskStopped", "taskLapsed"];

/** Returns the intervals in which tasks ran, given the events of one run number of a gang. */
export const toRunIntervals = (events: readonly WorkerEvent[]): RunInterval[] => {
    const runs: RunInterval[] = [];
    for (const start of events.filter(event => event.kind === "taskRunning")) {
        const end = events.find(event =>
            event.task === start.task && event.run === start.run && event.atMs >= start.atMs
            && endKinds.includes(event.kind)
        );
        const finished = end?.kind === "taskFinished";
        runs.push({ worker: start.worker, fromMs: start.atMs, untilMs: end?.atMs ?? Infinity, finished });
    }
    return runs;
};

/** Longest time for which some members ran while another had not started yet or had ended without finishing. */
export const longestPartialMs = (runs: readonly RunInterval[], members: number): number => {
    const firstStartMs = Math.min(...runs.map(run => run.fromMs));
    const lastStartMs = Math.max(...runs.map(run => run.fromMs));
    const lastEndMs = Math.max(...runs.map(run => run.untilMs));
    const firstUnfinishedEndMs = Math.min(...runs.filter(run => !run.finished).map(run => run.untilMs));
    if (runs.length < members) {
        return lastEndMs - firstStartMs;
    }
    return Math.max(
        lastStartMs - firstStartMs,
        Number.isFinite(firstUnfinishedEndMs) ? lastEndMs - firstUnfinishedEndMs : 0,
    );
};
