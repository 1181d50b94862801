import type { Room } from "./types.js";

/** Remembers how much urgent work there was at a time, to keep room for as much again. */
export interface UrgentDemand {
    /** Accelerators to keep: the highest use of the last seconds less the present one, bounded by a share of all. */
    expected(nowMs: number, usedAccelerators: number, rooms: readonly Room[]): number;
}

/** Time over which the highest use is remembered; bursts of urgent work last some seconds and come in series. */
const windowMs = 10_000;
/** Share of all accelerators that is kept at most, so that other work is not starved by a burst that has passed. */
const maxKeptShare = 0.15;

/** Creates a memory without entries. */
export const createUrgentDemand = (): UrgentDemand => {
    let peaks: { atMs: number; accelerators: number; }[] = [];
    return {
        expected: (nowMs, usedAccelerators, rooms) => {
            peaks = peaks.filter(peak => nowMs - peak.atMs < windowMs && peak.accelerators > usedAccelerators);
            peaks.push({ atMs: nowMs, accelerators: usedAccelerators });
            const highest = peaks[0].accelerators;
            const all = rooms.reduce((sum, room) => sum + room.capacity.accelerators, 0);
            return Math.min(highest - usedAccelerators, all * maxKeptShare);
        },
    };
};
