import { assert } from "chai";
import { decodeWorker } from "../platform/servers.js";
import { createWorkerClient } from "../platform/workers.js";
import { JobPhase } from "../src/jobs/types.js";
import { createEntryMetrics } from "../src/node/entryMetrics.js";
import { createJsonServer, listen } from "../src/utils/http.js";
import { maxListedEnds } from "../standins/runs/workerModel.js";
import { CallFault, createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet, FleetWorker } from "./fixtures/fleet.js";
import { findViolations } from "./fixtures/violations.js";
import { createWorkerEntry } from "./fixtures/workerEntry.js";

const tinyTask = { milliCores: 30, memoryMb: 50, accelerators: 0 };
const tasksPerJob = 600;
const jobIds = ["a1", "a2"];
/** Run time of a task: all tasks run when the worker is cut off, and all end before it is in contact again. */
const workMs = 3_000;
/** Shorter than a lease, so that the ends count. */
const cutOffMs = 5_000;

const phaseOf = async (fleet: Fleet, jobId: string): Promise<unknown> => {
    const phase = [...fleet.vms.values()][0].phase(jobId);
    await fleet.timer.advance(20);
    return phase;
};

/** Fills one worker with more tasks than an answer lists ends, and cuts the worker off while they run. */
const cutOffFullWorker = async (): Promise<{ fleet: Fleet; worker: FleetWorker; }> => {
    const fleet = createFleet({ workerCount: 2 });
    await fleet.timer.advance(1_000);
    for (const jobId of jobIds) {
        await fleet.submit(createSubmission(
            jobId,
            [createStep({ taskCount: tasksPerJob, resources: tinyTask, estimateMs: workMs })],
            {},
            { workMs },
        ));
    }
    await fleet.timer.advance(1_000);
    const [worker] = [...fleet.workers.values()].sort((left, right) =>
        right.model.runningCount() - left.model.runningCount()
    );
    assert.isAbove(worker.model.runningCount(), 2 * maxListedEnds, "one worker runs most of the tasks");
    worker.unreachable = true;
    return { fleet, worker };
};

const assertAllRanOnce = async (fleet: Fleet): Promise<void> => {
    assert.deepEqual(findViolations(fleet.spans), []);
    assert.lengthOf(fleet.spans, jobIds.length * tasksPerJob);
    for (const jobId of jobIds) {
        assert.equal(await phaseOf(fleet, jobId), JobPhase.Succeeded);
    }
};

// guards against done tasks that ran again, since the ends beyond those that one answer lists were taken for lost runs
describe("a worker with more ended runs than one answer lists", () => {
    it("has all of them recorded, and none of the tasks runs again", async () => {
        const { fleet, worker } = await cutOffFullWorker();
        await fleet.timer.advance(cutOffMs);
        worker.unreachable = false;
        await fleet.timer.advance(5_000);
        await assertAllRanOnce(fleet);
    });

    it("has all of them recorded by a planner that took over meanwhile", async () => {
        const { fleet, worker } = await cutOffFullWorker();
        await fleet.timer.advance(cutOffMs - 3_000);
        fleet.killVm(fleet.planner() ?? "");
        await fleet.timer.advance(3_000);
        worker.unreachable = false;
        await fleet.timer.advance(8_000);
        await assertAllRanOnce(fleet);
    });

    // guards against a run that never started and keeps its task waiting for good
    it("is still found not to have a run that never started there", async () => {
        const { fleet, worker } = await cutOffFullWorker();
        await fleet.timer.advance(cutOffMs);
        worker.unreachable = false;
        fleet.orderFault = (_vm, kind, workerId) =>
            kind === "start" && workerId === worker.descriptor.id ? CallFault.RequestLost : CallFault.None;
        await fleet.submit(createSubmission("b1", [createStep()], {}, { workMs: 100 }));
        await fleet.timer.advance(3_000);
        fleet.orderFault = () => CallFault.None;
        await fleet.timer.advance(8_000);
        assert.equal(await phaseOf(fleet, "b1"), JobPhase.Succeeded);
        assert.deepEqual(findViolations(fleet.spans), []);
    });
});

/** Polls a worker on the users' platform that answers with `count` ends. */
const pollWorkerWithEnds = async (count: number): Promise<boolean | undefined> => {
    const finished = Array.from({ length: count }, (_, index) => [index + 1, `a1.0.0.${index}`, 1, "done", ""]);
    const server = createJsonServer(async () => ({ status: 200, body: { "clock-ms": 1, running: [], finished } }));
    const port = await listen(server, "127.0.0.1", 0);
    const descriptor = decodeWorker("i-1", createWorkerEntry({ address: `127.0.0.1:${port}` }), 0);
    const client = createWorkerClient(descriptor!, createEntryMetrics(), () => 0);
    const held = await client.hold({ fencingToken: 1, acknowledged: 0 });
    client.close();
    server.closeAllConnections();
    server.close();
    return held.ok ? held.value.endsComplete : undefined;
};

describe("an answer of a worker on the users' platform", () => {
    it("lists all ends if they are fewer than one answer may list", async () => {
        assert.isTrue(await pollWorkerWithEnds(maxListedEnds - 1));
    });

    it("may list only the first ones otherwise", async () => {
        assert.isFalse(await pollWorkerWithEnds(maxListedEnds));
    });
});
