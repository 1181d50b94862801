import type { Candidate } from "./types.js";

/** Tiers in which waiting work goes; a lower one goes first. */
export enum Tier {
    /** Its customer can demand the room and its start is due. */
    Guaranteed = 0,
    /** May displace others and can still meet its objective. */
    Urgent = 1,
    /** A large gang that smaller work has passed for long. */
    Passed = 2,
    /** Can still meet its objective. */
    OnTime = 3,
    /** Has missed its objective and is still of some use. */
    Late = 4,
    /** Completing it is of no use; it runs when nothing else wants the room. */
    Useless = 5,
}

/** Wait after which a large gang goes before all that is not urgent; short against runs of hours. */
const passedAfterMs = 2_400_000;
/** Accelerators from which a gang is large: more than two workers of eight. */
export const largeGang = 17;

const isPassed = ({ step, waitingMs }: Candidate): boolean =>
    step.gang && waitingMs > passedAfterMs && step.taskCount * step.resources.accelerators >= largeGang;

/** Tier of waiting work; answers the pattern of a burst that cannot be served whole in time. */
export const tierOf = (candidate: Candidate): Tier => {
    if (candidate.guaranteed) {
        return Tier.Guaranteed;
    }
    if (candidate.uselessInMs < candidate.remainingChainMs) {
        return Tier.Useless;
    }
    if (isPassed(candidate)) {
        return Tier.Passed;
    }
    if (candidate.objectiveInMs < candidate.remainingChainMs) {
        return Tier.Late;
    }
    return candidate.job.priority === 0 ? Tier.Urgent : Tier.OnTime;
};

/** Time until the tasks have to start for the job to meet its objective. */
const startSlackMs = (candidate: Candidate): number => candidate.objectiveInMs - candidate.remainingChainMs;

/** Sorts waiting work: by tier, then by priority, then by the time that is left to start it. */
export const orderCandidates = (candidates: readonly Candidate[]): Candidate[] =>
    candidates
        .map(candidate => ({ candidate, tier: tierOf(candidate) }))
        .sort((left, right) =>
            left.tier - right.tier
            || left.candidate.job.priority - right.candidate.job.priority
            || startSlackMs(left.candidate) - startSlackMs(right.candidate)
            || (left.candidate.key < right.candidate.key ? -1 : 1)
        )
        .map(entry => entry.candidate);
