import { assert } from "chai";
import { Refusal } from "../src/execution/types.js";
import { Acceptance } from "../src/jobs/commands/acceptJob.js";
import { jobsTable, plannerTable, progressTable } from "../src/jobs/rows.js";
import { JobPhase } from "../src/jobs/types.js";
import { createPeerDirectory } from "../src/state/peerDirectory.js";
import { createEventLoopDelayMonitor } from "../src/utils/eventLoopDelay.js";
import { succeed } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";
import { findViolations } from "./fixtures/violations.js";

/** Time for a handover: the minimum age of the term before it, then the change of planner. */
const handoverMs = 5_000;
/** Maximum time without a planner that can send orders. */
const maxGapMs = 3_000;
const weakPower = 0.24;

const longestGap = (fleet: Fleet): number => {
    const beginTimesMs = fleet.logLines.filter(line => line.message === "planning begins").map(line => line.timeMs);
    const handoverTimesMs = fleet.logLines.filter(line => line.message === "term handed over").map(line => line.timeMs);
    return Math.max(
        ...handoverTimesMs.map(endMs => Math.min(...beginTimesMs.filter(beginMs => beginMs >= endMs)) - endMs),
    );
};

describe("the VM that is the planner", () => {
    it("hands the term over to a stronger VM that registered later", async () => {
        const fleet = createFleet({ vmCount: 1 });
        await fleet.timer.advance(1_000);
        assert.equal(fleet.planner(), "vm0");
        await fleet.submit(createSubmission("a1", [createStep({ taskCount: 4 })], {}, { workMs: 8_000 }));
        fleet.relativePowerOf = vm => vm === "vm0" ? weakPower : 1;
        fleet.startVm("strong");
        await fleet.timer.advance(handoverMs);
        assert.equal(fleet.planner(), "strong");
        assert.isAtMost(longestGap(fleet), maxGapMs);
        await fleet.timer.advance(8_000);
        assert.lengthOf(fleet.spans, 4, "running tasks continue under the next planner");
        assert.deepEqual(findViolations(fleet.spans), []);
    });

    it("acquires the term again, and keeps it, when the stronger VMs in its directory are gone", async () => {
        const fleet = createFleet({ vmCount: 1 });
        fleet.relativePowerOf = () => weakPower;
        await fleet.timer.advance(handoverMs + maxGapMs);
        assert.equal(fleet.planner(), "vm0");
        await fleet.submit(createSubmission("a1", [createStep({ taskCount: 4 })]));
        await fleet.timer.advance(handoverMs * 4);
        assert.lengthOf(fleet.spans, 4);
        assert.lengthOf(fleet.logLines.filter(line => line.message === "term handed over"), 1);
    });

    it("hands the term over as overloaded once, and the next one keeps it if the work overloads it too", async () => {
        const fleet = createFleet({ vmCount: 4 });
        fleet.eventLoopDelayMsOf = () => 400;
        await fleet.timer.advance(25_000);
        assert.lengthOf(fleet.logLines.filter(line => line.message === "term handed over"), 1);
        await fleet.submit(createSubmission("a1", [createStep({ taskCount: 4 })]));
        await fleet.timer.advance(3_000);
        assert.lengthOf(fleet.spans, 4);
    });

    it("hands the term over to a stronger VM although another one was overloaded just before", async () => {
        const fleet = createFleet({ vmCount: 2 });
        fleet.relativePowerOf = vm => vm === "vm0" ? 1 : weakPower;
        fleet.eventLoopDelayMsOf = () => 400;
        await fleet.timer.advance(15_000);
        assert.equal(fleet.planner(), "vm0");
        assert.lengthOf(fleet.logLines.filter(line => line.message === "term handed over"), 2);
    });

    it("hands the term over as overloaded again when a VM has become slow much later", async () => {
        const fleet = createFleet({ vmCount: 3 });
        fleet.eventLoopDelayMsOf = () => 400;
        await fleet.timer.advance(10_000);
        const slow = fleet.planner();
        fleet.eventLoopDelayMsOf = vm => vm === slow ? 400 : 0;
        await fleet.timer.advance(40_000);
        assert.isDefined(fleet.planner());
        assert.notEqual(fleet.planner(), slow);
    });

    it("publishes the number of waiting jobs to the other VMs, and nothing else of them", async () => {
        const fleet = createFleet({ vmCount: 3 });
        const followed = new Map<string, Set<string>>();
        fleet.onChangesRequested = (vm, table) => followed.set(vm, (followed.get(vm) ?? new Set()).add(table));
        await fleet.timer.advance(1_000);
        for (let index = 0; index < 20; index++) {
            const submission = createSubmission(`a${index}`, [createStep({ taskCount: 4 })], {}, { workMs: 60_000 });
            assert.equal(await fleet.submit(submission), Acceptance.Accepted);
        }
        await fleet.timer.advance(2_000);
        const waiting = 20 - new Set(fleet.spans.map(span => span.task.split(".")[0])).size;
        assert.isAbove(waiting, 0);
        const planner = fleet.planner() ?? "";
        for (const [name, vm] of fleet.vms) {
            assert.equal(vm.pending("bookings"), waiting, name);
            assert.equal(followed.get(name)?.has(jobsTable), name === planner, `${name} follows the jobs`);
            assert.isTrue(followed.get(name)?.has(plannerTable));
            assert.isFalse(followed.get(name)?.has(progressTable), "progress is read on demand");
        }
    });

    // guards against jobs that were missing from the count, since they had been placed on a worker that refused them
    it("counts jobs whose start orders were refused, and shows them as queued", async () => {
        const fleet = createFleet({ workerCount: 1, vmCount: 3 });
        await fleet.timer.advance(1_000);
        const { model } = fleet.workers.get("w0") ?? assert.fail("there is a worker");
        const startHealthy = model.start;
        model.start = () => ({ ok: false, error: { kind: "refused", refusal: Refusal.Unhealthy, detail: "503" } });
        for (let index = 0; index < 4; index++) {
            await fleet.submit(createSubmission(`a${index}`, [createStep()]));
        }
        await fleet.timer.advance(5_000);
        [...fleet.vms].forEach(([name, vm]) => assert.equal(vm.pending("bookings"), 4, name));
        const phase = fleet.vms.get("vm0")?.phase("a0");
        await fleet.timer.advance(20);
        assert.equal(await phase, JobPhase.Queued);
        fleet.killVm(fleet.planner() ?? "");
        await fleet.timer.advance(5_000);
        [...fleet.vms].forEach(([name, vm]) => assert.equal(vm.pending("bookings"), 4, name));
        model.start = startHealthy;
        await fleet.timer.advance(6_000);
        [...fleet.vms].forEach(([name, vm]) => assert.equal(vm.pending("bookings"), 0, name));
    });

    it("has a relative power of 0 until it has read the processing power of the others", async () => {
        const timer = createVirtualTimer();
        const strong = { table: "vms", part: "", key: "b", version: 1, value: { address: "b:1", cores: 2 } };
        const read = async () => {
            await timer.sleep(50);
            return succeed({ rows: [strong], version: 1 });
        };
        const state = { commit: async () => succeed({ version: 1 }), read, changes: read };
        const own = { name: "a", address: "a:1", cores: 1 };
        const peers = createPeerDirectory(state, timer, () => {}, own);
        assert.equal(peers.relativePower(), 0);
        await timer.advance(100);
        assert.equal(peers.relativePower(), 0.5);
        peers.stop();
    });

    it("detects an overloaded processor by its event loop delay", async () => {
        const timer = createVirtualTimer();
        let busyMs = 0;
        const monitor = createEventLoopDelayMonitor({ ...timer, nowMs: () => timer.nowMs() + busyMs });
        await timer.advance(3_000);
        assert.equal(monitor.meanMs(), 0);
        for (let tick = 0; tick < 20; tick++) {
            busyMs += 400;
            await timer.advance(100);
        }
        assert.isAbove(monitor.meanMs(), 150);
        await timer.advance(6_000);
        assert.isBelow(monitor.meanMs(), 50);
        monitor.stop();
    });
});
