/** Baseline placement policies that the planner is compared with. */
import { placeGang } from "../src/planning/placement.js";
import type { Reservations } from "../src/planning/reservations.js";
import { occupiedBy, subtractResources } from "../src/planning/resources.js";
import type { RoundInput } from "../src/planning/round.js";
import type { Candidate, Round, WorkerInfo } from "../src/planning/types.js";

/** Decides one planning round; `holders` are the customers that have a guarantee. */
export type Policy = (input: RoundInput, reservations: Reservations, holders: ReadonlySet<string>) => Round;

/** Places candidates by age; a candidate that does not fit blocks the younger ones of its queue, if it has one. */
const placeInOrder = (
    input: RoundInput,
    workersFor: (candidate: Candidate) => WorkerInfo[],
    queueOf: (candidate: Candidate) => string | undefined,
): Round => {
    const round: Round = {
        placements: [],
        evictions: [],
        claims: [],
        backfillLimits: [],
        limited: new Map(),
        postponements: new Map(),
    };
    const byId = new Map(input.workers.map(worker => [worker.workerId, worker]));
    const blockedQueues = new Set<string>();
    const oldestFirst = [...input.candidates].sort((left, right) => left.job.acceptedAtMs - right.job.acceptedAtMs);
    for (const candidate of oldestFirst) {
        const queue = queueOf(candidate);
        const assignments = queue !== undefined && blockedQueues.has(queue)
            ? undefined
            : placeGang(workersFor(candidate), { ...candidate, reservedWorkers: undefined });
        if (assignments !== undefined) {
            round.placements.push({ candidate, assignments });
            assignments.forEach(({ workerId }) => {
                const worker = byId.get(workerId);
                if (worker !== undefined) {
                    subtractResources(worker.free, occupiedBy(candidate.step), 1);
                }
            });
        }
        else if (queue !== undefined) {
            blockedQueues.add(queue);
        }
    }
    return round;
};

/** First come, first served on any free capacity; runs are never preempted. */
export const naiveBorrowing: Policy = input => placeInOrder(input, () => input.workers, () => undefined);

/** Number of reserved tasks by worker. */
const countReservedTasks = (reservations: Reservations): Map<string, number> => {
    const counts = new Map<string, number>();
    [...reservations.values()].flat().forEach(worker => counts.set(worker, (counts.get(worker) ?? 0) + 1));
    return counts;
};

/**
 * First come, first served without borrowing: holders of guarantees run on workers with reservations, other customers
 * on the remaining workers. Each customer's oldest waiting job blocks its later ones.
 */
export const withoutBorrowing: Policy = (input, reservations, holders) => {
    const reservedTasks = countReservedTasks(reservations);
    const selectWorkers = (isReserved: boolean): WorkerInfo[] =>
        input.workers.filter(worker => reservedTasks.has(worker.workerId) === isReserved);
    const pools = { reserved: selectWorkers(true), unreserved: selectWorkers(false) };
    return placeInOrder(
        input,
        ({ job }) => holders.has(job.customer ?? "") ? pools.reserved : pools.unreserved,
        ({ job }) => job.customer,
    );
};
