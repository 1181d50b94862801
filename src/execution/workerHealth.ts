import type { TimerService } from "../utils/timer.js";
import { createRiskHistory, RiskEvent, riskExpiryMs } from "./workerRisk.js";
import type { RiskHistory } from "./workerRisk.js";

/** Tracks failures by worker to deprioritize or temporarily exclude faulty workers. */
export interface WorkerHealth {
    /** Records that a run succeeded, which clears the worker's failures and cooldowns. */
    recordSuccess(workerId: string): void;
    /** Records a failed run, for which either the job or the worker may be to blame. */
    recordFailure(workerId: string, jobId: string): void;
    /** Records a fault of the worker itself: it refused an order as unhealthy, or a run on it stalled. */
    recordFault(workerId: string): void;
    /** Number of recent failures and cooldowns; 0 for a healthy worker. */
    suspicionOf(workerId: string): number;
    /** Records that the worker did not answer, after it had. */
    recordLostContact(workerId: string): void;
    /** Weighted number of recent losses of contact, cooldowns and failures, which a success does not clear. */
    riskOf(workerId: string): number;
    /** Whether the worker is in a cooldown, during which it is assigned no new work. */
    isCoolingDown(workerId: string): boolean;
    /** Begins a session with an incarnation of the worker; clears the history of another one. */
    beginSession(workerId: string, bornMs: number): void;
    /** Ends the last session with the worker; its history is kept for a while, as it may be back. */
    endSession(workerId: string): void;
}

interface HealthEntry {
    /** Monotonic time of the last failed run since the last success, by job id. */
    failedJobs: Map<string, number>;
    cooldownUntilMs: number;
    cooldownCount: number;
    risk: RiskHistory;
    /** Start of the incarnation. */
    bornMs: number;
    /** Monotonic time since which there is no session with the worker. */
    absentSinceMs?: number;
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
    const createEntry = (bornMs: number): HealthEntry => ({
        failedJobs: new Map(),
        cooldownUntilMs: 0,
        cooldownCount: 0,
        risk: createRiskHistory(timer),
        bornMs,
    });
    const entryOf = (workerId: string): HealthEntry => {
        const entry = entries.get(workerId) ?? { ...createEntry(0), absentSinceMs: timer.nowMs() };
        entries.set(workerId, entry);
        return entry;
    };
    const deleteLongAbsent = (): void => {
        for (const [workerId, { absentSinceMs = Number.POSITIVE_INFINITY }] of entries) {
            if (timer.nowMs() - absentSinceMs > riskExpiryMs) {
                entries.delete(workerId);
            }
        }
    };
    const startCooldown = (entry: HealthEntry): void => {
        entry.cooldownUntilMs = timer.nowMs() + Math.min(firstCooldownMs * 2 ** entry.cooldownCount, maxCooldownMs);
        entry.cooldownCount += 1;
        entry.risk.record(RiskEvent.Cooldown);
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
            const entry = entries.get(workerId);
            if (entry !== undefined) {
                entry.failedJobs.clear();
                entry.cooldownUntilMs = 0;
                entry.cooldownCount = 0;
            }
        },
        recordFailure: (workerId, jobId) => {
            const entry = entryOf(workerId);
            entry.failedJobs.set(jobId, timer.nowMs());
            entry.risk.record(RiskEvent.Failure);
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
        recordLostContact: workerId => entryOf(workerId).risk.record(RiskEvent.LostContact),
        riskOf: workerId => entries.get(workerId)?.risk.score() ?? 0,
        beginSession: (workerId, bornMs) => {
            deleteLongAbsent();
            const entry = entries.get(workerId);
            if (entry?.bornMs === bornMs) {
                entry.absentSinceMs = undefined;
            }
            else {
                entries.set(workerId, createEntry(bornMs));
            }
        },
        endSession: workerId => {
            entryOf(workerId).absentSinceMs = timer.nowMs();
        },
    };
};
