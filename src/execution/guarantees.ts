import { Adjacency } from "../configuration/types.js";
import type { JobState } from "../jobs/progress.js";
import { isEnded } from "../jobs/types.js";
import type { Step } from "../jobs/types.js";
import { assignReservations, moveUnclaimedReservations } from "../planning/reservations.js";
import type { Reservations, ReservationState } from "../planning/reservations.js";
import type { Room } from "../planning/types.js";
import { GuaranteeCoverage } from "../queues/types.js";
import type { GuaranteedGang, QueueCustomer } from "../queues/types.js";
import type { PlannerContext } from "./context.js";

/** What a job has of its customer's guarantee. */
export interface Cover {
    /** Worker of each of its tasks, where the guarantee has places of its own. */
    cell?: readonly string[];
    /** Name of the guaranteed gang whose place that is. */
    gang?: string;
    /** Whether the job runs there already. */
    runs?: boolean;
}

/** Jobs that run on what is guaranteed to their customers. */
export type Guarantees = ReadonlyMap<JobState, Cover>;

/** Most accelerators that a job uses at a time. */
export const acceleratorNeed = (job: JobState): number =>
    Math.max(0, ...job.submission.steps.map(step => step.taskCount * step.resources.accelerators));

/** Unended jobs that may claim a guarantee, by the customer's name, the earliest accepted ones first. */
const claimingJobs = (context: PlannerContext, customers: readonly QueueCustomer[]): Map<string, JobState[]> => {
    const claiming = new Map(customers.map(customer => [customer.name, [] as JobState[]]));
    const highest = new Map(customers.map(customer => [customer.name, customer.guaranteedUpToPriority]));
    for (const job of context.openJobs) {
        const { customer = "", priority } = job.submission;
        const isOpen = !isEnded(job.phase) && !job.cancelled;
        if (isOpen && priority <= (highest.get(customer) ?? Number.NEGATIVE_INFINITY)) {
            claiming.get(customer)?.push(job);
        }
    }
    claiming.forEach(jobs =>
        jobs.sort((first, second) => first.submission.acceptedAtMs - second.submission.acceptedAtMs)
    );
    return claiming;
};

const coverByAmount = (
    jobs: readonly JobState[],
    { guaranteedAccelerators, guaranteeCoverage }: QueueCustomer,
): [JobState, Cover][] => {
    let left = guaranteedAccelerators;
    const covered: [JobState, Cover][] = [];
    for (const job of jobs) {
        const need = acceleratorNeed(job);
        if (need <= left) {
            left -= need;
            covered.push([job, {}]);
        }
        else if (guaranteeCoverage === GuaranteeCoverage.WholeDemand) {
            return [];
        }
    }
    return covered;
};

const tightness = (adjacency: Adjacency | undefined): number =>
    adjacency === undefined ? 0 : [Adjacency.AvailabilityZone, Adjacency.Rack, Adjacency.Worker].indexOf(adjacency) + 1;

/** Whether a job's gang can run in the place of a guaranteed one. */
const fitsGang = (step: Step, gang: Step): boolean =>
    step.taskCount <= gang.taskCount && tightness(step.adjacency) <= tightness(gang.adjacency)
    && step.resources.accelerators <= gang.resources.accelerators
    && step.resources.milliCores <= gang.resources.milliCores && step.resources.memoryMb <= gang.resources.memoryMb;

/** Workers of a job's tasks; `undefined` unless all of them have a run. */
const placeOf = (job: JobState): string[] | undefined => {
    const tasks = [...job.units.values()].flatMap(unit => unit.tasks);
    const workers = tasks.flatMap(task => task.run?.worker.id ?? []);
    return tasks.length > 0 && workers.length === tasks.length ? workers : undefined;
};

const isSamePlace = (left: readonly string[], right: readonly string[]): boolean =>
    left.length === right.length && [...left].sort().join() === [...right].sort().join();

const coverByCells = (
    jobs: readonly JobState[],
    gangs: readonly GuaranteedGang[],
    cells: Reservations,
): [JobState, Cover][] => {
    const free = new Set(gangs.filter(gang => cells.has(gang.name)));
    const covered: [JobState, Cover][] = [];
    const cellFor = (job: JobState, gang: GuaranteedGang): readonly string[] =>
        (cells.get(gang.name) ?? []).slice(0, job.submission.steps[0].taskCount);
    const cover = (job: JobState, gang: GuaranteedGang | undefined, runs: boolean): void => {
        if (gang !== undefined) {
            free.delete(gang);
            covered.push([job, { cell: cellFor(job, gang), gang: gang.name, runs }]);
        }
    };
    // what runs elsewhere has borrowed its room
    for (const job of jobs) {
        const place = placeOf(job);
        cover(job, place && [...free].find(gang => isSamePlace(place, cellFor(job, gang))), true);
    }
    for (const job of jobs.filter(candidate => placeOf(candidate) === undefined)) {
        cover(job, [...free].find(gang => fitsGang(job.submission.steps[0], gang.step)), false);
    }
    return covered;
};

/** Finds out which jobs have a guarantee to run on; `cells` are the places as of this round. */
export const surveyGuarantees = (context: PlannerContext, cells: Reservations): Guarantees => {
    const customers = context.operator().configuration?.customers ?? [];
    const holders = customers.filter(customer => customer.guaranteedAccelerators > 0);
    const claiming = claimingJobs(context, holders);
    return new Map(holders.flatMap(customer => {
        const jobs = claiming.get(customer.name) ?? [];
        return customer.guaranteedGangs === undefined
            ? coverByAmount(jobs, customer)
            : coverByCells(jobs, customer.guaranteedGangs, cells);
    }));
};

/** Guaranteed gangs with places of their own. */
export const guaranteedGangs = (context: PlannerContext): GuaranteedGang[] =>
    (context.operator().configuration?.customers ?? []).flatMap(customer => customer.guaranteedGangs ?? []);

/** Places as they are to be in the next round: those that no job claims may move. */
export const followIdleRoom = (
    context: PlannerContext,
    rooms: readonly Room[],
    cells: Reservations,
    guarantees: Guarantees,
): ReservationState => {
    const gangs = guaranteedGangs(context);
    const covers = [...guarantees.values()];
    const claimed = new Set(covers.flatMap(({ gang }) => gang ?? []));
    const running = new Set(covers.flatMap(({ gang, runs }) => runs === true && gang !== undefined ? [gang] : []));
    const moved = gangs.length === 0 ? cells : moveUnclaimedReservations(gangs, rooms, cells, claimed);
    return { reservations: moved, claimed, running };
};

/** Places that a new planner finds in the records: whole gangs that run where nobody else can. */
const inheritPlaces = (context: PlannerContext): ReservationState => {
    const cells = new Map<string, readonly string[]>();
    const customers = context.operator().configuration?.customers ?? [];
    const claiming = claimingJobs(context, customers);
    for (const customer of customers) {
        const open = new Set(customer.guaranteedGangs);
        for (const job of claiming.get(customer.name) ?? []) {
            const place = placeOf(job);
            const [step] = job.submission.steps;
            const gang = place
                && [...open].find(({ step: whole }) => fitsGang(step, whole) && step.taskCount === whole.taskCount);
            if (place !== undefined && gang !== undefined) {
                open.delete(gang);
                cells.set(gang.name, place);
            }
        }
    }
    const names = new Set(cells.keys());
    return { reservations: cells, claimed: names, running: names };
};

/** Places of all guaranteed gangs among the workers as they are now; marks the workers that hold one. */
export const surveyCells = (
    context: PlannerContext,
    rooms: readonly Room[],
    before: ReservationState,
): Reservations => {
    const gangs = guaranteedGangs(context);
    if (gangs.length === 0) {
        return before.reservations;
    }
    const cells = assignReservations(gangs, rooms, before.reservations.size === 0 ? inheritPlaces(context) : before);
    const kept = new Set([...cells.values()].flat());
    rooms.forEach(room => {
        room.hasReservation = kept.has(room.workerId);
    });
    return cells;
};
