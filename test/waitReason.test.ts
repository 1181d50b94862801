import { assert } from "chai";
import { Adjacency } from "../src/configuration/types.js";
import { planRound } from "../src/planning/round.js";
import type { WorkerInfo } from "../src/planning/types.js";
import { findWaitReason, WaitReason } from "../src/planning/waitReason.js";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";
import { addOccupant, createCandidate, createRacks, createRoundInput } from "./fixtures/planning.js";
import type { CandidateOptions } from "./fixtures/planning.js";

const reasonFor = (
    options: CandidateOptions,
    change: (workers: WorkerInfo[]) => void = () => {},
    claimed: ReadonlySet<string> = new Set(),
): WaitReason => {
    const workers = createRacks(2, 2);
    change(workers);
    return findWaitReason(workers, createCandidate("waiting", options), claimed);
};

const fill = (worker: WorkerInfo): void => {
    worker.free = { milliCores: 0, memoryMb: 0, accelerators: 0 };
};

describe("the reason why work waits", () => {
    it("tells missing room from missing workers", () => {
        assert.equal(reasonFor({}, workers => workers.forEach(fill)), WaitReason.NoRoom);
        assert.equal(reasonFor({ step: { requiredLabel: "rare" } }), WaitReason.NoUsableWorker);
        const stop = (worker: WorkerInfo): void => {
            worker.usable = false;
        };
        assert.equal(reasonFor({}, workers => workers.forEach(stop)), WaitReason.NoUsableWorker);
        assert.equal(reasonFor({ taskCount: 33, gang: true }), WaitReason.NoRoom);
    });

    it("names the restriction that keeps work from free workers", () => {
        assert.equal(
            reasonFor({ mustAvoid: true, avoidedWorkers: new Set(["w0", "w1", "w2", "w3"]) }),
            WaitReason.AvoidedWorkers,
        );
        const coolDown = (worker: WorkerInfo): void => {
            Object.assign(worker, { usable: false, coolingDown: true });
        };
        assert.equal(reasonFor({}, workers => workers.forEach(coolDown)), WaitReason.Cooldown);
        const restrict = (restriction: Partial<WorkerInfo>) => (workers: WorkerInfo[]) =>
            workers.forEach(worker => Object.assign(worker, restriction));
        assert.equal(reasonFor({}, restrict({ isUrgentHeadroom: true })), WaitReason.UrgentHeadroom);
        assert.equal(reasonFor({}, restrict({ backfillWindowMs: 10 })), WaitReason.BackfillWindow);
        assert.equal(
            reasonFor({ step: { fillsIdleCores: true } }, restrict({ hasServingTask: true })),
            WaitReason.Colocation,
        );
    });

    it("names the place where there is no room", () => {
        assert.equal(
            reasonFor({ step: { dataRack: "r1-1" } }, workers => workers.slice(0, 2).forEach(fill)),
            WaitReason.Locality,
        );
        const gang = { taskCount: 2, accelerators: 8, gang: true, step: { adjacency: Adjacency.Rack } };
        assert.equal(reasonFor(gang, workers => [workers[0], workers[2]].forEach(fill)), WaitReason.Adjacency);
    });

    it("names what is prepared already", () => {
        assert.equal(reasonFor({}, undefined, new Set(["waiting"])), WaitReason.ClaimPending);
        assert.equal(reasonFor({ reservedWorkers: ["w0"] }), WaitReason.Reservation);
        assert.equal(reasonFor({}), WaitReason.NotTried);
    });

    it("is the one that holds after a round", () => {
        const workers = createRacks(1, 2);
        workers.forEach(worker => addOccupant(worker, worker.workerId));
        workers.forEach(worker => {
            worker.busyForMs = 1_000;
        });
        const gang = createCandidate("gang", { taskCount: 2, accelerators: 8, gang: true, waitingMs: 1_000 });
        const task = createCandidate("task", { step: { estimateMs: 5_000 }, timeToObjectiveMs: 20_000 });
        const round = planRound(createRoundInput({ workers, candidates: [gang, task] }));
        assert.isEmpty(round.placements);
        assert.equal(findWaitReason(workers, gang, new Set()), WaitReason.NoRoom);
        assert.equal(findWaitReason(workers, task, new Set()), WaitReason.BackfillWindow);
    });
});

const linesAbout = (fleet: Fleet, unit: string) =>
    fleet.logLines.filter(line => line.message === "waiting work not placed" && line.fields.unit === unit);

describe("lines about work that waits although there is room", () => {
    it("come after 1.5 s and every 2 s, with the reason and the shares in use", async () => {
        const fleet = createFleet({ workerCount: 0, vmCount: 1 });
        ["a", "b"].forEach(rack => [0, 1].forEach(index => fleet.addWorker(`${rack}${index}`, rack, "zone")));
        await fleet.timer.advance(1_000);
        const step = createStep({
            taskCount: 3,
            gang: true,
            adjacency: Adjacency.Rack,
            resources: { milliCores: 8_000, memoryMb: 8_000, accelerators: 8 },
        });
        await fleet.submit(createSubmission("wide", [step]));
        await fleet.timer.advance(1_400);
        assert.isEmpty(linesAbout(fleet, "wide.0.0"));
        await fleet.timer.advance(8_600);
        const lines = linesAbout(fleet, "wide.0.0");
        assert.isAtLeast(lines.length, 3);
        assert.isAtMost(lines.length, 5);
        const { reason, acceleratorsInUse, coresInUse, inUse, room, gang } = lines[0].fields;
        assert.deepEqual({ reason, acceleratorsInUse, coresInUse, inUse, room, gang }, {
            reason: WaitReason.Adjacency,
            acceleratorsInUse: 0,
            coresInUse: 0,
            inUse: 0,
            room: 4,
            gang: true,
        });
    });

    it("come with one about the blocked gang that keeps workers from longer work", async () => {
        const fleet = createFleet({ workerCount: 2, vmCount: 1 });
        await fleet.timer.advance(1_000);
        const resources = { milliCores: 8_000, memoryMb: 8_000, accelerators: 8 };
        const running = createStep({ resources: { ...resources, accelerators: 4 }, estimateMs: 60_000 });
        await fleet.submit(createSubmission("running", [running], {}, { workMs: 60_000 }));
        await fleet.submit(createSubmission("gang", [createStep({ taskCount: 2, gang: true, resources })]));
        await fleet.timer.advance(3_000);
        const lines = fleet.logLines.filter(line => line.message === "backfill limited for a gang");
        assert.lengthOf(lines, 1);
        const { unit, workers } = lines[0].fields;
        assert.deepEqual({ unit, workers }, { unit: "gang.0.0", workers: 2 });
    });

    it("name a run on a silent worker that is not known to have ended", async () => {
        const fleet = createFleet({ workerCount: 3, vmCount: 1 });
        await fleet.timer.advance(1_000);
        const step = createStep({ resources: { milliCores: 8_000, memoryMb: 8_000, accelerators: 8 } });
        await fleet.submit(
            createSubmission("gang", [{ ...step, taskCount: 2, gang: true }], {}, { workMs: 60_000 }),
        );
        await fleet.timer.advance(2_000);
        fleet.spans.forEach(({ worker }) => fleet.removeWorker(worker));
        await fleet.timer.advance(6_000);
        const reasons = new Set(linesAbout(fleet, "gang.0.0").map(line => line.fields.reason));
        assert.deepEqual([...reasons], [WaitReason.RunNotEnded]);
    });
});
