import { createClaims, isClaimSatisfied } from "./claims.js";
import { createCustomerBudgets } from "./customerBudgets.js";
import type { CustomerUses } from "./customerBudgets.js";
import { findBeyondShares } from "./customerShares.js";
import type { ShareUses } from "./customerShares.js";
import { movePostponedBack, orderCandidates, Tier, tierOf } from "./order.js";
import { findPostponements } from "./overload.js";
import { fitsIfEmpty, gangDomains, isMostlyIdle, placeGang, placeTasks, relaxAfterMs } from "./placement.js";
import { fitCount, occupiedBy, subtractResources } from "./resources.js";
import { createRoundPreemption, mayPreemptOthers } from "./roundPreemption.js";
import type {
    Assignment,
    BackfillLimit,
    Candidate,
    Occupant,
    Postponements,
    PreemptionClaim,
    Round,
    WorkerInfo,
} from "./types.js";
import { createUnplaceableCache } from "./unplaceableCache.js";

/** Input of a planning round, which updates the workers in place as it places work. */
export interface RoundInput {
    nowMs: number;
    workers: WorkerInfo[];
    candidates: readonly Candidate[];
    /** Lists the runs that may be preempted; called at most once, when something does not fit. */
    occupants: () => readonly Occupant[];
    /** Claims made in earlier rounds. */
    claims: readonly PreemptionClaim[];
    /** Accelerators that work of priority 0 is expected to need soon, beyond what it uses now. */
    urgentHeadroom: number;
    /** What the customers with a limit use. @default no customer has one */
    customerUses?: CustomerUses;
    /** Weights and use of the customers with a share. @default no customer has one */
    shareUses?: ShareUses;
    /** Postponements of the previous round. @default none */
    postponements?: Postponements;
    /** Whether these are taken over as they are, without judging the load again. @default false */
    keepsPostponements?: boolean;
}

/** Number of blocked gangs for which backfill is limited in a round. */
const maxBackfillWindows = 2;
/** Waiting time after which backfill is limited for a blocked gang. */
const limitBackfillAfterMs = 700;

const allocate = (
    workersById: ReadonlyMap<string, WorkerInfo>,
    candidate: Candidate,
    assignments: readonly Assignment[],
): void => {
    for (const assignment of assignments) {
        const worker = workersById.get(assignment.workerId);
        if (worker !== undefined) {
            subtractResources(worker.free, occupiedBy(candidate.step), 1);
            worker.hasServingTask ||= candidate.step.targetMs !== undefined;
            worker.hasIdleFillingTask ||= candidate.step.fillsIdleCores;
        }
    }
};

/** Whether a candidate whose claim is not free yet starts elsewhere if it can: stops may take long, or never end. */
const mayGiveClaimUp = (candidate: Candidate): boolean =>
    candidate.reservedWorkers === undefined && candidate.waitingMs > relaxAfterMs;

/** Finds workers for all tasks to place. */
const placeAll = (workers: readonly WorkerInfo[], candidate: Candidate): Assignment[] | undefined => {
    const assignments = candidate.step.gang ? placeGang(workers, candidate) : placeTasks(workers, candidate);
    return assignments?.length === candidate.taskIndexes.length ? assignments : undefined;
};

/** Finds workers for a candidate whose claim is not allocated any more: the claimed ones, or others after a while. */
const assignClaimed = (
    workers: readonly WorkerInfo[],
    workersById: ReadonlyMap<string, WorkerInfo>,
    candidate: Candidate,
    claim: PreemptionClaim,
): Assignment[] | undefined => {
    if (isClaimSatisfied(workersById, claim)) {
        return claim.assignments;
    }
    return mayGiveClaimUp(candidate) ? placeAll(workers, candidate) : undefined;
};

/** Whether a gang needs a whole worker or more; smaller ones fit where other runs end. */
const needsWholeWorker = (workers: readonly WorkerInfo[], { step }: Candidate): boolean => {
    const largestCapacity = workers.reduce(
        (largestSoFar, worker) => Math.max(largestSoFar, worker.capacity.accelerators),
        0,
    );
    return step.taskCount * step.resources.accelerators >= largestCapacity;
};

/** Chooses workers of a domain for a blocked gang, those with most free accelerators first. */
const chooseWorkersFor = (domain: readonly WorkerInfo[], candidate: Candidate): WorkerInfo[] => {
    const byFree = [...domain].sort((left, right) =>
        right.free.accelerators - left.free.accelerators || left.busyForMs - right.busyForMs
    );
    const chosen: WorkerInfo[] = [];
    let missingTasks = candidate.taskIndexes.length;
    for (const worker of byFree) {
        if (missingTasks <= 0) {
            break;
        }
        missingTasks -= Math.max(1, fitCount(worker.capacity, occupiedBy(candidate.step)));
        chosen.push(worker);
    }
    return chosen;
};

/**
 * Limits backfill on the workers that can host a blocked gang soonest to work that ends before the gang can start. A gang
 * that the usable workers cannot hold, or where long-running tasks stay, would keep them empty for nothing.
 */
const limitBackfill = (workers: readonly WorkerInfo[], candidate: Candidate): BackfillLimit => {
    const options = gangDomains(workers, candidate)
        .map(domain => domain.filter(worker => Number.isFinite(worker.busyForMs)))
        .filter(domain => fitsIfEmpty(domain, candidate))
        .map(domain => chooseWorkersFor(domain, candidate))
        .map(chosen => ({
            chosen,
            accelerators: chosen.reduce((sum, worker) => sum + worker.free.accelerators, 0),
            startsInMs: Math.max(0, ...chosen.map(worker => worker.busyForMs)),
        }))
        .sort((left, right) => left.startsInMs - right.startsInMs || right.accelerators - left.accelerators);
    const { chosen = [], startsInMs = 0 } = options.at(0) ?? {};
    chosen.forEach(worker => {
        worker.backfillWindowMs = Math.min(worker.backfillWindowMs, startsInMs);
    });
    return { candidate, workers: chosen.length, windowMs: startsInMs };
};

/** What is left of a candidate of which some tasks are placed; these count for its limit per worker. */
const withoutPlaced = (candidate: Candidate, assignments: readonly Assignment[]): Candidate => {
    const placed = new Set(assignments.map(assignment => assignment.taskIndex));
    const runningOn = new Map(candidate.runningOn);
    assignments.forEach(({ workerId }) => runningOn.set(workerId, (runningOn.get(workerId) ?? 0) + 1));
    return { ...candidate, taskIndexes: candidate.taskIndexes.filter(index => !placed.has(index)), runningOn };
};

const hasAllAcceleratorsFree = (worker: WorkerInfo): boolean =>
    worker.usable && worker.capacity.accelerators > 0 && worker.free.accelerators === worker.capacity.accelerators;

/** Reserves empty workers for a burst of urgent work, as many as possible in one rack, so that it preempts less. */
const reserveUrgentHeadroom = (workers: readonly WorkerInfo[], accelerators: number): void => {
    const racks = new Map<string, WorkerInfo[]>();
    workers.filter(hasAllAcceleratorsFree).forEach(worker =>
        racks.set(worker.rack, [...racks.get(worker.rack) ?? [], worker])
    );
    const bySize = [...racks.values()].sort((left, right) => right.length - left.length);
    let missingAccelerators = accelerators;
    for (const worker of bySize.flat()) {
        if (missingAccelerators <= 0) {
            return;
        }
        worker.isUrgentHeadroom = true;
        missingAccelerators -= worker.capacity.accelerators;
    }
};

/** Orders the candidates of a round, and decides which of them are postponed. */
const orderRound = (input: RoundInput): { ordered: Candidate[]; postponements: Postponements; } => {
    const { nowMs, candidates, workers, customerUses = new Map(), shareUses = new Map() } = input;
    const { postponements = new Map(), keepsPostponements = false } = input;
    const withoutShares = orderCandidates(candidates);
    const beyondShares = findBeyondShares(withoutShares, workers, shareUses);
    const ordered = beyondShares.size === 0 ? withoutShares : orderCandidates(candidates, beyondShares);
    const overload = { nowMs, ordered, workers, beyondShares, customerUses, previous: postponements };
    const current = keepsPostponements ? postponements : findPostponements(overload);
    const isAnyPostponed = [...current.values()].some(({ active }) => active);
    return {
        ordered: isAnyPostponed ? movePostponedBack(ordered, current) : ordered,
        postponements: current,
    };
};

/** Decides which tasks start where and which runs are preempted for them. */
export const planRound = (input: RoundInput): Round => {
    const { ordered, postponements } = orderRound(input);
    const workersById = new Map(input.workers.map(worker => [worker.workerId, worker]));
    const budgets = createCustomerBudgets(input.customerUses ?? new Map());
    const round: Round = {
        placements: [],
        evictions: [],
        claims: [],
        backfillLimits: [],
        limited: budgets.limited,
        postponements,
    };
    const { candidates } = input;
    const claims = createClaims({ nowMs: input.nowMs, workersById, candidates, previous: input.claims, budgets });
    const { preempt, preemptForLimit } = createRoundPreemption(input, round, claims, budgets);
    const unplaceable = createUnplaceableCache(input.workers);
    let backfillWindows = 0;

    const place = (candidate: Candidate, assignments: Assignment[]): void => {
        allocate(workersById, candidate, assignments);
        budgets.spend(candidate, assignments.length);
        round.placements.push({ candidate, assignments });
    };

    const placeOnClaim = (candidate: Candidate, claim: PreemptionClaim): void => {
        claims.remove(claim);
        const isAllowed = (budgets.limit(candidate)?.taskIndexes.length ?? 0) >= claim.assignments.length;
        const assignments = isAllowed ? assignClaimed(input.workers, workersById, candidate, claim) : undefined;
        if (assignments === undefined) {
            claims.add(claim);
            return;
        }
        place(candidate, assignments);
    };

    /** Claims the reserved workers, and places the gang at once if nothing has to be preempted there. */
    const decideReserved = (candidate: Candidate): void => {
        preempt(candidate);
        const claim = claims.get(candidate.key);
        if (claim !== undefined) {
            placeOnClaim(candidate, claim);
        }
    };

    const decideGang = (candidate: Candidate): void => {
        if (!unplaceable.has(candidate)) {
            const assignments = placeGang(input.workers, candidate);
            if (assignments !== undefined) {
                place(candidate, assignments);
                return;
            }
            if (mayPreemptOthers(candidate) && preempt(candidate)) {
                return;
            }
            unplaceable.add(candidate);
        }
        const mayLimitBackfill = backfillWindows < maxBackfillWindows
            && candidate.waitingMs > limitBackfillAfterMs;
        if (mayLimitBackfill && needsWholeWorker(input.workers, candidate) && tierOf(candidate) < Tier.Expired) {
            backfillWindows += 1;
            round.backfillLimits.push(limitBackfill(input.workers, candidate));
            unplaceable.onWindowsLimited();
        }
    };

    const decideTasks = (candidate: Candidate): void => {
        if (unplaceable.has(candidate)) {
            return;
        }
        const assignments = placeTasks(input.workers, candidate);
        if (assignments.length > 0) {
            place(candidate, assignments);
        }
        const unplaced = withoutPlaced(candidate, assignments);
        if (unplaced.taskIndexes.length === 0 || (mayPreemptOthers(candidate) && preempt(unplaced))) {
            return;
        }
        // tasks that exceed their own limit per worker say nothing about those of other steps
        if (assignments.length === 0 || candidate.step.maxPerWorker === undefined) {
            unplaceable.add(candidate);
        }
    };

    let headroomReserved = false;
    let otherClaimsAllocated = false;
    for (const whole of ordered) {
        if (!whole.guaranteed && !otherClaimsAllocated) {
            // claimed guarantees must not wait for resources that other work has claimed
            otherClaimsAllocated = true;
            claims.allocateOthers();
        }
        if (whole.job.priority > 0 && !headroomReserved) {
            headroomReserved = true;
            // a mostly idle fleet has capacity for a burst anyway, and waiting work must not be delayed for one
            if (!isMostlyIdle(input.workers)) {
                reserveUrgentHeadroom(input.workers, input.urgentHeadroom);
            }
        }
        const claim = claims.get(whole.key);
        if (claim !== undefined) {
            placeOnClaim(whole, claim);
            continue;
        }
        const candidate = budgets.limit(whole);
        if (candidate?.taskIndexes.length !== whole.taskIndexes.length) {
            preemptForLimit(whole);
        }
        if (candidate === undefined) {
            continue;
        }
        if (candidate.reservedWorkers !== undefined) {
            decideReserved(candidate);
        }
        else if (candidate.step.gang) {
            decideGang(candidate);
        }
        else {
            decideTasks(candidate);
        }
    }
    round.claims = claims.list();
    return round;
};
