import type { TimerService } from "../utils/timer.js";

/** What is known of a worker's clock and of the lease of what runs there. */
export interface WorkerLease {
    /** Notes the clock in an answer. */
    noteClock(clockMs: number): void;
    /** Notes that an order with a lease is being sent. */
    noteSent(untilClockMs: number): void;
    /** End of a lease of at most `maxMs` for an order sent now, on the worker's clock. */
    untilClockMs(maxMs?: number): number;
    /** Steady time at which everything that was ever leased there has surely ended. */
    lapseAtMs(): number;
    /** What an earlier planner ordered there is known, so that its leases do not count any more. */
    forgetInherited(): void;
}

/** Factor by which a worker's clock may be slow. */
export const slowClockFactor = 1 / 0.98;
/** Time to kill what runs once a lease has ended, and for the answer under way. */
const lapseSlackMs = 350;

/** Creates the account of a lease. `inheritedLapseAtMs` bounds the leases that an earlier planner has given. */
export const createWorkerLease = (timer: TimerService, leaseMs: number, inheritedLapseAtMs: number): WorkerLease => {
    let clock: { clockMs: number; atMs: number; } | undefined;
    let sentUntilClockMs = 0;
    let inheritedMs = inheritedLapseAtMs;
    return {
        noteClock: clockMs => {
            if (clock === undefined || clockMs >= clock.clockMs) {
                clock = { clockMs, atMs: timer.nowMs() };
            }
        },
        noteSent: untilClockMs => {
            sentUntilClockMs = Math.max(sentUntilClockMs, untilClockMs);
        },
        untilClockMs: (maxMs = leaseMs) =>
            clock === undefined
                ? 0
                : Math.floor(clock.clockMs + (timer.nowMs() - clock.atMs) + Math.min(leaseMs, maxMs)),
        lapseAtMs: () => {
            const ownMs = clock === undefined
                ? Number.NEGATIVE_INFINITY
                : clock.atMs + (sentUntilClockMs - clock.clockMs) * slowClockFactor + lapseSlackMs;
            return Math.max(inheritedMs, ownMs);
        },
        forgetInherited: () => {
            inheritedMs = Number.NEGATIVE_INFINITY;
        },
    };
};
