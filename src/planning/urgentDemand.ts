import type { WorkerInfo } from "./types.js";

/** What urgent work needs. */
export interface UrgentUse {
    /** Accelerators that it uses or waits for. */
    accelerators: number;
    /** Monotonic time at which the latest of it arrived; unset if there is none. */
    latestArrivalMs?: number;
}

/** Tracks the recent peak of urgent work, to keep capacity free for another burst of that size. */
export interface UrgentDemand {
    /**
     * Records the current use and when the latest urgent work arrived; returns the accelerators to keep free: recent
     * peak less current use, bounded, and none once no urgent work has arrived for a while.
     */
    expected(nowMs: number, use: UrgentUse, workers: readonly WorkerInfo[]): number;
}

/** Time for which a peak, and an arrival, counts; bursts of urgent work last some seconds and come in series. */
const peakWindowMs = 10_000;
/** Largest share of all accelerators that is kept free, so that other work is not starved after a burst. */
const maxHeadroomShare = 0.15;

/** Creates a tracker without recorded use. */
export const createUrgentDemand = (): UrgentDemand => {
    let peaks: { atMs: number; accelerators: number; }[] = [];
    let latestArrivalMs = Number.NEGATIVE_INFINITY;
    return {
        expected: (nowMs, use, workers) => {
            const usedAccelerators = use.accelerators;
            latestArrivalMs = Math.max(latestArrivalMs, use.latestArrivalMs ?? Number.NEGATIVE_INFINITY);
            peaks = peaks.filter(peak => nowMs - peak.atMs < peakWindowMs && peak.accelerators > usedAccelerators);
            peaks.push({ atMs: nowMs, accelerators: usedAccelerators });
            // use that falls while nothing arrives is the end of a burst, not the sign of another one
            if (nowMs - latestArrivalMs >= peakWindowMs) {
                return 0;
            }
            const peakAccelerators = peaks[0].accelerators;
            const totalAccelerators = workers.reduce((sum, worker) => sum + worker.capacity.accelerators, 0);
            return Math.min(peakAccelerators - usedAccelerators, totalAccelerators * maxHeadroomShare);
        },
    };
};
