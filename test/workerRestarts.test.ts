import { assert } from "chai";
import { JobPhase } from "../src/jobs/types.js";
import type { Step } from "../src/jobs/types.js";
import { CallFault, createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";
import { findViolations } from "./fixtures/violations.js";

/** Time in which a planner replaces a placement that cannot be carried out, and its tasks run. */
const completionMs = 8_000;
const wholeWorker = { milliCores: 64_000, memoryMb: 256_000, accelerators: 8 };

/** Submits a job whose placement takes more than a second to record, and restarts a worker in that time. */
const restartWhileRecording = async (step: Partial<Step>): Promise<Fleet> => {
    const fleet = createFleet({ workerCount: 2 });
    await fleet.timer.advance(1_000);
    let lostWrites = 0;
    fleet.commitFault = (_vm, { writes }) => {
        const isFirst = writes.some(write => write.key.endsWith("/progress")) && lostWrites === 0;
        lostWrites += isFirst ? 1 : 0;
        return isFirst ? CallFault.RequestLost : CallFault.None;
    };
    await fleet.submit(createSubmission("a1", [createStep({ resources: wholeWorker, ...step })]));
    await fleet.timer.advance(300);
    assert.equal(lostWrites, 1, "the placement is being recorded");
    fleet.restartWorker("w0");
    await fleet.timer.advance(completionMs);
    return fleet;
};

const jobPhase = async (fleet: Fleet): Promise<unknown> => {
    const phase = fleet.vms.get("vm0")?.phase("a1");
    await fleet.timer.advance(20);
    return phase;
};

// guards against accepted jobs that never ran: their task kept a run that no planner had ordered or would order
describe("a worker that restarts while a placement on it is being recorded", () => {
    it("does not keep a gang from running", async () => {
        const fleet = await restartWhileRecording({ taskCount: 2, gang: true });
        assert.equal(await jobPhase(fleet), JobPhase.Succeeded);
        assert.deepEqual(findViolations(fleet.spans), []);
    });

    it("does not keep independent tasks from running", async () => {
        const fleet = await restartWhileRecording({ taskCount: 2 });
        assert.equal(await jobPhase(fleet), JobPhase.Succeeded);
        assert.deepEqual(findViolations(fleet.spans), []);
    });
});

describe("a run that is neither started nor ended for seconds", () => {
    it("is logged once with its phase and whether its worker answers", async () => {
        const fleet = createFleet({ workerCount: 1 });
        await fleet.timer.advance(1_000);
        fleet.orderFault = (_vm, kind) => kind === "hold" ? CallFault.None : CallFault.RequestLost;
        await fleet.submit(createSubmission("a1", [createStep()]));
        await fleet.timer.advance(6_000);
        const lines = fleet.logLines.filter(({ message }) => message === "run overdue");
        assert.deepEqual(lines.map(({ fields }) => [fields.task, fields.phase, fields.worker]), [
            ["a1.0.0.0", "stopping", "w0"],
        ]);
    });
});
