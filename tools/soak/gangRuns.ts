/** Works out from workers' events when the members of a gang ran. */
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

/** Time for which one task of a gang ran. */
export interface Run {
    worker: string;
    fromMs: number;
    untilMs: number;
    finished: boolean;
}

const endKinds = ["taskFinished", "taskFailed", "taskStopped", "taskLapsed"];

/** Runs of one gang's tasks under one number, by the events of its workers. */
export const runsOf = (events: readonly WorkerEvent[]): Run[] => {
    const runs: Run[] = [];
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

/** Time for which some members ran while another one did not, other than after it had finished. */
export const partialMs = (runs: readonly Run[], members: number): number => {
    const firstStart = Math.min(...runs.map(run => run.fromMs));
    const lastStart = Math.max(...runs.map(run => run.fromMs));
    const lastEnd = Math.max(...runs.map(run => run.untilMs));
    const brokenAt = Math.min(...runs.filter(run => !run.finished).map(run => run.untilMs));
    if (runs.length < members) {
        return lastEnd - firstStart;
    }
    return Math.max(lastStart - firstStart, Number.isFinite(brokenAt) ? lastEnd - brokenAt : 0);
};
