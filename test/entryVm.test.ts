import { assert } from "chai";
import { EndKind } from "../src/execution/types.js";
import { Acceptance } from "../src/jobs/commands/acceptJob.js";
import { JobPhase } from "../src/jobs/types.js";
import { CallFault, createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";
import { findViolations } from "./fixtures/violations.js";

/** Upper bound on the time from the end of one planner to the first order of the next. */
const maxTakeoverGapMs = 3_000;
/** Time for the VMs to elect a planner. */
const electionMs = 1_000;

const jobPhaseOn = async (fleet: Fleet, vm: string, jobId: string): Promise<unknown> => {
    const phase = fleet.vms.get(vm)?.phase(jobId);
    await fleet.timer.advance(20);
    return phase;
};

const createStartedFleet = async (options: Parameters<typeof createFleet>[0] = {}): Promise<Fleet> => {
    const fleet = createFleet(options);
    await fleet.timer.advance(electionMs);
    return fleet;
};

const plannerOf = (fleet: Fleet): string => {
    const planner = fleet.planner();
    assert.isDefined(planner, "one VM is the planner");
    return planner ?? "";
};

describe("a job on entry VMs", () => {
    it("runs to completion, and every VM reports its phase", async () => {
        const fleet = await createStartedFleet();
        const steps = [createStep({ taskCount: 2 }), createStep({ taskCount: 3, after: [0] })];
        assert.equal(await fleet.submit(createSubmission("a1", steps)), Acceptance.Accepted);
        await fleet.timer.advance(3_000);
        for (const vm of fleet.vms.keys()) {
            assert.equal(await jobPhaseOn(fleet, vm, "a1"), JobPhase.Succeeded);
        }
        const firstOfSecond = Math.min(
            ...fleet.spans.filter(span => span.task.startsWith("a1.0.1")).map(s => s.fromMs),
        );
        const lastOfFirst = Math.max(...fleet.spans.filter(s => s.task.startsWith("a1.0.0")).map(s => s.toMs ?? 0));
        assert.isAbove(firstOfSecond, lastOfFirst);
        assert.deepEqual(findViolations(fleet.spans), []);
    });

    it("survives a restart of every VM process", async () => {
        const fleet = await createStartedFleet();
        await fleet.submit(createSubmission("a1", [createStep({ taskCount: 4 })], {}, { workMs: 2_000 }));
        await fleet.timer.advance(500);
        [...fleet.vms.keys()].forEach(fleet.killVm);
        await fleet.timer.advance(1_000);
        ["vm0", "vm1", "vm2"].forEach(fleet.startVm);
        await fleet.timer.advance(6_000);
        assert.equal(await jobPhaseOn(fleet, "vm2", "a1"), JobPhase.Succeeded);
        assert.deepEqual(findViolations(fleet.spans), []);
        assert.lengthOf(fleet.spans, 4, "the runs continued under the next planner");
    });

    it("has its last known phase reported while the table is unavailable", async () => {
        const fleet = await createStartedFleet();
        await fleet.submit(createSubmission("a1", [createStep()], {}, { workMs: 3_000 }));
        await fleet.submit(createSubmission("a2", [createStep()], {}, { workMs: 300 }));
        await fleet.timer.advance(1_000);
        assert.equal(await jobPhaseOn(fleet, "vm1", "a1"), JobPhase.Running);
        assert.equal(await jobPhaseOn(fleet, "vm1", "a2"), JobPhase.Succeeded);
        fleet.tableDown = true;
        assert.equal(await jobPhaseOn(fleet, "vm1", "a1"), JobPhase.Running);
        assert.equal(await jobPhaseOn(fleet, "vm1", "a2"), JobPhase.Succeeded);
        assert.equal(
            await jobPhaseOn(fleet, "vm1", "a3"),
            "unavailable",
            "no phase is reported for a job that was never submitted",
        );
    });

    it("runs once when it is submitted again", async () => {
        const fleet = await createStartedFleet();
        const submission = createSubmission("a1", [createStep()]);
        await fleet.submit(submission);
        await fleet.timer.advance(2_000);
        assert.equal(await fleet.submit(submission), Acceptance.Accepted);
        await fleet.timer.advance(3_000);
        assert.lengthOf(fleet.spans, 1);
    });

    it("is not reported as refused while a write of it may still take effect", async () => {
        const fleet = await createStartedFleet();
        let writes = 0;
        fleet.commitFault = (_vm, transaction) => {
            const isSubmission = transaction.writes.some(write => write.key.endsWith("/job"));
            writes += isSubmission ? 1 : 0;
            return isSubmission ? CallFault.Late : CallFault.None;
        };
        const accepted = fleet.submit(createSubmission("a1", [createStep()]));
        await fleet.timer.advance(8_000);
        assert.equal(await accepted, Acceptance.Unknown);
        assert.isAbove(writes, 0);
        assert.equal(await jobPhaseOn(fleet, "vm1", "a1"), JobPhase.Succeeded, "the late write took effect");
    });

    it("stops within a second of its cancellation and is not started again", async () => {
        const fleet = await createStartedFleet();
        await fleet.submit(createSubmission("a1", [createStep({ taskCount: 8 })], {}, { workMs: 20_000 }));
        await fleet.timer.advance(500);
        const cancelled = fleet.vms.get("vm1")?.cancel("a1");
        await fleet.timer.advance(1_000);
        assert.equal(await cancelled, "done");
        assert.isTrue(fleet.spans.every(span => span.kind === EndKind.Stopped));
        assert.equal(await jobPhaseOn(fleet, "vm2", "a1"), JobPhase.Cancelled);
    });

    it("is deleted on every VM after the retention time", async () => {
        const fleet = await createStartedFleet();
        await fleet.submit(createSubmission("a1", [createStep()]));
        await fleet.timer.advance(20_000);
        assert.equal(await jobPhaseOn(fleet, "vm1", "a1"), JobPhase.Succeeded);
        await fleet.timer.advance(30_000);
        assert.isUndefined(await jobPhaseOn(fleet, "vm1", "a1"));
        assert.equal(fleet.rowCount(), 9, "only the planner's lease and a term row for each part remain");
    });

    it("runs when it is submitted again after its deletion, whose answer was lost", async () => {
        const fleet = await createStartedFleet();
        let deletedAtMs: number | undefined;
        fleet.commitFault = (_vm, { writes }) => {
            const isDeletion = writes.some(write => write.value === undefined);
            deletedAtMs ??= isDeletion ? fleet.timer.nowMs() : undefined;
            return isDeletion && deletedAtMs === fleet.timer.nowMs() ? CallFault.AnswerLost : CallFault.None;
        };
        const submission = createSubmission("a1", [createStep()]);
        await fleet.submit(submission);
        while (deletedAtMs === undefined) {
            await fleet.timer.advance(100);
        }
        assert.isUndefined(await jobPhaseOn(fleet, "vm1", "a1"));
        assert.equal(await fleet.submit(submission), Acceptance.Accepted);
        await fleet.timer.advance(12_000);
        assert.equal(await jobPhaseOn(fleet, "vm1", "a1"), JobPhase.Succeeded);
        assert.lengthOf(fleet.spans, 2);
    });

    it("keeps its place before less urgent work when a run of it has failed", async () => {
        const fleet = await createStartedFleet({ workerCount: 2 });
        const wholeWorker = { resources: { milliCores: 8_000, memoryMb: 16_000, accelerators: 8 } };
        const submitOther = (id: string, workMs: number) => {
            const steps = [createStep({ ...wholeWorker, estimateMs: workMs })];
            return fleet.submit(createSubmission(id, steps, { customer: "guest", priority: 2 }, { workMs }));
        };
        const urgent = { customer: "guest", priority: 0, slackFactor: 1.5, targetLatencyMs: 250 };
        await fleet.submit(createSubmission("a1", [createStep(wholeWorker)], urgent, { workMs: 1_000, failures: 1 }));
        await submitOther("b1", 1_300);
        await submitOther("b2", 9_000);
        await submitOther("b3", 9_000);
        await fleet.timer.advance(4_000);
        assert.deepEqual(
            fleet.spans.slice(0, 4).map(span => span.task.split(".")[0]),
            ["a1", "b1", "b2", "a1"],
            "it does not run where it failed, and gets the next worker",
        );
        assert.equal(await jobPhaseOn(fleet, "vm1", "a1"), JobPhase.Succeeded);
    });

    it("fails after as many failed runs as its queue allows", async () => {
        const fleet = await createStartedFleet();
        const work = { workMs: 200, failures: 99 };
        await fleet.submit(createSubmission("a1", [createStep()], { maxAttempts: 3 }, work));
        await fleet.timer.advance(8_000);
        assert.equal(await jobPhaseOn(fleet, "vm0", "a1"), JobPhase.Failed);
        assert.lengthOf(fleet.spans, 3);
    });
});

describe("the planner", () => {
    it("is replaced within 3 s when it is killed, and running tasks continue", async () => {
        const fleet = await createStartedFleet();
        await fleet.submit(createSubmission("a1", [createStep({ taskCount: 4 })], {}, { workMs: 8_000 }));
        await fleet.timer.advance(500);
        const killedAtMs = fleet.timer.nowMs();
        fleet.killVm(plannerOf(fleet));
        await fleet.submit(createSubmission("b1", [createStep()]));
        await fleet.timer.advance(10_000);
        const next = fleet.spans.find(span => span.task.startsWith("b1"));
        assert.isBelow((next?.fromMs ?? Infinity) - killedAtMs, maxTakeoverGapMs);
        assert.lengthOf(fleet.spans.filter(span => span.task.startsWith("a1")), 4);
        assert.deepEqual(findViolations(fleet.spans), []);
    });

    it("is the strongest VM, and is replaced by a weaker one within 3 s of its failure", async () => {
        const fleet = createFleet();
        fleet.relativePowerOf = vm => vm === "vm2" ? 1 : 0.25;
        await fleet.timer.advance(electionMs);
        assert.equal(plannerOf(fleet), "vm2");
        const killedAtMs = fleet.timer.nowMs();
        fleet.killVm("vm2");
        await fleet.submit(createSubmission("b1", [createStep()]));
        await fleet.timer.advance(5_000);
        assert.isBelow((fleet.spans[0]?.fromMs ?? Infinity) - killedAtMs, maxTakeoverGapMs);
    });

    it("hands its term over when it steps down", async () => {
        const fleet = await createStartedFleet();
        const first = plannerOf(fleet);
        const steppedDownAtMs = fleet.timer.nowMs();
        void fleet.vms.get(first)?.stepDown();
        await fleet.submit(createSubmission("b1", [createStep()]));
        await fleet.timer.advance(2_000);
        assert.notEqual(plannerOf(fleet), first);
        const started = fleet.spans.find(span => span.task.startsWith("b1"));
        assert.isBelow((started?.fromMs ?? Infinity) - steppedDownAtMs, 1_000);
    });

    it("keeps its term through an outage of the table, and running tasks continue", async () => {
        const fleet = await createStartedFleet();
        await fleet.submit(createSubmission("a1", [createStep({ taskCount: 4 })], {}, { workMs: 9_000 }));
        await fleet.timer.advance(500);
        const first = plannerOf(fleet);
        fleet.tableDown = true;
        await fleet.timer.advance(5_000);
        fleet.tableDown = false;
        await fleet.timer.advance(6_000);
        assert.equal(plannerOf(fleet), first);
        assert.equal(await jobPhaseOn(fleet, first, "a1"), JobPhase.Succeeded);
        assert.lengthOf(fleet.spans, 4);
    });

    it("loses its term when only it is partitioned from the table, and no task runs twice", async () => {
        const fleet = await createStartedFleet();
        const first = plannerOf(fleet);
        fleet.partitionedFromTable.add(first);
        for (let index = 0; index < 6; index++) {
            await fleet.timer.advance(600);
            const other = [...fleet.vms].find(([name]) => name !== first)?.[1];
            void other?.accept(createSubmission(`j${index}`, [createStep({ taskCount: 3 })]), 3_000);
        }
        await fleet.timer.advance(6_000);
        fleet.partitionedFromTable.clear();
        await fleet.timer.advance(3_000);
        assert.notEqual(plannerOf(fleet), first);
        assert.deepEqual(findViolations(fleet.spans), []);
        assert.lengthOf(fleet.spans.filter(span => span.kind === EndKind.Done), 18);
    });
});

describe("a worker", () => {
    it("on which a short task stalls loses the task after two polls", async () => {
        const fleet = await createStartedFleet({ savesCheckpoints: () => false });
        await fleet.submit(createSubmission("a1", [createStep({ estimateMs: 2_500 })], {}, { workMs: 3_600_000 }));
        await fleet.timer.advance(3_500);
        const [first] = fleet.spans;
        assert.isBelow((first.toMs ?? Infinity) - first.fromMs, 2_700);
    });

    it("keeps a long task whose reported progress rarely changes", async () => {
        const fleet = await createStartedFleet({ savesCheckpoints: () => false });
        const fourHours = { workMs: 4 * 3_600_000 };
        await fleet.submit(createSubmission("a1", [createStep({ estimateMs: fourHours.workMs / 4 })], {}, fourHours));
        await fleet.timer.advance(200_000);
        assert.lengthOf(fleet.spans, 1);
        assert.isUndefined(fleet.spans[0].toMs);
    });

    it("that is removed loses its tasks once their lease has expired", async () => {
        const fleet = await createStartedFleet();
        await fleet.submit(createSubmission("a1", [createStep({ taskCount: 8 })], {}, { workMs: 3_000 }));
        await fleet.timer.advance(500);
        const worker = fleet.spans[0].worker;
        fleet.removeWorker(worker);
        await fleet.timer.advance(14_000);
        assert.equal(await jobPhaseOn(fleet, "vm0", "a1"), JobPhase.Succeeded);
        assert.deepEqual(findViolations(fleet.spans), []);
    });

    it("that is unreachable but still runs keeps its tasks until their lease has expired", async () => {
        const fleet = await createStartedFleet({ clockRate: 0.98 });
        await fleet.submit(createSubmission("a1", [createStep({ taskCount: 8 })], {}, { workMs: 20_000 }));
        await fleet.timer.advance(500);
        const worker = fleet.workers.get(fleet.spans[0].worker);
        if (worker !== undefined) {
            worker.unreachable = true;
        }
        await fleet.timer.advance(15_000);
        assert.isAbove(fleet.spans.length, 8, "its tasks were started elsewhere");
        if (worker !== undefined) {
            worker.unreachable = false;
        }
        await fleet.timer.advance(30_000);
        assert.deepEqual(findViolations(fleet.spans), []);
        assert.equal(await jobPhaseOn(fleet, "vm0", "a1"), JobPhase.Succeeded);
    });

    it("that stops answering while idle delays a task placed there by little more than the start's lease", async () => {
        const fleet = await createStartedFleet({ workerCount: 2 });
        const [worker] = [...fleet.workers.values()];
        worker.unreachable = true;
        const submittedAtMs = fleet.timer.nowMs();
        await fleet.submit(createSubmission("a1", [createStep()]));
        await fleet.timer.advance(6_000);
        assert.isDefined(
            fleet.logLines.find(line => line.message === "worker does not answer"),
            "an order was sent to it",
        );
        assert.isBelow(fleet.spans[0].fromMs - submittedAtMs, 3_500);
    });

    it("that restarts under its id loses its tasks immediately", async () => {
        const fleet = await createStartedFleet();
        await fleet.submit(createSubmission("a1", [createStep({ taskCount: 8 })], {}, { workMs: 2_000 }));
        await fleet.timer.advance(500);
        fleet.restartWorker(fleet.spans[0].worker);
        await fleet.timer.advance(3_500);
        assert.equal(await jobPhaseOn(fleet, "vm0", "a1"), JobPhase.Succeeded);
        assert.deepEqual(findViolations(fleet.spans), []);
    });

    it("that carries out orders late runs no task twice", async () => {
        const fleet = await createStartedFleet();
        let orders = 0;
        fleet.orderFault = (_vm, kind) => {
            orders += 1;
            const late = orders % 2 === 0 ? CallFault.Late : CallFault.LateWithinLease;
            return kind !== "hold" && orders % 3 === 0 ? late : CallFault.None;
        };
        for (let index = 0; index < 8; index++) {
            await fleet.submit(createSubmission(`j${index}`, [createStep({ taskCount: 3 })]));
            await fleet.timer.advance(400);
        }
        fleet.orderFault = () => CallFault.None;
        await fleet.timer.advance(15_000);
        assert.deepEqual(findViolations(fleet.spans), []);
        for (let index = 0; index < 8; index++) {
            assert.equal(await jobPhaseOn(fleet, "vm0", `j${index}`), JobPhase.Succeeded, `j${index}`);
        }
    });
});
