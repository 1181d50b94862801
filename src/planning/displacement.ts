import { gangDomains } from "./placement.js";
import { findCheapestPlan, isCompletePlan, mayPreempt } from "./preemptionSearch.js";
import type { PreemptionPlan, PreemptionSearch } from "./preemptionSearch.js";
import { fitCount, subtractResources } from "./resources.js";
import type { Candidate, Occupant, WorkerInfo } from "./types.js";

/**
 * Whether a claimed guarantee may have a run moved that is covered by a guarantee itself: one of a smaller task, which fits
 * where the claim does not. Runs cannot move each other in turn, as the tasks get smaller each time.
 */
const mayDisplace = ({ job, step }: Candidate, { key, guaranteed, tasks, resources }: Occupant): boolean =>
    guaranteed && tasks.length === 1 && resources.accelerators < step.resources.accelerators
    && !key.startsWith(`${job.id}.`);

/** Whether the guaranteed runs among a plan's victims can start again at once on workers that the plan does not use. */
const canMoveVictims = (
    { candidate, index }: PreemptionSearch,
    plan: PreemptionPlan,
    workers: readonly WorkerInfo[],
): boolean => {
    const used = new Set(plan.assignments.map(({ workerId }) => workerId));
    const rooms = workers.filter(worker => worker.usable && !used.has(worker.workerId)).map(worker => {
        const room = { ...worker.free };
        for (const { occupant, taskCount } of index.get(worker.workerId) ?? []) {
            if (mayPreempt(candidate, occupant)) {
                subtractResources(room, occupant.resources, -taskCount);
            }
        }
        return room;
    });
    const moved = plan.victims.filter(({ guaranteed }) => guaranteed)
        .sort((left, right) => right.resources.accelerators - left.resources.accelerators);
    return moved.every(({ resources }) => {
        const room = rooms.find(candidateRoom => fitCount(candidateRoom, resources) > 0);
        if (room !== undefined) {
            subtractResources(room, resources, 1);
        }
        return room !== undefined;
    });
};

/** Plans to move smaller runs under guarantees to other workers, for a claimed guarantee whose tasks fit nowhere else. */
export const planDisplacement = (
    search: PreemptionSearch,
    workers: readonly WorkerInfo[],
    evicted: ReadonlySet<Occupant>,
): PreemptionPlan | undefined => {
    const { candidate } = search;
    const mayEvict = (occupant: Occupant): boolean =>
        mayPreempt(candidate, occupant) || mayDisplace(candidate, occupant);
    const plan = findCheapestPlan({ ...search, mayEvict }, gangDomains(workers, candidate), evicted);
    return plan !== undefined && isCompletePlan(plan, candidate) && canMoveVictims(search, plan, workers)
        ? plan
        : undefined;
};
