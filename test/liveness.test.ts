import { assert } from "chai";
import { EndKind } from "../src/execution/types.js";
import { jobRowKey, JobRowKind } from "../src/jobs/rows.js";
import { JobPhase } from "../src/jobs/types.js";
import { CallFault, createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";
import { soakLiveness } from "./fixtures/livenessSoak.js";

const settleMs = 1_000;

const phaseOf = async (fleet: Fleet, jobId: string): Promise<unknown> => {
    const phase = [...fleet.vms.values()][0].phase(jobId);
    await fleet.timer.advance(50);
    return phase;
};

describe("a worker whose last poll got no answer", () => {
    it("is polled until it answers, and used again, although nothing runs there any more", async () => {
        const fleet = createFleet({ workerCount: 1, vmCount: 1 });
        await fleet.timer.advance(settleMs);
        let faulty = true;
        const delayedKey = jobRowKey("delayed", JobRowKind.Progress);
        fleet.commitFault = (_vm, { writes }) =>
            faulty && writes.some(({ key }) => key === delayedKey) ? CallFault.RequestLost : CallFault.None;
        // the run of the first job keeps the worker polled while the placement of the second one is recorded too slowly
        await fleet.submit(createSubmission("first", [createStep()], {}, { workMs: 1_300 }));
        await fleet.timer.advance(settleMs);
        await fleet.submit(createSubmission("delayed", [createStep()], {}, { workMs: 300 }));
        await fleet.timer.advance(settleMs);
        assert.equal(await phaseOf(fleet, "first"), JobPhase.Succeeded);
        await fleet.timer.advance(settleMs / 2);
        fleet.orderFault = () => CallFault.RequestLost;
        await fleet.timer.advance(2 * settleMs);
        faulty = false;
        await fleet.timer.advance(2 * settleMs);
        assert.isTrue(fleet.logLines.some(({ message }) => message === "placement given up"));
        fleet.orderFault = () => CallFault.None;
        await fleet.timer.advance(5_000);
        assert.equal(await phaseOf(fleet, "delayed"), JobPhase.Succeeded);
    });
});

describe("a run of a cancelled job on a worker that is missing from the list during a change of planner", () => {
    it("is stopped when the worker is listed again", async () => {
        const fleet = createFleet({ workerCount: 1, vmCount: 2 });
        await fleet.timer.advance(settleMs);
        await fleet.submit(createSubmission("a1", [createStep({ longRunning: true })], {}, { workMs: 60_000 }));
        await fleet.timer.advance(settleMs);
        const worker = fleet.workers.get("w0");
        assert.isDefined(worker);
        worker.unreachable = true;
        void [...fleet.vms.values()][0].cancel("a1");
        await fleet.timer.advance(100);
        fleet.killVm(fleet.planner() ?? "");
        fleet.workers.delete("w0");
        await fleet.timer.advance(2_200);
        assert.isDefined(fleet.planner());
        worker.unreachable = false;
        fleet.workers.set("w0", worker);
        fleet.notify();
        await fleet.timer.advance(2_000);
        assert.deepEqual(fleet.spans.map(({ kind }) => kind), [EndKind.Stopped]);
    });
});

describe("a job whose worker is gone together with the planner", () => {
    it("runs again within 14 s", async () => {
        const fleet = createFleet({ workerCount: 2, vmCount: 3 });
        await fleet.timer.advance(settleMs);
        await fleet.submit(createSubmission("a1", [createStep()], {}, { workMs: 60_000 }));
        await fleet.timer.advance(settleMs);
        const goneAtMs = fleet.timer.nowMs();
        fleet.killVm(fleet.planner() ?? "");
        fleet.removeWorker(fleet.spans[0].worker);
        await fleet.timer.advance(14_000);
        assert.isTrue(fleet.spans.some(({ fromMs }) => fromMs > goneAtMs), "a second run has started");
    });
});

describe("jobs on a fleet under random faults that overlap", () => {
    const firstSeed = 1;
    const seedCount = 20;

    it("all run to their end once the faults have ended, and no run stays between two phases", async function() {
        this.timeout(120_000);
        const broken: string[] = [];
        let faults = 0;
        for (let seed = firstSeed; seed < firstSeed + seedCount; seed++) {
            const result = await soakLiveness(seed);
            faults += result.faults;
            broken.push(...result.problems.map(problem => `seed ${seed}: ${problem}`));
        }
        assert.isAbove(faults, seedCount, "faults were injected");
        assert.deepEqual(broken, []);
    });
});
