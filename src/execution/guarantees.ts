import { Adjacency } from "../configuration/types.js";
import type { JobState } from "../jobs/progress.js";
import { isEnded } from "../jobs/types.js";
import type { Step } from "../jobs/types.js";
import { assignReservations, moveUnclaimedReservations } from "../planning/reservations.js";
import type { Reservations, ReservationState } from "../planning/reservations.js";
import type { WorkerInfo } from "../planning/types.js";
import { GuaranteeCoverage } from "../queues/types.js";
import type { GuaranteedGang, QueueCustomer } from "../queues/types.js";
import type { PlannerContext } from "./context.js";

/** Part of its customer's guarantee that is allocated to a job. */
export interface GuaranteeAllocation {
    /** Worker of each of its tasks; absent for a guarantee of accelerators on any workers. */
    reservedWorkers?: readonly string[];
    /** Name of the guaranteed gang that these workers are reserved for. */
    gang?: string;
    /** Whether the job already runs on its reservation. */
    runs?: boolean;
}

/** Jobs that their customers' guarantees cover, with their allocations. */
export type GuaranteeAllocations = ReadonlyMap<JobState, GuaranteeAllocation>;

/** Accelerators of a job's largest step, which is the most that it uses at a time. */
export const peakAccelerators = (job: JobState): number =>
    Math.max(0, ...job.submission.steps.map(step => step.taskCount * step.resources.accelerators));

/** Unended jobs that may claim a guarantee, by customer name, in order of acceptance. */
const findEligibleJobs = (context: PlannerContext, customers: readonly QueueCustomer[]): Map<string, JobState[]> => {
    const eligible = new Map(customers.map(customer => [customer.name, [] as JobState[]]));
    const maxPriorities = new Map(customers.map(customer => [customer.name, customer.guaranteedUpToPriority]));
    for (const job of context.openJobs) {
        const { customer = "", priority } = job.submission;
        const isOpen = !isEnded(job.phase) && !job.cancelled;
        if (isOpen && priority <= (maxPriorities.get(customer) ?? Number.NEGATIVE_INFINITY)) {
            eligible.get(customer)?.push(job);
        }
    }
    eligible.forEach(jobs =>
        jobs.sort((first, second) => first.submission.acceptedAtMs - second.submission.acceptedAtMs)
    );
    return eligible;
};

/** Allocates a guaranteed number of accelerators, on any workers, to jobs in order of acceptance. */
const allocateByAmount = (
    jobs: readonly JobState[],
    { guaranteedAccelerators, guaranteeCoverage }: QueueCustomer,
): [JobState, GuaranteeAllocation][] => {
    let remaining = guaranteedAccelerators;
    const allocated: [JobState, GuaranteeAllocation][] = [];
    for (const job of jobs) {
        const needed = peakAccelerators(job);
        if (needed <= remaining) {
            remaining -= needed;
            allocated.push([job, {}]);
        }
        else if (guaranteeCoverage === GuaranteeCoverage.WholeDemand) {
            return [];
        }
    }
    return allocated;
};

/** Orders adjacencies from the weakest requirement, none, to the strictest, one worker. */
const adjacencyRank = (adjacency: Adjacency | undefined): number =>
    adjacency === undefined ? 0 : [Adjacency.AvailabilityZone, Adjacency.Rack, Adjacency.Worker].indexOf(adjacency) + 1;

/** Whether a step fits into the reservation of a guaranteed gang. */
const fitsGang = (step: Step, gang: Step): boolean =>
    step.taskCount <= gang.taskCount && adjacencyRank(step.adjacency) <= adjacencyRank(gang.adjacency)
    && step.resources.accelerators <= gang.resources.accelerators
    && step.resources.milliCores <= gang.resources.milliCores && step.resources.memoryMb <= gang.resources.memoryMb;

/** Worker of each of a job's tasks; `undefined` unless all of them have a run. */
const workersOf = (job: JobState): string[] | undefined => {
    const tasks = [...job.units.values()].flatMap(unit => unit.tasks);
    const workers = tasks.flatMap(task => task.run?.worker.id ?? []);
    return tasks.length > 0 && workers.length === tasks.length ? workers : undefined;
};

const haveSameWorkers = (left: readonly string[], right: readonly string[]): boolean =>
    left.length === right.length && [...left].sort().join() === [...right].sort().join();

/** Allocates reservations: first to the jobs that run on them, then to waiting jobs in order of acceptance. */
const allocateByReservations = (
    jobs: readonly JobState[],
    gangs: readonly GuaranteedGang[],
    reservations: Reservations,
): [JobState, GuaranteeAllocation][] => {
    const unallocated = new Set(gangs.filter(gang => reservations.has(gang.name)));
    const allocated: [JobState, GuaranteeAllocation][] = [];
    const reservedWorkersFor = (job: JobState, gang: GuaranteedGang): readonly string[] =>
        (reservations.get(gang.name) ?? []).slice(0, job.submission.steps[0].taskCount);
    const allocateGang = (job: JobState, gang: GuaranteedGang | undefined, runs: boolean): void => {
        if (gang !== undefined) {
            unallocated.delete(gang);
            allocated.push([job, { reservedWorkers: reservedWorkersFor(job, gang), gang: gang.name, runs }]);
        }
    };
    // a job that runs on other workers borrows them, so no reservation is allocated to it
    for (const job of jobs) {
        const runWorkers = workersOf(job);
        allocateGang(
            job,
            runWorkers && [...unallocated].find(gang => haveSameWorkers(runWorkers, reservedWorkersFor(job, gang))),
            true,
        );
    }
    for (const job of jobs.filter(candidate => workersOf(candidate) === undefined)) {
        allocateGang(job, [...unallocated].find(gang => fitsGang(job.submission.steps[0], gang.step)), false);
    }
    return allocated;
};

/** Allocates the customers' guarantees to their jobs, given the reservations of this round. */
export const allocateGuarantees = (context: PlannerContext, reservations: Reservations): GuaranteeAllocations => {
    const customers = context.operator().configuration?.customers ?? [];
    const holders = customers.filter(customer => customer.guaranteedAccelerators > 0);
    const eligible = findEligibleJobs(context, holders);
    return new Map(holders.flatMap(customer => {
        const jobs = eligible.get(customer.name) ?? [];
        return customer.guaranteedGangs === undefined
            ? allocateByAmount(jobs, customer)
            : allocateByReservations(jobs, customer.guaranteedGangs, reservations);
    }));
};

/** Guaranteed gangs of all customers; each gets a reservation. */
export const guaranteedGangs = (context: PlannerContext): GuaranteedGang[] =>
    (context.operator().configuration?.customers ?? []).flatMap(customer => customer.guaranteedGangs ?? []);

/** Computes the reservations of the next round; a reservation that no job claims may move to other workers. */
export const updateReservations = (
    context: PlannerContext,
    workers: readonly WorkerInfo[],
    reservations: Reservations,
    guarantees: GuaranteeAllocations,
): ReservationState => {
    const gangs = guaranteedGangs(context);
    const allocations = [...guarantees.values()];
    const claimed = new Set(allocations.flatMap(({ gang }) => gang ?? []));
    const running = new Set(allocations.flatMap(({ gang, runs }) => runs === true && gang !== undefined ? [gang] : []));
    const updated = gangs.length === 0
        ? reservations
        : moveUnclaimedReservations(gangs, workers, reservations, claimed);
    return { reservations: updated, claimed, running };
};

/**
 * Restores reservations after a change of planner: the workers of a gang whose tasks all run are reserved for it again,
 * as no other gang can use them.
 */
const restoreReservations = (context: PlannerContext): ReservationState => {
    const reservations = new Map<string, readonly string[]>();
    const customers = context.operator().configuration?.customers ?? [];
    const eligible = findEligibleJobs(context, customers);
    for (const customer of customers) {
        const unplaced = new Set(customer.guaranteedGangs);
        for (const job of eligible.get(customer.name) ?? []) {
            const runWorkers = workersOf(job);
            const [step] = job.submission.steps;
            const gang = runWorkers
                && [...unplaced].find(({ step: whole }) => fitsGang(step, whole) && step.taskCount === whole.taskCount);
            if (runWorkers !== undefined && gang !== undefined) {
                unplaced.delete(gang);
                reservations.set(gang.name, runWorkers);
            }
        }
    }
    const names = new Set(reservations.keys());
    return { reservations, claimed: names, running: names };
};

/** Assigns reservations on the given workers to all guaranteed gangs, and marks the reserved workers. */
export const reconcileReservations = (
    context: PlannerContext,
    workers: readonly WorkerInfo[],
    previous: ReservationState,
): Reservations => {
    const gangs = guaranteedGangs(context);
    if (gangs.length === 0) {
        return previous.reservations;
    }
    const reservations = assignReservations(
        gangs,
        workers,
        previous.reservations.size === 0 ? restoreReservations(context) : previous,
    );
    const reservedWorkers = new Set([...reservations.values()].flat());
    workers.forEach(worker => {
        worker.hasReservation = reservedWorkers.has(worker.workerId);
    });
    return reservations;
};
