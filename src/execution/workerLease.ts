import type { Result } from "../utils/result.js";
import type { TimerService } from "../utils/timer.js";
import { isAnswered } from "./types.js";
import type { OrderError } from "./types.js";

/** Tracks a worker's clock and bounds the time at which the lease of its runs expires. */
export interface WorkerLease {
    /** Records the reading of the worker's clock in an answer. */
    recordClock(clockMs: number): void;
    /**
     * Whether a reading of the clock in the answer to an order is possible for this incarnation of the worker; the clock of its
     * next incarnation starts anew. `sentAtMs` is the monotonic time at which the order was sent.
     */
    isPossibleClock(clockMs: number, sentAtMs: number): boolean;
    /**
     * Records the end of a lease that an order is about to carry; 0 for an order without a lease. The returned function
     * records the outcome of the order.
     */
    recordLease(untilClockMs: number): (outcome: Result<unknown, OrderError>) => void;
    /** End of a lease of at most `maxMs` for an order sent now, on the worker's clock; 0 before the first answer. */
    untilClockMs(maxMs?: number): number;
    /** Monotonic time by which every lease sent to the worker has expired and its runs have certainly ended. */
    expiresAtMs(): number;
    /**
     * Bounds the leases that earlier sessions granted by the longest one that could have been granted until now; to be
     * called once the worker has answered, after which it refuses their orders.
     */
    boundEarlierLeases(): void;
    /** Raises the bound on leases that earlier sessions granted, unless the worker has answered this one. */
    extendEarlierLeases(untilMs: number): void;
    /** Records that the next incarnation has carried out an order, and reads the end of its lease on a new clock. */
    recordNextIncarnation(): void;
    /** Monotonic time until which orders with a lease that got no answer may be carried out. */
    lateOrdersUntilMs(): number;
}

/** Upper bound on real time per unit of time on a worker's clock, which may run 2 % slow. */
export const slowClockFactor = 1 / 0.98;
/** Time for the worker to kill its runs after the lease has expired, and for an answer that is still in transit. */
const expiryMarginMs = 350;

/** Lease of a worker's runs: outlasts a change of planner and a network partition of some seconds. */
export const usualLeaseMs = 8_000;

/** Time after which an order is certainly not carried out any more; orders may take effect up to 12 s late. */
export const lateOrderMs = 15_000;

/** Time after which a lease of `leaseMs` that is granted now has certainly expired and the runs have ended. */
export const endsAfterMs = (leaseMs: number): number => leaseMs * slowClockFactor + expiryMarginMs;

/** Lease that a poll grants to workers that accept leases of up to `maxLeaseMs`. */
export const grantedLeaseMs = (maxLeaseMs: number): number => Math.min(usualLeaseMs, maxLeaseMs);

/** Time after which the lease of a poll that is sent now has certainly expired and the runs have ended. */
export const longestGrantMs = (maxLeaseMs: number): number => endsAfterMs(grantedLeaseMs(maxLeaseMs));

/** Options of {@link createWorkerLease}. */
export interface WorkerLeaseOptions {
    timer: TimerService;
    /** Longest lease that an order grants. */
    leaseMs: number;
    /**
     * Longest lease that the worker accepts. An order to an incarnation of the worker may grant it to the next one, since
     * the end of the lease is far ahead on the clock of that.
     */
    longestLeaseMs: number;
    /** Monotonic time by which every lease granted by earlier sessions has expired, if it is not renewed. */
    earlierLeasesExpireAtMs: number;
}

/**
 * Time after which a lease that an order sent now may grant has certainly expired and the runs have ended, also if the
 * order is carried out late, by the worker's next incarnation.
 */
export const longestLateGrantMs = (maxLeaseMs: number): number => lateOrderMs + endsAfterMs(maxLeaseMs);

/** Creates the lease of the runs of one incarnation of a worker. */
export const createWorkerLease = (options: WorkerLeaseOptions): WorkerLease => {
    const { timer, leaseMs, longestLeaseMs } = options;
    let clock: { clockMs: number; atMs: number; } | undefined;
    let sentUntilClockMs = 0;
    let earlierExpiryMs = options.earlierLeasesExpireAtMs;
    const unanswered = new Set<{ lateUntilMs: number; }>();

    const trackOrder = () => {
        unanswered.forEach(order => order.lateUntilMs < timer.nowMs() && unanswered.delete(order));
        const order = { lateUntilMs: timer.nowMs() + lateOrderMs };
        unanswered.add(order);
        return (outcome: Result<unknown, OrderError>): void => {
            if (isAnswered(outcome)) {
                unanswered.delete(order);
            }
        };
    };

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
            return untilClockMs > 0 ? trackOrder() : () => {};
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
            earlierExpiryMs = Math.min(earlierExpiryMs, timer.nowMs() + endsAfterMs(longestLeaseMs));
        },
        extendEarlierLeases: untilMs => {
            if (clock === undefined) {
                earlierExpiryMs = Math.max(earlierExpiryMs, untilMs);
            }
        },
        recordNextIncarnation: () => {
            earlierExpiryMs = Math.max(earlierExpiryMs, timer.nowMs() + endsAfterMs(longestLeaseMs));
        },
        lateOrdersUntilMs: () =>
            [...unanswered].reduce((latest, order) => Math.max(latest, order.lateUntilMs), Number.NEGATIVE_INFINITY),
    };
};
