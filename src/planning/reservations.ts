import type { TaskResources } from "../jobs/types.js";
import type { GuaranteedGang } from "../queues/types.js";
import { placeGangs } from "./emptyFleet.js";
import { fitCount, occupiedBy, subtractResources } from "./resources.js";
import type { WorkerInfo } from "./types.js";

/** Reserved worker of each task of a guaranteed gang, by the gang's name; no two reservations overlap. */
export type Reservations = ReadonlyMap<string, readonly string[]>;

/** Reservations at the end of a planning round. */
export interface ReservationState {
    reservations: Reservations;
    /** Gangs whose reservations are claimed by jobs; these are not moved to idle capacity. */
    claimed: ReadonlySet<string>;
    /** Claimed gangs whose jobs run; they retain their reservation even while a worker does not answer. */
    running: ReadonlySet<string>;
}

/** State before the first round. */
export const noReservations: ReservationState = { reservations: new Map(), claimed: new Set(), running: new Set() };

const gangAccelerators = ({ step }: GuaranteedGang): number => step.taskCount * step.resources.accelerators;

const byImportance = (left: GuaranteedGang, right: GuaranteedGang): number =>
    Number(right.holdsWithZoneOut) - Number(left.holdsWithZoneOut) || gangAccelerators(right) - gangAccelerators(left)
    || (left.name < right.name ? -1 : 1);

/**
 * Reserves usable workers for every guaranteed gang; a reservation stays while its workers are usable. As reservations
 * do not overlap, each guarantee can be reclaimed whichever capacity borrowers use.
 */
export const assignReservations = (
    gangs: readonly GuaranteedGang[],
    workers: readonly WorkerInfo[],
    previous: ReservationState,
): Reservations => {
    const usable = workers.filter(worker => worker.usable);
    const usableIds = new Set(usable.map(worker => worker.workerId));
    const kept = new Map<string, readonly string[]>();
    for (const gang of gangs) {
        const workerIds = previous.reservations.get(gang.name);
        const allUsable = workerIds?.every(workerId => usableIds.has(workerId)) === true;
        if (workerIds?.length === gang.step.taskCount && (allUsable || previous.running.has(gang.name))) {
            kept.set(gang.name, workerIds);
        }
    }
    const facts = usable.map(({ workerId, availabilityZone, rack, capacity }) => ({
        name: workerId,
        availabilityZone,
        rack,
        capacity,
    }));
    const unassigned = gangs.filter(gang => !kept.has(gang.name));
    if (unassigned.length === 0) {
        return kept;
    }
    const added = placeGangs(unassigned.sort(byImportance), facts, gangs.filter(gang => kept.has(gang.name)), kept);
    if (added.size === unassigned.length) {
        return new Map([...kept, ...added]);
    }
    // reservations without a running job may block other gangs, so they are reassigned, the most important gangs first
    const running = gangs.filter(gang => kept.has(gang.name) && previous.running.has(gang.name));
    const reassignable = gangs.filter(gang => !running.includes(gang));
    const reassigned = placeGangs([...reassignable].sort(byImportance), facts, running, kept);
    return reassigned.size + running.length > kept.size + added.size
        ? new Map([...running.map(gang => [gang.name, kept.get(gang.name) ?? []] as const), ...reassigned])
        : new Map([...kept, ...added]);
};

const countByWorker = (workerIds: readonly string[]): Map<string, number> => {
    const counts = new Map<string, number>();
    workerIds.forEach(workerId => counts.set(workerId, (counts.get(workerId) ?? 0) + 1));
    return counts;
};

const addResources = (left: TaskResources, right: TaskResources): TaskResources => ({
    milliCores: left.milliCores + right.milliCores,
    memoryMb: left.memoryMb + right.memoryMb,
    accelerators: left.accelerators + right.accelerators,
});

/** Whether reclaiming a reservation loses little work: the runs to preempt there can be resumed elsewhere. */
const isCheapToReclaim = (
    workerIds: readonly string[],
    { step }: GuaranteedGang,
    workers: ReadonlyMap<string, WorkerInfo>,
): boolean =>
    [...countByWorker(workerIds)].every(([worker, count]) => {
        const state = workers.get(worker);
        return state !== undefined && fitCount(addResources(state.free, state.migratable), occupiedBy(step)) >= count;
    });

const minResources = (left: TaskResources, right: TaskResources): TaskResources => ({
    milliCores: Math.min(left.milliCores, right.milliCores),
    memoryMb: Math.min(left.memoryMb, right.memoryMb),
    accelerators: Math.min(left.accelerators, right.accelerators),
});

/**
 * Moves unclaimed reservations away from runs that would lose their work, to capacity that is free or used by runs that
 * can be resumed elsewhere. Without this, borrowers that fill all reserved capacity would make every reclaim costly.
 */
export const moveUnclaimedReservations = (
    gangs: readonly GuaranteedGang[],
    workers: readonly WorkerInfo[],
    reservations: Reservations,
    claimed: ReadonlySet<string>,
): Reservations => {
    const byId = new Map(workers.map(worker => [worker.workerId, worker]));
    const costly = gangs.filter(gang => {
        const workerIds = reservations.get(gang.name);
        return workerIds !== undefined && !claimed.has(gang.name) && !isCheapToReclaim(workerIds, gang, byId);
    });
    if (costly.length === 0) {
        return reservations;
    }
    const moved = new Map(reservations);
    const unreserved = new Map(workers.map(worker => [worker.workerId, { ...worker.capacity }]));
    const setReserved = (gang: GuaranteedGang, sign: 1 | -1): void =>
        countByWorker(moved.get(gang.name) ?? []).forEach((count, workerId) => {
            const remaining = unreserved.get(workerId);
            if (remaining !== undefined) {
                subtractResources(remaining, occupiedBy(gang.step), sign * count);
            }
        });
    gangs.forEach(gang => setReserved(gang, 1));
    const usable = workers.filter(worker => worker.usable);
    for (const gang of costly) {
        setReserved(gang, -1);
        const facts = usable.map(({ workerId, availabilityZone, rack, free, migratable }) => ({
            name: workerId,
            availabilityZone,
            rack,
            capacity: minResources(addResources(free, migratable), unreserved.get(workerId) ?? free),
        }));
        const workerIds = placeGangs([gang], facts).get(gang.name);
        if (workerIds !== undefined) {
            moved.set(gang.name, workerIds);
        }
        setReserved(gang, 1);
    }
    return moved;
};
