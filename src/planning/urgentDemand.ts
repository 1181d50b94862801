import type { WorkerInfo } from "./types.js";

/** Tracks the recent peak of urgent work, to keep capacity free for another burst of that size. */
export interface UrgentDemand {
    /** Records the current use; returns the accelerators to keep free: recent peak less current use, bounded. */
    expected(nowMs: number, usedAccelerators: number, workers: readonly WorkerInfo[]): number;
}

/** Time for which a peak counts; bursts of urgent work last some seconds and come in series. */
const peakWindowMs = 10_000;
/** Largest share of all accelerators that is kept free, so that other work is not starved after a burst. */
const maxHeadroomShare = 0.15;

/** Creates a tracker without recorded use. */
export const createUrgentDemand = (): UrgentDemand => {
    let peaks: { atMs: number; accelerators: number; }[] = [];
    return {
        expected: (nowMs, usedAccelerators, workers) => {
            peaks = peaks.filter(peak => nowMs - peak.atMs < peakWindowMs && peak.accelerators > usedAccelerators);
            peaks.push({ atMs: nowMs, accelerators: usedAccelerators });
            const peakAccelerators = peaks[0].accelerators;
            const totalAccelerators = workers.reduce((sum, worker) => sum + worker.capacity.accelerators, 0);
            return Math.min(peakAccelerators - usedAccelerators, totalAccelerators * maxHeadroomShare);
        },
    };
};
