import { largeGang, Tier, tierOf } from "./order.js";
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

/** Times that lost urgent work counts: others make way first. */
const urgentLossFactor = 20;

/** A large gang that was passed for long moves work that loses little by it: less important or small. */
const mayMove = (candidate: Candidate, occupant: Occupant): boolean => {
    const isSmall = occupant.tasks.length * occupant.resources.accelerators < largeGang;
    return tierOf(candidate) === Tier.Passed && occupant.resumable && occupant.priority > 0
        && (isSmall || occupant.priority > candidate.job.priority);
};

/** Urgent work takes the place of all that is not. */
const isUrgentOver = (candidate: Candidate, occupant: Occupant): boolean =>
    candidate.job.priority === 0 && occupant.priority > 0;

/** A due guarantee takes back whatever is lent; other work only what is less important and was not taken back often. */
const mayDisplace = (candidate: Candidate, occupant: Occupant): boolean => {
    const isLess = isUrgentOver(candidate, occupant) || mayMove(candidate, occupant);
    return !occupant.guaranteed && (candidate.guaranteed || (isLess && occupant.evictions < maxEvictions));
};

const lossOfOne = (occupant: Occupant): number =>
    occupant.lostCoreMs * (occupant.priority === 0 ? urgentLossFactor : 1);

/** Part of an occupant that runs on one worker. */
interface Presence {
    occupant: Occupant;
    taskCount: number;
}

/** Occupants by worker, those with the least lost work for each core that they free first. */
export type OccupantIndex = ReadonlyMap<string, readonly Presence[]>;

const pricePerCore = ({ occupant, taskCount }: Presence): number =>
    (lossOfOne(occupant) + 1) / (coresOf(occupant.resources) * taskCount);

/** Builds the index of a round. */
export const indexOccupants = (occupants: readonly Occupant[]): OccupantIndex => {
    const index = new Map<string, Presence[]>();
    for (const occupant of occupants) {
        const counts = new Map<string, number>();
        occupant.tasks.forEach(({ workerId }) => counts.set(workerId, (counts.get(workerId) ?? 0) + 1));
        for (const [workerId, taskCount] of counts) {
            const present = index.get(workerId) ?? [];
            present.push({ occupant, taskCount });
            index.set(workerId, present);
        }
    }
    index.forEach(present => present.sort((left, right) => pricePerCore(left) - pricePerCore(right)));
    return index;
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
const clearRoom = (
    room: Room,
    candidate: Candidate,
    wanted: number,
    present: readonly Presence[],
    chosen: ReadonlySet<Occupant>,
): Clearing => {
    const probe = { ...room, free: { ...room.free } };
    const victims: Occupant[] = [];
    let lostCoreMs = 0;
    for (const { occupant, taskCount } of present) {
        if (chosen.has(occupant)) {
            take(probe.free, occupant.resources, -taskCount);
        }
    }
    for (const { occupant, taskCount } of present) {
        if (countOn(probe, candidate) >= wanted) {
            break;
        }
        if (!chosen.has(occupant) && mayDisplace(candidate, occupant)) {
            victims.push(occupant);
            lostCoreMs += lossOfOne(occupant);
            take(probe.free, occupant.resources, -taskCount);
        }
    }
    return { room, count: Math.min(wanted, countOn(probe, candidate)), victims, lostCoreMs };
};

const costPerTask = (clearing: Clearing): number => clearing.lostCoreMs / clearing.count;

/** Takes workers in order of the loss for each task gained until all tasks have a place. */
const displaceIn = (
    group: readonly Room[],
    candidate: Candidate,
    index: OccupantIndex,
    taken: ReadonlySet<Occupant>,
): Displacement | undefined => {
    const wanted = candidate.taskIndexes.length;
    const none: readonly Presence[] = [];
    const clear = (room: Room, missing: number, chosen: ReadonlySet<Occupant>): Clearing =>
        clearRoom(room, candidate, missing, index.get(room.workerId) ?? none, chosen);
    const order = group
        .map(room => clear(room, wanted, taken))
        .filter(clearing => clearing.count > 0)
        .sort((left, right) => costPerTask(left) - costPerTask(right) || right.count - left.count);
    const chosen = new Set(taken);
    const victims: Occupant[] = [];
    const assignments: Assignment[] = [];
    for (const { room } of order) {
        // fewer tasks may be missing by now, and a gang taken elsewhere may have left this worker too
        const clearing = clear(room, wanted - assignments.length, chosen);
        clearing.victims.forEach(victim => chosen.add(victim));
        victims.push(...clearing.victims);
        for (let count = 0; count < clearing.count; count++) {
            assignments.push({ taskIndex: candidate.taskIndexes[assignments.length], workerId: room.workerId });
        }
        if (assignments.length === wanted) {
            return { victims, assignments };
        }
    }
    return undefined;
};

const lossOf = (displacement: Displacement): number =>
    displacement.victims.reduce((sum, victim) => sum + lossOfOne(victim), 0);

/** Takes a gang's own place back, worker by worker, and nothing beyond it. */
const reclaimCell = (
    rooms: readonly Room[],
    candidate: Candidate,
    cell: readonly string[],
    index: OccupantIndex,
    taken: ReadonlySet<Occupant>,
): Displacement | undefined => {
    const chosen = new Set(taken);
    const victims: Occupant[] = [];
    for (const workerId of new Set(cell)) {
        const room = rooms.find(other => other.workerId === workerId && other.usable);
        const wanted = cell.filter(other => other === workerId).length;
        const clearing = room && clearRoom(room, candidate, wanted, index.get(workerId) ?? [], chosen);
        if (clearing === undefined || clearing.count < wanted) {
            return undefined;
        }
        clearing.victims.forEach(victim => chosen.add(victim));
        victims.push(...clearing.victims);
    }
    return { victims, assignments: placeInCell(candidate, cell) };
};

/** Assigns the tasks of a gang to its own place. */
export const placeInCell = (candidate: Candidate, cell: readonly string[]): Assignment[] =>
    candidate.taskIndexes.map((taskIndex, position) => ({ taskIndex, workerId: cell[position] }));

/**
 * Finds the cheapest set of less important runs whose end makes room for all tasks of a candidate.
 *
 * @param taken runs that are taken back already; their room belongs to others
 */
export const findDisplacement = (
    rooms: readonly Room[],
    index: OccupantIndex,
    candidate: Candidate,
    taken: ReadonlySet<Occupant>,
): Displacement | undefined =>
    candidate.cell !== undefined
        ? reclaimCell(rooms, candidate, candidate.cell, index, taken)
        : gangGroups(rooms, candidate)
            .map(group => displaceIn(group, candidate, index, taken))
            .filter(displacement => displacement !== undefined)
            .sort((left, right) => lossOf(left) - lossOf(right))
            .at(0);
