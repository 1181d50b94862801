import type { TimerService } from "../utils/timer.js";

/** Tracks a worker's clock and bounds the time at which the lease of its runs expires. */
export interface WorkerLease {
    /** Records the reading of the worker's clock in an answer. */
    recordClock(clockMs: number): void;
    /**
     * Whether a reading of the clock in the answer to an order is possible for this incarnation of the worker; the clock of its
     * next incarnation starts anew. `sentAtMs` is the monotonic time at which the order was sent.
     */
    isPossibleClock(clockMs: number, sentAtMs: number): boolean;
    /** Records the end of a lease that an order is about to carry; 0 for an order without a lease. */
    recordLease(untilClockMs: number): void;
    /** End of a lease of at most `maxMs` for an order sent now, on the worker's clock; 0 before the first answer. */
    untilClockMs(maxMs?: number): number;
    /** Monotonic time by which every lease sent to the worker has expired and its runs have certainly ended. */
    expiresAtMs(): number;
    /**
     * Bounds the leases of earlier planners by the longest one that could have been granted until now; to be called
     * once the worker has answered, after which it refuses their renewals.
     */
    boundEarlierLeases(): void;
}

/** Upper bound on real time per unit of time on a worker's clock, which may run 2 % slow. */
export const slowClockFactor = 1 / 0.98;
/** Time for the worker to kill its runs after the lease has expired, and for an answer that is still in transit. */
const expiryMarginMs = 350;

/** Lease of a worker's runs: outlasts a change of planner and a network partition of some seconds. */
export const usualLeaseMs = 8_000;

/** Time after which a lease of `leaseMs` that is granted now has certainly expired and the runs have ended. */
const endsAfterMs = (leaseMs: number): number => leaseMs * slowClockFactor + expiryMarginMs;

/** Lease that a poll grants to workers that accept leases of up to `maxLeaseMs`. */
export const grantedLeaseMs = (maxLeaseMs: number): number => Math.min(usualLeaseMs, maxLeaseMs);

/** Time after which the lease of a poll that is sent now has certainly expired and the runs have ended. */
export const longestGrantMs = (maxLeaseMs: number): number => endsAfterMs(grantedLeaseMs(maxLeaseMs));

/** Creates the lease of a worker's runs. `earlierLeasesExpireAtMs` bounds the leases granted by earlier planners. */
export const createWorkerLease = (
    timer: TimerService,
    leaseMs: number,
    earlierLeasesExpireAtMs: number,
): WorkerLease => {
    let clock: { clockMs: number; atMs: number; } | undefined;
    let sentUntilClockMs = 0;
    let earlierExpiryMs = earlierLeasesExpireAtMs;
    return {
        recordClock: clockMs => {
            if (clock === undefined || clockMs >= clock.clockMs) {
                clock = { clockMs, atMs: timer.nowMs() };
            }
        },
        isPossibleClock: (clockMs, sentAtMs) =>
            clock === undefined || sentAtMs < clock.atMs
            || clockMs >= Math.floor(clock.clockMs + (sentAtMs - clock.atMs) / slowClockFactor),
        recordLease: untilClockMs => {
            sentUntilClockMs = Math.max(sentUntilClockMs, untilClockMs);
        },
        untilClockMs: (maxMs = leaseMs) =>
            clock === undefined
                ? 0
                : Math.floor(clock.clockMs + (timer.nowMs() - clock.atMs) + Math.min(leaseMs, maxMs)),
        expiresAtMs: () => {
            const ownExpiryMs = clock === undefined
                ? Number.NEGATIVE_INFINITY
                : clock.atMs + endsAfterMs(sentUntilClockMs - clock.clockMs);
            return Math.max(earlierExpiryMs, ownExpiryMs);
        },
        boundEarlierLeases: () => {
            earlierExpiryMs = Math.min(earlierExpiryMs, timer.nowMs() + endsAfterMs(leaseMs));
        },
    };
};
