import { assert } from "chai";
import { Cause, findCause } from "../src/tracing/findCause.js";
import { parseLogLine } from "../src/tracing/logLines.js";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";

const settledFleet = async (options: Parameters<typeof createFleet>[0] = {}): Promise<Fleet> => {
    const fleet = createFleet(options);
    await fleet.timer.advance(1_000);
    return fleet;
};

const causeOf = (fleet: Fleet, jobId: string): Cause => findCause(fleet.logLines, jobId).cause;

describe("the cause of a failed or late job is found from the logs alone", () => {
    it("when it went well", async () => {
        const fleet = await settledFleet();
        await fleet.submit(createSubmission("a1", [createStep()]));
        await fleet.timer.advance(3_000);
        assert.equal(causeOf(fleet, "a1"), Cause.None);
    });

    it("when the table did not take the submission", async () => {
        const fleet = await settledFleet();
        fleet.tableDown = true;
        await fleet.submit(createSubmission("a1", [createStep()]));
        assert.equal(causeOf(fleet, "a1"), Cause.TableUnavailable);
    });

    it("when it fails everywhere", async () => {
        const fleet = await settledFleet();
        await fleet.submit(createSubmission("a1", [createStep()], {}, { workMs: 200, failures: 99 }));
        await fleet.timer.advance(8_000);
        assert.equal(causeOf(fleet, "a1"), Cause.FailsEverywhere);
    });

    it("when the one worker fails everything", async () => {
        const fleet = await settledFleet({ workerCount: 1 });
        fleet.restartWorker("w0", true);
        await fleet.timer.advance(500);
        await fleet.submit(createSubmission("a1", [createStep()], { maxAttempts: 2 }, { workMs: 200 }));
        await fleet.submit(createSubmission("b1", [createStep()], { maxAttempts: 2 }, { workMs: 200 }));
        await fleet.timer.advance(20_000);
        assert.equal(causeOf(fleet, "a1"), Cause.WorkerFails);
    });

    it("when its customer cancelled it", async () => {
        const fleet = await settledFleet();
        await fleet.submit(createSubmission("a1", [createStep()], {}, { workMs: 9_000 }));
        void fleet.vms.get("vm1")?.cancel("a1");
        await fleet.timer.advance(1_000);
        assert.equal(causeOf(fleet, "a1"), Cause.CancelledByCustomer);
    });

    it("when there was no room", async () => {
        const fleet = await settledFleet({ workerCount: 1 });
        const whole = createStep({ resources: { milliCores: 8_000, memoryMb: 16_000, accelerators: 8 } });
        await fleet.submit(createSubmission("b1", [whole], {}, { workMs: 9_000 }));
        await fleet.timer.advance(300);
        await fleet.submit(createSubmission("a1", [whole]));
        await fleet.timer.advance(12_000);
        assert.equal(causeOf(fleet, "a1"), Cause.NoRoom);
    });

    it("when it had to make room", async () => {
        const fleet = await settledFleet({ workerCount: 1 });
        const whole = createStep({ resources: { milliCores: 8_000, memoryMb: 16_000, accelerators: 8 } });
        await fleet.submit(createSubmission("a1", [whole], { priority: 2 }, { workMs: 4_000 }));
        await fleet.timer.advance(1_000);
        await fleet.submit(createSubmission("b1", [whole], { priority: 0 }, { workMs: 3_000 }));
        await fleet.timer.advance(15_000);
        assert.equal(causeOf(fleet, "a1"), Cause.TakenBack);
    });

    it("when its worker was lost", async () => {
        const fleet = await settledFleet();
        await fleet.submit(createSubmission("a1", [createStep()], {}, { workMs: 3_000 }));
        await fleet.timer.advance(500);
        fleet.removeWorker(fleet.spans[0].worker);
        await fleet.timer.advance(14_000);
        assert.equal(causeOf(fleet, "a1"), Cause.WorkerLost);
    });

    it("when the worker that it was first sent to never answered", async () => {
        const fleet = await settledFleet({ workerCount: 2 });
        [...fleet.workers.values()][0].unreachable = true;
        const step = createStep({ estimateMs: 500 });
        await fleet.submit(createSubmission("a1", [step], { slackFactor: 1 }));
        await fleet.timer.advance(8_000);
        assert.equal(causeOf(fleet, "a1"), Cause.WorkerLost);
    });

    it("when nobody planned", async () => {
        const fleet = await settledFleet();
        fleet.killVm(fleet.planner() ?? "");
        await fleet.submit(createSubmission("a1", [createStep({ estimateMs: 100 })], { slackFactor: 1 }));
        await fleet.timer.advance(8_000);
        assert.equal(causeOf(fleet, "a1"), Cause.NoPlanner);
    });

    it("when it needed longer than it declared", async () => {
        const fleet = await settledFleet();
        const step = createStep({ estimateMs: 100 });
        await fleet.submit(createSubmission("a1", [step], { slackFactor: 1, targetLatencyMs: 100 }, { workMs: 4_000 }));
        await fleet.timer.advance(6_000);
        assert.equal(causeOf(fleet, "a1"), Cause.LongerThanDeclared);
    });

    it("when the logs do not have it", async () => {
        const fleet = await settledFleet();
        assert.equal(causeOf(fleet, "unheard"), Cause.NotInTheseLogs);
    });
});

describe("a log line", () => {
    it("is read also behind other text, and anything else is passed over", () => {
        const line = JSON.stringify({ context: { vm: "a", jobId: "x" }, message: "job ended", time: 5 });
        assert.deepInclude(parseLogLine(`12.5 a ${line}`), { timeMs: 5, vm: "a", message: "job ended" });
        assert.isUndefined(parseLogLine("not a line"));
        assert.isUndefined(parseLogLine("{\"message\":1}"));
    });
});
