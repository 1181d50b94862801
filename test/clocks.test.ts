import { assert } from "chai";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";

/** Time for the VMs to elect a planner. */
const electionMs = 1_000;
/** Upper bound on the time until a job starts for which there is room. */
const maxStartDelayMs = 500;
/** Difference between the wall clocks of two VMs. */
const clockErrorMs = 5_000;

/** Jobs are submitted to vm0; vm1 is the planner. */
const createFleetPlannedByOther = async (): Promise<Fleet> => {
    const fleet = createFleet({ vmCount: 2, workerCount: 1 });
    fleet.relativePowerOf = vm => vm === "vm1" ? 1 : 0.25;
    await fleet.timer.advance(electionMs);
    assert.equal(fleet.planner(), "vm1");
    return fleet;
};

const startOf = (fleet: Fleet, jobId: string): number =>
    Math.min(...fleet.spans.filter(span => span.task.startsWith(`${jobId}.`)).map(span => span.fromMs));

const wholeWorker = { resources: { milliCores: 8_000, memoryMb: 16_000, accelerators: 8 } };

describe("a job that is accepted by a VM with another wall clock than the planner's", () => {
    for (const [title, errorMs] of [["ahead", clockErrorMs], ["behind", -clockErrorMs]] as const) {
        it(`starts at once when that clock is ${title}`, async () => {
            const fleet = await createFleetPlannedByOther();
            fleet.wallClockErrorMsOf = vm => vm === "vm0" ? errorMs : 0;
            const submittedAtMs = fleet.timer.nowMs();
            await fleet.submit(createSubmission("a1", [createStep()]));
            await fleet.timer.advance(2_000);
            assert.isBelow(startOf(fleet, "a1") - submittedAtMs, maxStartDelayMs);
        });
    }

    it("starts at once under a planner that takes over later", async () => {
        const fleet = await createFleetPlannedByOther();
        fleet.wallClockErrorMsOf = vm => vm === "vm0" ? clockErrorMs : 0;
        fleet.killVm("vm1");
        await fleet.submit(createSubmission("a1", [createStep()]));
        fleet.killVm("vm0");
        fleet.startVm("vm2");
        const startedAtMs = fleet.timer.nowMs();
        await fleet.timer.advance(8_000);
        assert.isBelow(startOf(fleet, "a1") - startedAtMs, 3_000);
    });

    it("starts although the planner's clock steps back while it waits for room", async () => {
        const fleet = await createFleetPlannedByOther();
        const startedAtMs = fleet.timer.nowMs();
        await fleet.submit(createSubmission("a1", [createStep(wholeWorker)], {}, { workMs: 1_000 }));
        await fleet.submit(createSubmission("a2", [createStep(wholeWorker)], {}, { workMs: 1_000 }));
        await fleet.timer.advance(300);
        fleet.wallClockErrorMsOf = vm => vm === "vm1" ? -clockErrorMs : 0;
        await fleet.timer.advance(8_000);
        assert.isBelow(startOf(fleet, "a2") - startedAtMs, 1_000 + maxStartDelayMs);
    });

    it("is not taken for one that is too late to be useful when that clock is behind", async () => {
        const fleet = await createFleetPlannedByOther();
        fleet.wallClockErrorMsOf = vm => vm === "vm0" ? -clockErrorMs : 0;
        const useful = { uselessAfterObjectives: 1, slackFactor: 2, targetLatencyMs: 500 };
        await fleet.submit(createSubmission("a0", [createStep(wholeWorker)], {}, { workMs: 1_000 }));
        await fleet.submit(createSubmission("a1", [createStep(wholeWorker)], useful, { workMs: 1_000 }));
        fleet.wallClockErrorMsOf = () => 0;
        await fleet.timer.advance(500);
        await fleet.submit(createSubmission("a2", [createStep(wholeWorker)], useful, { workMs: 1_000 }));
        await fleet.timer.advance(4_000);
        assert.isBelow(startOf(fleet, "a1"), startOf(fleet, "a2"));
    });
});
