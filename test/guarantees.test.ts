import { assert } from "chai";
import fc from "fast-check";
import { Adjacency } from "../src/configuration/types.js";
import { assignReservations, noReservations } from "../src/planning/reservations.js";
import type { Reservations } from "../src/planning/reservations.js";
import { planRound } from "../src/planning/round.js";
import type { Candidate, Occupant, WorkerInfo } from "../src/planning/types.js";
import type { GuaranteedGang } from "../src/queues/types.js";
import { createStep } from "./fixtures/fleet.js";
import { createCandidate, createRacks, createRoundInput, occupyRoom } from "./fixtures/planning.js";

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

interface World {
    workers: WorkerInfo[];
    reservations: Reservations;
    running: RunningWork[];
}

const updateFreeResources = (world: World): void => {
    world.workers.forEach(worker => {
        worker.free = { ...worker.capacity };
    });
    for (const { occupant } of world.running) {
        for (const { workerId } of occupant.tasks) {
            const worker = world.workers.find(candidate => candidate.workerId === workerId);
            if (worker !== undefined) {
                worker.free.accelerators -= occupant.resources.accelerators;
                worker.free.milliCores -= occupant.resources.milliCores;
                worker.free.memoryMb -= occupant.resources.memoryMb;
            }
        }
    }
};

const guaranteedCandidate = (world: World, gang: GuaranteedGang): Candidate =>
    createCandidate(gang.name, {
        taskCount: gang.step.taskCount,
        priority: 2,
        gang: true,
        guaranteed: true,
        reservedWorkers: world.reservations.get(gang.name),
        step: gang.step,
    });

/** Assigns reservations after a change of the workers; work whose reservation has moved counts as borrowing. */
const reassign = (world: World): void => {
    const previous = world.reservations;
    const claimed = new Set(world.running.flatMap(({ gang }) => gang ?? []));
    world.reservations = assignReservations([...gangs], world.workers, {
        reservations: previous,
        claimed,
        running: claimed,
    });
    for (const running of world.running) {
        const reservedWorkers = running.gang === undefined ? undefined : world.reservations.get(running.gang);
        const isOnReservation = reservedWorkers !== undefined
            && running.occupant.tasks.every(task => reservedWorkers.includes(task.workerId));
        running.gang = isOnReservation ? running.gang : undefined;
        running.occupant.guaranteed = isOnReservation;
    }
};

const unclaimedGangs = (world: World): GuaranteedGang[] =>
    gangs.filter(gang =>
        world.reservations.has(gang.name) && !world.running.some(running => running.gang === gang.name)
    );

/** Asserts that every unused guarantee can claim its whole reservation at once, whatever runs there. */
const assertReclaimable = (world: World): void => {
    for (const gang of unclaimedGangs(world)) {
        updateFreeResources(world);
        const round = planRound(createRoundInput({
            workers: world.workers,
            candidates: [guaranteedCandidate(world, gang)],
            occupants: world.running.map(({ occupant }) => occupant),
        }));
        const startedOrClaimed = [
            ...round.placements.flatMap(({ assignments }) => assignments),
            ...round.claims.flatMap(claim => claim.assignments),
        ];
        assert.sameMembers(
            startedOrClaimed.map(({ workerId }) => workerId),
            [...world.reservations.get(gang.name) ?? []],
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

const apply = (world: World, step: Operation, index: number): void => {
    updateFreeResources(world);
    switch (step.kind) {
        case "borrow": {
            const worker = world.workers[step.pick % world.workers.length];
            const resources = { milliCores: 1_000, memoryMb: 1_000, accelerators: step.accelerators };
            if (worker.usable && worker.free.accelerators >= step.accelerators) {
                const occupant = occupyRoom(worker, `borrower-${index}`, {
                    priority: step.priority,
                    resources,
                    evictions: 3,
                });
                world.running.push({ occupant });
            }
            return;
        }
        case "claim": {
            const open = unclaimedGangs(world);
            const gang = open[step.pick % Math.max(1, open.length)] as GuaranteedGang | undefined;
            if (gang === undefined) {
                return;
            }
            const candidate = guaranteedCandidate(world, gang);
            const round = planRound(
                createRoundInput({
                    workers: world.workers,
                    candidates: [candidate],
                    occupants: world.running.map(({ occupant }) => occupant),
                }),
            );
            const evicted = new Set(round.evictions.map(({ occupant }) => occupant));
            world.running = world.running.filter(({ occupant }) => !evicted.has(occupant));
            const tasks = (world.reservations.get(gang.name) ?? []).map((workerId, taskIndex) => ({
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
            world.running.push({ occupant, gang: gang.name });
            return;
        }
        case "finish":
            world.running.splice(step.pick % Math.max(1, world.running.length), 1);
            return;
        case "lose": {
            const worker = world.workers[step.pick % world.workers.length];
            worker.usable = false;
            world.running = world.running.filter(({ occupant }) =>
                occupant.tasks.every(task => task.workerId !== worker.workerId)
            );
            return reassign(world);
        }
        case "return":
            world.workers.forEach(worker => {
                worker.usable = true;
            });
            return reassign(world);
    }
};

const createWorld = (): World => {
    const workers = createRacks(4, rackSize);
    return { workers, reservations: assignReservations([...gangs], workers, noReservations), running: [] };
};

describe("guarantees", () => {
    it("can be reclaimed after every step of any sequence of operations", () => {
        fc.assert(
            fc.property(fc.array(operation, { maxLength: 40 }), sequence => {
                const world = createWorld();
                sequence.forEach((step, index) => {
                    apply(world, step, index);
                    assertReclaimable(world);
                });
            }),
            { seed: 20, numRuns: 150 },
        );
    });

    it("have reservations that share no accelerator", () => {
        const { reservations, workers } = createWorld();
        const used = new Map<string, number>();
        [...reservations.values()].flat().forEach(workerId => used.set(workerId, (used.get(workerId) ?? 0) + 1));
        workers.forEach(worker => assert.isAtMost(used.get(worker.workerId) ?? 0, worker.capacity.accelerators));
        assert.equal(reservations.size, gangs.length);
    });

    it("are reclaimed from borrowers on their reservation only, whatever others would lose", () => {
        const world = createWorld();
        const [worker] = world.reservations.get("beta#0") ?? [];
        const reserved = world.workers.find(candidate => candidate.workerId === worker);
        assert.isDefined(reserved);
        const whole = { milliCores: 1_000, memoryMb: 1_000, accelerators: 8 };
        const borrower = occupyRoom(reserved as WorkerInfo, "borrower", { resources: whole });
        const otherBorrowers = world.workers.filter(other => other !== reserved).map(other =>
            occupyRoom(other, other.workerId, { lostCoreMs: 0 })
        );
        const candidates = [guaranteedCandidate(world, gangs[2])];
        const round = planRound(
            createRoundInput({ workers: world.workers, candidates, occupants: [borrower, ...otherBorrowers] }),
        );
        assert.deepEqual(
            round.evictions.map(({ occupant }) => occupant.key),
            ["borrower"],
            "only borrowers on the reservation",
        );
    });

    it("are not delayed by claims of borrowers", () => {
        const world = createWorld();
        const claims = world.workers.map(worker => ({
            key: `claim-${worker.workerId}`,
            resources: { milliCores: 1_000, memoryMb: 1_000, accelerators: 8 },
            assignments: [{ taskIndex: 0, workerId: worker.workerId }],
            madeAtMs: 0,
        }));
        const waiting = claims.map(claim => createCandidate(claim.key, { accelerators: 8, priority: 1, gang: true }));
        const guaranteedGang = guaranteedCandidate(world, gangs[0]);
        const round = planRound(
            createRoundInput({ workers: world.workers, candidates: [...waiting, guaranteedGang], claims }),
        );
        const started = round.placements.filter(({ candidate }) => candidate.guaranteed);
        assert.lengthOf(started, 1);
    });

    it("keep the reservations in which their jobs run when others are reassigned", () => {
        const world = createWorld();
        apply(world, { kind: "claim", pick: 3 }, 0);
        const [running] = world.running;
        const workerIds = world.reservations.get(running.gang ?? "");
        world.workers.filter(worker => workerIds?.includes(worker.workerId) !== true).slice(0, 6).forEach(worker => {
            worker.usable = false;
        });
        reassign(world);
        assert.deepEqual(world.reservations.get(running.gang ?? ""), workerIds);
        assert.isTrue(running.occupant.guaranteed);
    });

    it("keep the reservation of a running job while one of its workers does not answer", () => {
        const world = createWorld();
        apply(world, { kind: "claim", pick: 0 }, 0);
        const [running] = world.running;
        const workerIds = world.reservations.get(running.gang ?? "");
        world.workers.filter(worker => worker.workerId === workerIds?.[0]).forEach(worker => {
            worker.usable = false;
        });
        reassign(world);
        assert.deepEqual(world.reservations.get(running.gang ?? ""), workerIds);
        assert.isTrue(running.occupant.guaranteed);
    });

    it("move their reservations to the remaining workers, those that must hold with a zone out first", () => {
        const world = createWorld();
        world.workers.slice(0, 2 * rackSize).forEach(worker => {
            worker.usable = false;
        });
        reassign(world);
        const usable = new Set(world.workers.filter(worker => worker.usable).map(worker => worker.workerId));
        assert.isTrue(world.reservations.has("alpha#0"));
        assert.isTrue([...world.reservations.values()].flat().every(workerId => usable.has(workerId)));
    });
});
