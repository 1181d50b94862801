import type { Random } from "../utils/random.js";
import type { TimerService } from "../utils/timer.js";

/** Options of {@link createCandidacy}. */
export interface CandidacyOptions {
    timer: TimerService;
    /** Processing power of this VM as a share of the strongest one's, 0 to 1. */
    relativePower: () => number;
    /** Source of the jitter that keeps VMs from attempting a takeover at the same moment. */
    random: Random;
    /** Reason why this VM should hand its term over; `undefined` if it should keep it. */
    handoverReason: () => string | undefined;
}

/** Decides when this VM tries to acquire the term and when it hands it over to a more suitable VM. */
export interface Candidacy {
    /** Whether to acquire the term, given the time since its last renewal and whether its holder released it. */
    mayAcquire(silentMs: number, released: boolean): boolean;
    /** Records that this VM has acquired the term. */
    recordAcquired(): void;
    /** Records that the term is being handed over for a reason that {@link handoverReason} returned. */
    recordHandover(): void;
    /** Reason to hand the term over now; `undefined` if there is none or the last change of planner is too recent. */
    handoverReason(): string | undefined;
}

/** Time without a renewal after which another VM takes over; with its reads the takeover completes within 3 s. */
const takeoverSilenceMs = 2_000;
/** Delay of the weakest VM, so that a stronger one acquires the term first; a takeover still completes within 3 s. */
const maxPowerDelayMs = 600;
/** Maximum random delay that keeps VMs from attempting a takeover at the same moment. */
const maxJitterMs = 150;
/** Minimum age of a term before it is handed over. */
const minTermBeforeHandoverMs = 3_000;
/** Time after a handover in which the VM does not acquire the term, so that another one can. */
const handoverCooldownMs = 1_500;
/** Minimum time between two handovers by one VM: if it regained the term, no VM that is more suitable acquired it. */
const minHandoverIntervalMs = 30_000;

/** Creates the candidacy of a VM that has not held the term yet. */
export const createCandidacy = (options: CandidacyOptions): Candidacy => {
    const { timer } = options;
    const jitterMs = options.random() * maxJitterMs;
    let acquiredAtMs = Number.NEGATIVE_INFINITY;
    let handedOverAtMs = Number.NEGATIVE_INFINITY;
    return {
        mayAcquire: (silentMs, released) => {
            const powerDelayMs = (1 - options.relativePower()) * maxPowerDelayMs;
            const cooldownOver = timer.nowMs() - handedOverAtMs > handoverCooldownMs;
            return cooldownOver && silentMs > (released ? 0 : takeoverSilenceMs + jitterMs) + powerDelayMs;
        },
        recordAcquired: () => {
            acquiredAtMs = timer.nowMs();
        },
        recordHandover: () => {
            handedOverAtMs = timer.nowMs();
        },
        handoverReason: () => {
            const nowMs = timer.nowMs();
            const mayHandOver = nowMs - acquiredAtMs > minTermBeforeHandoverMs
                && nowMs - handedOverAtMs > minHandoverIntervalMs;
            return mayHandOver ? options.handoverReason() : undefined;
        },
    };
};
