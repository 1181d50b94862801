import type { Random } from "../utils/random.js";
import type { TimerService } from "../utils/timer.js";

/** Options of {@link createCandidacy}. */
export interface CandidacyOptions {
    timer: TimerService;
    /** Processing power of this VM as a share of the strongest one's, 0 to 1. */
    relativePower: () => number;
    /** Spreads the tries of several VMs. */
    random: Random;
    /** Why this VM should hand its term over; `undefined` as long as it should not. */
    reasonToYield: () => string | undefined;
}

/** When this VM takes the term, and when it hands it over to one that may do better. */
export interface Candidacy {
    /** Whether the term is to be taken from a holder that has been silent for some time, or that gave it up. */
    isDue(silentMs: number, released: boolean): boolean;
    noteGained(): void;
    /** Notes that the term is being handed over for a reason that {@link reasonToYield} gave. */
    noteYielded(): void;
    reasonToYield(): string | undefined;
}

/** Time without a renewal after which another VM takes over; with its reads it stays under 3 s. */
const takeOverMs = 2_000;
/** Delay of a VM without any power, so that a strong one takes the term first; with it a gap stays under 3 s. */
const weakDelayMs = 600;
/** Random delay that keeps VMs from trying at the same moment. */
const spreadMs = 150;
/** Shortest term that is handed over to another VM that may do better. */
const minTermMs = 3_000;
/** Time that a VM which did so leaves to the others before it takes the term again. */
const restMs = 1_500;
/** Time after that in which it does not hand a term over again, since nobody better was there. */
const noYieldMs = 30_000;

/** Creates the candidacy of a VM that has not planned yet. */
export const createCandidacy = (options: CandidacyOptions): Candidacy => {
    const { timer } = options;
    const delayMs = options.random() * spreadMs;
    let gainedAtMs = Number.NEGATIVE_INFINITY;
    let yieldedAtMs = Number.NEGATIVE_INFINITY;
    return {
        isDue: (silentMs, released) => {
            const handicapMs = (1 - options.relativePower()) * weakDelayMs;
            const rested = timer.nowMs() - yieldedAtMs > restMs;
            return rested && silentMs > (released ? 0 : takeOverMs + delayMs) + handicapMs;
        },
        noteGained: () => {
            gainedAtMs = timer.nowMs();
        },
        noteYielded: () => {
            yieldedAtMs = timer.nowMs();
        },
        reasonToYield: () => {
            const nowMs = timer.nowMs();
            const mayYield = nowMs - gainedAtMs > minTermMs && nowMs - yieldedAtMs > noYieldMs;
            return mayYield ? options.reasonToYield() : undefined;
        },
    };
};
