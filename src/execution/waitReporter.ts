import { RunPhase } from "../jobs/progress.js";
import type { Run, Unit } from "../jobs/progress.js";
import { isEnded } from "../jobs/types.js";
import { serviceShareInUse, utilisation } from "../planning/placement.js";
import type { Candidate, Round, WorkerInfo } from "../planning/types.js";
import { countRoom, findWaitReason, WaitReason } from "../planning/waitReason.js";
import type { PlannerContext } from "./context.js";
import { isWaiting, maxSilentMs } from "./roundInput.js";

/** Logs why work waits although there is room for it. */
export interface WaitReporter {
    /** Logs why candidates of a round were not placed; `workers` are as the round left them. */
    onRound(workers: readonly WorkerInfo[], candidates: readonly Candidate[], round: Round): void;
    /** Logs units that are no candidates since an earlier run is not known to have ended. */
    reportHeldUnits(): void;
}

/** Waiting time after which a unit is reported. */
const reportAfterMs = 1_500;
/** Minimum time between two lines about a unit. */
const repeatAfterMs = 2_000;
/** Minimum time between two searches for reasons; rounds may follow each other within milliseconds. */
const searchIntervalMs = 250;
/** Maximum number of units for which a search finds reasons, those that have waited longest. */
const maxUnitsPerSearch = 20;

const shareInUse = (workers: readonly WorkerInfo[], resource: "accelerators" | "milliCores"): number =>
    Number(utilisation(workers, resources => resources[resource]).toFixed(2));

/** Whether a run may have ended without its end being known: it is being stopped, or its worker is silent. */
const mayHaveEnded = ({ phase, worker }: Run): boolean =>
    phase === RunPhase.Stopping || phase === RunPhase.Unknown || worker.silentMs() >= maxSilentMs;

/** Whether all runs of a unit may have ended, so that perhaps none of its tasks is at work. */
const isHeld = (unit: Unit): boolean => {
    const runs = unit.tasks.flatMap(task => task.run ?? []);
    return runs.length > 0 && runs.every(mayHaveEnded);
};

/** Creates the reporter of a planner's term. */
export const createWaitReporter = (context: PlannerContext): WaitReporter => {
    const { log, timer, metrics } = context;
    const searchedAtMs = new Map<string, number>();
    let heldSinceMs = new Map<string, number>();
    let roundSearchedAtMs = Number.NEGATIVE_INFINITY;
    let heldSearchedAtMs = Number.NEGATIVE_INFINITY;

    const isDue = (key: string, waitingMs: number): boolean =>
        waitingMs >= reportAfterMs
        && timer.nowMs() - (searchedAtMs.get(key) ?? Number.NEGATIVE_INFINITY) >= repeatAfterMs;

    const write = (unit: string, reason: WaitReason, waitingMs: number, fields: Record<string, unknown>): void => {
        metrics.recordUnplaced(reason);
        log("info", "waiting work not placed", { unit, reason, waitingMs: Math.round(waitingMs), ...fields });
    };

    const reportBackfillLimits = ({ backfillLimits }: Round): void => {
        for (const { candidate, workers, windowMs } of backfillLimits) {
            const key = `backfill ${candidate.key}`;
            if (workers > 0 && isDue(key, candidate.waitingMs)) {
                searchedAtMs.set(key, timer.nowMs());
                log("info", "backfill limited for a gang", {
                    unit: candidate.key,
                    waitingMs: Math.round(candidate.waitingMs),
                    workers,
                    windowMs: Math.round(windowMs),
                });
            }
        }
    };

    const onRound = (workers: readonly WorkerInfo[], candidates: readonly Candidate[], round: Round): void => {
        const nowMs = timer.nowMs();
        if (nowMs - roundSearchedAtMs < searchIntervalMs) {
            return;
        }
        roundSearchedAtMs = nowMs;
        reportBackfillLimits(round);
        const placed = new Set(round.placements.map(({ candidate }) => candidate.key));
        const claimed = new Set(round.claims.map(({ key }) => key));
        const longestWaiting = candidates
            .filter(({ key, waitingMs }) => isDue(key, waitingMs) && !placed.has(key))
            .sort((left, right) => right.waitingMs - left.waitingMs)
            .slice(0, maxUnitsPerSearch);
        for (const candidate of longestWaiting) {
            searchedAtMs.set(candidate.key, nowMs);
            const reason = findWaitReason(workers, candidate, claimed, round.limited);
            if (reason !== WaitReason.NoRoom) {
                const ofService = workers.filter(({ service }) => service === candidate.job.service);
                write(candidate.key, reason, candidate.waitingMs, {
                    tasks: candidate.taskIndexes.length,
                    gang: candidate.step.gang,
                    postponed: round.postponements.get(candidate.key)?.active === true,
                    room: countRoom(workers, candidate),
                    priority: candidate.job.priority,
                    inUse: Number(serviceShareInUse(workers, candidate).toFixed(3)),
                    acceleratorsInUse: shareInUse(ofService, "accelerators"),
                    coresInUse: shareInUse(ofService, "milliCores"),
                });
            }
        }
    };

    const forgetOldSearches = (): void =>
        searchedAtMs.forEach((atMs, key) => timer.nowMs() - atMs > repeatAfterMs && searchedAtMs.delete(key));

    const findHeldUnits = (): Unit[] => {
        const openJobs = [...context.openJobs].filter(job => !isEnded(job.phase) && !job.cancelled);
        return openJobs.flatMap(job => [...job.units.values()]).filter(unit =>
            isHeld(unit) && isWaiting(unit, timer.nowMs(), timer.wallClockMs())
        );
    };

    const reportHeldUnits = (): void => {
        const nowMs = timer.nowMs();
        if (nowMs - heldSearchedAtMs < searchIntervalMs) {
            return;
        }
        heldSearchedAtMs = nowMs;
        forgetOldSearches();
        const held = findHeldUnits();
        heldSinceMs = new Map(held.map(({ key }) => [key, heldSinceMs.get(key) ?? nowMs]));
        const due = held.filter(({ key }) => isDue(key, nowMs - (heldSinceMs.get(key) ?? nowMs)));
        for (const { key, tasks } of due.slice(0, maxUnitsPerSearch)) {
            searchedAtMs.set(key, nowMs);
            write(key, WaitReason.RunNotEnded, nowMs - (heldSinceMs.get(key) ?? nowMs), {
                workers: [...new Set(tasks.flatMap(task => task.run?.worker.id ?? []))].slice(0, 3).join(),
            });
        }
    };

    return { onRound, reportHeldUnits };
};
