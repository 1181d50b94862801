import { assert } from "chai";
import { DelayKind, StopReason } from "../src/tracing/jobHistory.js";
import type { LogLine } from "../src/tracing/logLines.js";
import { createReportCollector } from "../src/tracing/report.js";
import type { LoadReport } from "../src/tracing/report.js";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";

const wholeWorker = { resources: { milliCores: 8_000, memoryMb: 16_000, accelerators: 8 } };

const reportOf = (lines: readonly LogLine[]): LoadReport => {
    const collector = createReportCollector();
    lines.forEach(collector.add);
    return collector.report();
};

/** A fleet of one worker on which urgent work preempts a task that saves no checkpoints. */
const createPreemptingFleet = async (): Promise<Fleet> => {
    const fleet = createFleet({ workerCount: 1 });
    await fleet.timer.advance(1_000);
    const normal = createSubmission(
        "b1",
        [createStep(wholeWorker)],
        { customer: "guest", queue: "rosters", slackFactor: 1, targetLatencyMs: 100 },
        { workMs: 1_000 },
    );
    await fleet.submit(normal);
    await fleet.timer.advance(500);
    const urgent = { customer: "guest", queue: "bookings", priority: 0 };
    await fleet.submit(createSubmission("a1", [createStep(wholeWorker)], urgent, { workMs: 1_000 }));
    await fleet.timer.advance(8_000);
    return fleet;
};

describe("the report of logs", () => {
    it("counts jobs by queue and says where late ones lost their time", async () => {
        const { queues } = reportOf((await createPreemptingFleet()).logLines);
        assert.deepEqual(queues.map(({ queue, inTime, late }) => [queue, inTime, late]), [
            ["bookings", 1, 0],
            ["rosters", 0, 1],
        ]);
        assert.deepEqual(queues[1].lateBy, { [DelayKind.Restarts]: 1 });
        assert.deepEqual(queues[1].lateAfter, { [StopReason.MakingRoom]: 1 });
    });

    it("sums the work thrown away by reason, as the runs themselves show it", async () => {
        const fleet = await createPreemptingFleet();
        const { waste } = reportOf(fleet.logLines);
        const stopped = fleet.spans.find(span => span.kind === "stopped");
        const ranS = ((stopped?.toMs ?? 0) - (stopped?.fromMs ?? 0)) / 1_000;
        assert.deepEqual(waste.map(({ reason, runs }) => [reason, runs]), [[StopReason.MakingRoom, 1]]);
        assert.approximately(waste[0].runSeconds, ranS, 0.1);
        // eight cores, and eight accelerators of eight cores each
        assert.approximately(waste[0].coreSeconds, ranS * 72, 8);
    });

    it("does not count work that a stop has saved", async () => {
        const fleet = createFleet({ workerCount: 1 });
        await fleet.timer.advance(1_000);
        await fleet.submit(createSubmission("a1", [createStep({ checkpointing: true })], {}, { workMs: 9_000 }));
        await fleet.timer.advance(3_000);
        void fleet.vms.get("vm1")?.cancel("a1");
        await fleet.timer.advance(1_000);
        const [{ reason, runs, coreSeconds }] = reportOf(fleet.logLines).waste;
        assert.deepEqual([reason, runs, coreSeconds], [StopReason.JobEnded, 1, 0]);
    });

    it("counts refused jobs and the disturbance at that time", async () => {
        const fleet = createFleet();
        await fleet.timer.advance(1_000);
        fleet.tableDown = true;
        await fleet.submit(createSubmission("a1", [createStep()]));
        await fleet.timer.advance(2_000);
        fleet.tableDown = false;
        await fleet.timer.advance(2_000);
        const { refused, disturbances } = reportOf(fleet.logLines);
        assert.equal(refused, 1);
        assert.isAbove(disturbances.find(({ kind }) => kind === "tableUnreadable")?.count ?? 0, 0);
    });

    it("does not depend on the order in which the logs of the processes are read", async () => {
        const { logLines } = await createPreemptingFleet();
        const ofVm = (vm: string): LogLine[] => logLines.filter(line => line.vm === vm);
        const vms = [...new Set(logLines.map(line => line.vm))];
        const forwards = reportOf(vms.flatMap(ofVm));
        const backwards = reportOf([...vms].reverse().flatMap(ofVm));
        assert.deepEqual(forwards, backwards);
    });
});
