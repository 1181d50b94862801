import { colocateAfterMs, fitsWindow, relaxAfterMs, relaxGuaranteeAfterMs } from "./placement.js";
import { occupiedBy } from "./resources.js";
import type { Candidate, WorkerInfo } from "./types.js";

/**
 * Caches the shapes of work that did not fit in a round, so that a backlog of similar work is checked once. Free
 * resources and backfill windows only shrink within a round, except for claims, which are used by their own candidates
 * alone. Of the declared time, only the windows that it fits are part of a shape.
 */
export const createUnplaceableCache = (workers: readonly WorkerInfo[]) => {
    const smallestFailed = new Map<string, number>();
    let windowsMs: number[] = [];
    const shapeKeyOf = (candidate: Candidate): string => {
        const { step, job, guaranteed, avoidedWorkers, mustAvoid, runningOn, waitingMs, uninterruptedWaitMs } =
            candidate;
        return JSON.stringify([
            windowsMs.map(windowMs => fitsWindow(windowMs, candidate)),
            waitingMs > (guaranteed ? relaxGuaranteeAfterMs : relaxAfterMs),
            uninterruptedWaitMs > relaxAfterMs,
            waitingMs > colocateAfterMs,
            occupiedBy(step),
            step.fillsIdleCores,
            step.longRunning,
            step.targetMs !== undefined,
            step.gang,
            step.adjacency,
            step.mayBeSpread,
            step.dataRack,
            step.requiredLabel,
            step.maxPerWorker,
            job.service,
            job.priority,
            guaranteed,
            candidate.preemptsNothing === true,
            mustAvoid ? [...avoidedWorkers] : [],
            step.maxPerWorker === undefined ? [] : [...runningOn],
        ]);
    };
    return {
        /** Records that backfill windows of workers have changed. */
        onWindowsLimited: (): void => {
            windowsMs = [...new Set(workers.map(worker => worker.backfillWindowMs))].filter(Number.isFinite);
        },
        add: (candidate: Candidate): void => {
            const shapeKey = shapeKeyOf(candidate);
            const size = candidate.step.gang ? candidate.taskIndexes.length : 0;
            smallestFailed.set(shapeKey, Math.min(size, smallestFailed.get(shapeKey) ?? Number.POSITIVE_INFINITY));
        },
        /** Whether work of the same shape and at most the same size did not fit. */
        has: (candidate: Candidate): boolean =>
            (candidate.step.gang ? candidate.taskIndexes.length : 0)
                >= (smallestFailed.get(shapeKeyOf(candidate)) ?? Number.POSITIVE_INFINITY),
    };
};
