import { assert } from "chai";
import { placeGang, placeTasks } from "../src/planning/placement.js";
import type { Candidate, WorkerInfo } from "../src/planning/types.js";
import { createCandidate, createRacks, createWorker } from "./fixtures/planning.js";

const slowSpeed = 0.5;

/** Creates racks in which some workers are slow. */
const createUneven = (racks: number, perRack: number, slowIds: readonly string[]): WorkerInfo[] =>
    createRacks(racks, perRack).map(worker => ({
        ...worker,
        relativeSpeed: slowIds.includes(worker.workerId) ? slowSpeed : 1,
    }));

const place = (workers: readonly WorkerInfo[], candidate: Candidate) =>
    candidate.step.gang ? placeGang(workers, candidate) : placeTasks(workers, candidate);

const workersOf = (workers: readonly WorkerInfo[], candidate: Candidate): string[] =>
    [...new Set(place(workers, candidate)?.map(({ workerId }) => workerId))].sort();

const gangOf = (taskCount: number, accelerators = 8, sameRack = false): Candidate =>
    createCandidate("gang", { taskCount, accelerators, sameRack, gang: true });
const urgent = createCandidate("urgent", { priority: 0, accelerators: 2, avoidedWorkers: new Set(["failed"]) });
const wideOptions = { taskCount: 8, priority: 2, timeToObjectiveMs: 60_000 };
const wide = createCandidate("wide", wideOptions);

describe("placement on workers of uneven speed", () => {
    it("leaves slow workers out of a gang that fits without them, in one rack or among racks", () => {
        assert.deepEqual(workersOf(createUneven(1, 5, ["w0", "w1"]), gangOf(3)), ["w2", "w3", "w4"]);
        assert.deepEqual(workersOf(createUneven(2, 3, ["w1"]), gangOf(3, 8, true)), ["w3", "w4", "w5"]);
    });

    it("starts a gang that fits only with slow workers, and leaves it as few fast ones as it can", () => {
        assert.deepEqual(workersOf(createUneven(1, 5, ["w2", "w3"]), gangOf(4)), ["w0", "w1", "w2", "w3"]);
    });

    it("keeps urgent tasks off slow workers while others have room, even where these fit less well", () => {
        const workers = createUneven(1, 2, ["w0"]);
        workers[0].free.accelerators = 2;
        assert.deepEqual(workersOf(workers, urgent), ["w1"]);
        workers[1].free.accelerators = 0;
        assert.deepEqual(workersOf(workers, urgent), ["w0"]);
    });

    it("compares the speed after a cooldown, an earlier failure and suspicion", () => {
        const slow = createWorker("slow", { relativeSpeed: slowSpeed });
        const cooling = { usable: false, coolingDown: true };
        for (const worse of [createWorker("failed"), createWorker("w", { suspicion: 1 }), createWorker("w", cooling)]) {
            assert.deepEqual(workersOf([worse, slow], urgent), ["slow"], worse.workerId);
        }
    });

    it("gives wide batch work slow workers first only where it has time and fast ones are no better fit", () => {
        const workers = createUneven(1, 3, ["w2"]);
        assert.deepEqual(workersOf(workers, wide), ["w2"]);
        const others = [{ timeToObjectiveMs: 1_000 }, { taskCount: 1, accelerators: 8 }];
        others.forEach(options =>
            assert.deepEqual(workersOf(workers, createCandidate("other", { ...wideOptions, ...options })), ["w0"])
        );
        workers[1].free.accelerators = 1;
        assert.deepEqual(workersOf(workers, { ...wide, taskIndexes: [0] }), ["w1"]);
    });

    it("places all work as before where workers are alike, whatever their speed", () => {
        for (const candidate of [gangOf(5, 4, true), urgent, wide]) {
            const workers = createUneven(3, 4, []);
            workers.forEach(({ free }, index) => free.accelerators -= index % 3);
            const slow = workers.map(worker => ({ ...worker, relativeSpeed: slowSpeed }));
            assert.isNotEmpty(place(workers, candidate));
            assert.deepEqual(place(workers, candidate), place(slow, candidate));
        }
    });
});
