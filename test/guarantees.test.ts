import { assert } from "chai";
import fc from "fast-check";
import { Adjacency } from "../src/configuration/types.js";
import { assignCells, noPlaces } from "../src/planning/cells.js";
import type { Cells } from "../src/planning/cells.js";
import { planRound } from "../src/planning/round.js";
import type { Candidate, Occupant, Room } from "../src/planning/types.js";
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

/** What runs: in its own cell, or on borrowed room. */
interface Running {
    occupant: Occupant;
    gang?: string;
}

interface World {
    rooms: Room[];
    cells: Cells;
    running: Running[];
}

const refreshFree = (world: World): void => {
    world.rooms.forEach(room => {
        room.free = { ...room.capacity };
    });
    for (const { occupant } of world.running) {
        for (const { workerId } of occupant.tasks) {
            const room = world.rooms.find(candidate => candidate.workerId === workerId);
            if (room !== undefined) {
                room.free.accelerators -= occupant.resources.accelerators;
                room.free.milliCores -= occupant.resources.milliCores;
                room.free.memoryMb -= occupant.resources.memoryMb;
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
        cell: world.cells.get(gang.name),
        step: gang.step,
    });

/** Places as they are after a change of the workers; what ran in a place that has moved has borrowed its room now. */
const follow = (world: World): void => {
    const before = world.cells;
    const claimed = new Set(world.running.flatMap(({ gang }) => gang ?? []));
    world.cells = assignCells([...gangs], world.rooms, { cells: before, claimed, running: claimed });
    for (const running of world.running) {
        const place = running.gang === undefined ? undefined : world.cells.get(running.gang);
        const isIn = place !== undefined && running.occupant.tasks.every(task => place.includes(task.workerId));
        running.gang = isIn ? running.gang : undefined;
        running.occupant.guaranteed = isIn;
    }
};

const openGangs = (world: World): GuaranteedGang[] =>
    gangs.filter(gang => world.cells.has(gang.name) && !world.running.some(running => running.gang === gang.name));

/** Every guarantee that is not in use gets its whole place at once, whatever runs there. */
const assertReclaimable = (world: World): void => {
    for (const gang of openGangs(world)) {
        refreshFree(world);
        const round = planRound(createRoundInput({
            rooms: world.rooms,
            candidates: [guaranteedCandidate(world, gang)],
            occupants: world.running.map(({ occupant }) => occupant),
        }));
        const places = [
            ...round.placements.flatMap(({ assignments }) => assignments),
            ...round.claims.flatMap(claim => claim.assignments),
        ];
        assert.sameMembers(places.map(({ workerId }) => workerId), [...world.cells.get(gang.name) ?? []], gang.name);
        assert.isTrue(round.evictions.every(({ occupant }) => !occupant.guaranteed), "guaranteed work stays");
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
    refreshFree(world);
    switch (step.kind) {
        case "borrow": {
            const room = world.rooms[step.pick % world.rooms.length];
            const resources = { milliCores: 1_000, memoryMb: 1_000, accelerators: step.accelerators };
            if (room.usable && room.free.accelerators >= step.accelerators) {
                const occupant = occupyRoom(room, `borrower-${index}`, {
                    priority: step.priority,
                    resources,
                    evictions: 3,
                });
                world.running.push({ occupant });
            }
            return;
        }
        case "claim": {
            const open = openGangs(world);
            const gang = open[step.pick % Math.max(1, open.length)] as GuaranteedGang | undefined;
            if (gang === undefined) {
                return;
            }
            const candidate = guaranteedCandidate(world, gang);
            const round = planRound(
                createRoundInput({
                    rooms: world.rooms,
                    candidates: [candidate],
                    occupants: world.running.map(({ occupant }) => occupant),
                }),
            );
            const evicted = new Set(round.evictions.map(({ occupant }) => occupant));
            world.running = world.running.filter(({ occupant }) => !evicted.has(occupant));
            const tasks = (world.cells.get(gang.name) ?? []).map((workerId, taskIndex) => ({ taskIndex, workerId }));
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
            const room = world.rooms[step.pick % world.rooms.length];
            room.usable = false;
            world.running = world.running.filter(({ occupant }) =>
                occupant.tasks.every(task => task.workerId !== room.workerId)
            );
            return follow(world);
        }
        case "return":
            world.rooms.forEach(room => {
                room.usable = true;
            });
            return follow(world);
    }
};

const createWorld = (): World => {
    const rooms = createRacks(4, rackSize);
    return { rooms, cells: assignCells([...gangs], rooms, noPlaces), running: [] };
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

    it("have places that share no accelerator", () => {
        const { cells, rooms } = createWorld();
        const used = new Map<string, number>();
        [...cells.values()].flat().forEach(worker => used.set(worker, (used.get(worker) ?? 0) + 1));
        rooms.forEach(room => assert.isAtMost(used.get(room.workerId) ?? 0, room.capacity.accelerators));
        assert.equal(cells.size, gangs.length);
    });

    it("take back lent accelerators from borrowers that lose least", () => {
        const world = createWorld();
        const [worker] = world.cells.get("beta#0") ?? [];
        const room = world.rooms.find(candidate => candidate.workerId === worker);
        assert.isDefined(room);
        const whole = { milliCores: 1_000, memoryMb: 1_000, accelerators: 8 };
        const inTheWay = occupyRoom(room as Room, "in the way", { resources: whole });
        const elsewhere = world.rooms.filter(other => other !== room).map(other =>
            occupyRoom(other, other.workerId, { lostCoreMs: 0 })
        );
        const candidates = [guaranteedCandidate(world, gangs[2])];
        const round = planRound(
            createRoundInput({ rooms: world.rooms, candidates, occupants: [inTheWay, ...elsewhere] }),
        );
        assert.deepEqual(
            round.evictions.map(({ occupant }) => occupant.key),
            ["in the way"],
            "only what is in its place",
        );
    });

    it("are not held up by what borrowers have claimed", () => {
        const world = createWorld();
        const claims = world.rooms.map(room => ({
            key: `claim-${room.workerId}`,
            resources: { milliCores: 1_000, memoryMb: 1_000, accelerators: 8 },
            assignments: [{ taskIndex: 0, workerId: room.workerId }],
            madeAtMs: 0,
        }));
        const waiting = claims.map(claim => createCandidate(claim.key, { accelerators: 8, priority: 1, gang: true }));
        const due = guaranteedCandidate(world, gangs[0]);
        const round = planRound(createRoundInput({ rooms: world.rooms, candidates: [...waiting, due], claims }));
        const started = round.placements.filter(({ candidate }) => candidate.guaranteed);
        assert.lengthOf(started, 1);
    });

    it("keep the places in which their jobs run when others are given anew", () => {
        const world = createWorld();
        apply(world, { kind: "claim", pick: 3 }, 0);
        const [running] = world.running;
        const place = world.cells.get(running.gang ?? "");
        world.rooms.filter(room => place?.includes(room.workerId) !== true).slice(0, 6).forEach(room => {
            room.usable = false;
        });
        follow(world);
        assert.deepEqual(world.cells.get(running.gang ?? ""), place);
        assert.isTrue(running.occupant.guaranteed);
    });

    it("keep the place of a job that runs while one of its workers does not answer", () => {
        const world = createWorld();
        apply(world, { kind: "claim", pick: 0 }, 0);
        const [running] = world.running;
        const place = world.cells.get(running.gang ?? "");
        world.rooms.filter(room => room.workerId === place?.[0]).forEach(room => {
            room.usable = false;
        });
        follow(world);
        assert.deepEqual(world.cells.get(running.gang ?? ""), place);
        assert.isTrue(running.occupant.guaranteed);
    });

    it("move to the workers that are left, those that must hold with a zone out first", () => {
        const world = createWorld();
        world.rooms.slice(0, 2 * rackSize).forEach(room => {
            room.usable = false;
        });
        follow(world);
        const usable = new Set(world.rooms.filter(room => room.usable).map(room => room.workerId));
        assert.isTrue(world.cells.has("alpha#0"));
        assert.isTrue([...world.cells.values()].flat().every(worker => usable.has(worker)));
    });
});
