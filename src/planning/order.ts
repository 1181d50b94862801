import { coreEquivalentsOf } from "./resources.js";
import type { Candidate, Postponements } from "./types.js";

/** Tiers in which waiting work is placed; lower values first. */
export enum Tier {
    /** Claims its customer's guarantee. */
    Guaranteed = 0,
    /** Of priority 0, so it may preempt others, and can still meet its objective. */
    Urgent = 1,
    /** A large gang that has waited long while smaller work was placed before it. */
    Starved = 2,
    /** Can still meet its objective. */
    OnTime = 3,
    /** Can no longer meet its objective, but completing it still has value. */
    Late = 4,
    /** Cannot complete before it loses its value; it is placed after all other work. */
    Expired = 5,
}

/** Waiting time after which a large gang is placed before work that is not urgent; short compared to runs of hours. */
const starvedAfterMs = 2_400_000;
/** Accelerators from which a gang counts as large: more than two workers with eight each have. */
export const largeGangAccelerators = 17;

const isStarved = ({ step, waitingMs }: Candidate): boolean =>
    step.gang && waitingMs > starvedAfterMs && step.taskCount * step.resources.accelerators >= largeGangAccelerators;

/**
 * Returns the tier of waiting work. When a burst cannot all be served in time, work that can still meet its objective
 * precedes work that no longer can.
 */
export const tierOf = (candidate: Candidate): Tier => {
    if (candidate.guaranteed) {
        return Tier.Guaranteed;
    }
    if (candidate.timeToExpiryMs < candidate.remainingCriticalPathMs) {
        return Tier.Expired;
    }
    if (isStarved(candidate)) {
        return Tier.Starved;
    }
    if (candidate.timeToObjectiveMs < candidate.remainingCriticalPathMs) {
        return Tier.Late;
    }
    return candidate.job.priority === 0 ? Tier.Urgent : Tier.OnTime;
};

/** Time until the latest start with which the job still meets its objective; negative once that has passed. */
export const untilLatestStartMs = (candidate: Candidate): number =>
    candidate.timeToObjectiveMs - candidate.remainingCriticalPathMs;

/** Work that waits, by declared run times, in core-milliseconds with accelerators included. */
export const workOf = ({ step, taskIndexes }: Candidate): number =>
    taskIndexes.length * step.estimateMs * coreEquivalentsOf(step.resources);

/**
 * Sorts waiting work by tier, then by priority, then by latest start.
 *
 * @param beyondShares work that is placed after other work of its tier and priority
 */
export const orderCandidates = (
    candidates: readonly Candidate[],
    beyondShares: ReadonlySet<Candidate> = new Set(),
): Candidate[] =>
    candidates
        .map(candidate => ({ candidate, tier: tierOf(candidate) }))
        .sort((left, right) =>
            left.tier - right.tier
            || left.candidate.job.priority - right.candidate.job.priority
            || Number(beyondShares.has(left.candidate)) - Number(beyondShares.has(right.candidate))
            || untilLatestStartMs(left.candidate) - untilLatestStartMs(right.candidate)
            || (left.candidate.key < right.candidate.key ? -1 : 1)
        )
        .map(entry => entry.candidate);

/** Moves postponed work of sorted candidates behind the other work of its tier. */
export const movePostponedBack = (ordered: readonly Candidate[], postponements: Postponements): Candidate[] => {
    const moved: Candidate[] = [];
    let postponed: Candidate[] = [];
    let tier = Tier.Guaranteed;
    for (const candidate of ordered) {
        if (tierOf(candidate) !== tier) {
            moved.push(...postponed);
            postponed = [];
            tier = tierOf(candidate);
        }
        (postponements.get(candidate.key)?.active === true ? postponed : moved).push(candidate);
    }
    return [...moved, ...postponed];
};
