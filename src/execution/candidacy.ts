import type { Random } from "../utils/random.js";
import type { TimerService } from "../utils/timer.js";

/** Why a VM should hand its term over; the value is for log lines. */
export enum HandoverReason {
    /** Its event loop falls behind. */
    Overloaded = "this VM is too slow to plan",
    StrongerVm = "a stronger VM is there",
    Stopping = "this VM stops",
}

/** Options of {@link createCandidacy}. */
export interface CandidacyOptions {
    timer: TimerService;
    /** Processing power of this VM as a share of the strongest one's, 0 to 1. */
    relativePower: () => number;
    /** Source of the jitter that keeps VMs from attempting a takeover at the same moment. */
    random: Random;
    /** Reason why this VM should hand its term over; `undefined` if it should keep it. */
    handoverReason: () => HandoverReason | undefined;
    /** Time that the takeover at the start of this VM's term took, in which nothing was planned. */
    takeoverMs: () => number;
}

/** Decides when this VM tries to acquire the term and when it hands it over to a more suitable VM. */
export interface Candidacy {
    /** Whether to acquire the term, given the time since its last renewal and whether its holder released it. */
    mayAcquire(silentMs: number, released: boolean): boolean;
    /**
     * Records that this VM has acquired the term; `overloadAgeMs` is the time since any VM last handed it over as
     * overloaded, `undefined` if none did.
     */
    recordAcquired(overloadAgeMs: number | undefined): void;
    /** Records that the term is being handed over for a reason that {@link handoverReason} returned. */
    recordHandover(reason: HandoverReason): void;
    /** Reason to hand the term over now; `undefined` if there is none or the last change of planner is too recent. */
    handoverReason(): HandoverReason | undefined;
    /** Time since any VM last handed the term over as overloaded, as far as known; `undefined` if none did. */
    overloadAgeMs(): number | undefined;
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
/**
 * Minimum time between two handovers by overloaded VMs, whichever they are. If the next planner is overloaded as well,
 * then by the work, and more changes of planner would only keep it from being done.
 */
const minOverloadIntervalMs = 30_000;
/** Minimum of that time as a multiple of a takeover, so that weak VMs do not spend much of it on changes of planner. */
const minOverloadIntervalTakeovers = 20;

/** Creates the candidacy of a VM that has not held the term yet. */
export const createCandidacy = (options: CandidacyOptions): Candidacy => {
    const { timer } = options;
    const jitterMs = options.random() * maxJitterMs;
    let acquiredAtMs = Number.NEGATIVE_INFINITY;
    let handedOverAtMs = Number.NEGATIVE_INFINITY;
    let overloadedAtMs = Number.NEGATIVE_INFINITY;
    const overloadAgeMs = (): number | undefined =>
        Number.isFinite(overloadedAtMs) ? timer.nowMs() - overloadedAtMs : undefined;
    const mayHandOverAsOverloaded = (): boolean =>
        (overloadAgeMs() ?? Number.POSITIVE_INFINITY)
            >= Math.max(minOverloadIntervalMs, options.takeoverMs() * minOverloadIntervalTakeovers);
    return {
        mayAcquire: (silentMs, released) => {
            const powerDelayMs = (1 - options.relativePower()) * maxPowerDelayMs;
            const cooldownOver = timer.nowMs() - handedOverAtMs > handoverCooldownMs;
            return cooldownOver && silentMs > (released ? 0 : takeoverSilenceMs + jitterMs) + powerDelayMs;
        },
        recordAcquired: ageMs => {
            acquiredAtMs = timer.nowMs();
            overloadedAtMs = ageMs === undefined ? overloadedAtMs : Math.max(overloadedAtMs, acquiredAtMs - ageMs);
        },
        recordHandover: reason => {
            handedOverAtMs = timer.nowMs();
            if (reason === HandoverReason.Overloaded) {
                overloadedAtMs = handedOverAtMs;
            }
        },
        handoverReason: () => {
            const nowMs = timer.nowMs();
            const mayHandOver = nowMs - acquiredAtMs > minTermBeforeHandoverMs
                && nowMs - handedOverAtMs > minHandoverIntervalMs;
            const reason = mayHandOver ? options.handoverReason() : undefined;
            return reason === HandoverReason.Overloaded && !mayHandOverAsOverloaded() ? undefined : reason;
        },
        overloadAgeMs,
    };
};
