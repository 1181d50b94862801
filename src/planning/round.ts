import { orderCandidates, Tier, tierOf } from "./order.js";
import { gangGroups, isMostlyIdle, leaveRackAfterMs, mixAfterMs, placeGang, placeTasks } from "./placement.js";
import { findDisplacement, indexOccupants } from "./preemption.js";
import type { OccupantIndex } from "./preemption.js";
import { fitCount, occupiedBy, take } from "./resources.js";
import type { Assignment, Candidate, Occupant, Room, RoomClaim, Round } from "./types.js";

/** What a planning round works on; `free` of the rooms is changed by it. */
export interface RoundInput {
    nowMs: number;
    rooms: Room[];
    candidates: readonly Candidate[];
    /** Runs that can be taken back; asked for when something finds no room. */
    occupants: () => readonly Occupant[];
    /** Room kept since earlier rounds. */
    claims: readonly RoomClaim[];
    /** Accelerators that work of priority 0 is expected to ask for soon, beyond what it uses now. */
    expectedUrgent: number;
}

/** A claim whose room has not come free by then is given up: a stop takes 0.2 s, its answer up to 1 s. */
const maxClaimMs = 1_500;
/** Blocked gangs for which workers are kept free of later work at the same time. */
const maxReservations = 2;
/** Waiting time after which a blocked gang gets such workers. */
const reserveAfterMs = 700;

const occupy = (rooms: ReadonlyMap<string, Room>, candidate: Candidate, assignments: readonly Assignment[]): void => {
    for (const assignment of assignments) {
        const room = rooms.get(assignment.workerId);
        if (room !== undefined) {
            take(room.free, occupiedBy(candidate.step), 1);
            room.hasServing ||= candidate.step.targetMs !== undefined;
            room.hasFilling ||= candidate.step.fillsIdleCores;
        }
    }
};

const holdClaim = (rooms: ReadonlyMap<string, Room>, claim: RoomClaim, sign: 1 | -1): void => {
    for (const assignment of claim.assignments) {
        const room = rooms.get(assignment.workerId);
        if (room !== undefined) {
            take(room.free, claim.resources, sign);
        }
    }
};

const isKept = (claim: RoomClaim, input: RoundInput, rooms: ReadonlyMap<string, Room>): boolean =>
    input.nowMs - claim.madeAtMs <= maxClaimMs
    && input.candidates.some(candidate => candidate.key === claim.key)
    && claim.assignments.every(assignment => rooms.get(assignment.workerId)?.usable === true);

/** Whether the claimed workers have room for all claimed tasks at once. */
const isClaimFree = (rooms: ReadonlyMap<string, Room>, claim: RoomClaim): boolean => {
    const needed = new Map<string, number>();
    claim.assignments.forEach(({ workerId }) => needed.set(workerId, (needed.get(workerId) ?? 0) + 1));
    return [...needed].every(([workerId, count]) => {
        const room = rooms.get(workerId);
        return room !== undefined && fitCount(room.free, claim.resources) >= count;
    });
};

/** Whether less important work makes way for a candidate. */
const mayDisplaceOthers = (candidate: Candidate): boolean =>
    candidate.guaranteed || tierOf(candidate) === Tier.Passed
    || (candidate.job.priority === 0 && tierOf(candidate) <= Tier.Urgent);

/** Whether a gang needs a whole worker or more; smaller ones find their place among what ends. */
const needsWholeWorker = (rooms: readonly Room[], { step }: Candidate): boolean => {
    const largest = rooms.reduce((most, room) => Math.max(most, room.capacity.accelerators), 0);
    return step.taskCount * step.resources.accelerators >= largest;
};

/** Workers of a group that a blocked gang is to have, those with most room first. */
const roomsToReserve = (group: readonly Room[], candidate: Candidate): Room[] => {
    const byFree = [...group].sort((left, right) =>
        right.free.accelerators - left.free.accelerators || left.busyForMs - right.busyForMs
    );
    const chosen: Room[] = [];
    let missing = candidate.taskIndexes.length;
    for (const room of byFree) {
        if (missing <= 0) {
            break;
        }
        missing -= Math.max(1, fitCount(room.capacity, occupiedBy(candidate.step)));
        chosen.push(room);
    }
    return chosen;
};

/** Keeps the group that is nearest to taking a blocked gang free of later work that would not end in time. */
const reserveGroup = (rooms: readonly Room[], candidate: Candidate): void => {
    const options = gangGroups(rooms, candidate)
        .map(group => roomsToReserve(group, candidate))
        .map(chosen => ({
            chosen,
            accelerators: chosen.reduce((sum, room) => sum + room.free.accelerators, 0),
            startsInMs: Math.max(0, ...chosen.map(room => room.busyForMs)),
        }))
        .sort((left, right) => left.startsInMs - right.startsInMs || right.accelerators - left.accelerators);
    const { chosen = [], startsInMs = 0 } = options.at(0) ?? {};
    chosen.forEach(room => {
        room.openForMs = Math.min(room.openForMs, startsInMs);
    });
};

/**
 * Remembers work that found no place in a round, so that a backlog of like work is not looked at again and again. What
 * is free only shrinks within a round, but for claims that are used by those they were made for.
 */
const createHopeless = () => {
    const seen = new Map<string, number>();
    const kindOf = ({ step, job, guaranteed, avoid, avoidsStrictly, runningOn, waitingMs }: Candidate): string =>
        JSON.stringify([
            waitingMs > leaveRackAfterMs,
            waitingMs > mixAfterMs,
            step.resources,
            step.gang,
            step.adjacency,
            step.mayBeSpread,
            step.dataRack,
            step.requiredLabel,
            step.maxPerWorker,
            job.service,
            job.priority,
            guaranteed,
            avoidsStrictly ? [...avoid] : [],
            step.maxPerWorker === undefined ? [] : [...runningOn],
        ]);
    return {
        add: (candidate: Candidate): void => {
            const kind = kindOf(candidate);
            const size = candidate.step.gang ? candidate.taskIndexes.length : 0;
            seen.set(kind, Math.min(size, seen.get(kind) ?? Number.POSITIVE_INFINITY));
        },
        /** Whether like work of at most the same size found no place. */
        has: (candidate: Candidate): boolean =>
            (candidate.step.gang ? candidate.taskIndexes.length : 0)
                >= (seen.get(kindOf(candidate)) ?? Number.POSITIVE_INFINITY),
    };
};

const isWhole = (room: Room): boolean => room.usable && room.free.accelerators === room.capacity.accelerators;

/** Keeps whole workers, those of one rack together, for a burst of urgent work: it then displaces less. */
const keepForUrgent = (rooms: readonly Room[], accelerators: number): void => {
    const racks = new Map<string, Room[]>();
    rooms.filter(isWhole).forEach(room => racks.set(room.rack, [...racks.get(room.rack) ?? [], room]));
    const bySize = [...racks.values()].sort((left, right) => right.length - left.length);
    let missing = accelerators;
    for (const room of bySize.flat()) {
        if (missing <= 0) {
            return;
        }
        room.keptForUrgent = true;
        missing -= room.capacity.accelerators;
    }
};

/** Decides what starts where, and what is taken back for it. */
export const planRound = (input: RoundInput): Round => {
    const rooms = new Map(input.rooms.map(room => [room.workerId, room]));
    const round: Round = { placements: [], evictions: [], claims: [] };
    const claims = new Map(
        input.claims.filter(claim => isKept(claim, input, rooms)).map(claim => [claim.key, claim]),
    );
    const due = new Set(input.candidates.filter(candidate => candidate.guaranteed).map(candidate => candidate.key));
    const holdClaims = (ofDue: boolean): void =>
        claims.forEach(claim => due.has(claim.key) === ofDue && holdClaim(rooms, claim, 1));
    holdClaims(true);
    let occupants: OccupantIndex | undefined;
    const hopeless = createHopeless();
    const evicted = new Set<Occupant>();
    let reservations = 0;

    const placeAt = (candidate: Candidate, assignments: Assignment[]): void => {
        occupy(rooms, candidate, assignments);
        round.placements.push({ candidate, assignments });
    };

    const useClaim = (candidate: Candidate, claim: RoomClaim): boolean => {
        holdClaim(rooms, claim, -1);
        if (isClaimFree(rooms, claim)) {
            claims.delete(candidate.key);
            placeAt(candidate, claim.assignments);
            return true;
        }
        holdClaim(rooms, claim, 1);
        return false;
    };

    const displace = (candidate: Candidate): boolean => {
        occupants ??= indexOccupants(input.occupants());
        const displacement = findDisplacement(input.rooms, occupants, candidate, evicted);
        if (displacement === undefined) {
            return false;
        }
        displacement.victims.forEach(victim => {
            evicted.add(victim);
            round.evictions.push({ occupant: victim, forKey: candidate.key });
        });
        const claim: RoomClaim = {
            key: candidate.key,
            resources: occupiedBy(candidate.step),
            assignments: displacement.assignments,
            madeAtMs: input.nowMs,
        };
        claims.set(candidate.key, claim);
        holdClaim(rooms, claim, 1);
        return true;
    };

    /** Reclaiming needs no victims where the place is free. */
    const decideInCell = (candidate: Candidate): void => {
        displace(candidate);
        const claim = claims.get(candidate.key);
        if (claim !== undefined) {
            useClaim(candidate, claim);
        }
    };

    const decideGang = (candidate: Candidate): void => {
        if (!hopeless.has(candidate)) {
            const assignments = placeGang(input.rooms, candidate);
            if (assignments !== undefined) {
                placeAt(candidate, assignments);
                return;
            }
            if (mayDisplaceOthers(candidate) && displace(candidate)) {
                return;
            }
            hopeless.add(candidate);
        }
        const mayReserve = reservations < maxReservations
            && candidate.waitingMs > reserveAfterMs;
        if (mayReserve && needsWholeWorker(input.rooms, candidate) && tierOf(candidate) < Tier.Useless) {
            reservations += 1;
            reserveGroup(input.rooms, candidate);
        }
    };

    const decideTasks = (candidate: Candidate): void => {
        if (hopeless.has(candidate)) {
            return;
        }
        const assignments = placeTasks(input.rooms, candidate);
        if (assignments.length > 0) {
            placeAt(candidate, assignments);
        }
        const placed = new Set(assignments.map(assignment => assignment.taskIndex));
        const rest = { ...candidate, taskIndexes: candidate.taskIndexes.filter(index => !placed.has(index)) };
        if (rest.taskIndexes.length > 0 && !(mayDisplaceOthers(candidate) && displace(rest))) {
            hopeless.add(candidate);
        }
    };

    let kept = false;
    let othersHeld = false;
    for (const candidate of orderCandidates(input.candidates)) {
        if (!candidate.guaranteed && !othersHeld) {
            // due guarantees are not held up by what others have claimed
            othersHeld = true;
            holdClaims(false);
        }
        if (candidate.job.priority > 0 && !kept) {
            kept = true;
            // while most of the room is idle a burst finds some anyway, and waiting work must not stand still for it
            if (!isMostlyIdle(input.rooms)) {
                keepForUrgent(input.rooms, input.expectedUrgent);
            }
        }
        const claim = claims.get(candidate.key);
        if (claim !== undefined) {
            useClaim(candidate, claim);
        }
        else if (candidate.cell !== undefined) {
            decideInCell(candidate);
        }
        else if (candidate.step.gang) {
            decideGang(candidate);
        }
        else {
            decideTasks(candidate);
        }
    }
    round.claims = [...claims.values()];
    return round;
};
