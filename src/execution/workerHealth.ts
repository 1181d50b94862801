import type { TimerService } from "../utils/timer.js";

/** What the runs on a worker have shown of its condition. */
export interface WorkerHealth {
    noteDone(workerId: string): void;
    /** A run failed that might have failed anywhere. */
    noteFailed(workerId: string, jobId: string): void;
    /** The worker refused an order as unhealthy, or a run stood still on it. */
    noteTrouble(workerId: string): void;
    /** 0 for a sound worker, more for one that did worse than others. */
    suspicionOf(workerId: string): number;
    /** Whether it gets no work for the time being. */
    isResting(workerId: string): boolean;
    /** A new incarnation starts without a history. */
    forget(workerId: string): void;
}

interface Entry {
    /** Jobs with a failed run since the last success, and when. */
    failedJobs: Map<string, number>;
    restUntilMs: number;
    troubles: number;
}

/** Different jobs that have to fail without a success before a worker rests: one job may fail by its own fault. */
const restAfterJobs = 2;
/** First rest; a disturbance of workers lasts a few seconds. */
const restMs = 2_500;
/** A longer rest for one that fails again after it. */
const maxRestMs = 10_000;
/** Time after which a failure says nothing any more. */
const forgetMs = 20_000;

/** Creates a record of health without entries. */
export const createWorkerHealth = (timer: TimerService): WorkerHealth => {
    const entries = new Map<string, Entry>();
    const entryOf = (workerId: string): Entry => {
        const entry = entries.get(workerId) ?? { failedJobs: new Map(), restUntilMs: 0, troubles: 0 };
        entries.set(workerId, entry);
        return entry;
    };
    const rest = (entry: Entry): void => {
        entry.restUntilMs = timer.nowMs() + Math.min(restMs * 2 ** entry.troubles, maxRestMs);
        entry.troubles += 1;
    };
    const recentFailures = (entry: Entry): number => {
        for (const [jobId, atMs] of entry.failedJobs) {
            if (timer.nowMs() - atMs > forgetMs) {
                entry.failedJobs.delete(jobId);
            }
        }
        return entry.failedJobs.size;
    };
    return {
        noteDone: workerId => {
            entries.delete(workerId);
        },
        noteFailed: (workerId, jobId) => {
            const entry = entryOf(workerId);
            entry.failedJobs.set(jobId, timer.nowMs());
            if (recentFailures(entry) >= restAfterJobs) {
                rest(entry);
            }
        },
        noteTrouble: workerId => rest(entryOf(workerId)),
        suspicionOf: workerId => {
            const entry = entries.get(workerId);
            return entry === undefined ? 0 : recentFailures(entry) + entry.troubles;
        },
        isResting: workerId => (entries.get(workerId)?.restUntilMs ?? 0) > timer.nowMs(),
        forget: workerId => {
            entries.delete(workerId);
        },
    };
};
