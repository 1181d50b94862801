import type { TaskResources } from "../jobs/types.js";
import { isWithinDisruptionLimit, isWorthwhile, mayPreempt, preemptionCost } from "./preemptionSearch.js";
import { addResources, coreEquivalentsOf, noResources } from "./resources.js";
import type { Candidate, Occupant } from "./types.js";

const covers = (freed: TaskResources, shortfall: TaskResources): boolean =>
    freed.milliCores >= shortfall.milliCores && freed.memoryMb >= shortfall.memoryMb
    && freed.accelerators >= shortfall.accelerators;

const costPerCore = (occupant: Occupant): number =>
    preemptionCost(occupant) / (coreEquivalentsOf(occupant.resources) * occupant.tasks.length);

/**
 * Picks runs of a candidate's own customer to preempt when it is the customer's limit that keeps the candidate from
 * starting, the cheapest for each core first; none if they do not suffice or lose too much work.
 *
 * @param shortfall what has to end, beyond what is being stopped
 * @param evicted runs that are preempted already in this round
 */
export const planLimitPreemption = (
    occupants: readonly Occupant[],
    candidate: Candidate,
    shortfall: TaskResources,
    evicted: ReadonlySet<Occupant>,
): Occupant[] => {
    const freed = noResources();
    const victims: Occupant[] = [];
    const preemptible = occupants
        .filter(occupant => occupant.customer === candidate.job.customer && !evicted.has(occupant))
        .filter(occupant => mayPreempt(candidate, occupant))
        .sort((left, right) => costPerCore(left) - costPerCore(right));
    for (const occupant of preemptible) {
        if (covers(freed, shortfall)) {
            break;
        }
        if (isWithinDisruptionLimit(occupant, evicted, victims)) {
            victims.push(occupant);
            addResources(freed, occupant.resources, occupant.tasks.length);
        }
    }
    return covers(freed, shortfall) && isWorthwhile(victims, candidate) ? victims : [];
};
