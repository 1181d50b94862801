import { assert } from "chai";
import fc from "fast-check";
import { Adjacency } from "../src/configuration/types.js";
import { assignReservations, noReservations } from "../src/planning/reservations.js";
import type { Reservations } from "../src/planning/reservations.js";
import { planRound } from "../src/planning/round.js";
import type { Candidate, Occupant, WorkerInfo } from "../src/planning/types.js";
import type { GuaranteedGang } from "../src/queues/types.js";
import { createStep } from "./fixtures/fleet.js";
import { addOccupant, createCandidate, createRacks, createRoundInput } from "./fixtures/planning.js";

const gangOf = (name: string, taskCount: number, holdsWithZoneOut = false): GuaranteedGang => ({
    name,
    step: createStep({
        taskCount,
        gang: true,
        adjacency: Adjacency.Rack,
        resources: { milliCores: 1_000, memoryMb: 1_000, accelerators: 1 },
    }),
    holdsWithZoneOut,
});

const gangs = [gangOf("alpha#0", 16, true), gangOf("alpha#1", 16), gangOf("beta#0", 8), gangOf("beta#1", 8)];
const rackSize = 3;

/** Running work: on the reservation of `gang`, or on borrowed capacity. */
interface RunningWork {
    occupant: Occupant;
    gang?: string;
}

interface FleetState {
    workers: WorkerInfo[];
    reservations: Reservations;
    running: RunningWork[];
}

const updateFreeResources = (state: FleetState): void => {
    state.workers.forEach(worker => {
        worker.free = { ...worker.capacity };
    });
    for (const { occupant } of state.running) {
        for (const { workerId } of occupant.tasks) {
            const worker = state.workers.find(candidate => candidate.workerId === workerId);
            if (worker !== undefined) {
                worker.free.accelerators -= occupant.resources.accelerators;
                worker.free.milliCores -= occupant.resources.milliCores;
                worker.free.memoryMb -= occupant.resources.memoryMb;
            }
        }
    }
};

const guaranteedCandidate = (state: FleetState, gang: GuaranteedGang): Candidate =>
    createCandidate(gang.name, {
        taskCount: gang.step.taskCount,
        priority: 2,
        gang: true,
        guaranteed: true,
        reservedWorkers: state.reservations.get(gang.name),
        step: gang.step,
    });

/** Assigns reservations after a change of the workers; work whose reservation has moved counts as borrowing. */
const reassign = (state: FleetState): void => {
    const previous = state.reservations;
    const claimed = new Set(state.running.flatMap(({ gang }) => gang ?? []));
    state.reservations = assignReservations([...gangs], state.workers, {
        reservations: previous,
        claimed,
        running: claimed,
    });
    for (const running of state.running) {
        const reservedWorkers = running.gang === undefined ? undefined : state.reservations.get(running.gang);
        const isOnReservation = reservedWorkers !== undefined
            && running.occupant.tasks.every(task => reservedWorkers.includes(task.workerId));
        running.gang = isOnReservation ? running.gang : undefined;
        running.occupant.guaranteed = isOnReservation;
    }
};

const unclaimedGangs = (state: FleetState): GuaranteedGang[] =>
    gangs.filter(gang =>
        state.reservations.has(gang.name) && !state.running.some(running => running.gang === gang.name)
    );

/** Asserts that every unused guarantee can claim its whole reservation at once, whatever runs there. */
const assertReclaimable = (state: FleetState): void => {
    for (const gang of unclaimedGangs(state)) {
        updateFreeResources(state);
        const round = planRound(createRoundInput({
            workers: state.workers,
            candidates: [guaranteedCandidate(state, gang)],
            occupants: state.running.map(({ occupant }) => occupant),
        }));
        const startedOrClaimed = [
            ...round.placements.flatMap(({ assignments }) => assignments),
            ...round.claims.flatMap(claim => claim.assignments),
        ];
        assert.sameMembers(
            startedOrClaimed.map(({ workerId }) => workerId),
            [...state.reservations.get(gang.name) ?? []],
            gang.name,
        );
        assert.isTrue(
            round.evictions.every(({ occupant }) => !occupant.guaranteed),
            "guaranteed work is not preempted",
        );
    }
};

const operation = fc.oneof(
    fc.record({
        kind: fc.constant("borrow" as const),
        pick: fc.nat(),
        priority: fc.integer({ min: 0, max: 2 }),
        accelerators: fc.constantFrom(1, 2, 4, 8),
    }),
    fc.record({ kind: fc.constant("claim" as const), pick: fc.nat() }),
    fc.record({ kind: fc.constant("finish" as const), pick: fc.nat() }),
    fc.record({ kind: fc.constant("lose" as const), pick: fc.nat() }),
    fc.record({ kind: fc.constant("return" as const) }),
);

type Operation = typeof operation extends fc.Arbitrary<infer Value> ? Value : never;

const apply = (state: FleetState, step: Operation, index: number): void => {
    updateFreeResources(state);
    switch (step.kind) {
        case "borrow": {
            const worker = state.workers[step.pick % state.workers.length];
            const resources = { milliCores: 1_000, memoryMb: 1_000, accelerators: step.accelerators };
            if (worker.usable && worker.free.accelerators >= step.accelerators) {
                const occupant = addOccupant(worker, `borrower-${index}`, {
                    priority: step.priority,
                    resources,
                    evictions: 3,
                });
                state.running.push({ occupant });
            }
            return;
        }
        case "claim": {
            const open = unclaimedGangs(state);
            const gang = open[step.pick % Math.max(1, open.length)] as GuaranteedGang | undefined;
            if (gang === undefined) {
                return;
            }
            const candidate = guaranteedCandidate(state, gang);
            const round = planRound(
                createRoundInput({
                    workers: state.workers,
                    candidates: [candidate],
                    occupants: state.running.map(({ occupant }) => occupant),
                }),
            );
            const evicted = new Set(round.evictions.map(({ occupant }) => occupant));
            state.running = state.running.filter(({ occupant }) => !evicted.has(occupant));
            const tasks = (state.reservations.get(gang.name) ?? []).map((workerId, taskIndex) => ({
                taskIndex,
                workerId,
            }));
            const occupant: Occupant = {
                key: gang.name,
                priority: 2,
                resources: gang.step.resources,
                tasks,
                lostCoreMs: 1,
                evictions: 0,
                guaranteed: true,
                resumable: false,
            };
            state.running.push({ occupant, gang: gang.name });
            return;
        }
        case "finish":
            state.running.splice(step.pick % Math.max(1, state.running.length), 1);
            return;
        case "lose": {
            const worker = state.workers[step.pick % state.workers.length];
            worker.usable = false;
            state.running = state.running.filter(({ occupant }) =>
                occupant.tasks.every(task => task.workerId !== worker.workerId)
            );
            return reassign(state);
        }
        case "return":
            state.workers.forEach(worker => {
                worker.usable = true;
            });
            return reassign(state);
    }
};

const createFleetState = (): FleetState => {
    const workers = createRacks(4, rackSize);
    return { workers, reservations: assignReservations([...gangs], workers, noReservations), running: [] };
};

describe("guarantees", () => {
    it("can be reclaimed after every step of any sequence of operations", () => {
        fc.assert(
            fc.property(fc.array(operation, { maxLength: 40 }), sequence => {
                const state = createFleetState();
                sequence.forEach((step, index) => {
                    apply(state, step, index);
                    assertReclaimable(state);
                });
            }),
            { seed: 20, numRuns: 150 },
        );
    });

    it("have reservations that share no accelerator", () => {
        const { reservations, workers } = createFleetState();
        const used = new Map<string, number>();
        [...reservations.values()].flat().forEach(workerId => used.set(workerId, (used.get(workerId) ?? 0) + 1));
        workers.forEach(worker => assert.isAtMost(used.get(worker.workerId) ?? 0, worker.capacity.accelerators));
        assert.equal(reservations.size, gangs.length);
    });

    it("are reclaimed from borrowers on their reservation only, whatever others would lose", () => {
        const state = createFleetState();
        const [worker] = state.reservations.get("beta#0") ?? [];
        const reserved = state.workers.find(candidate => candidate.workerId === worker);
        assert.isDefined(reserved);
        const whole = { milliCores: 1_000, memoryMb: 1_000, accelerators: 8 };
        const borrower = addOccupant(reserved as WorkerInfo, "borrower", { resources: whole });
        const otherBorrowers = state.workers.filter(other => other !== reserved).map(other =>
            addOccupant(other, other.workerId, { lostCoreMs: 0 })
        );
        const candidates = [guaranteedCandidate(state, gangs[2])];
        const round = planRound(
            createRoundInput({ workers: state.workers, candidates, occupants: [borrower, ...otherBorrowers] }),
        );
        assert.deepEqual(
            round.evictions.map(({ occupant }) => occupant.key),
            ["borrower"],
            "only borrowers on the reservation",
        );
    });

    it("are not delayed by claims of borrowers", () => {
        const state = createFleetState();
        const claims = state.workers.map(worker => ({
            key: `claim-${worker.workerId}`,
            resources: { milliCores: 1_000, memoryMb: 1_000, accelerators: 8 },
            assignments: [{ taskIndex: 0, workerId: worker.workerId }],
            madeAtMs: 0,
        }));
        const waiting = claims.map(claim => createCandidate(claim.key, { accelerators: 8, priority: 1, gang: true }));
        const guaranteedGang = guaranteedCandidate(state, gangs[0]);
        const round = planRound(
            createRoundInput({ workers: state.workers, candidates: [...waiting, guaranteedGang], claims }),
        );
        const started = round.placements.filter(({ candidate }) => candidate.guaranteed);
        assert.lengthOf(started, 1);
    });

    it("keep the reservations in which their jobs run when others are reassigned", () => {
        const state = createFleetState();
        apply(state, { kind: "claim", pick: 3 }, 0);
        const [running] = state.running;
        const workerIds = state.reservations.get(running.gang ?? "");
        state.workers.filter(worker => workerIds?.includes(worker.workerId) !== true).slice(0, 6).forEach(worker => {
            worker.usable = false;
        });
        reassign(state);
        assert.deepEqual(state.reservations.get(running.gang ?? ""), workerIds);
        assert.isTrue(running.occupant.guaranteed);
    });

    it("keep the reservation of a running job while one of its workers does not answer", () => {
        const state = createFleetState();
        apply(state, { kind: "claim", pick: 0 }, 0);
        const [running] = state.running;
        const workerIds = state.reservations.get(running.gang ?? "");
        state.workers.filter(worker => worker.workerId === workerIds?.[0]).forEach(worker => {
            worker.usable = false;
        });
        reassign(state);
        assert.deepEqual(state.reservations.get(running.gang ?? ""), workerIds);
        assert.isTrue(running.occupant.guaranteed);
    });

    it("move to the remaining workers; the ones that hold with a zone out of service get reservations first", () => {
        const state = createFleetState();
        state.workers.slice(0, 2 * rackSize).forEach(worker => {
            worker.usable = false;
        });
        reassign(state);
        const usable = new Set(state.workers.filter(worker => worker.usable).map(worker => worker.workerId));
        assert.isTrue(state.reservations.has("alpha#0"));
        assert.isTrue([...state.reservations.values()].flat().every(workerId => usable.has(workerId)));
    });
});
