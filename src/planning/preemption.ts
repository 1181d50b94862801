import { countOn, gangGroups } from "./placement.js";
import { coresOf, take } from "./resources.js";
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

/** What clearing one worker gains and costs. */
interface Clearing {
    room: Room;
    /** Tasks of the candidate that it takes then. */
    count: number;
    victims: Occupant[];
    lostCoreMs: number;
}

/** Empties one worker of the cheapest victims until it takes `wanted` tasks or nothing is left to take. */
const clearRoom = (room: Room, candidate: Candidate, wanted: number, occupants: readonly Occupant[]): Clearing => {
    const probe = copyRoom(room);
    const present = occupants
        .filter(occupant => tasksOn(occupant, room.workerId) > 0)
        .sort((left, right) => priceOn(left, room.workerId) - priceOn(right, room.workerId));
    const victims: Occupant[] = [];
    for (const occupant of present) {
        if (countOn(probe, candidate) >= wanted) {
            break;
        }
        victims.push(occupant);
        take(probe.free, occupant.resources, -tasksOn(occupant, room.workerId));
    }
    const count = Math.min(wanted, countOn(probe, candidate));
    return { room, count, victims, lostCoreMs: victims.reduce((sum, victim) => sum + victim.lostCoreMs, 0) };
};

const costPerTask = (clearing: Clearing): number => clearing.lostCoreMs / clearing.count;

/** Takes the worker with the least loss for each task gained, again and again until all tasks have a place. */
const displaceIn = (
    group: readonly Room[],
    candidate: Candidate,
    occupants: readonly Occupant[],
): Displacement | undefined => {
    let rooms = group.map(copyRoom);
    let left = [...occupants];
    const victims: Occupant[] = [];
    const assignments: Assignment[] = [];
    while (assignments.length < candidate.taskIndexes.length) {
        const missing = candidate.taskIndexes.length - assignments.length;
        const best = rooms
            .map(room => clearRoom(room, candidate, missing, left))
            .filter(clearing => clearing.count > 0)
            .sort((one, other) => costPerTask(one) - costPerTask(other) || other.count - one.count)
            .at(0);
        if (best === undefined) {
            return undefined;
        }
        const { room } = best;
        victims.push(...best.victims);
        left = left.filter(occupant => !best.victims.includes(occupant));
        rooms = rooms.filter(other => other !== room);
        const byId = new Map(rooms.map(other => [other.workerId, other]));
        best.victims.forEach(victim => giveBack(byId, victim));
        for (let taken = 0; taken < best.count; taken++) {
            assignments.push({ taskIndex: candidate.taskIndexes[assignments.length], workerId: room.workerId });
        }
    }
    return { victims, assignments };
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
