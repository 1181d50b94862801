import { Adjacency } from "../configuration/types.js";
import type { Step, TaskResources } from "../jobs/types.js";
import { fitCount, occupiedBy } from "./resources.js";
import type { Assignment, Candidate, Room } from "./types.js";

/** Waiting time after which work that fills idle cores may run beside tasks that serve. */
export const mixAfterMs = 1_200;
/** Waiting time after which work goes where it is slowed down, if most of the room is free. */
export const leaveRackAfterMs = 1_500;
/** Share of the accelerators and cores in use up to which slowed-down work takes room from nobody. */
const idleShare = 0.5;

/** Times its declared run time that must pass before a blocked gang needs the room; declared times are often short. */
const backfillSlack = 1.5;

const hasLabel = (room: Room, step: Step): boolean =>
    step.requiredLabel === undefined || room.labels.includes(step.requiredLabel);

const mixesWell = (room: Room, candidate: Candidate): boolean => {
    if (candidate.waitingMs > mixAfterMs) {
        return true;
    }
    return !(candidate.step.fillsIdleCores && room.hasServing)
        && !(candidate.step.targetMs !== undefined && room.hasFilling);
};

/** Whether a task of the candidate may run on a worker at all, room aside. */
export const isAllowed = (room: Room, candidate: Candidate): boolean =>
    room.usable && room.service === candidate.job.service && hasLabel(room, candidate.step)
    && !(room.keptForUrgent && candidate.job.priority > 0)
    && candidate.step.estimateMs * backfillSlack <= room.openForMs
    && !(candidate.avoidsStrictly && candidate.avoid.has(room.workerId));

/** Tasks of a candidate that a worker takes with a given amount free. */
export const countOn = (room: Room, candidate: Candidate): number => {
    const perWorker = candidate.step.maxPerWorker ?? Number.POSITIVE_INFINITY;
    const allowed = perWorker - (candidate.runningOn.get(room.workerId) ?? 0);
    return Math.max(0, Math.min(fitCount(room.free, occupiedBy(candidate.step)), allowed));
};

const sumCounts = (rooms: readonly Room[], candidate: Candidate): number =>
    rooms.reduce((sum, room) => sum + countOn(room, candidate), 0);

const groupBy = (rooms: readonly Room[], keyOf: (room: Room) => string): Room[][] => {
    const groups = new Map<string, Room[]>();
    for (const room of rooms) {
        const group = groups.get(keyOf(room));
        if (group === undefined) {
            groups.set(keyOf(room), [room]);
        }
        else {
            group.push(room);
        }
    }
    return [...groups.values()];
};

/** Tasks of a candidate that a worker would take if nothing else ran there. */
const emptyCount = (room: Room, candidate: Candidate): number =>
    Math.min(
        fitCount(room.capacity, occupiedBy(candidate.step)),
        candidate.step.maxPerWorker ?? Number.POSITIVE_INFINITY,
    );

const couldHold = (rooms: readonly Room[], candidate: Candidate): boolean =>
    rooms.reduce((sum, room) => sum + emptyCount(room, candidate), 0) >= candidate.taskIndexes.length;

const isNearData = (room: Room, step: Step): boolean => step.dataRack === undefined || room.rack === step.dataRack;

const shareInUse = (rooms: readonly Room[], amountOf: (resources: TaskResources) => number): number => {
    const all = rooms.reduce((sum, room) => sum + amountOf(room.capacity), 0);
    const free = rooms.reduce((sum, room) => sum + amountOf(room.free), 0);
    return all === 0 ? 0 : 1 - free / all;
};

/** Whether most of the room stands idle. */
export const isMostlyIdle = (rooms: readonly Room[]): boolean =>
    shareInUse(rooms, resources => resources.accelerators) < idleShare
    && shareInUse(rooms, resources => resources.milliCores) < idleShare;

/** Whether slow work is better than none: it has waited, and what it takes would stand idle otherwise. */
const mayRunAnywhere = (rooms: readonly Room[], candidate: Candidate): boolean =>
    candidate.waitingMs > leaveRackAfterMs && isMostlyIdle(rooms);

/** Groups of workers of which one must take all tasks of a gang, best kinds of group first. */
export const gangGroups = (rooms: readonly Room[], candidate: Candidate): Room[][] => {
    const allowed = rooms.filter(room => isAllowed(room, candidate));
    const near = allowed.filter(room => isNearData(room, candidate.step));
    const home = couldHold(near, candidate) ? near : allowed;
    if (mayRunAnywhere(rooms, candidate) && !fitsInto(gangGroupsOf(home, candidate), candidate)) {
        return candidate.step.mayBeSpread ? [allowed] : gangGroupsOf(allowed, candidate);
    }
    return gangGroupsOf(home, candidate);
};

const fitsInto = (groups: readonly Room[][], candidate: Candidate): boolean =>
    groups.some(group => sumCounts(group, candidate) >= candidate.taskIndexes.length);

const domainOf: Record<Adjacency, (room: Room) => string> = {
    [Adjacency.Worker]: room => room.workerId,
    [Adjacency.Rack]: room => room.rack,
    [Adjacency.AvailabilityZone]: room => room.availabilityZone,
};

const gangGroupsOf = (home: readonly Room[], candidate: Candidate): Room[][] => {
    const { adjacency, mayBeSpread } = candidate.step;
    if (adjacency === undefined) {
        return [[...home]];
    }
    const domains = groupBy(home, domainOf[adjacency]).filter(domain => couldHold(domain, candidate));
    return domains.length > 0 || !mayBeSpread ? domains : [[...home]];
};

/** What a worker can take of a candidate. */
interface Offer {
    room: Room;
    count: number;
    avoided: boolean;
    /** The room is lent from a guarantee. */
    lent: boolean;
    /** Accelerators left over once it has taken that. */
    leftover: number;
    /** Accelerators that are free in its rack. */
    rackFree: number;
}

const sumFreeByRack = (rooms: readonly Room[]): Map<string, number> => {
    const free = new Map<string, number>();
    rooms.forEach(({ rack, free: { accelerators } }) => free.set(rack, (free.get(rack) ?? 0) + accelerators));
    return free;
};

const offersOf = (rooms: readonly Room[], candidate: Candidate): Offer[] => {
    const offers: Offer[] = [];
    const freeInRacks = sumFreeByRack(rooms);
    for (const room of rooms) {
        const count = mixesWell(room, candidate) ? countOn(room, candidate) : 0;
        if (count > 0) {
            const leftover = room.free.accelerators - candidate.step.resources.accelerators * count;
            const lent = room.hasCell && !candidate.guaranteed;
            const rackFree = freeInRacks.get(room.rack) ?? 0;
            offers.push({ room, count, avoided: candidate.avoid.has(room.workerId), lent, leftover, rackFree });
        }
    }
    return offers;
};

/**
 * Sound workers first, then those that nobody can take back, then those that fill up exactly, in the fullest racks, then
 * the fullest, so that whole workers and racks stay free.
 */
const compareOffers = (left: Offer, right: Offer): number =>
    Number(left.avoided) - Number(right.avoided)
    || left.room.suspicion - right.room.suspicion
    || Number(left.lent) - Number(right.lent)
    || left.leftover - right.leftover
    || left.rackFree - right.rackFree
    || left.room.free.accelerators - right.room.free.accelerators
    || left.room.free.milliCores - right.room.free.milliCores
    || (left.room.workerId < right.room.workerId ? -1 : 1);

/** Packs tasks onto workers in order of preference; shorter than asked for when they do not all fit. */
const pack = (offers: readonly Offer[], taskIndexes: readonly number[]): Assignment[] => {
    const assignments: Assignment[] = [];
    for (const { room, count } of [...offers].sort(compareOffers)) {
        const taken = Math.min(count, taskIndexes.length - assignments.length);
        for (let index = 0; index < taken; index++) {
            assignments.push({ taskIndex: taskIndexes[assignments.length], workerId: room.workerId });
        }
        if (assignments.length === taskIndexes.length) {
            break;
        }
    }
    return assignments;
};

const totalCount = (offers: readonly Offer[]): number => offers.reduce((sum, offer) => sum + offer.count, 0);

const suspicionOf = (assignments: readonly Assignment[], offers: readonly Offer[]): number => {
    const used = new Set(assignments.map(assignment => assignment.workerId));
    return offers.reduce((worst, { room }) => used.has(room.workerId) ? Math.max(worst, room.suspicion) : worst, 0);
};

/** Groups compared whole, those that a gang fills best first. */
const maxGroupsCompared = 3;

/** Finds workers for all tasks of a gang, or none. */
export const placeGang = (rooms: readonly Room[], candidate: Candidate): Assignment[] | undefined =>
    gangGroups(rooms, candidate)
        .map(group => offersOf(group, candidate))
        .map(offers => ({ offers, count: totalCount(offers) }))
        .filter(option => option.count >= candidate.taskIndexes.length)
        .sort((left, right) => left.count - right.count)
        .slice(0, maxGroupsCompared)
        .map(({ offers }) => ({ offers, assignments: pack(offers, candidate.taskIndexes) }))
        .map(({ offers, assignments }) => ({ assignments, suspicion: suspicionOf(assignments, offers) }))
        .sort((left, right) => left.suspicion - right.suspicion)
        .at(0)?.assignments;

/** Finds workers for as many independent tasks as possible. */
export const placeTasks = (rooms: readonly Room[], candidate: Candidate): Assignment[] => {
    const allowed = rooms.filter(room => isAllowed(room, candidate));
    const near = allowed.filter(room => isNearData(room, candidate.step));
    const assignments = pack(offersOf(near, candidate), candidate.taskIndexes);
    return assignments.length === 0 && mayRunAnywhere(rooms, candidate)
        ? pack(offersOf(allowed, candidate), candidate.taskIndexes)
        : assignments;
};
