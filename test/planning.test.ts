import { assert } from "chai";
import fc from "fast-check";
import { orderCandidates } from "../src/planning/order.js";
import { planRound } from "../src/planning/round.js";
import type { Candidate, Occupant, Room, Round } from "../src/planning/types.js";
import { createUrgentDemand } from "../src/planning/urgentDemand.js";
import { createCandidate, createRacks, createRoom, createRoundInput, occupyRoom } from "./fixtures/planning.js";

const workersOf = (round: Round, key: string): string[] =>
    round.placements.filter(placement => placement.candidate.key === key)
        .flatMap(placement => placement.assignments.map(assignment => assignment.workerId));

const evictedKeys = (round: Round): string[] => round.evictions.map(({ occupant }) => occupant.key);

describe("the order of waiting work", () => {
    it("puts due guarantees first, then urgent work, then what can still be in time, then the rest", () => {
        const candidates = [
            createCandidate("useless", { uselessInMs: 500, objectiveInMs: -3_000 }),
            createCandidate("late", { objectiveInMs: 500 }),
            createCandidate("normal"),
            createCandidate("urgent", { priority: 0 }),
            createCandidate("guaranteed", { priority: 0, guaranteed: true, objectiveInMs: -1 }),
        ];
        const keys = orderCandidates(candidates).map(candidate => candidate.key);
        assert.deepEqual(keys, ["guaranteed", "urgent", "normal", "late", "useless"]);
    });

    it("puts the work with the least time left to start first among equals", () => {
        const candidates = [
            createCandidate("relaxed", { objectiveInMs: 9_000 }),
            createCandidate("pressed", { objectiveInMs: 2_000 }),
        ];
        assert.equal(orderCandidates(candidates)[0].key, "pressed");
    });
});

describe("placement", () => {
    it("starts a gang whole or not at all", () => {
        const rooms = createRacks(1, 3);
        const tooLarge = createCandidate("gang", { taskCount: 4, accelerators: 8, gang: true });
        assert.deepEqual(planRound(createRoundInput({ rooms, candidates: [tooLarge] })).placements, []);
    });

    it("keeps a gang that shares a rack in one rack, the one that it fills best", () => {
        const rooms = createRacks(2, 4);
        occupyRoom(rooms[4], "other");
        const gang = createCandidate("gang", { taskCount: 3, accelerators: 8, gang: true, sameRack: true });
        const used = workersOf(planRound(createRoundInput({ rooms, candidates: [gang] })), "gang");
        assert.sameMembers(used, ["w5", "w6", "w7"]);
    });

    it("fills started workers before it touches whole ones", () => {
        const rooms = createRacks(1, 4);
        occupyRoom(rooms[2], "other");
        const tasks = createCandidate("tasks", { taskCount: 7 });
        const used = workersOf(planRound(createRoundInput({ rooms, candidates: [tasks] })), "tasks");
        assert.deepEqual(new Set(used), new Set(["w2"]));
    });

    it("waits for another worker after a failure before it goes back to the same", () => {
        const place = (avoidsStrictly: boolean): string[] => {
            const candidates = [createCandidate("again", { avoid: new Set(["w0"]), avoidsStrictly })];
            return workersOf(planRound(createRoundInput({ rooms: createRacks(1, 1), candidates })), "again");
        };
        assert.deepEqual(place(true), []);
        assert.deepEqual(place(false), ["w0"]);
    });

    it("stays near its data under load and leaves it when most of the room is free", () => {
        const busyRack = createRoom("near", { rack: "r1-1", free: { milliCores: 0, memoryMb: 0, accelerators: 0 } });
        const rooms =
            (): Room[] => [busyRack, createRoom("far1", { rack: "r1-2" }), createRoom("far2", { rack: "r1-2" })];
        const waiting = (waitingMs: number): Candidate =>
            createCandidate("tasks", { waitingMs, step: { dataRack: "r1-1" } });
        const early = planRound(createRoundInput({ rooms: rooms(), candidates: [waiting(100)] }));
        assert.deepEqual(workersOf(early, "tasks"), []);
        const later = planRound(createRoundInput({ rooms: rooms(), candidates: [waiting(2_000)] }));
        assert.lengthOf(workersOf(later, "tasks"), 1);
    });

    it("never gives a worker more than it has, whatever waits", () => {
        const sizes = fc.record({
            taskCount: fc.integer({ min: 1, max: 12 }),
            accelerators: fc.constantFrom(0, 1, 2, 4, 8),
            priority: fc.integer({ min: 0, max: 2 }),
            gang: fc.boolean(),
            sameRack: fc.boolean(),
            waitingMs: fc.integer({ min: 0, max: 5_000 }),
        });
        fc.assert(
            fc.property(
                fc.array(sizes, { maxLength: 20 }),
                fc.integer({ min: 0, max: 40 }),
                (waiting, expectedUrgent) => {
                    const rooms = createRacks(3, 4);
                    const candidates = waiting.map((options, index) => createCandidate(`c${index}`, options));
                    const round = planRound(createRoundInput({ rooms, candidates, expectedUrgent }));
                    const used = new Map<string, number>();
                    for (const { candidate, assignments } of round.placements) {
                        assert.isTrue(!candidate.step.gang || assignments.length === candidate.taskIndexes.length);
                        for (const { workerId } of assignments) {
                            const { accelerators } = candidate.step.resources;
                            used.set(workerId, (used.get(workerId) ?? 0) + accelerators);
                        }
                    }
                    used.forEach(accelerators => assert.isAtMost(accelerators, 8));
                },
            ),
            { seed: 20, numRuns: 200 },
        );
    });
});

describe("a planning round at the size that decides the design", () => {
    /** Work of a round that finds no place, in looks at workers, which do not depend on the machine. */
    const countLooks = (workerCount: number, waitingCount: number): number => {
        let looks = 0;
        const rooms = createRacks(workerCount / 20, 20).map(room => {
            const free = { milliCores: 0, memoryMb: 0, accelerators: 0 };
            return Object.defineProperty(room, "usable", {
                get: () => {
                    looks += 1;
                    return true;
                },
            }) && Object.assign(room, { free });
        });
        const candidates = Array.from(
            { length: waitingCount },
            (_, index) =>
                createCandidate(`c${index}`, {
                    taskCount: 1 + index % 8,
                    priority: index % 3,
                    gang: true,
                    sameRack: true,
                }),
        );
        planRound(createRoundInput({ rooms, candidates }));
        return looks;
    };

    it("looks at a backlog of like work once and not for each job again", () => {
        assert.isAtMost(countLooks(760, 400), 2 * countLooks(760, 40));
    });
});

describe("taking back", () => {
    it("takes the runs that lose least for each task gained", () => {
        const rooms = createRacks(1, 2);
        const cheap = occupyRoom(rooms[0], "cheap", { lostCoreMs: 500 });
        const dear = occupyRoom(rooms[1], "dear", { lostCoreMs: 90_000 });
        const urgent = createCandidate("urgent", { accelerators: 8, priority: 0, gang: true });
        const round = planRound(createRoundInput({ rooms, candidates: [urgent], occupants: [dear, cheap] }));
        assert.deepEqual(evictedKeys(round), ["cheap"]);
        assert.deepEqual(round.claims.map(claim => claim.key), ["urgent"]);
    });

    it("counts a gang on several workers once and takes it whole", () => {
        const rooms = createRacks(1, 2);
        const gang: Occupant = {
            ...occupyRoom(rooms[0], "gang"),
            tasks: [{ taskIndex: 0, workerId: "w0" }, { taskIndex: 1, workerId: "w1" }],
        };
        rooms[1].free.accelerators -= 1;
        const urgent = createCandidate("urgent", { taskCount: 2, accelerators: 8, priority: 0, gang: true });
        const round = planRound(createRoundInput({ rooms, candidates: [urgent], occupants: [gang] }));
        assert.deepEqual(evictedKeys(round), ["gang"]);
    });

    it("leaves work alone that was taken back often, unless a guarantee is due", () => {
        const build = (guaranteed: boolean): Round => {
            const rooms = createRacks(1, 1);
            const occupants = [occupyRoom(rooms[0], "tired", { evictions: 3 })];
            const candidates = [createCandidate("urgent", { accelerators: 8, priority: 0, gang: true, guaranteed })];
            return planRound(createRoundInput({ rooms, candidates, occupants }));
        };
        assert.deepEqual(evictedKeys(build(false)), []);
        assert.deepEqual(evictedKeys(build(true)), ["tired"]);
    });

    const displaceEqual = (due: boolean, covered: boolean): string[] => {
        const rooms = createRacks(1, 1);
        const occupants = [occupyRoom(rooms[0], "equal", { priority: 0, guaranteed: covered })];
        const candidates = [createCandidate("urgent", { accelerators: 8, priority: 0, gang: true, guaranteed: due })];
        return evictedKeys(planRound(createRoundInput({ rooms, candidates, occupants })));
    };

    it("takes work of the same priority only for a due guarantee, and only what runs on more than its own", () => {
        assert.deepEqual(displaceEqual(false, false), []);
        assert.deepEqual(displaceEqual(true, true), []);
        assert.deepEqual(displaceEqual(true, false), ["equal"]);
    });

    it("takes urgent work that is beyond its guarantee last", () => {
        const rooms = createRacks(1, 2);
        const urgent = occupyRoom(rooms[0], "urgent", { priority: 0, lostCoreMs: 1_000 });
        const normal = occupyRoom(rooms[1], "normal", { lostCoreMs: 10_000 });
        const candidates = [createCandidate("due", { accelerators: 8, priority: 0, gang: true, guaranteed: true })];
        const round = planRound(createRoundInput({ rooms, candidates, occupants: [urgent, normal] }));
        assert.deepEqual(evictedKeys(round), ["normal"]);
    });

    it("moves for a large gang that was passed for long only what goes on elsewhere", () => {
        const displaceFor = (resumable: boolean): string[] => {
            const rooms = createRacks(1, 3);
            const occupants = rooms.map(room => occupyRoom(room, room.workerId, { priority: 2, resumable }));
            const gang = createCandidate("gang", { taskCount: 3, accelerators: 8, priority: 1, gang: true });
            const waited = { ...gang, waitingMs: 8 * 3_600_000 };
            return evictedKeys(planRound(createRoundInput({ rooms, candidates: [waited], occupants })));
        };
        assert.lengthOf(displaceFor(true), 3);
        assert.isEmpty(displaceFor(false), "hours of work that saves nothing are not thrown away for it");
    });
});

/** Urgent gangs of whole workers come in series while small work flows in: the load of henhold-ne's worst day. */
const replayBursts = (keepsRoom: boolean): { taken: number; } => {
    const demand = createUrgentDemand();
    const small: Occupant[] = [];
    let taken = 0;
    for (let burst = 0; burst < 5; burst++) {
        const base = burst * 4_000;
        const quiet = createRacks(2, 6);
        small.forEach(occupant => {
            const room = quiet.find(candidate => candidate.workerId === occupant.tasks[0].workerId);
            if (room !== undefined) {
                room.free.accelerators -= 1;
            }
        });
        const kept = demand.expected(base, 0, quiet);
        const candidates = [createCandidate(`small${burst}`, { taskCount: 46 })];
        const filled = planRound(createRoundInput({ rooms: quiet, candidates, expectedUrgent: keepsRoom ? kept : 0 }));
        filled.placements.forEach(({ assignments }) =>
            assignments.forEach(({ taskIndex, workerId }) =>
                small.push({
                    key: `small${burst}.${taskIndex}`,
                    priority: 1,
                    resources: { milliCores: 4_000, memoryMb: 8_000, accelerators: 1 },
                    tasks: [{ taskIndex: 0, workerId }],
                    lostCoreMs: 10_000,
                    evictions: 0,
                    guaranteed: false,
                    resumable: false,
                })
            )
        );
        const rooms = createRacks(2, 6);
        small.forEach(occupant => {
            const room = rooms.find(candidate => candidate.workerId === occupant.tasks[0].workerId);
            if (room !== undefined) {
                room.free.accelerators -= 1;
            }
        });
        const urgent = createCandidate("urgent", {
            taskCount: 2,
            accelerators: 8,
            priority: 0,
            gang: true,
            sameRack: true,
        });
        demand.expected(base + 2_000, 16, rooms);
        const round = planRound(createRoundInput({ rooms, candidates: [urgent], occupants: small }));
        taken += round.evictions.length;
        round.evictions.forEach(({ occupant }) => small.splice(small.indexOf(occupant), 1));
        small.splice(0, 23);
    }
    return { taken };
};

describe("room for bursts of urgent work", () => {
    it("is kept after a first burst, so that later ones take less back", () => {
        const without = replayBursts(false).taken;
        assert.isAbove(without, 0, "the load displaces work when no room is kept");
        assert.isAtMost(replayBursts(true).taken, without / 2);
    });

    it("is not kept from a waiting gang while most of the room is idle", () => {
        const rooms = createRacks(2, 6);
        rooms.slice(0, 10).forEach(room => occupyRoom(room, `small-${room.workerId}`));
        const gang = createCandidate("gang", { taskCount: 2, accelerators: 8, gang: true, sameRack: true });
        const round = planRound(createRoundInput({ rooms, candidates: [gang], expectedUrgent: 14 }));
        assert.lengthOf(workersOf(round, "gang"), 2);
    });

    it("is let go when there was no burst for a while, and is bounded", () => {
        const demand = createUrgentDemand();
        const rooms = createRacks(2, 6);
        assert.equal(demand.expected(0, 90, rooms), 0);
        assert.isAtMost(demand.expected(1_000, 0, rooms), 96 * 0.15);
        assert.equal(demand.expected(12_000, 0, rooms), 0);
    });
});
