import { assert } from "chai";
import { EndKind, Refusal } from "../src/execution/types.js";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";

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
