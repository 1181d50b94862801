import { assert } from "chai";
import { placeGang, placeTasks } from "../src/planning/placement.js";
import type { Assignment, WorkerInfo } from "../src/planning/types.js";
import { createCandidate, createRacks, createWorker } from "./fixtures/planning.js";

const slowSpeed = 0.5;
/** Batch work with time to spare. */
const ampleTimeMs = 60_000;

/** Creates a rack of workers of which some are slow. */
const createUnevenRack = (count: number, slowIds: readonly string[]): WorkerInfo[] =>
    createRacks(1, count).map(worker => ({
        ...worker,
        relativeSpeed: slowIds.includes(worker.workerId) ? slowSpeed : 1,
    }));

const idsOf = (assignments: readonly Assignment[] | undefined): string[] =>
    [...new Set(assignments?.map(({ workerId }) => workerId))].sort();

const wholeWorkers = (taskCount: number) => ({ taskCount, accelerators: 8, gang: true });

describe("placement on workers of uneven speed", () => {
    it("leaves slow workers out of a gang that fits without them", () => {
        const workers = createUnevenRack(5, ["w0", "w1"]);
        assert.deepEqual(idsOf(placeGang(workers, createCandidate("gang", wholeWorkers(3)))), ["w2", "w3", "w4"]);
    });

    it("starts a gang that fits only with slow workers, and leaves it as few fast ones as it can", () => {
        const workers = createUnevenRack(5, ["w2", "w3"]);
        assert.deepEqual(idsOf(placeGang(workers, createCandidate("gang", wholeWorkers(4)))), ["w0", "w1", "w2", "w3"]);
        const tight = workers.map(worker => ({ ...worker, free: { ...worker.free, accelerators: 4 } }));
        const gang = createCandidate("gang", { taskCount: 4, accelerators: 4, gang: true });
        assert.includeMembers(idsOf(placeGang(tight, gang)), ["w2", "w3"]);
    });

    it("chooses among the racks in which a gang fits as well one without slow workers", () => {
        const workers = createRacks(2, 3).map(worker => ({
            ...worker,
            relativeSpeed: worker.workerId === "w1" ? slowSpeed : 1,
        }));
        const gang = createCandidate("gang", { ...wholeWorkers(3), sameRack: true });
        assert.deepEqual(idsOf(placeGang(workers, gang)), ["w3", "w4", "w5"]);
    });

    it("keeps urgent tasks off slow workers while others have room, even where these fit less well", () => {
        const workers = createUnevenRack(2, ["w0"]);
        workers[0].free.accelerators = 2;
        const urgent = createCandidate("urgent", { priority: 0, accelerators: 2 });
        assert.deepEqual(idsOf(placeTasks(workers, urgent)), ["w1"]);
        workers[1].free.accelerators = 0;
        assert.deepEqual(idsOf(placeTasks(workers, urgent)), ["w0"]);
    });

    it("compares the speed after a cooldown, an earlier failure and suspicion", () => {
        const urgent = createCandidate("urgent", {
            priority: 0,
            avoidedWorkers: new Set(["failed"]),
            waitingMs: 9_000,
        });
        const slow = createWorker("slow", { relativeSpeed: slowSpeed });
        const worse = [
            createWorker("failed"),
            createWorker("suspect", { suspicion: 1 }),
            createWorker("cooling", { usable: false, coolingDown: true }),
        ];
        worse.forEach(worker => assert.deepEqual(idsOf(placeTasks([worker, slow], urgent)), ["slow"], worker.workerId));
    });

    it("gives wide batch work slow workers first only where it has time and fast ones are no better fit", () => {
        const wide = { taskCount: 8, priority: 2, timeToObjectiveMs: ampleTimeMs };
        const workers = createUnevenRack(3, ["w2"]);
        assert.deepEqual(idsOf(placeTasks(workers, createCandidate("wide", wide))), ["w2"]);
        const short = createCandidate("short", { ...wide, timeToObjectiveMs: 1_000 });
        assert.deepEqual(idsOf(placeTasks(workers, short)), ["w0"]);
        const narrow = createCandidate("narrow", { ...wide, taskCount: 1, accelerators: 8 });
        assert.deepEqual(idsOf(placeTasks(workers, narrow)), ["w0"]);
        workers[0].free.accelerators = 4;
        workers[2].capacity.accelerators = 16;
        workers[2].free.accelerators = 16;
        const fitting = createCandidate("fitting", {
            ...wide,
            accelerators: 4,
            step: { maxPerWorker: 1 },
            taskIndexes: [0],
        });
        assert.deepEqual(idsOf(placeTasks(workers, fitting)), ["w0"]);
    });

    it("places all work as before where workers are alike, whatever their speed", () => {
        const candidates = [
            createCandidate("gang", { taskCount: 5, accelerators: 4, gang: true, sameRack: true }),
            createCandidate("urgent", { priority: 0, taskCount: 5 }),
            createCandidate("wide", { priority: 2, taskCount: 20, timeToObjectiveMs: ampleTimeMs }),
        ];
        for (const candidate of candidates) {
            const [usual, slow] = [1, slowSpeed].map(relativeSpeed => {
                const workers = createRacks(3, 4).map((worker, index) => ({
                    ...worker,
                    relativeSpeed,
                    free: { ...worker.free, accelerators: 8 - index % 3 },
                }));
                return candidate.step.gang ? placeGang(workers, candidate) : placeTasks(workers, candidate);
            });
            assert.isNotEmpty(usual);
            assert.deepEqual(usual, slow);
        }
    });
});
