import type { Step, TaskResources } from "../jobs/types.js";
import { fitCount, occupiedBy } from "./resources.js";
import type { Assignment, Candidate, Room } from "./types.js";

/** Waiting time after which work that fills idle cores may run beside tasks that serve. */
const mixAfterMs = 1_200;
/** Waiting time after which work goes where it is slowed down, if most of the room is free. */
const leaveRackAfterMs = 1_500;
/** Share of the accelerators and cores in use up to which slowed-down work takes room from nobody. */
const idleShare = 0.5;

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

/** Whether slow work is better than none: it has waited, and what it takes would stand idle otherwise. */
const mayRunAnywhere = (rooms: readonly Room[], candidate: Candidate): boolean =>
    candidate.waitingMs > leaveRackAfterMs
    && shareInUse(rooms, resources => resources.accelerators) < idleShare
    && shareInUse(rooms, resources => resources.milliCores) < idleShare;

/** Groups of workers of which one must take all tasks of a gang, best kinds of group first. */
export const gangGroups = (rooms: readonly Room[], candidate: Candidate): Room[][] => {
    const allowed = rooms.filter(room => isAllowed(room, candidate));
    const near = allowed.filter(room => isNearData(room, candidate.step));
    const home = couldHold(near, candidate) ? near : allowed;
    if (mayRunAnywhere(rooms, candidate) && !fitsInto(gangGroupsOf(home, candidate), candidate)) {
        return [allowed];
    }
    return gangGroupsOf(home, candidate);
};

const fitsInto = (groups: readonly Room[][], candidate: Candidate): boolean =>
    groups.some(group => sumCounts(group, candidate) >= candidate.taskIndexes.length);

const gangGroupsOf = (home: readonly Room[], candidate: Candidate): Room[][] => {
    if (!candidate.step.sameRack) {
        return [[...home]];
    }
    const racks = groupBy(home, room => room.rack).filter(rack => couldHold(rack, candidate));
    return racks.length > 0 ? racks : [[...home]];
};

const leftoverOf = (room: Room, candidate: Candidate): number =>
    room.free.accelerators - candidate.step.resources.accelerators * countOn(room, candidate);

/** Sound workers first, then those that fill up exactly, then the fullest, so that whole workers stay free. */
const preferRooms = (rooms: readonly Room[], candidate: Candidate): Room[] =>
    rooms
        .filter(room => countOn(room, candidate) > 0)
        .sort((left, right) =>
            Number(candidate.avoid.has(left.workerId)) - Number(candidate.avoid.has(right.workerId))
            || left.suspicion - right.suspicion
            || Number(!mixesWell(left, candidate)) - Number(!mixesWell(right, candidate))
            || leftoverOf(left, candidate) - leftoverOf(right, candidate)
            || left.free.accelerators - right.free.accelerators
            || left.free.milliCores - right.free.milliCores
            || (left.workerId < right.workerId ? -1 : 1)
        );

/** Packs tasks onto workers in order of preference; shorter than asked for when they do not all fit. */
const pack = (rooms: readonly Room[], candidate: Candidate, taskIndexes: readonly number[]): Assignment[] => {
    const assignments: Assignment[] = [];
    for (const room of rooms) {
        const count = Math.min(countOn(room, candidate), taskIndexes.length - assignments.length);
        for (let taken = 0; taken < count; taken++) {
            assignments.push({ taskIndex: taskIndexes[assignments.length], workerId: room.workerId });
        }
    }
    return assignments;
};

const suspicionOf = (assignments: readonly Assignment[], rooms: readonly Room[]): number => {
    const used = new Set(assignments.map(assignment => assignment.workerId));
    return rooms.reduce((worst, room) => used.has(room.workerId) ? Math.max(worst, room.suspicion) : worst, 0);
};

/** Finds workers for all tasks of a gang, or none. */
export const placeGang = (rooms: readonly Room[], candidate: Candidate): Assignment[] | undefined => {
    const wanted = candidate.taskIndexes.length;
    const options = gangGroups(rooms, candidate)
        .map(group => group.filter(room => mixesWell(room, candidate)))
        .map(group => ({ group, count: sumCounts(group, candidate) }))
        .filter(option => option.count >= wanted)
        .map(option => ({
            count: option.count,
            assignments: pack(preferRooms(option.group, candidate), candidate, candidate.taskIndexes),
        }))
        .map(option => ({ ...option, suspicion: suspicionOf(option.assignments, rooms) }))
        .sort((left, right) => left.suspicion - right.suspicion || left.count - right.count);
    return options.at(0)?.assignments;
};

/** Finds workers for as many independent tasks as possible. */
export const placeTasks = (rooms: readonly Room[], candidate: Candidate): Assignment[] => {
    const allowed = rooms.filter(room => isAllowed(room, candidate) && mixesWell(room, candidate));
    const near = allowed.filter(room => isNearData(room, candidate.step));
    const assignments = pack(preferRooms(near, candidate), candidate, candidate.taskIndexes);
    return assignments.length === 0 && mayRunAnywhere(rooms, candidate)
        ? pack(preferRooms(allowed, candidate), candidate, candidate.taskIndexes)
        : assignments;
};
