import { assert } from "chai";
import { createWorkerHealth } from "../src/execution/workerHealth.js";
import { addRackRisk, riskExpiryMs } from "../src/execution/workerRisk.js";
import { placeGang } from "../src/planning/placement.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";
import { createCandidate, createRacks } from "./fixtures/planning.js";

const wholeWorker = { milliCores: 64_000, memoryMb: 256_000, accelerators: 8 };
const wideGang = { gang: true, taskCount: 4, accelerators: 8 };

describe("the risk of a worker", () => {
    it("counts losses of contact and failures for a bounded time, also after a success", async () => {
        const timer = createVirtualTimer();
        const health = createWorkerHealth(timer);
        health.beginSession("w", 1);
        assert.equal(health.riskOf("w"), 0);
        health.recordLostContact("w");
        health.recordFailure("w", "a job");
        health.recordSuccess("w");
        assert.equal(health.suspicionOf("w"), 0);
        assert.equal(health.riskOf("w"), 1.5);
        await timer.advance(riskExpiryMs);
        assert.equal(health.riskOf("w"), 0);
    });

    // guards against a history that is lost when the session is replaced, and against one of an earlier incarnation
    it("belongs to an incarnation, whatever sessions there are with it", () => {
        const health = createWorkerHealth(createVirtualTimer());
        health.beginSession("w", 1);
        health.recordLostContact("w");
        health.beginSession("w", 1);
        health.endSession("w");
        health.beginSession("w", 1);
        assert.equal(health.riskOf("w"), 1);
        health.beginSession("w", 2);
        assert.equal(health.riskOf("w"), 0);
    });

    it("includes that of its rack with less weight", () => {
        const workers = [
            { rack: "a", risk: 1 },
            { rack: "a", risk: 0 },
            { rack: "b", risk: 0 },
        ];
        addRackRisk(workers);
        assert.deepEqual(workers.map(({ risk }) => risk), [1, 0.1, 0]);
    });
});

describe("a wide gang that cannot resume", () => {
    const usedWorkers = (risks: Record<string, number>, options: Parameters<typeof createCandidate>[1]): string[] => {
        const workers = createRacks(2, 4).map(worker => ({ ...worker, risk: risks[worker.workerId] ?? 0 }));
        return (placeGang(workers, createCandidate("gang", options)) ?? []).map(({ workerId }) => workerId).sort();
    };

    it("is placed on the workers with the least risk", () => {
        assert.deepEqual(usedWorkers({ w0: 1, w1: 0.1, w2: 0.1, w3: 0.1 }, wideGang), ["w4", "w5", "w6", "w7"]);
        const risks = { w0: 1, w1: 0.1, w2: 0.1, w3: 0.1 };
        assert.deepEqual(usedWorkers(risks, { ...wideGang, taskCount: 5 }).filter(id => id === "w0"), []);
    });

    it("is placed in the domain with the least risk", () => {
        assert.deepEqual(usedWorkers({ w1: 1 }, { ...wideGang, sameRack: true }), ["w4", "w5", "w6", "w7"]);
    });

    it("is placed in the domain with the least risk, however many are a tighter fit", () => {
        const workers = createRacks(5, 5).map((worker, index) => ({ ...worker, risk: index < 20 ? 1 : 0 }));
        const tight = workers.filter((_, index) => index % 5 !== 0 || index >= 20);
        const assignments = placeGang(tight, createCandidate("gang", { ...wideGang, sameRack: true }));
        assert.isTrue(assignments?.every(({ workerId }) => Number(workerId.slice(1)) >= 20));
    });

    it("is the only work for which the risk counts, and only where a worker has one", () => {
        const risks = { w0: 1 };
        assert.include(usedWorkers(risks, { ...wideGang, taskCount: 2 }), "w0");
        assert.include(usedWorkers(risks, { ...wideGang, step: { checkpointing: true } }), "w0");
        assert.deepEqual(usedWorkers({}, wideGang), ["w0", "w1", "w2", "w3"]);
    });

    const submitGang = async (fleet: Fleet): Promise<string[]> => {
        const step = createStep({ gang: true, taskCount: 4, resources: wholeWorker });
        await fleet.submit(createSubmission("gang", [step]));
        await fleet.timer.advance(1_000);
        return fleet.spans.filter(({ task }) => task.startsWith("gang.")).map(({ worker }) => worker);
    };

    /** A fleet of five workers, of which `w0` does not answer for a while although it has a run. */
    const loseContact = async (): Promise<Fleet> => {
        const fleet = createFleet({ workerCount: 5, vmCount: 2 });
        await fleet.timer.advance(1_000);
        await fleet.submit(createSubmission("single", [createStep({ resources: wholeWorker })], {}, { workMs: 2_000 }));
        await fleet.timer.advance(500);
        fleet.workers.get("w0")!.unreachable = true;
        await fleet.timer.advance(3_000);
        fleet.workers.get("w0")!.unreachable = false;
        await fleet.timer.advance(3_000);
        return fleet;
    };

    it("avoids a worker for a while that did not answer", async () => {
        const fleet = await loseContact();
        assert.notInclude(await submitGang(fleet), "w0");
    });

    it("avoids it no more in its next incarnation", async () => {
        const fleet = await loseContact();
        fleet.restartWorker("w0");
        await fleet.timer.advance(1_000);
        assert.include(await submitGang(fleet), "w0");
    });

    it("avoids it also once its entry was gone for a while", async () => {
        const fleet = await loseContact();
        fleet.unlisted.add("w0");
        fleet.notify();
        await fleet.timer.advance(1_000);
        fleet.unlisted.clear();
        fleet.notify();
        await fleet.timer.advance(1_000);
        assert.notInclude(await submitGang(fleet), "w0");
    });
});
