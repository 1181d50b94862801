import { assert } from "chai";
import { EndKind } from "../src/execution/types.js";
import { CallFault, createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";

/** Time after which no task of a cancelled job may be at work: 3 s for the cancellation, 0.2 s for the stop. */
const maxGoneMs = 3_200;
/** Long enough for the clock of a first incarnation to be far ahead of that of the next. */
const settleMs = 20_000;
/** Time in which the run that may not have started is stopped and given up. */
const givenUpMs = 1_200;
const wholeWorker = { milliCores: 64_000, memoryMb: 256_000, accelerators: 8 };

/** Submits a job whose start order on the only worker gets no answer and is carried out 4 s later, and cancels it. */
const cancelJobStartedLate = async (fleet: Fleet): Promise<number> => {
    await fleet.timer.advance(settleMs);
    fleet.orderFault = (_vm, kind) => kind === "start" ? CallFault.Late : CallFault.None;
    await fleet.submit(createSubmission("a1", [createStep({ resources: wholeWorker })], {}, { workMs: 60_000 }));
    await fleet.timer.advance(1_500);
    const cancelled = [...fleet.vms.values()][0].cancel("a1");
    await fleet.timer.advance(100);
    await cancelled;
    return fleet.timer.nowMs();
};

/** Time for which tasks were at work after the time by which they have to be gone. */
const workedLateMs = (fleet: Fleet, cancelledAtMs: number): number[] =>
    fleet.spans.map(({ toMs = fleet.timer.nowMs() }) => toMs - cancelledAtMs - maxGoneMs).filter(late => late > 0);

describe("a start order of a cancelled job that arrives late", () => {
    it("starts nothing on the worker that it was sent to", async () => {
        const fleet = createFleet({ workerCount: 1 });
        const cancelledAtMs = await cancelJobStartedLate(fleet);
        await fleet.timer.advance(15_000);
        assert.deepEqual(workedLateMs(fleet, cancelledAtMs), []);
    });

    // guards against runs that no planner knew of, which lasted until their lease ended
    for (const downMs of [0, 300, 900]) {
        it(`starts nothing on the worker's next incarnation, ${downMs} ms after the earlier one`, async () => {
            const fleet = createFleet({ workerCount: 1 });
            const cancelledAtMs = await cancelJobStartedLate(fleet);
            const worker = fleet.workers.get("w0")!;
            await fleet.timer.advance(givenUpMs);
            if (downMs > 0) {
                fleet.removeWorker("w0");
                await fleet.timer.advance(downMs);
                fleet.workers.set("w0", worker);
            }
            fleet.restartWorker("w0");
            await fleet.timer.advance(15_000);
            assert.deepEqual(workedLateMs(fleet, cancelledAtMs), []);
        });
    }
});

describe("a run of a cancelled job on a worker that is not listed any more", () => {
    // guards against planners that did not know the address of a worker whose entry was gone when they took over
    it("is stopped by a planner that took over since", async () => {
        const fleet = createFleet({ workerCount: 2 });
        await fleet.timer.advance(settleMs);
        await fleet.submit(createSubmission("a1", [createStep()], {}, { workMs: 60_000 }));
        await fleet.timer.advance(1_000);
        fleet.unlisted.add(fleet.spans[0].worker);
        fleet.notify();
        await fleet.timer.advance(500);
        fleet.killVm(fleet.planner() ?? "");
        await fleet.timer.advance(3_500);
        const cancelled = [...fleet.vms.values()][0].cancel("a1");
        await fleet.timer.advance(100);
        await cancelled;
        const cancelledAtMs = fleet.timer.nowMs();
        await fleet.timer.advance(15_000);
        assert.deepEqual(workedLateMs(fleet, cancelledAtMs), []);
        assert.deepEqual(fleet.spans.map(({ kind }) => kind), [EndKind.Stopped]);
    });
});

describe("a run of a cancelled job on a worker whose service has left the configuration", () => {
    it("is stopped, also by a planner that took over since", async () => {
        const services = ["doves"];
        const fleet = createFleet({ workerCount: 1, configuration: { services } });
        await fleet.timer.advance(settleMs);
        await fleet.submit(createSubmission("a1", [createStep()], {}, { workMs: 60_000 }));
        await fleet.timer.advance(1_000);
        services.pop();
        fleet.notify();
        await fleet.timer.advance(500);
        fleet.killVm(fleet.planner() ?? "");
        await fleet.timer.advance(4_000);
        assert.isUndefined(fleet.spans[0].toMs, "the run goes on");
        const cancelled = [...fleet.vms.values()][0].cancel("a1");
        await fleet.timer.advance(100);
        await cancelled;
        const cancelledAtMs = fleet.timer.nowMs();
        await fleet.timer.advance(5_000);
        assert.deepEqual(workedLateMs(fleet, cancelledAtMs), []);
        assert.deepEqual(fleet.spans.map(({ kind }) => kind), [EndKind.Stopped]);
    });
});
