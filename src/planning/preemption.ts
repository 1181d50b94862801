import { countOn, gangGroups } from "./placement.js";
import { coresOf, fitCount, occupiedBy, take } from "./resources.js";
import type { Assignment, Candidate, Occupant, Room } from "./types.js";

/** Runs to take back, and the room that this makes. */
export interface Displacement {
    victims: Occupant[];
    assignments: Assignment[];
}

/** Times that runs of a step may be taken back before it is left alone. */
const maxEvictions = 3;

const mayDisplace = (candidate: Candidate, occupant: Occupant): boolean =>
    occupant.priority > candidate.job.priority && (candidate.guaranteed || occupant.evictions < maxEvictions);

const copyRoom = (room: Room): Room => ({ ...room, free: { ...room.free } });

const tasksOn = (occupant: Occupant, workerId: string): number =>
    occupant.tasks.filter(task => task.workerId === workerId).length;

/** Lost work for each core that a victim frees on a worker. */
const priceOn = (occupant: Occupant, workerId: string): number =>
    (occupant.lostCoreMs + 1) / (coresOf(occupant.resources) * Math.max(1, tasksOn(occupant, workerId)));

const giveBack = (rooms: ReadonlyMap<string, Room>, occupant: Occupant): void => {
    for (const task of occupant.tasks) {
        const room = rooms.get(task.workerId);
        if (room !== undefined) {
            take(room.free, occupant.resources, -1);
        }
    }
};

/** Empties one worker of the cheapest victims until it takes `wanted` tasks or nothing is left to take. */
const clearRoom = (
    room: Room,
    candidate: Candidate,
    wanted: number,
    occupants: readonly Occupant[],
    chosen: Set<Occupant>,
    rooms: ReadonlyMap<string, Room>,
): number => {
    const present = occupants
        .filter(occupant => !chosen.has(occupant) && tasksOn(occupant, room.workerId) > 0)
        .sort((left, right) => priceOn(left, room.workerId) - priceOn(right, room.workerId));
    for (const occupant of present) {
        if (countOn(room, candidate) >= wanted) {
            break;
        }
        chosen.add(occupant);
        giveBack(rooms, occupant);
    }
    return Math.min(wanted, countOn(room, candidate));
};

const emptiedCount = (room: Room, candidate: Candidate, occupants: readonly Occupant[]): number => {
    const probe = copyRoom(room);
    for (const occupant of occupants) {
        take(probe.free, occupant.resources, -tasksOn(occupant, room.workerId));
    }
    return Math.min(
        fitCount(probe.free, occupiedBy(candidate.step)),
        (candidate.step.maxPerWorker ?? Number.POSITIVE_INFINITY) - (candidate.runningOn.get(room.workerId) ?? 0),
    );
};

const displaceIn = (
    group: readonly Room[],
    candidate: Candidate,
    occupants: readonly Occupant[],
): Displacement | undefined => {
    const copies = group.map(copyRoom);
    const byId = new Map(copies.map(room => [room.workerId, room]));
    const chosen = new Set<Occupant>();
    const assignments: Assignment[] = [];
    const wanted = candidate.taskIndexes.length;
    const order = copies
        .map(room => ({ room, free: countOn(room, candidate), emptied: emptiedCount(room, candidate, occupants) }))
        .filter(entry => entry.emptied > 0)
        .sort((left, right) => right.free - left.free || right.emptied - left.emptied);
    for (const { room } of order) {
        const missing = wanted - assignments.length;
        const count = clearRoom(room, candidate, missing, occupants, chosen, byId);
        for (let taken = 0; taken < count; taken++) {
            assignments.push({ taskIndex: candidate.taskIndexes[assignments.length], workerId: room.workerId });
        }
        take(room.free, occupiedBy(candidate.step), count);
        if (assignments.length === wanted) {
            return { victims: [...chosen], assignments };
        }
    }
    return undefined;
};

const lossOf = (displacement: Displacement): number =>
    displacement.victims.reduce((sum, victim) => sum + victim.lostCoreMs, 0);

/** Finds the cheapest set of less important runs whose end makes room for all tasks of a candidate. */
export const findDisplacement = (
    rooms: readonly Room[],
    occupants: readonly Occupant[],
    candidate: Candidate,
): Displacement | undefined => {
    const allowed = occupants.filter(occupant => mayDisplace(candidate, occupant));
    return gangGroups(rooms, candidate)
        .map(group => displaceIn(group, candidate, allowed))
        .filter(displacement => displacement !== undefined)
        .sort((left, right) => lossOf(left) - lossOf(right))
        .at(0);
};
