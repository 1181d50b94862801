import { planDisplacement } from "./displacement.js";
import { gangDomains, preferredDomains, relaxGuaranteeAfterMs } from "./placement.js";
import { findCheapestPlan, isCompletePlan, mayPreempt, pickVictims } from "./preemptionSearch.js";
import type { OccupantIndex, PreemptionPlan, PreemptionSearch } from "./preemptionSearch.js";
import type { Assignment, Candidate, Occupant, WorkerInfo } from "./types.js";

/** Reclaims a gang's reservation worker by worker, and preempts nothing on other workers. */
const planReclaim = (
    search: PreemptionSearch,
    workers: readonly WorkerInfo[],
    reservedWorkers: readonly string[],
    evicted: ReadonlySet<Occupant>,
): PreemptionPlan | undefined => {
    const evictedSoFar = new Set(evicted);
    const victims: Occupant[] = [];
    for (const workerId of new Set(reservedWorkers)) {
        const worker = workers.find(other => other.workerId === workerId && other.usable);
        const wantedTasks = reservedWorkers.filter(other => other === workerId).length;
        const preemption = worker && pickVictims(search, worker, wantedTasks, evictedSoFar);
        if (preemption === undefined || preemption.count < wantedTasks) {
            return undefined;
        }
        preemption.victims.forEach(victim => evictedSoFar.add(victim));
        victims.push(...preemption.victims);
    }
    return { victims, assignments: placeOnReserved(search.candidate, reservedWorkers) };
};

/** Assigns the tasks of a gang to its reserved workers, in order. */
export const placeOnReserved = (candidate: Candidate, reservedWorkers: readonly string[]): Assignment[] =>
    candidate.taskIndexes.map((taskIndex, position) => ({ taskIndex, workerId: reservedWorkers[position] }));

/**
 * Finds the cheapest set of runs to preempt so that all tasks of a candidate fit, or most of them if it may start partly;
 * `undefined` if there is none. A claimed guarantee preempts on the workers that it prefers, if it can, and has other
 * guarantees' runs moved only if it cannot start otherwise.
 *
 * @param evicted runs that are preempted already in this round; their resources are claimed by other candidates
 */
export const planPreemption = (
    workers: readonly WorkerInfo[],
    index: OccupantIndex,
    candidate: Candidate,
    evicted: ReadonlySet<Occupant>,
): PreemptionPlan | undefined => {
    const search: PreemptionSearch = { candidate, index, mayEvict: occupant => mayPreempt(candidate, occupant) };
    if (candidate.reservedWorkers !== undefined) {
        return planReclaim(search, workers, candidate.reservedWorkers, evicted);
    }
    const preferredPlan = candidate.guaranteed
        ? findCheapestPlan(search, preferredDomains(workers, candidate), evicted)
        : undefined;
    const plan = preferredPlan ?? findCheapestPlan(search, gangDomains(workers, candidate), evicted);
    const mayMove = candidate.guaranteed && candidate.waitingMs > relaxGuaranteeAfterMs;
    return mayMove && !isCompletePlan(plan, candidate) ? planDisplacement(search, workers, evicted) ?? plan : plan;
};
