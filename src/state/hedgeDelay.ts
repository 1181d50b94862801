/** Learns from the durations of answered operations when an operation without an answer is attempted another way. */
export interface HedgeDelay {
    /** Records the duration of an operation that the table answered. */
    recordAnswer(durationMs: number): void;
    /**
     * Time without an answer after which an operation is attempted another way; at most `latestMs`, if the table usually
     * answers in that time.
     */
    delayMs(latestMs?: number): number;
}

/** Multiple of the usual duration, so that a table that is slow for every VM gets few operations twice. */
const usualDurationFactor = 4;
/** Multiple of the usual duration before which no operation is attempted another way, whatever time is left. */
const minDurationFactor = 1.6;
/** Shortest delay, whatever time is left. */
const minLatestMs = 50;
/** Limits of the delay; an operation in another availability zone takes some milliseconds. */
const minDelayMs = 120;
const maxDelayMs = 900;
/** Weight of the latest duration in the usual one. */
const latestWeight = 0.25;

/** Creates a learner that has seen no answer yet. */
export const createHedgeDelay = (): HedgeDelay => {
    let usualMs = 0;
    return {
        recordAnswer: durationMs => {
            usualMs += (durationMs - usualMs) * latestWeight;
        },
        delayMs: (latestMs = maxDelayMs) => {
            const delayMs = Math.min(Math.max(usualMs * usualDurationFactor, minDelayMs), maxDelayMs);
            return Math.min(delayMs, Math.max(latestMs, usualMs * minDurationFactor, minLatestMs));
        },
    };
};
