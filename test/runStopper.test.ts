import { assert } from "chai";
import { EndKind, Refusal } from "../src/execution/types.js";
import { CallFault, createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";

/** Token of the first planner's first session with a worker. */
const firstFencingToken = 1_000;

/** Adds a run to a worker that no planner ordered, as an order of an earlier incarnation does when it arrives late. */
const startUnknownRun = (fleet: Fleet, workMs: number): void => {
    const { model } = fleet.workers.get("w0") ?? assert.fail("there is a worker");
    const started = model.start({
        task: { jobId: "unknown", occurrence: 0, step: 0, index: 0 },
        run: 1,
        spec: JSON.stringify({ workMs }),
        untilClockMs: 100_000,
        checkpoint: "",
        fencingToken: firstFencingToken,
    });
    assert.isTrue(started.ok);
};

describe("a run that no planner ordered", () => {
    // guards against fences that were dropped when an unhealthy worker refused them
    it("is stopped once the worker that refused the stop is healthy again", async () => {
        const fleet = createFleet({ workerCount: 1 });
        await fleet.timer.advance(1_000);
        const { model, descriptor } = fleet.workers.get("w0") ?? assert.fail("there is a worker");
        const stopHealthy = model.stop;
        let stops = 0;
        model.stop = () => {
            stops += 1;
            return { ok: false, error: { kind: "refused", refusal: Refusal.Unhealthy, detail: "503" } };
        };
        startUnknownRun(fleet, 60_000);
        await fleet.submit(createSubmission("a1", [createStep()], {}, { workMs: 500 }));
        await fleet.timer.advance(800);
        assert.isAbove(stops, 0);
        // not listed any more, so that it is not found again
        const { bornMs } = descriptor;
        model.hold = () => ({
            ok: true,
            value: { clockMs: 2_000, bornMs, running: [], ended: [], endsComplete: true },
        });
        await fleet.timer.advance(1_000);
        model.stop = stopHealthy;
        await fleet.timer.advance(2_000);
        assert.isDefined(fleet.spans.find(({ task }) => task === "unknown.0.0.0")?.toMs);
    });

    // guards against workers that refused a start for want of room and were not polled, as nothing was known to run there
    it("is found and stopped when it keeps the worker from starting a task", async () => {
        const fleet = createFleet({ workerCount: 1 });
        await fleet.timer.advance(1_000);
        const { model } = fleet.workers.get("w0") ?? assert.fail("there is a worker");
        startUnknownRun(fleet, 60_000);
        const startWithRoom = model.start;
        model.start = order =>
            model.runningCount() > 0
                ? { ok: false, error: { kind: "refused", refusal: Refusal.NoRoom, clockMs: 1_500, detail: "409 room" } }
                : startWithRoom(order);
        await fleet.submit(createSubmission("a1", [createStep()], {}, { workMs: 500 }));
        await fleet.timer.advance(2_000);
        assert.deepEqual(fleet.spans.map(({ task, kind }) => [task, kind]), [
            ["unknown.0.0.0", EndKind.Stopped],
            ["a1.0.0.0", EndKind.Done],
        ]);
    });
});

describe("a run that is to be stopped on an unhealthy worker", () => {
    // guards against runs of cancelled jobs that worked on: a refusal as unhealthy counted as the end of the run
    it("is stopped once the worker is healthy again", async () => {
        const fleet = createFleet({ workerCount: 1 });
        await fleet.timer.advance(1_000);
        await fleet.submit(createSubmission("a1", [createStep()], {}, { workMs: 60_000 }));
        await fleet.timer.advance(500);
        const { model } = fleet.workers.get("w0") ?? assert.fail("there is a worker");
        const stopHealthy = model.stop;
        model.stop = () => ({
            ok: false,
            error: { kind: "refused", refusal: Refusal.Unhealthy, detail: "503" },
        });
        void fleet.vms.get("vm1")?.cancel("a1");
        await fleet.timer.advance(2_000);
        model.stop = stopHealthy;
        await fleet.timer.advance(2_000);
        assert.deepEqual(fleet.spans.map(({ kind }) => kind), [EndKind.Stopped]);
    });
});

describe("a stop that is overtaken by an order of the same session with a higher fencing token", () => {
    // guards against runs of cancelled jobs that worked on: the refusal counted as the end of the run
    it("is sent again", async () => {
        const fleet = createFleet({ workerCount: 1 });
        await fleet.timer.advance(1_000);
        await fleet.submit(createSubmission("a1", [createStep()], {}, { workMs: 60_000 }));
        await fleet.submit(createSubmission("a2", [createStep()], {}, { workMs: 1_000 }));
        let hasLostAnswer = false;
        fleet.orderFault = (_vm, _kind, _worker, acknowledged) => {
            const isLost = acknowledged > 0 && !hasLostAnswer;
            hasLostAnswer ||= isLost;
            return isLost ? CallFault.AnswerLost : CallFault.None;
        };
        fleet.orderDelayMs = (_vm, kind) => kind === "stop" ? 800 : 0;
        await fleet.timer.advance(1_500);
        assert.isTrue(hasLostAnswer);
        void fleet.vms.get("vm1")?.cancel("a1");
        await fleet.timer.advance(4_000);
        assert.deepEqual(fleet.spans.map(({ task, kind }) => [task, kind]), [
            ["a1.0.0.0", EndKind.Stopped],
            ["a2.0.0.0", EndKind.Done],
        ]);
    });
});
