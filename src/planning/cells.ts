import type { TaskResources } from "../jobs/types.js";
import type { GuaranteedGang } from "../queues/types.js";
import { findPlaces } from "./emptyFleet.js";
import { fitCount, occupiedBy, take } from "./resources.js";
import type { Room } from "./types.js";

/** Worker of each task of a guaranteed gang, by the gang's name; the places of all gangs are disjoint. */
export type Cells = ReadonlyMap<string, readonly string[]>;

/** Places as a round left them. */
export interface Places {
    cells: Cells;
    /** Gangs whose places jobs claim; these do not move to idle room. */
    claimed: ReadonlySet<string>;
    /** Those of them whose jobs run; their places stay, also while a worker does not answer. */
    running: ReadonlySet<string>;
}

/** No places yet. */
export const noPlaces: Places = { cells: new Map(), claimed: new Set(), running: new Set() };

const sizeOf = ({ step }: GuaranteedGang): number => step.taskCount * step.resources.accelerators;

const byImportance = (left: GuaranteedGang, right: GuaranteedGang): number =>
    Number(right.holdsWithZoneOut) - Number(left.holdsWithZoneOut) || sizeOf(right) - sizeOf(left)
    || (left.name < right.name ? -1 : 1);

/**
 * Gives every guaranteed gang a place of its own among the usable workers; a place stays while its workers are usable.
 * Answers the load pattern of lent room: a guarantee whose place is its own is reclaimed by bookkeeping, not by luck.
 */
export const assignCells = (gangs: readonly GuaranteedGang[], rooms: readonly Room[], before: Places): Cells => {
    const usable = rooms.filter(room => room.usable);
    const names = new Set(usable.map(room => room.workerId));
    const kept = new Map<string, readonly string[]>();
    for (const gang of gangs) {
        const place = before.cells.get(gang.name);
        const isUsable = place?.every(worker => names.has(worker)) === true;
        if (place?.length === gang.step.taskCount && (isUsable || before.running.has(gang.name))) {
            kept.set(gang.name, place);
        }
    }
    const facts = usable.map(({ workerId, availabilityZone, rack, capacity }) => ({
        name: workerId,
        availabilityZone,
        rack,
        capacity,
    }));
    const open = gangs.filter(gang => !kept.has(gang.name));
    if (open.length === 0) {
        return kept;
    }
    const added = findPlaces(open.sort(byImportance), facts, gangs.filter(gang => kept.has(gang.name)), kept);
    if (added.size === open.length) {
        return new Map([...kept, ...added]);
    }
    // unused places stand in the way of others, so they are given anew, the important ones first
    const used = gangs.filter(gang => kept.has(gang.name) && before.running.has(gang.name));
    const unused = gangs.filter(gang => !used.includes(gang));
    const anew = findPlaces([...unused].sort(byImportance), facts, used, kept);
    return anew.size + used.length > kept.size + added.size
        ? new Map([...used.map(gang => [gang.name, kept.get(gang.name) ?? []] as const), ...anew])
        : new Map([...kept, ...added]);
};

const countOn = (place: readonly string[]): Map<string, number> => {
    const counts = new Map<string, number>();
    place.forEach(worker => counts.set(worker, (counts.get(worker) ?? 0) + 1));
    return counts;
};

const add = (left: TaskResources, right: TaskResources): TaskResources => ({
    milliCores: left.milliCores + right.milliCores,
    memoryMb: left.memoryMb + right.memoryMb,
    accelerators: left.accelerators + right.accelerators,
});

/** Whether a place costs little to take back: what runs there goes on elsewhere. */
const isCheap = (place: readonly string[], { step }: GuaranteedGang, rooms: ReadonlyMap<string, Room>): boolean =>
    [...countOn(place)].every(([worker, count]) => {
        const room = rooms.get(worker);
        return room !== undefined && fitCount(add(room.free, room.movable), occupiedBy(step)) >= count;
    });

const lower = (left: TaskResources, right: TaskResources): TaskResources => ({
    milliCores: Math.min(left.milliCores, right.milliCores),
    memoryMb: Math.min(left.memoryMb, right.memoryMb),
    accelerators: Math.min(left.accelerators, right.accelerators),
});

/**
 * Moves places that nobody uses, and that are lent to work which would be lost, to room that is free or lent to work
 * that goes on elsewhere. Answers the load pattern of borrowers that fill whatever is lent.
 */
export const moveIdleCells = (
    gangs: readonly GuaranteedGang[],
    rooms: readonly Room[],
    cells: Cells,
    claimed: ReadonlySet<string>,
): Cells => {
    const byId = new Map(rooms.map(room => [room.workerId, room]));
    const idle = gangs.filter(gang => {
        const place = cells.get(gang.name);
        return place !== undefined && !claimed.has(gang.name) && !isCheap(place, gang, byId);
    });
    if (idle.length === 0) {
        return cells;
    }
    const moved = new Map(cells);
    const unreserved = new Map(rooms.map(room => [room.workerId, { ...room.capacity }]));
    const reserve = (gang: GuaranteedGang, sign: 1 | -1): void =>
        countOn(moved.get(gang.name) ?? []).forEach((count, worker) => {
            const left = unreserved.get(worker);
            if (left !== undefined) {
                take(left, occupiedBy(gang.step), sign * count);
            }
        });
    gangs.forEach(gang => reserve(gang, 1));
    const usable = rooms.filter(room => room.usable);
    for (const gang of idle) {
        reserve(gang, -1);
        const facts = usable.map(({ workerId, availabilityZone, rack, free, movable }) => ({
            name: workerId,
            availabilityZone,
            rack,
            capacity: lower(add(free, movable), unreserved.get(workerId) ?? free),
        }));
        const place = findPlaces([gang], facts).get(gang.name);
        if (place !== undefined) {
            moved.set(gang.name, place);
        }
        reserve(gang, 1);
    }
    return moved;
};
