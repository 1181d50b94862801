import { assert } from "chai";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";

describe("headroom of a planner with timed urgent work", () => {
    const wholeWorker = { milliCores: 64_000, memoryMb: 200_000, accelerators: 8 };

    /** Starts a gang of six whole workers while urgent jobs end one after another; returns how long it waited. */
    const waitBesideUrgentWork = async (disturb: (fleet: Fleet) => Promise<unknown>): Promise<number> => {
        const fleet = createFleet({ workerCount: 16, vmCount: 1 });
        await fleet.timer.advance(1_000);
        const long = createStep({ taskCount: 8, resources: wholeWorker, estimateMs: 60_000 });
        await fleet.submit(createSubmission("long", [long], {}, { workMs: 60_000 }));
        await disturb(fleet);
        for (const endsAfterS of [3, 6, 9, 12]) {
            const workMs = endsAfterS * 1_000;
            const step = createStep({ resources: wholeWorker, estimateMs: workMs });
            await fleet.submit(createSubmission(`urgent${endsAfterS}`, [step], { priority: 0 }, { workMs }));
        }
        await fleet.timer.advance(1_000);
        const gang = createStep({ taskCount: 6, gang: true, resources: wholeWorker });
        await fleet.submit(createSubmission("gang", [gang]));
        const submittedAtMs = fleet.timer.nowMs();
        await fleet.timer.advance(20_000);
        const started = fleet.spans.find(({ task }) => task.startsWith("gang."));
        return (started?.fromMs ?? Number.POSITIVE_INFINITY) - submittedAtMs;
    };

    it("ends ten seconds after the latest arrival", async () => {
        assert.isBelow(await waitBesideUrgentWork(async () => {}), 10_500);
    });

    it("does not count occurrences that are not due as arrivals", async () => {
        const waitedMs = await waitBesideUrgentWork(fleet => {
            const timed = {
                priority: 0,
                repeatCount: 2,
                startAtMs: fleet.timer.wallClockMs() + 90_000,
                intervalMs: 10_000,
            };
            return fleet.submit(createSubmission("timed", [createStep()], timed));
        });
        assert.isBelow(waitedMs, 10_500);
    });
});
