import { assert } from "chai";
import { Cause, findCause } from "../src/tracing/findCause.js";
import { parseLogLine } from "../src/tracing/logLines.js";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";

const createStartedFleet = async (options: Parameters<typeof createFleet>[0] = {}): Promise<Fleet> => {
    const fleet = createFleet(options);
    await fleet.timer.advance(1_000);
    return fleet;
};

const causeOf = (fleet: Fleet, jobId: string): Cause => findCause(fleet.logLines, jobId).cause;

describe("findCause reports, from the logs alone", () => {
    it("no cause for a job that met its objective", async () => {
        const fleet = await createStartedFleet();
        await fleet.submit(createSubmission("a1", [createStep()]));
        await fleet.timer.advance(3_000);
        assert.equal(causeOf(fleet, "a1"), Cause.None);
    });

    it("an unavailable table when it did not store the submission", async () => {
        const fleet = await createStartedFleet();
        fleet.tableDown = true;
        await fleet.submit(createSubmission("a1", [createStep()]));
        assert.equal(causeOf(fleet, "a1"), Cause.TableUnavailable);
    });

    it("a job that fails on every worker", async () => {
        const fleet = await createStartedFleet();
        await fleet.submit(createSubmission("a1", [createStep()], {}, { workMs: 200, failures: 99 }));
        await fleet.timer.advance(8_000);
        assert.equal(causeOf(fleet, "a1"), Cause.FailsEverywhere);
    });

    it("a worker on which several jobs fail", async () => {
        const fleet = await createStartedFleet({ workerCount: 1 });
        fleet.restartWorker("w0", true);
        await fleet.timer.advance(500);
        await fleet.submit(createSubmission("a1", [createStep()], { maxAttempts: 2 }, { workMs: 200 }));
        await fleet.submit(createSubmission("b1", [createStep()], { maxAttempts: 2 }, { workMs: 200 }));
        await fleet.timer.advance(20_000);
        assert.equal(causeOf(fleet, "a1"), Cause.WorkerFails);
    });

    it("a cancellation by the customer", async () => {
        const fleet = await createStartedFleet();
        await fleet.submit(createSubmission("a1", [createStep()], {}, { workMs: 9_000 }));
        void fleet.vms.get("vm1")?.cancel("a1");
        await fleet.timer.advance(1_000);
        assert.equal(causeOf(fleet, "a1"), Cause.CancelledByCustomer);
    });

    it("a lack of free capacity", async () => {
        const fleet = await createStartedFleet({ workerCount: 1 });
        const fullWorkerStep = createStep({ resources: { milliCores: 8_000, memoryMb: 16_000, accelerators: 8 } });
        await fleet.submit(createSubmission("b1", [fullWorkerStep], {}, { workMs: 9_000 }));
        await fleet.timer.advance(300);
        await fleet.submit(createSubmission("a1", [fullWorkerStep]));
        await fleet.timer.advance(12_000);
        assert.equal(causeOf(fleet, "a1"), Cause.NoRoom);
    });

    it("a preemption", async () => {
        const fleet = await createStartedFleet({ workerCount: 1 });
        const fullWorkerStep = createStep({ resources: { milliCores: 8_000, memoryMb: 16_000, accelerators: 8 } });
        await fleet.submit(createSubmission("a1", [fullWorkerStep], { priority: 2 }, { workMs: 4_000 }));
        await fleet.timer.advance(1_000);
        await fleet.submit(createSubmission("b1", [fullWorkerStep], { priority: 0 }, { workMs: 3_000 }));
        await fleet.timer.advance(15_000);
        assert.equal(causeOf(fleet, "a1"), Cause.TakenBack);
    });

    it("a lost worker", async () => {
        const fleet = await createStartedFleet();
        await fleet.submit(createSubmission("a1", [createStep()], {}, { workMs: 3_000 }));
        await fleet.timer.advance(500);
        fleet.removeWorker(fleet.spans[0].worker);
        await fleet.timer.advance(14_000);
        assert.equal(causeOf(fleet, "a1"), Cause.WorkerLost);
    });

    it("a lost worker when the first worker chosen never answered the start order", async () => {
        const fleet = await createStartedFleet({ workerCount: 2 });
        [...fleet.workers.values()][0].unreachable = true;
        const step = createStep({ estimateMs: 500 });
        await fleet.submit(createSubmission("a1", [step], { slackFactor: 1 }));
        await fleet.timer.advance(8_000);
        assert.equal(causeOf(fleet, "a1"), Cause.WorkerLost);
    });

    it("the lack of a planner", async () => {
        const fleet = await createStartedFleet();
        fleet.killVm(fleet.planner() ?? "");
        await fleet.submit(createSubmission("a1", [createStep({ estimateMs: 100 })], { slackFactor: 1 }));
        await fleet.timer.advance(8_000);
        assert.equal(causeOf(fleet, "a1"), Cause.NoPlanner);
    });

    it("a job that ran longer than it declared", async () => {
        const fleet = await createStartedFleet();
        const step = createStep({ estimateMs: 100 });
        await fleet.submit(createSubmission("a1", [step], { slackFactor: 1, targetLatencyMs: 100 }, { workMs: 4_000 }));
        await fleet.timer.advance(6_000);
        assert.equal(causeOf(fleet, "a1"), Cause.LongerThanDeclared);
    });

    it("a job that the logs do not contain", async () => {
        const fleet = await createStartedFleet();
        assert.equal(causeOf(fleet, "unknown"), Cause.NotInTheseLogs);
    });
});

describe("parseLogLine", () => {
    it("accepts a prefix and returns undefined for anything that is not a log line", () => {
        const line = JSON.stringify({ context: { vm: "a", jobId: "x" }, message: "job ended", time: 5 });
        assert.deepInclude(parseLogLine(`12.5 a ${line}`), { timeMs: 5, vm: "a", message: "job ended" });
        assert.isUndefined(parseLogLine("not a line"));
        assert.isUndefined(parseLogLine("{\"message\":1}"));
    });
});
