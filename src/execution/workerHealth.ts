import type { TimerService } from "../utils/timer.js";

/** Tracks failures by worker to deprioritize or temporarily exclude faulty workers. */
export interface WorkerHealth {
    /** Records that a run succeeded, which clears the worker's history. */
    recordSuccess(workerId: string): void;
    /** Records a failed run, for which either the job or the worker may be to blame. */
    recordFailure(workerId: string, jobId: string): void;
    /** Records a fault of the worker itself: it refused an order as unhealthy, or a run on it stalled. */
    recordFault(workerId: string): void;
    /** Number of recent failures and cooldowns; 0 for a healthy worker. */
    suspicionOf(workerId: string): number;
    /** Whether the worker is in a cooldown, during which it is assigned no new work. */
    isCoolingDown(workerId: string): boolean;
    /** Clears the worker's history, for a new incarnation. */
    reset(workerId: string): void;
}

interface HealthEntry {
    /** Monotonic time of the last failed run since the last success, by job id. */
    failedJobs: Map<string, number>;
    cooldownUntilMs: number;
    cooldownCount: number;
}

/** Number of jobs with failed runs that starts a cooldown; one job alone may fail for reasons of its own. */
const cooldownAfterFailedJobs = 2;
/** Length of the first cooldown; faults of workers usually last a few seconds. */
const firstCooldownMs = 2_500;
/** Limit of the cooldown, which doubles each time the worker fails again. */
const maxCooldownMs = 10_000;
/** Time after which a failed run no longer counts. */
const failureExpiryMs = 20_000;

/** Creates a health tracker without any history. */
export const createWorkerHealth = (timer: TimerService): WorkerHealth => {
    const entries = new Map<string, HealthEntry>();
    const entryOf = (workerId: string): HealthEntry => {
        const entry = entries.get(workerId) ?? { failedJobs: new Map(), cooldownUntilMs: 0, cooldownCount: 0 };
        entries.set(workerId, entry);
        return entry;
    };
    const startCooldown = (entry: HealthEntry): void => {
        entry.cooldownUntilMs = timer.nowMs() + Math.min(firstCooldownMs * 2 ** entry.cooldownCount, maxCooldownMs);
        entry.cooldownCount += 1;
    };
    const recentFailures = (entry: HealthEntry): number => {
        for (const [jobId, atMs] of entry.failedJobs) {
            if (timer.nowMs() - atMs > failureExpiryMs) {
                entry.failedJobs.delete(jobId);
            }
        }
        return entry.failedJobs.size;
    };
    return {
        recordSuccess: workerId => {
            entries.delete(workerId);
        },
        recordFailure: (workerId, jobId) => {
            const entry = entryOf(workerId);
            entry.failedJobs.set(jobId, timer.nowMs());
            if (recentFailures(entry) >= cooldownAfterFailedJobs) {
                startCooldown(entry);
            }
        },
        recordFault: workerId => startCooldown(entryOf(workerId)),
        suspicionOf: workerId => {
            const entry = entries.get(workerId);
            return entry === undefined ? 0 : recentFailures(entry) + entry.cooldownCount;
        },
        isCoolingDown: workerId => (entries.get(workerId)?.cooldownUntilMs ?? 0) > timer.nowMs(),
        reset: workerId => {
            entries.delete(workerId);
        },
    };
};
