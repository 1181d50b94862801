import type { EntryMetrics } from "../node/entryMetrics.js";
import type { Log } from "../node/logs.js";
import { estimateSpeeds } from "../planning/workerSpeeds.js";
import type { SpeedEstimate, SpeedObservation } from "../planning/workerSpeeds.js";
import type { TimerService } from "../utils/timer.js";
import type { WorkerSession } from "./session.js";

/** One life of a worker under its id. */
export type Incarnation = Pick<WorkerSession, "id" | "bornMs">;

/** Progress of one run, or of a gang, in a span of time. */
export interface ObservedWork {
    unitKey: string;
    queue: string;
    gang: boolean;
    workers: readonly Incarnation[];
    /** Work done, by declared time. */
    workMs: number;
    /** Monotonic times between which it was done. */
    fromMs: number;
    toMs: number;
    /** Whether it is the first observation of its run. */
    isFirstOfRun: boolean;
}

/** Speeds of the workers as a planner has learned them in its term; a new incarnation of a worker starts without any. */
export interface SpeedHistory {
    /** Adds an observation, which counts from the next refresh on. */
    add(work: ObservedWork): void;
    /** Estimates the speeds anew, without observations that are too old. */
    refresh(): void;
    /** Speed of a worker relative to the others; 1 if nothing is known. */
    speedOf(worker: Incarnation): number;
    /** Speed of the slowest of several workers. */
    slowestOf(workers: readonly Incarnation[]): number;
    /** Whether any worker is taken for slow. */
    knowsSlowWorkers(): boolean;
}

/** Interval at which the speeds are estimated; an estimate with 350 workers takes about 12 ms. */
export const speedRefreshIntervalMs = 4_000;
/** Age at which an observation no longer counts, so that a worker that was slow for a while is used as before. */
const expiryMs = 120_000;
/** Observations that count for a worker; the newest ones are kept. */
const maxObservationsPerWorker = 12;
/** Time for which observations of one worker and step are combined; a change of speed has to show in long runs. */
const maxCombinedMs = 30_000;
/** Log lines that one refresh writes at most. */
const maxLogLines = 10;

interface Entry extends SpeedObservation {
    workMs: number;
    elapsedMs: number;
}

const keyOf = ({ id, bornMs }: Incarnation): string => `${id}@${bornMs}`;
const idOf = (key: string): string => key.slice(0, key.lastIndexOf("@"));
const bornMsOf = (key: string): number => Number(key.slice(key.lastIndexOf("@") + 1));

const createEntry = ({ unitKey, queue, gang, workers, workMs, fromMs, toMs }: ObservedWork): Entry => ({
    unitKey,
    queue,
    gang,
    workerIds: workers.map(keyOf),
    rate: workMs / (toMs - fromMs),
    workMs,
    elapsedMs: toMs - fromMs,
    runs: 1,
    firstAtMs: fromMs,
    lastAtMs: toMs,
});

const combine = (entry: Entry, work: ObservedWork): Entry => {
    const workMs = entry.workMs + work.workMs;
    const elapsedMs = entry.elapsedMs + work.toMs - work.fromMs;
    const runs = entry.runs + (work.isFirstOfRun ? 1 : 0);
    return { ...entry, workMs, elapsedMs, rate: workMs / elapsedMs, runs, lastAtMs: work.toMs };
};

/** Removes entries that are too old, and those of workers that have enough newer ones. */
const removeOutdated = (entries: Map<string, Entry>, nowMs: number): void => {
    const counts = new Map<string, number>();
    for (const [key, { workerIds, lastAtMs }] of [...entries].reverse()) {
        const isNeeded = workerIds.some(id => (counts.get(id) ?? 0) < maxObservationsPerWorker);
        if (nowMs - lastAtMs > expiryMs || !isNeeded) {
            entries.delete(key);
            continue;
        }
        workerIds.forEach(id => counts.set(id, (counts.get(id) ?? 0) + 1));
    }
};

const isSlow = (estimate: SpeedEstimate | undefined): boolean => (estimate?.speed ?? 1) < 1;

/** Creates a history without observations. */
export const createSpeedHistory = (timer: TimerService, log: Log, metrics: EntryMetrics): SpeedHistory => {
    // in the order of their last observations
    const entries = new Map<string, Entry>();
    let estimates = new Map<string, SpeedEstimate>();
    // by worker id, as planning rounds look speeds up often
    let slowWorkers = new Map<string, { bornMs: number; speed: number; }>();

    const logChanges = (previous: ReadonlyMap<string, SpeedEstimate>): void => {
        const changed = [...new Set([...previous.keys(), ...estimates.keys()])]
            .filter(key => isSlow(previous.get(key)) !== isSlow(estimates.get(key)));
        changed.slice(0, maxLogLines).forEach(key => {
            const { speed = 1, observations = 0 } = estimates.get(key) ?? {};
            const lastAtMs = (estimates.get(key) ?? previous.get(key))?.lastAtMs ?? 0;
            const message = speed < 1 ? "worker taken for slow" : "worker no longer taken for slow";
            const ageMs = Math.round(timer.nowMs() - lastAtMs);
            log("info", message, { worker: idOf(key), speed, observations, ageMs, changes: changed.length });
        });
    };

    const speedOf = ({ id, bornMs }: Incarnation): number => {
        const slow = slowWorkers.get(id);
        return slow?.bornMs === bornMs ? slow.speed : 1;
    };

    return {
        add: work => {
            const key = `${work.unitKey}@${work.workers.map(keyOf).join()}`;
            const existing = entries.get(key);
            const mayCombine = existing !== undefined && work.toMs - existing.firstAtMs <= maxCombinedMs;
            entries.delete(key);
            entries.set(key, mayCombine ? combine(existing, work) : createEntry(work));
        },
        refresh: () => {
            if (entries.size === 0 && estimates.size === 0) {
                return;
            }
            removeOutdated(entries, timer.nowMs());
            const previous = estimates;
            estimates = estimateSpeeds([...entries.values()], previous);
            slowWorkers = new Map(
                [...estimates].filter(([, estimate]) => isSlow(estimate))
                    .map(([key, { speed }]) => [idOf(key), { bornMs: bornMsOf(key), speed }]),
            );
            metrics.setSlowWorkers(slowWorkers.size);
            logChanges(previous);
        },
        speedOf,
        slowestOf: workers => workers.reduce((slowest, worker) => Math.min(slowest, speedOf(worker)), 1),
        knowsSlowWorkers: () => slowWorkers.size > 0,
    };
};
