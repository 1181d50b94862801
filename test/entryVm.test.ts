import { assert } from "chai";
import { EndKind } from "../src/execution/types.js";
import { Acceptance } from "../src/jobs/commands/acceptJob.js";
import { JobPhase } from "../src/jobs/types.js";
import { CallFault, createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";
import { findViolations } from "./fixtures/violations.js";

/** Bound on the time from the end of one planner to the first order of the next. */
const maxGapMs = 3_000;
/** Time for the VMs to choose a planner. */
const settleMs = 1_000;

const phaseOn = async (fleet: Fleet, vm: string, jobId: string): Promise<unknown> => {
    const asked = fleet.vms.get(vm)?.phase(jobId);
    await fleet.timer.advance(20);
    return asked;
};

const startedFleet = async (options: Parameters<typeof createFleet>[0] = {}): Promise<Fleet> => {
    const fleet = createFleet(options);
    await fleet.timer.advance(settleMs);
    return fleet;
};

const plannerOf = (fleet: Fleet): string => {
    const planner = fleet.planner();
    assert.isDefined(planner, "some VM plans");
    return planner ?? "";
};

describe("a job on entry VMs", () => {
    it("goes from one VM through the planner to its end, and a third VM knows it", async () => {
        const fleet = await startedFleet();
        const steps = [createStep({ taskCount: 2 }), createStep({ taskCount: 3, after: [0] })];
        assert.equal(await fleet.submit(createSubmission("a1", steps)), Acceptance.Accepted);
        await fleet.timer.advance(3_000);
        for (const vm of fleet.vms.keys()) {
            assert.equal(await phaseOn(fleet, vm, "a1"), JobPhase.Succeeded);
        }
        const firstOfSecond = Math.min(
            ...fleet.spans.filter(span => span.task.startsWith("a1.0.1")).map(s => s.fromMs),
        );
        const lastOfFirst = Math.max(...fleet.spans.filter(s => s.task.startsWith("a1.0.0")).map(s => s.toMs ?? 0));
        assert.isAbove(firstOfSecond, lastOfFirst);
        assert.deepEqual(findViolations(fleet.spans), []);
    });

    it("is known and goes on after every process was killed", async () => {
        const fleet = await startedFleet();
        await fleet.submit(createSubmission("a1", [createStep({ taskCount: 4 })], {}, { workMs: 2_000 }));
        await fleet.timer.advance(500);
        [...fleet.vms.keys()].forEach(fleet.killVm);
        await fleet.timer.advance(1_000);
        ["vm0", "vm1", "vm2"].forEach(fleet.startVm);
        await fleet.timer.advance(6_000);
        assert.equal(await phaseOn(fleet, "vm2", "a1"), JobPhase.Succeeded);
        assert.deepEqual(findViolations(fleet.spans), []);
        assert.lengthOf(fleet.spans, 4, "what ran went on under the next planner");
    });

    it("is answered for as last known while the table is out of reach", async () => {
        const fleet = await startedFleet();
        await fleet.submit(createSubmission("a1", [createStep()], {}, { workMs: 3_000 }));
        await fleet.submit(createSubmission("a2", [createStep()], {}, { workMs: 300 }));
        await fleet.timer.advance(1_000);
        assert.equal(await phaseOn(fleet, "vm1", "a1"), JobPhase.Running);
        assert.equal(await phaseOn(fleet, "vm1", "a2"), JobPhase.Succeeded);
        fleet.tableDown = true;
        assert.equal(await phaseOn(fleet, "vm1", "a1"), JobPhase.Running);
        assert.equal(await phaseOn(fleet, "vm1", "a2"), JobPhase.Succeeded);
        assert.equal(await phaseOn(fleet, "vm1", "a3"), "unavailable", "nothing is made up");
    });

    it("is the same job when it is submitted again", async () => {
        const fleet = await startedFleet();
        const submission = createSubmission("a1", [createStep()]);
        await fleet.submit(submission);
        await fleet.timer.advance(2_000);
        assert.equal(await fleet.submit(submission), Acceptance.Accepted);
        await fleet.timer.advance(3_000);
        assert.lengthOf(fleet.spans, 1);
    });

    it("is never called refused while a write of it may still take effect", async () => {
        const fleet = await startedFleet();
        let writes = 0;
        fleet.faultOfCommit = (_vm, transaction) => {
            const isSubmission = transaction.writes.some(write => write.key.endsWith("/job"));
            writes += isSubmission ? 1 : 0;
            return isSubmission ? CallFault.Late : CallFault.None;
        };
        const accepted = fleet.submit(createSubmission("a1", [createStep()]));
        await fleet.timer.advance(8_000);
        assert.equal(await accepted, Acceptance.Unknown);
        assert.isAbove(writes, 0);
        assert.equal(await phaseOn(fleet, "vm1", "a1"), JobPhase.Succeeded, "the late write took effect");
    });

    it("stops within its bound when it is cancelled, and is not started again", async () => {
        const fleet = await startedFleet();
        await fleet.submit(createSubmission("a1", [createStep({ taskCount: 8 })], {}, { workMs: 20_000 }));
        await fleet.timer.advance(500);
        const cancelled = fleet.vms.get("vm1")?.cancel("a1");
        await fleet.timer.advance(1_000);
        assert.equal(await cancelled, "done");
        assert.isTrue(fleet.spans.every(span => span.kind === EndKind.Stopped));
        assert.equal(await phaseOn(fleet, "vm2", "a1"), JobPhase.Cancelled);
    });

    it("is forgotten some time after its end, on every VM", async () => {
        const fleet = await startedFleet();
        await fleet.submit(createSubmission("a1", [createStep()]));
        await fleet.timer.advance(20_000);
        assert.equal(await phaseOn(fleet, "vm1", "a1"), JobPhase.Succeeded);
        await fleet.timer.advance(30_000);
        assert.isUndefined(await phaseOn(fleet, "vm1", "a1"));
        assert.equal(fleet.rowCount(), 9, "the lease and a term row for each part are left");
    });

    it("fails after as many failed runs as its queue allows", async () => {
        const fleet = await startedFleet();
        const work = { workMs: 200, failures: 99 };
        await fleet.submit(createSubmission("a1", [createStep()], { maxAttempts: 3 }, work));
        await fleet.timer.advance(8_000);
        assert.equal(await phaseOn(fleet, "vm0", "a1"), JobPhase.Failed);
        assert.lengthOf(fleet.spans, 3);
    });
});

describe("the planner", () => {
    it("is replaced in time when it is killed, and what runs goes on", async () => {
        const fleet = await startedFleet();
        await fleet.submit(createSubmission("a1", [createStep({ taskCount: 4 })], {}, { workMs: 8_000 }));
        await fleet.timer.advance(500);
        const killedAtMs = fleet.timer.nowMs();
        fleet.killVm(plannerOf(fleet));
        await fleet.submit(createSubmission("b1", [createStep()]));
        await fleet.timer.advance(10_000);
        const next = fleet.spans.find(span => span.task.startsWith("b1"));
        assert.isBelow((next?.fromMs ?? Infinity) - killedAtMs, maxGapMs);
        assert.lengthOf(fleet.spans.filter(span => span.task.startsWith("a1")), 4);
        assert.deepEqual(findViolations(fleet.spans), []);
    });

    it("is a strong VM while there is one, and a weak one in time otherwise", async () => {
        const fleet = createFleet();
        fleet.powerOf = vm => vm === "vm2" ? 1 : 0.25;
        await fleet.timer.advance(settleMs);
        assert.equal(plannerOf(fleet), "vm2");
        const killedAtMs = fleet.timer.nowMs();
        fleet.killVm("vm2");
        await fleet.submit(createSubmission("b1", [createStep()]));
        await fleet.timer.advance(5_000);
        assert.isBelow((fleet.spans[0]?.fromMs ?? Infinity) - killedAtMs, maxGapMs);
    });

    it("hands its term over when it is told to stop", async () => {
        const fleet = await startedFleet();
        const first = plannerOf(fleet);
        const toldAtMs = fleet.timer.nowMs();
        void fleet.vms.get(first)?.retire();
        await fleet.submit(createSubmission("b1", [createStep()]));
        await fleet.timer.advance(2_000);
        assert.notEqual(plannerOf(fleet), first);
        const started = fleet.spans.find(span => span.task.startsWith("b1"));
        assert.isBelow((started?.fromMs ?? Infinity) - toldAtMs, 1_000);
    });

    it("keeps its term through an outage of the table, and work goes on", async () => {
        const fleet = await startedFleet();
        await fleet.submit(createSubmission("a1", [createStep({ taskCount: 4 })], {}, { workMs: 9_000 }));
        await fleet.timer.advance(500);
        const first = plannerOf(fleet);
        fleet.tableDown = true;
        await fleet.timer.advance(5_000);
        fleet.tableDown = false;
        await fleet.timer.advance(6_000);
        assert.equal(plannerOf(fleet), first);
        assert.equal(await phaseOn(fleet, first, "a1"), JobPhase.Succeeded);
        assert.lengthOf(fleet.spans, 4);
    });

    it("loses its term when it alone is cut from the table, and runs nothing twice", async () => {
        const fleet = await startedFleet();
        const first = plannerOf(fleet);
        fleet.cutFromTable.add(first);
        for (let index = 0; index < 6; index++) {
            await fleet.timer.advance(600);
            const other = [...fleet.vms].find(([name]) => name !== first)?.[1];
            void other?.accept(createSubmission(`j${index}`, [createStep({ taskCount: 3 })]), 3_000);
        }
        await fleet.timer.advance(6_000);
        fleet.cutFromTable.clear();
        await fleet.timer.advance(3_000);
        assert.notEqual(plannerOf(fleet), first);
        assert.deepEqual(findViolations(fleet.spans), []);
        assert.lengthOf(fleet.spans.filter(span => span.kind === EndKind.Done), 18);
    });
});

describe("a worker in trouble", () => {
    it("on which a short task stands still loses it after two looks", async () => {
        const fleet = await startedFleet({ savesProgress: () => false });
        await fleet.submit(createSubmission("a1", [createStep({ estimateMs: 2_500 })], {}, { workMs: 3_600_000 }));
        await fleet.timer.advance(3_500);
        const [first] = fleet.spans;
        assert.isBelow((first.toMs ?? Infinity) - first.fromMs, 2_700);
    });

    it("keeps long work whose progress shows only every few seconds", async () => {
        const fleet = await startedFleet({ savesProgress: () => false });
        const hours = { workMs: 4 * 3_600_000 };
        await fleet.submit(createSubmission("a1", [createStep({ estimateMs: hours.workMs / 4 })], {}, hours));
        await fleet.timer.advance(200_000);
        assert.lengthOf(fleet.spans, 1);
        assert.isUndefined(fleet.spans[0].toMs);
    });

    it("that is gone for good gives its tasks up once their lease has lapsed", async () => {
        const fleet = await startedFleet();
        await fleet.submit(createSubmission("a1", [createStep({ taskCount: 8 })], {}, { workMs: 3_000 }));
        await fleet.timer.advance(500);
        const worker = fleet.spans[0].worker;
        fleet.removeWorker(worker);
        await fleet.timer.advance(14_000);
        assert.equal(await phaseOn(fleet, "vm0", "a1"), JobPhase.Succeeded);
        assert.deepEqual(findViolations(fleet.spans), []);
    });

    it("that is cut off and runs on keeps its tasks to itself until their lease has lapsed", async () => {
        const fleet = await startedFleet({ clockRate: 0.98 });
        await fleet.submit(createSubmission("a1", [createStep({ taskCount: 8 })], {}, { workMs: 20_000 }));
        await fleet.timer.advance(500);
        const worker = fleet.workers.get(fleet.spans[0].worker);
        if (worker !== undefined) {
            worker.silent = true;
        }
        await fleet.timer.advance(15_000);
        assert.isAbove(fleet.spans.length, 8, "its tasks were started elsewhere");
        if (worker !== undefined) {
            worker.silent = false;
        }
        await fleet.timer.advance(30_000);
        assert.deepEqual(findViolations(fleet.spans), []);
        assert.equal(await phaseOn(fleet, "vm0", "a1"), JobPhase.Succeeded);
    });

    it("that fell silent while it was idle delays what is started there by little more than that start's lease", async () => {
        const fleet = await startedFleet({ workerCount: 2 });
        const [silent] = [...fleet.workers.values()];
        silent.silent = true;
        const submittedAtMs = fleet.timer.nowMs();
        await fleet.submit(createSubmission("a1", [createStep()]));
        await fleet.timer.advance(6_000);
        assert.isDefined(fleet.lines.find(line => line.message === "worker does not answer"), "it was tried");
        assert.isBelow(fleet.spans[0].fromMs - submittedAtMs, 3_500);
    });

    it("that starts anew under its id gives up what it ran at once", async () => {
        const fleet = await startedFleet();
        await fleet.submit(createSubmission("a1", [createStep({ taskCount: 8 })], {}, { workMs: 2_000 }));
        await fleet.timer.advance(500);
        fleet.rebirth(fleet.spans[0].worker);
        await fleet.timer.advance(3_500);
        assert.equal(await phaseOn(fleet, "vm0", "a1"), JobPhase.Succeeded);
        assert.deepEqual(findViolations(fleet.spans), []);
    });

    it("that carries orders out late runs nothing twice", async () => {
        const fleet = await startedFleet();
        let orders = 0;
        fleet.faultOfOrder = (_vm, kind) => {
            orders += 1;
            const late = orders % 2 === 0 ? CallFault.Late : CallFault.LateWithinLease;
            return kind !== "hold" && orders % 3 === 0 ? late : CallFault.None;
        };
        for (let index = 0; index < 8; index++) {
            await fleet.submit(createSubmission(`j${index}`, [createStep({ taskCount: 3 })]));
            await fleet.timer.advance(400);
        }
        fleet.faultOfOrder = () => CallFault.None;
        await fleet.timer.advance(15_000);
        assert.deepEqual(findViolations(fleet.spans), []);
        for (let index = 0; index < 8; index++) {
            assert.equal(await phaseOn(fleet, "vm0", `j${index}`), JobPhase.Succeeded, `j${index}`);
        }
    });
});
