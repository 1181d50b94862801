import { assert } from "chai";
import { EndKind } from "../src/execution/types.js";
import type { EndedRun } from "../src/execution/types.js";
import { createWorkerLease } from "../src/execution/workerLease.js";
import type { WorkerLease } from "../src/execution/workerLease.js";
import type { TimerService } from "../src/utils/timer.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";

const markFirstTaskDone = (end: EndedRun): EndedRun => end.task.index === 0 ? { ...end, kind: EndKind.Done } : end;

const leaseMs = 8_000;
/** Longest network partition of an availability zone that running work is to survive. */
const partitionMs = 6_500;
/** Bound on the restart of a long-running task whose worker was lost. */
const longRunningRestartMs = 9_000;

const createLease = (timer: TimerService, longestLeaseMs = leaseMs): WorkerLease =>
    createWorkerLease({ timer, leaseMs, longestLeaseMs, earlierLeasesExpireAtMs: timer.nowMs() + 16_000 });

describe("the lease of a worker's runs", () => {
    it("is assumed to last as long as an earlier planner may have granted, once the worker has answered", async () => {
        const timer = createVirtualTimer();
        const lease = createLease(timer);
        await timer.advance(100);
        lease.recordClock(500);
        lease.boundEarlierLeases();
        assert.isAtLeast(lease.expiresAtMs(), timer.nowMs() + leaseMs);
        assert.isBelow(lease.expiresAtMs(), timer.nowMs() + 10_000);
    });

    it("is not extended by later answers without a renewal", async () => {
        const timer = createVirtualTimer();
        const lease = createLease(timer);
        lease.recordClock(500);
        lease.boundEarlierLeases();
        const expiresAtMs = lease.expiresAtMs();
        await timer.advance(1_000);
        lease.recordClock(1_500);
        lease.boundEarlierLeases();
        assert.equal(lease.expiresAtMs(), expiresAtMs);
    });
});

describe("a worker that returns after its runs were given up and started elsewhere", () => {
    // guards against work thrown away: the end stopped all tasks of the step whose present runs had the same number
    it("stops the second run of the task that is done, and no other task of its step", async () => {
        const fleet = createFleet({ workerCount: 2 });
        await fleet.timer.advance(1_000);
        const placements = new Set<string>();
        await fleet.submit(createSubmission("a1", [createStep({ taskCount: 2 })], {}, { workMs: 20_000 }));
        await fleet.timer.advance(1_000);
        fleet.spans.forEach(span => placements.add(span.worker));
        assert.lengthOf([...placements], 1, "both tasks run on one worker");
        const worker = fleet.workers.get(fleet.spans[0].worker);
        assert.isDefined(worker);
        worker.unreachable = true;
        await fleet.timer.advance(12_000);
        assert.deepEqual(fleet.spans.map(({ run }) => run), [1, 1, 2, 2]);
        const { hold } = worker.model;
        worker.model.hold = order => {
            const held = hold(order);
            return held.ok
                ? { ...held, value: { ...held.value, ended: held.value.ended.map(markFirstTaskDone) } }
                : held;
        };
        worker.unreachable = false;
        await fleet.timer.advance(3_000);
        assert.deepEqual(fleet.spans.slice(2).map(({ task, kind }) => [task, kind]), [
            ["a1.0.0.0", EndKind.Stopped],
            ["a1.0.0.1", undefined],
        ]);
    });
});

describe("a worker that is cut off for some seconds and runs on", () => {
    it("completes its runs, which are neither given up nor started elsewhere", async () => {
        const fleet = createFleet();
        await fleet.timer.advance(1_000);
        await fleet.submit(createSubmission("a1", [createStep()], {}, { workMs: 9_000 }));
        await fleet.timer.advance(2_500);
        const worker = fleet.workers.get(fleet.spans[0].worker);
        assert.isDefined(worker);
        worker.unreachable = true;
        await fleet.timer.advance(partitionMs);
        worker.unreachable = false;
        await fleet.timer.advance(4_000);
        assert.deepEqual(fleet.spans.map(({ run, kind }) => [run, kind]), [[1, EndKind.Done]]);
        const phase = fleet.vms.get("vm1")?.phase("a1");
        await fleet.timer.advance(50);
        assert.equal(await phase, "succeeded");
    });

    it("loses its long-running tasks to another worker soon if it does not return", async () => {
        const fleet = createFleet();
        await fleet.timer.advance(1_000);
        await fleet.submit(createSubmission("a1", [createStep({ longRunning: true })], {}, { workMs: 600_000 }));
        await fleet.timer.advance(2_500);
        const worker = fleet.workers.get(fleet.spans[0].worker);
        worker?.model.crash();
        if (worker !== undefined) {
            worker.unreachable = true;
        }
        await fleet.timer.advance(longRunningRestartMs);
        assert.lengthOf(fleet.spans, 2);
    });
});
