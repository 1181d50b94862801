import { assert } from "chai";
import { Acceptance } from "../src/jobs/commands/acceptJob.js";
import { jobsTable, plannerTable, progressTable } from "../src/jobs/rows.js";
import { createPeerDirectory } from "../src/state/peerDirectory.js";
import { createLatenessMeter } from "../src/utils/lateness.js";
import { succeed } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";
import { findViolations } from "./fixtures/violations.js";

/** Time in which a planner keeps its term in any case, with the change of planner after it. */
const changeMs = 5_000;
/** Longest time without a planner that can order. */
const maxGapMs = 3_000;
const weakPower = 0.24;

const longestGap = (fleet: Fleet): number => {
    const begun = fleet.logLines.filter(line => line.message === "planning begins").map(line => line.timeMs);
    const ended = fleet.logLines.filter(line => line.message === "term handed over").map(line => line.timeMs);
    return Math.max(...ended.map(endMs => Math.min(...begun.filter(beginMs => beginMs >= endMs)) - endMs));
};

describe("the VM that plans", () => {
    it("leaves the term to a stronger one that registered after it had begun", async () => {
        const fleet = createFleet({ vmCount: 1 });
        await fleet.timer.advance(1_000);
        assert.equal(fleet.planner(), "vm0");
        await fleet.submit(createSubmission("a1", [createStep({ taskCount: 4 })], {}, { workMs: 8_000 }));
        fleet.relativePowerOf = vm => vm === "vm0" ? weakPower : 1;
        fleet.startVm("strong");
        await fleet.timer.advance(changeMs);
        assert.equal(fleet.planner(), "strong");
        assert.isAtMost(longestGap(fleet), maxGapMs);
        await fleet.timer.advance(8_000);
        assert.lengthOf(fleet.spans, 4, "what ran went on under the next planner");
        assert.deepEqual(findViolations(fleet.spans), []);
    });

    it("goes on when the stronger ones that it knows of are gone", async () => {
        const fleet = createFleet({ vmCount: 1 });
        fleet.relativePowerOf = () => weakPower;
        await fleet.timer.advance(changeMs + maxGapMs);
        assert.equal(fleet.planner(), "vm0");
        await fleet.submit(createSubmission("a1", [createStep({ taskCount: 4 })]));
        await fleet.timer.advance(changeMs * 4);
        assert.lengthOf(fleet.spans, 4);
        assert.lengthOf(fleet.logLines.filter(line => line.message === "term handed over"), 1);
    });

    it("tells every other VM how many jobs wait, and nothing else of them", async () => {
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
            assert.isFalse(followed.get(name)?.has(progressTable), "progress is read when it is needed");
        }
    });

    it("counts itself as weak until it has read how strong the others are", async () => {
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

    it("finds out that its processor cannot keep up by how late its timers fire", async () => {
        const timer = createVirtualTimer();
        let busyMs = 0;
        const meter = createLatenessMeter({ ...timer, nowMs: () => timer.nowMs() + busyMs });
        await timer.advance(3_000);
        assert.equal(meter.meanMs(), 0);
        for (let tick = 0; tick < 20; tick++) {
            busyMs += 400;
            await timer.advance(100);
        }
        assert.isAbove(meter.meanMs(), 150);
        await timer.advance(6_000);
        assert.isBelow(meter.meanMs(), 50);
        meter.stop();
    });
});
