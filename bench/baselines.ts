/** Policies of ours that the planner is compared with. */
import { placeGang } from "../src/planning/placement.js";
import type { Reservations } from "../src/planning/reservations.js";
import { occupiedBy, subtractResources } from "../src/planning/resources.js";
import type { RoundInput } from "../src/planning/round.js";
import type { Candidate, Room, Round } from "../src/planning/types.js";

/** A policy for one round; `cells` are the places of all guarantees, `holders` the customers that have one. */
export type Policy = (input: RoundInput, cells: Reservations, holders: ReadonlySet<string>) => Round;

const inOrder = (
    input: RoundInput,
    roomsFor: (candidate: Candidate) => Room[],
    lineOf: (candidate: Candidate) => string | undefined,
): Round => {
    const round: Round = { placements: [], evictions: [], claims: [] };
    const byId = new Map(input.workers.map(room => [room.workerId, room]));
    const blocked = new Set<string>();
    const byAge = [...input.candidates].sort((left, right) => left.job.acceptedAtMs - right.job.acceptedAtMs);
    for (const candidate of byAge) {
        const line = lineOf(candidate);
        const assignments = line !== undefined && blocked.has(line)
            ? undefined
            : placeGang(roomsFor(candidate), { ...candidate, reservedWorkers: undefined });
        if (assignments !== undefined) {
            round.placements.push({ candidate, assignments });
            assignments.forEach(({ workerId }) => {
                const room = byId.get(workerId);
                if (room !== undefined) {
                    subtractResources(room.free, occupiedBy(candidate.step), 1);
                }
            });
        }
        else if (line !== undefined) {
            blocked.add(line);
        }
    }
    return round;
};

/** First come, first served on anything free; nothing is ever taken back. */
export const naiveBorrowing: Policy = input => inOrder(input, () => input.workers, () => undefined);

/** Accelerators that are kept for guarantees, by worker. */
const countKept = (cells: Reservations): Map<string, number> => {
    const kept = new Map<string, number>();
    [...cells.values()].flat().forEach(worker => kept.set(worker, (kept.get(worker) ?? 0) + 1));
    return kept;
};

/**
 * First come, first served; nobody lends: holders of guarantees run on workers with places of guarantees, the others
 * elsewhere. Each customer's oldest job holds up its later ones.
 */
export const withoutBorrowing: Policy = (input, cells, holders) => {
    const kept = countKept(cells);
    const share = (isHolder: boolean): Room[] => input.workers.filter(room => kept.has(room.workerId) === isHolder);
    const shares = { own: share(true), rest: share(false) };
    return inOrder(
        input,
        ({ job }) => holders.has(job.customer ?? "") ? shares.own : shares.rest,
        ({ job }) => job.customer,
    );
};
