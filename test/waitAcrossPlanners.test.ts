import { assert } from "chai";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";

const settleMs = 1_000;
const wholeWorker = { milliCores: 8_000, memoryMb: 16_000, accelerators: 8 };

/** Monotonic time at which a step's tasks began, or ended. */
const timeOf = (fleet: Fleet, step: string, bound: "fromMs" | "toMs"): number =>
    Math.max(...fleet.spans.filter(({ task }) => task.startsWith(`${step}.`)).map(span => span[bound] ?? Infinity));

describe("a step whose data rack is full while most of the fleet is idle", () => {
    const run = async (disturb: (fleet: Fleet) => void): Promise<number> => {
        const fleet = createFleet({ workerCount: 0, vmCount: 3 });
        fleet.addWorker("near", "r1-1");
        ["far0", "far1", "far2"].forEach(id => fleet.addWorker(id, "r1-2"));
        await fleet.timer.advance(settleMs);
        const full = createStep({ resources: wholeWorker, estimateMs: 60_000, dataRack: "r1-1" });
        await fleet.submit(createSubmission("full", [full], {}, { workMs: 60_000 }));
        await fleet.timer.advance(settleMs);
        const steps = [
            createStep({ requiredLabel: "r1-2" }),
            createStep({ taskCount: 3, after: [0], dataRack: "r1-1" }),
        ];
        await fleet.submit(createSubmission("late", steps));
        while (!Number.isFinite(timeOf(fleet, "late.0.0", "toMs"))) {
            await fleet.timer.advance(10);
        }
        const turnAtMs = timeOf(fleet, "late.0.0", "toMs");
        await fleet.timer.advance(1_400);
        disturb(fleet);
        await fleet.timer.advance(8_000);
        return timeOf(fleet, "late.0.1", "fromMs") - turnAtMs;
    };

    it("starts far from its data within 2 s", async () => {
        assert.isBelow(await run(() => {}), 2_000);
    });

    it("does not wait as long again once the planner has stopped", async () => {
        const waitedMs = await run(fleet => void fleet.vms.get(fleet.planner() ?? "")?.stepDown());
        assert.isBelow(waitedMs, 3_000);
    });

    it("does not wait as long again once the planner has handed its term over as overloaded", async () => {
        const waitedMs = await run(fleet => {
            const slow = fleet.planner();
            fleet.eventLoopDelayMsOf = vm => vm === slow ? 400 : 0;
        });
        assert.isBelow(waitedMs, 3_000);
    });
});
