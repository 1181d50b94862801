import { Adjacency } from "../configuration/types.js";
import type { Step, TaskResources } from "../jobs/types.js";
import { coreEquivalentsOf, fitCount, occupiedBy } from "./resources.js";
import { signAfterFit, signBeforeFit, SpeedPreference, speedPreferenceOf } from "./speedPreference.js";
import type { Assignment, Candidate, WorkerInfo } from "./types.js";

/** Waiting time after which tasks that fill idle cores and tasks that serve users may share a worker. */
export const colocateAfterMs = 1_200;
/** Waiting time after which work runs far from its data, where it is slower, or on workers that are kept free. */
export const relaxAfterMs = 1_500;
/**
 * Waiting time after which a claimed guarantee runs far from its data and is spread over racks. It is due 2.7 s after its
 * acceptance, and a preemption takes up to a second.
 */
export const relaxGuaranteeAfterMs = 700;
/** Utilisation below which slow work uses no capacity that other work needs. */
const mostlyIdleUtilisation = 0.5;

/** Multiple of the declared run time that must fit into a backfill window; declared times are often too short. */
const backfillEstimateFactor = 1.5;

const hasLabel = (worker: WorkerInfo, step: Step): boolean =>
    step.requiredLabel === undefined || worker.labels.includes(step.requiredLabel);

/** Whether a task may run beside what else runs on a worker: tasks that serve and tasks that fill are kept apart. */
export const mayColocate = (worker: WorkerInfo, candidate: Candidate): boolean => {
    if (candidate.waitingMs > colocateAfterMs) {
        return true;
    }
    return !(candidate.step.fillsIdleCores && worker.hasServingTask)
        && !(candidate.step.targetMs !== undefined && worker.hasIdleFillingTask);
};

/** Whether the candidate, by its declared time, ends within a backfill window. */
export const fitsWindow = (windowMs: number, { step }: Candidate): boolean =>
    step.estimateMs * backfillEstimateFactor <= windowMs;

/** Whether the candidate ends before a blocked gang is expected to start on a worker. */
export const fitsBackfillWindow = (worker: WorkerInfo, candidate: Candidate): boolean =>
    fitsWindow(worker.backfillWindowMs, candidate);

/** Whether a worker is of the candidate's service and has the label it requires. */
export const isSuitable = (worker: WorkerInfo, { job, step }: Candidate): boolean =>
    worker.service === job.service && hasLabel(worker, step);

/** Whether a worker is suitable and accepts work. */
const mayHost = (worker: WorkerInfo, candidate: Candidate): boolean => worker.usable && isSuitable(worker, candidate);

/** Whether a worker is kept free for urgent work that is expected or for a blocked gang. */
const isKeptFree = (worker: WorkerInfo, candidate: Candidate): boolean =>
    (worker.isUrgentHeadroom && candidate.job.priority > 0) || !fitsBackfillWindow(worker, candidate);

const mustAvoidWorker = (worker: WorkerInfo, candidate: Candidate): boolean =>
    candidate.mustAvoid && candidate.avoidedWorkers.has(worker.workerId);

/** Whether a task of the candidate may run on a worker, whatever is free there. */
const isEligible = (worker: WorkerInfo, candidate: Candidate): boolean =>
    mayHost(worker, candidate) && !isKeptFree(worker, candidate) && !mustAvoidWorker(worker, candidate);

/**
 * Whether a task of a candidate that may relax what it prefers may run on a worker: it may be kept free for other work,
 * and have a cooldown if nothing of the candidate has run for as long either.
 */
const isAdmissible = (worker: WorkerInfo, candidate: Candidate): boolean =>
    isSuitable(worker, candidate) && !mustAvoidWorker(worker, candidate)
    && (worker.usable || (worker.coolingDown && candidate.uninterruptedWaitMs > relaxAfterMs));

/** Number of a candidate's tasks that fit into a worker's free resources, within the step's limit per worker. */
export const fittingTasks = (worker: WorkerInfo, candidate: Candidate): number => {
    const perWorker = candidate.step.maxPerWorker ?? Number.POSITIVE_INFINITY;
    const underLimit = perWorker - (candidate.runningOn.get(worker.workerId) ?? 0);
    return Math.max(0, Math.min(fitCount(worker.free, occupiedBy(candidate.step)), underLimit));
};

const sumFittingTasks = (workers: readonly WorkerInfo[], candidate: Candidate): number =>
    workers.reduce((sum, worker) => sum + fittingTasks(worker, candidate), 0);

const groupBy = (workers: readonly WorkerInfo[], keyOf: (worker: WorkerInfo) => string): WorkerInfo[][] => {
    const groups = new Map<string, WorkerInfo[]>();
    for (const worker of workers) {
        const group = groups.get(keyOf(worker));
        if (group === undefined) {
            groups.set(keyOf(worker), [worker]);
        }
        else {
            group.push(worker);
        }
    }
    return [...groups.values()];
};

/** Number of a candidate's tasks that would fit on a worker if nothing else ran there. */
const fittingTasksIfEmpty = (worker: WorkerInfo, candidate: Candidate): number =>
    Math.min(
        fitCount(worker.capacity, occupiedBy(candidate.step)),
        candidate.step.maxPerWorker ?? Number.POSITIVE_INFINITY,
    );

/** Whether all tasks of a candidate would fit on workers on which nothing else ran. */
export const fitsIfEmpty = (workers: readonly WorkerInfo[], candidate: Candidate): boolean =>
    workers.reduce((sum, worker) => sum + fittingTasksIfEmpty(worker, candidate), 0) >= candidate.taskIndexes.length;

/** Whether a worker is in the rack that holds a step's data. */
export const isNearData = (worker: Pick<WorkerInfo, "rack">, step: Step): boolean =>
    step.dataRack === undefined || worker.rack === step.dataRack;

/** Share of a resource that is in use on workers; 0 if they have none of it. */
export const utilisation = (workers: readonly WorkerInfo[], amountOf: AmountOf): number => {
    const capacity = workers.reduce((sum, worker) => sum + amountOf(worker.capacity), 0);
    const free = workers.reduce((sum, worker) => sum + amountOf(worker.free), 0);
    return capacity === 0 ? 0 : 1 - free / capacity;
};

/** One reading of resources. */
type AmountOf = (resources: TaskResources) => number;

const coresOf: AmountOf = resources => resources.milliCores;

/** Whether less than half of the accelerators and less than half of the cores are in use. */
export const isMostlyIdle = (workers: readonly WorkerInfo[]): boolean =>
    utilisation(workers, resources => resources.accelerators) < mostlyIdleUtilisation
    && utilisation(workers, resources => resources.milliCores) < mostlyIdleUtilisation;

/** Amount of a resource that runs at work use on a worker. */
const amountInUse = ({ capacity, free, notAtWork }: WorkerInfo, amountOf: AmountOf): number =>
    Math.min(amountOf(capacity), Math.max(0, amountOf(capacity) - amountOf(free) - amountOf(notAtWork)));

/**
 * Share of a service that is in use by one reading of resources; 1 if it has no workers. A worker that accepts no work
 * counts only while less than half of it is in use: its runs may have ended, and its free capacity may come back.
 */
const shareInUse = (workers: readonly WorkerInfo[], service: string, amountOf: AmountOf): number => {
    let totalCapacity = 0;
    let totalInUse = 0;
    for (const worker of workers) {
        if (worker.service !== service) {
            continue;
        }
        const capacity = amountOf(worker.capacity);
        const inUse = amountInUse(worker, amountOf);
        if (worker.usable || worker.coolingDown || inUse < capacity * mostlyIdleUtilisation) {
            totalCapacity += capacity;
            totalInUse += inUse;
        }
    }
    return totalCapacity > 0 ? totalInUse / totalCapacity : 1;
};

/**
 * Share of a candidate's service that is in use, all resources together or, if it needs no accelerators and that is less,
 * the cores alone.
 */
export const serviceShareInUse = (workers: readonly WorkerInfo[], { job: { service }, step }: Candidate): number => {
    const share = shareInUse(workers, service, coreEquivalentsOf);
    return step.resources.accelerators > 0 ? share : Math.min(share, shareInUse(workers, service, coresOf));
};

/** Share by which the planner's account of use may exceed that of the workers, whose runs begin later and end earlier. */
const accountMargin = 0.05;

/** Whether capacity that the candidate could use would stay idle: hardly more than half of its service is in use. */
const hasIdleCapacity = (workers: readonly WorkerInfo[], candidate: Candidate): boolean =>
    serviceShareInUse(workers, candidate) < mostlyIdleUtilisation + accountMargin;

/**
 * Whether the candidate may run far from its data and on workers that are kept free: it has waited long, and the capacity
 * would stay idle otherwise, or it is guaranteed to its customer, or its tasks run for as long as their job exists and must
 * not stand still however full the service is.
 */
const mayRelax = (workers: readonly WorkerInfo[], candidate: Candidate): boolean =>
    candidate.guaranteed
        ? candidate.waitingMs > relaxGuaranteeAfterMs
        : candidate.waitingMs > relaxAfterMs && (candidate.step.longRunning || hasIdleCapacity(workers, candidate));

/**
 * Domains of workers, one of which is to host all tasks of a gang. Only workers near its data are included if the gang
 * would fit there on empty workers.
 */
export const preferredDomains = (workers: readonly WorkerInfo[], candidate: Candidate): WorkerInfo[][] => {
    const eligible = workers.filter(worker => isEligible(worker, candidate));
    const nearData = eligible.filter(worker => isNearData(worker, candidate.step));
    return adjacencyDomains(fitsIfEmpty(nearData, candidate) ? nearData : eligible, candidate);
};

/**
 * Domains of workers, one of which must host all tasks of a gang: the preferred ones or, if none of these has enough free
 * resources now and the candidate may relax what it prefers, domains of all admissible workers.
 */
export const gangDomains = (workers: readonly WorkerInfo[], candidate: Candidate): WorkerInfo[][] => {
    const domains = preferredDomains(workers, candidate);
    if (!mayRelax(workers, candidate) || fitsOneOf(domains, candidate)) {
        return domains;
    }
    const admissible = workers.filter(worker => isAdmissible(worker, candidate));
    return candidate.step.mayBeSpread ? [admissible] : adjacencyDomains(admissible, candidate);
};

const fitsOneOf = (domains: readonly WorkerInfo[][], candidate: Candidate): boolean =>
    domains.some(domain => sumFittingTasks(domain, candidate) >= candidate.taskIndexes.length);

const domainIdOf: Record<Adjacency, (worker: WorkerInfo) => string> = {
    [Adjacency.Worker]: worker => worker.workerId,
    [Adjacency.Rack]: worker => worker.rack,
    [Adjacency.AvailabilityZone]: worker => worker.availabilityZone,
};

/** Domains of workers that satisfy the adjacency of a candidate and could host all of it if they were empty. */
export const adjacencyDomains = (workers: readonly WorkerInfo[], candidate: Candidate): WorkerInfo[][] => {
    const { adjacency, mayBeSpread } = candidate.step;
    if (adjacency === undefined) {
        return [[...workers]];
    }
    const domains = groupBy(workers, domainIdOf[adjacency]).filter(domain => fitsIfEmpty(domain, candidate));
    return domains.length > 0 || !mayBeSpread ? domains : [[...workers]];
};

/** Capacity of one worker for a candidate. */
interface Offer {
    worker: WorkerInfo;
    /** Number of tasks that fit. */
    count: number;
    /** The candidate failed there before. */
    avoided: boolean;
    /** The worker is kept free for other work. */
    keptFree: boolean;
    /** The worker is reserved for a guarantee, so that the candidate may be preempted there. */
    borrowed: boolean;
    /** Accelerators left free once these tasks run there. */
    leftover: number;
    /** Free accelerators in the worker's rack. */
    freeInRack: number;
}

const sumFreeByRack = (workers: readonly WorkerInfo[]): Map<string, number> => {
    const freeByRack = new Map<string, number>();
    workers.forEach(({ rack, free: { accelerators } }) =>
        freeByRack.set(rack, (freeByRack.get(rack) ?? 0) + accelerators)
    );
    return freeByRack;
};

const offersOf = (workers: readonly WorkerInfo[], candidate: Candidate): Offer[] => {
    const offers: Offer[] = [];
    const freeByRack = sumFreeByRack(workers);
    for (const worker of workers) {
        const count = mayColocate(worker, candidate) ? fittingTasks(worker, candidate) : 0;
        if (count > 0) {
            const leftover = worker.free.accelerators - candidate.step.resources.accelerators * count;
            const borrowed = worker.hasReservation && !candidate.guaranteed;
            const freeInRack = freeByRack.get(worker.rack) ?? 0;
            offers.push({
                worker,
                count,
                avoided: candidate.avoidedWorkers.has(worker.workerId),
                keptFree: isKeptFree(worker, candidate),
                borrowed,
                leftover,
                freeInRack,
            });
        }
    }
    return offers;
};

/** Compares the speeds of two workers, slow ones first if the sign is positive; apart, as a product may be minus zero. */
const compareSpeeds = (sign: number, { worker: left }: Offer, { worker: right }: Offer): number =>
    sign < 0 ? right.relativeSpeed - left.relativeSpeed : sign > 0 ? left.relativeSpeed - right.relativeSpeed : 0;

/**
 * Sorts by: no cooldown, no earlier failure there, least suspicion, not kept free, no reservation, fast workers if these
 * are preferred, best fit, fullest rack, fullest worker, slow workers if these are. Filling workers and racks that are in
 * use already leaves whole ones free.
 */
const compareOffers = (preference: SpeedPreference) => {
    const beforeFit = signBeforeFit[preference];
    const afterFit = signAfterFit[preference];
    return (left: Offer, right: Offer): number =>
        Number(left.worker.coolingDown) - Number(right.worker.coolingDown)
        || Number(left.avoided) - Number(right.avoided)
        || left.worker.suspicion - right.worker.suspicion
        || Number(left.keptFree) - Number(right.keptFree)
        || Number(left.borrowed) - Number(right.borrowed)
        || compareSpeeds(beforeFit, left, right)
        || left.leftover - right.leftover
        || left.freeInRack - right.freeInRack
        || left.worker.free.accelerators - right.worker.free.accelerators
        || left.worker.free.milliCores - right.worker.free.milliCores
        || compareSpeeds(afterFit, left, right)
        || (left.worker.workerId < right.worker.workerId ? -1 : 1);
};

/** Assigns tasks to workers in order of preference; returns fewer assignments than tasks when they do not all fit. */
const pack = (
    offers: readonly Offer[],
    taskIndexes: readonly number[],
    preference: SpeedPreference,
): Assignment[] => {
    const assignments: Assignment[] = [];
    for (const { worker, count } of [...offers].sort(compareOffers(preference))) {
        const assigned = Math.min(count, taskIndexes.length - assignments.length);
        for (let index = 0; index < assigned; index++) {
            assignments.push({ taskIndex: taskIndexes[assignments.length], workerId: worker.workerId });
        }
        if (assignments.length === taskIndexes.length) {
            break;
        }
    }
    return assignments;
};

const sumOffered = (offers: readonly Offer[]): number => offers.reduce((sum, offer) => sum + offer.count, 0);

/** Tasks of a gang on workers of one domain, with what its worst workers are like. */
interface PackedGang {
    assignments: Assignment[];
    highestSuspicion: number;
    slowestSpeed: number;
}

const describePacked = (assignments: Assignment[], offers: readonly Offer[]): PackedGang => {
    const used = new Set(assignments.map(assignment => assignment.workerId));
    const packed = { assignments, highestSuspicion: 0, slowestSpeed: 1 };
    for (const { worker } of offers) {
        if (used.has(worker.workerId)) {
            packed.highestSuspicion = Math.max(packed.highestSuspicion, worker.suspicion);
            packed.slowestSpeed = Math.min(packed.slowestSpeed, worker.relativeSpeed);
        }
    }
    return packed;
};

/**
 * Assigns a gang to the fastest workers. If slow ones are among them it is as slow as these, so it takes as many of them
 * as it can, and leaves fast workers to other work.
 */
const packGang = (offers: readonly Offer[], taskIndexes: readonly number[]): PackedGang => {
    const packed = describePacked(pack(offers, taskIndexes, SpeedPreference.Fast), offers);
    if (packed.slowestSpeed === 1) {
        return packed;
    }
    const likeOffers = offers.filter(({ worker }) => worker.relativeSpeed >= packed.slowestSpeed);
    return describePacked(pack(likeOffers, taskIndexes, SpeedPreference.Slow), likeOffers);
};

/** Number of domains, the tightest fits, that are compared by the suspicion and the speed of their workers. */
const maxDomainsCompared = 3;

/** Number of members from which a gang counts as wide; losing any one of them throws away the work of all. */
const wideGangTasks = 4;

/** Whether the loss of one worker throws away the work of many tasks: a wide gang that cannot resume. */
export const isExposed = ({ step }: Candidate): boolean =>
    step.gang && !step.checkpointing && step.taskCount >= wideGangTasks;

const addRisk = (worker: WorkerInfo): WorkerInfo => ({ ...worker, suspicion: worker.suspicion + worker.risk });

/** Finds workers for all tasks of a gang; `undefined` if they do not all fit. */
export const placeGang = (workers: readonly WorkerInfo[], candidate: Candidate): Assignment[] | undefined => {
    const avoidsRisk = isExposed(candidate) && workers.some(({ risk }) => risk > 0);
    return gangDomains(workers, candidate)
        .map(domain => offersOf(avoidsRisk ? domain.map(addRisk) : domain, candidate))
        .map(offers => ({ offers, count: sumOffered(offers) }))
        .filter(option => option.count >= candidate.taskIndexes.length)
        .sort((left, right) => left.count - right.count)
        .slice(0, avoidsRisk ? undefined : maxDomainsCompared)
        .map(({ offers }) => packGang(offers, candidate.taskIndexes))
        .sort((left, right) => left.highestSuspicion - right.highestSuspicion || right.slowestSpeed - left.slowestSpeed)
        .at(0)?.assignments;
};

/** Whether a task of the candidate could run near its data if nothing else ran there. */
const canRunNearData = (workers: readonly WorkerInfo[], candidate: Candidate): boolean =>
    workers.some(worker =>
        isNearData(worker, candidate.step) && mayHost(worker, candidate) && fittingTasksIfEmpty(worker, candidate) > 0
    );

/** Finds workers for as many independent tasks as fit. */
export const placeTasks = (workers: readonly WorkerInfo[], candidate: Candidate): Assignment[] => {
    const eligible = workers.filter(worker => isEligible(worker, candidate));
    const nearData = canRunNearData(workers, candidate)
        ? eligible.filter(worker => isNearData(worker, candidate.step))
        : eligible;
    const preference = speedPreferenceOf(candidate);
    const placedNear = pack(offersOf(nearData, candidate), candidate.taskIndexes, preference);
    const remaining = candidate.taskIndexes.slice(placedNear.length);
    if (remaining.length === 0 || !mayRelax(workers, candidate)) {
        return placedNear;
    }
    // what fits on the preferred workers is used up
    const tried = new Set(nearData);
    const others = workers.filter(worker => !tried.has(worker) && isAdmissible(worker, candidate));
    return [...placedNear, ...pack(offersOf(others, candidate), remaining, preference)];
};
