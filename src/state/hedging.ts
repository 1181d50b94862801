/** Decides when an operation without an answer is attempted another way as well. */
export interface Hedging {
    /** Records the duration of an operation that the table answered directly. */
    recordAnswer(durationMs: number): void;
    /** Time without an answer after which an operation is attempted another way. */
    delayMs(): number;
    /** Whether a further attempt may start beside those in progress; if so, it is counted. */
    tryHedge(): boolean;
    /** Records that a further attempt got the first answer. */
    recordWin(): void;
}

/** Multiple of the usual duration, so that a table that is slow for every VM gets few operations twice. */
const usualDurationFactor = 4;
/** Limits of the delay; an operation in another availability zone takes some milliseconds. */
const minDelayMs = 120;
const maxDelayMs = 900;
/** Weight of the latest duration in the usual one. */
const latestWeight = 0.25;
/** Further attempts that may start before any of them has got the first answer. */
const maxBudget = 4;
/** Share of a further attempt that an answer to the first attempt adds to the budget. */
const budgetPerAnswer = 0.1;

/**
 * Creates the hedging of one VM. The budget of further attempts bounds the load on a table that becomes slow for every
 * VM: there the first attempt is answered first, and a further attempt gains nothing.
 */
export const createHedging = (): Hedging => {
    let usualMs = 0;
    let budget = maxBudget;
    const addToBudget = (amount: number): void => {
        budget = Math.min(maxBudget, budget + amount);
    };
    return {
        recordAnswer: durationMs => {
            usualMs += (durationMs - usualMs) * latestWeight;
            addToBudget(budgetPerAnswer);
        },
        delayMs: () => Math.min(Math.max(usualMs * usualDurationFactor, minDelayMs), maxDelayMs),
        tryHedge: () => {
            if (budget < 1) {
                return false;
            }
            budget -= 1;
            return true;
        },
        recordWin: () => addToBudget(1),
    };
};
