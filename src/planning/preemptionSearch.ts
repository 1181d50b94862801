import { largeGangAccelerators, Tier, tierOf, workOf } from "./order.js";
import { fittingTasks } from "./placement.js";
import { coreEquivalentsOf, subtractResources } from "./resources.js";
import type { Assignment, Candidate, Occupant, WorkerInfo } from "./types.js";

/** Runs to preempt and the assignments that their resources allow. */
export interface PreemptionPlan {
    victims: Occupant[];
    assignments: Assignment[];
}

/** Preemptions of a step's runs after which only claimed guarantees, and urgent work if it can be resumed, preempt it. */
const maxEvictions = 3;

/** Weight of lost urgent work, so that other runs are preempted first. */
const urgentCostFactor = 20;

/** A starved gang preempts resumable runs that are not urgent, if they are small or less important than the gang. */
const mayMigrateForStarved = (candidate: Candidate, occupant: Occupant): boolean => {
    const isSmall = occupant.tasks.length * occupant.resources.accelerators < largeGangAccelerators;
    return tierOf(candidate) === Tier.Starved && occupant.resumable && occupant.priority > 0
        && (isSmall || occupant.priority > candidate.job.priority);
};

/** Work of priority 0 preempts all other work. */
const isMoreUrgent = (candidate: Candidate, occupant: Occupant): boolean =>
    candidate.job.priority === 0 && occupant.priority > 0;

/**
 * A claimed guarantee preempts every run that is not covered by a guarantee itself; other work preempts only less
 * important runs that can be resumed or were not preempted often, and none whose step limits disruptions.
 */
export const mayPreempt = (candidate: Candidate, occupant: Occupant): boolean => {
    if (occupant.disruptionLimit !== undefined && !candidate.guaranteed) {
        return false;
    }
    const hasPrecedence = isMoreUrgent(candidate, occupant) || mayMigrateForStarved(candidate, occupant);
    const mayResumeOften = occupant.resumable && isMoreUrgent(candidate, occupant);
    const isSpared = occupant.evictions >= maxEvictions && !mayResumeOften;
    return !occupant.guaranteed && (candidate.guaranteed || (hasPrecedence && !isSpared));
};

/**
 * Whether enough tasks of an occupant's step stay available if it is preempted.
 *
 * @param evicted occupants that are preempted already
 * @param victims occupants that are to be preempted with it
 */
export const isWithinDisruptionLimit = (
    { key, tasks, disruptionLimit }: Occupant,
    evicted: ReadonlySet<Occupant>,
    victims: readonly Occupant[],
): boolean => {
    if (disruptionLimit === undefined) {
        return true;
    }
    const preempted = [...evicted, ...victims].filter(other => other.key === key);
    const stopped = [...tasks, ...preempted.flatMap(other => other.tasks)].map(({ taskIndex }) => taskIndex);
    return new Set([...disruptionLimit.unavailableTasks, ...stopped]).size <= disruptionLimit.maxUnavailable;
};

/** Work that preempting a run costs, in core-milliseconds; that of priority 0 counts for more. */
export const preemptionCost = (occupant: Occupant): number =>
    occupant.lostCoreMs * (occupant.priority === 0 ? urgentCostFactor : 1);

/** The tasks of an occupant on one worker. */
interface OccupantShare {
    occupant: Occupant;
    taskCount: number;
}

/** Occupants by worker, those that lose least work for each core they free first. */
export type OccupantIndex = ReadonlyMap<string, readonly OccupantShare[]>;

const costPerCore = ({ occupant, taskCount }: OccupantShare): number =>
    (preemptionCost(occupant) + 1) / (coreEquivalentsOf(occupant.resources) * taskCount);

/** Indexes the occupants of a round by worker. */
export const indexOccupants = (occupants: readonly Occupant[]): OccupantIndex => {
    const index = new Map<string, OccupantShare[]>();
    for (const occupant of occupants) {
        const counts = new Map<string, number>();
        occupant.tasks.forEach(({ workerId }) => counts.set(workerId, (counts.get(workerId) ?? 0) + 1));
        for (const [workerId, taskCount] of counts) {
            const shares = index.get(workerId) ?? [];
            shares.push({ occupant, taskCount });
            index.set(workerId, shares);
        }
    }
    index.forEach(shares => shares.sort((left, right) => costPerCore(left) - costPerCore(right)));
    return index;
};

/** Victims on one worker, and what preempting them gains and costs. */
interface WorkerPreemption {
    worker: WorkerInfo;
    /** Number of the candidate's tasks that fit then, at most as many as wanted. */
    count: number;
    victims: Occupant[];
    cost: number;
}

/** For whom runs are to be preempted, and which may be. */
export interface PreemptionSearch {
    candidate: Candidate;
    index: OccupantIndex;
    mayEvict: (occupant: Occupant) => boolean;
}

/**
 * Picks the cheapest victims on a worker until `wantedTasks` tasks fit or no run is left that may be preempted.
 *
 * @param evicted occupants that are preempted already, whose resources count as free
 */
export const pickVictims = (
    { candidate, index, mayEvict }: PreemptionSearch,
    worker: WorkerInfo,
    wantedTasks: number,
    evicted: ReadonlySet<Occupant>,
): WorkerPreemption => {
    const shares = index.get(worker.workerId) ?? [];
    const simulated = { ...worker, free: { ...worker.free } };
    const victims: Occupant[] = [];
    let cost = 0;
    for (const { occupant, taskCount } of shares) {
        if (evicted.has(occupant)) {
            subtractResources(simulated.free, occupant.resources, -taskCount);
        }
    }
    for (const { occupant, taskCount } of shares) {
        if (fittingTasks(simulated, candidate) >= wantedTasks) {
            break;
        }
        const isPreemptible = !evicted.has(occupant) && mayEvict(occupant)
            && isWithinDisruptionLimit(occupant, evicted, victims);
        if (isPreemptible) {
            victims.push(occupant);
            cost += preemptionCost(occupant);
            subtractResources(simulated.free, occupant.resources, -taskCount);
        }
    }
    return { worker, count: Math.min(wantedTasks, fittingTasks(simulated, candidate)), victims, cost };
};

const costPerTask = (preemption: WorkerPreemption): number => preemption.cost / preemption.count;

/** Whether a candidate may start with the tasks for which there is room: independent tasks that claim a guarantee. */
const mayStartPartly = ({ guaranteed, step }: Candidate): boolean => guaranteed && !step.gang;

/**
 * Picks workers of a domain in order of cost for each task gained, until all tasks are assigned. A plan for some of them
 * is returned only if the candidate may start partly.
 */
const planInDomain = (
    search: PreemptionSearch,
    domain: readonly WorkerInfo[],
    evicted: ReadonlySet<Occupant>,
): PreemptionPlan | undefined => {
    const { candidate } = search;
    const wantedTasks = candidate.taskIndexes.length;
    const byCost = domain
        .map(worker => pickVictims(search, worker, wantedTasks, evicted))
        .filter(preemption => preemption.count > 0)
        .sort((left, right) => costPerTask(left) - costPerTask(right) || right.count - left.count);
    const evictedSoFar = new Set(evicted);
    const victims: Occupant[] = [];
    const assignments: Assignment[] = [];
    for (const { worker } of byCost) {
        // picked again: fewer tasks are missing now, and a gang preempted on another worker frees resources here too
        const preemption = pickVictims(search, worker, wantedTasks - assignments.length, evictedSoFar);
        if (preemption.count === 0) {
            continue;
        }
        preemption.victims.forEach(victim => evictedSoFar.add(victim));
        victims.push(...preemption.victims);
        for (let count = 0; count < preemption.count; count++) {
            assignments.push({ taskIndex: candidate.taskIndexes[assignments.length], workerId: worker.workerId });
        }
        if (assignments.length === wantedTasks) {
            return { victims, assignments };
        }
    }
    return assignments.length > 0 && mayStartPartly(candidate) ? { victims, assignments } : undefined;
};

/** Work of others that preempting may lose for an urgent job, as a multiple of the job's own work. */
const maxLostWorkFactor = 2;

/** Whether the work that is lost stands in proportion to the job's own; a claimed guarantee is due whatever is lost. */
export const isWorthwhile = (victims: readonly Occupant[], candidate: Candidate): boolean =>
    candidate.guaranteed || totalCost(victims) <= workOf(candidate) * maxLostWorkFactor;

const totalCost = (victims: readonly Occupant[]): number =>
    victims.reduce((sum, victim) => sum + preemptionCost(victim), 0);

/** The cheapest plan in one of several domains; those that place more tasks go first. */
export const findCheapestPlan = (
    search: PreemptionSearch,
    domains: readonly WorkerInfo[][],
    evicted: ReadonlySet<Occupant>,
): PreemptionPlan | undefined =>
    domains
        .map(domain => planInDomain(search, domain.filter(worker => worker.usable), evicted))
        .filter(plan => plan !== undefined)
        .filter(plan => isWorthwhile(plan.victims, search.candidate))
        .sort((left, right) =>
            right.assignments.length - left.assignments.length || totalCost(left.victims) - totalCost(right.victims)
        )
        .at(0);

/** Whether a plan places all tasks of a candidate. */
export const isCompletePlan = (plan: PreemptionPlan | undefined, { taskIndexes }: Candidate): boolean =>
    plan?.assignments.length === taskIndexes.length;
