import { assert } from "chai";
import { createSimulatedPlanner } from "../bench/simulatedPlanner.js";
import { createWorkload, targetProfile } from "../bench/workload.js";
import { collectWorkers } from "../src/execution/roundInput.js";
import type { WorkerSession } from "../src/execution/session.js";
import type { ObservedWork } from "../src/execution/speedHistory.js";
import { withSpeedRecording } from "../src/execution/speedRecorder.js";
import { EndKind } from "../src/execution/types.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";
import { dumpPlanner } from "./fixtures/plannerDump.js";

const reportMs = 1_000;
const estimateMs = 8_000;
const slowSpeed = 0.5;
const workerCount = 8;
const slowIds = ["w0", "w4"];
const slowSteps = 4;
const wholeWorker = { milliCores: 32_000, memoryMb: 64_000, accelerators: 8 };
/** Time without progress after which a task of 10 s counts as stalled, and the time until a poll shows it. */
const stallMs = 3_000;
const pollMs = 1_500;

/** Creates a fleet that has run steps with a task on every worker. */
const createLearnedFleet = async (): Promise<Fleet> => {
    const speedOf = (id: string): number => slowIds.includes(id) ? slowSpeed : 1;
    const fleet = createFleet({ workerCount, vmCount: 2, speedOf, savesCheckpoints: () => false });
    await fleet.timer.advance(reportMs);
    for (let index = 0; index < slowSteps; index++) {
        const step = createStep({ taskCount: workerCount, resources: wholeWorker, estimateMs: 4_000 });
        await fleet.submit(createSubmission(`job-${index}`, [step], {}, { workMs: 2_000 }));
        await fleet.timer.advance(2_000 / slowSpeed + 500);
    }
    await fleet.timer.advance(4_000);
    assert.deepEqual(learnedSlowIds(fleet), slowIds);
    return fleet;
};

const learnedSlowIds = (fleet: Fleet): string[] =>
    dumpPlanner(fleet)?.workers.filter(({ relativeSpeed }) => relativeSpeed < 1).map(({ id }) => id).sort() ?? [];

describe("a planner on workers of uneven speed", () => {
    it("logs each worker that it takes for slow once, and forgets the speed with the incarnation and in time", async () => {
        const fleet = await createLearnedFleet();
        fleet.restartWorker("w0");
        await fleet.timer.advance(reportMs);
        assert.deepEqual(learnedSlowIds(fleet), ["w4"]);
        await fleet.timer.advance(130_000);
        assert.isEmpty(learnedSlowIds(fleet));
        const messages = fleet.logLines.map(({ message }) => message);
        assert.lengthOf(messages.filter(message => message === "worker taken for slow"), slowIds.length);
        assert.lengthOf(messages.filter(message => message === "worker no longer taken for slow"), slowIds.length);
    });

    it("learns it again from the progress of long runs after a change of planner", async () => {
        const fleet = await createLearnedFleet();
        const resources = { milliCores: 8_000, memoryMb: 8_000, accelerators: 2 };
        for (let index = 0; index < slowSteps; index++) {
            const step = createStep({ taskCount: workerCount, resources, estimateMs: 90_000, maxPerWorker: 1 });
            await fleet.submit(createSubmission(`long-${index}`, [step], {}, { workMs: 60_000 }));
        }
        fleet.killVm(fleet.planner() ?? "");
        await fleet.timer.advance(8_000);
        assert.isEmpty(learnedSlowIds(fleet));
        await fleet.timer.advance(22_000);
        assert.deepEqual(learnedSlowIds(fleet), slowIds);
    });

    it("judges a stall by the speed of the worker", async () => {
        const fleet = await createLearnedFleet();
        const step = createStep({ taskCount: workerCount, resources: wholeWorker, estimateMs: 10_000 });
        await fleet.submit(createSubmission("still", [step], {}, { workMs: 4 * 3_600_000 }));
        await fleet.timer.advance(9_000);
        for (const [id, speed] of [["w1", 1], ["w0", slowSpeed], ["w4", slowSpeed]] as const) {
            const span = fleet.spans.find(({ task, worker }) => worker === id && task.startsWith("still"));
            const ranMs = (span?.toMs ?? Infinity) - (span?.fromMs ?? 0);
            assert.isAtLeast(ranMs, stallMs / speed, id);
            assert.isAtMost(ranMs, stallMs / speed + pollMs, id);
        }
    });
});

/** Creates a planner's recorder on workers of several racks, and collects what it observes. */
const createRecorder = () => {
    const { workers, snapshot } = createWorkload(targetProfile, 1);
    const timer = createVirtualTimer();
    const planner = createSimulatedPlanner(workers, snapshot, timer);
    const observed: ObservedWork[] = [];
    const speeds = { ...planner.speeds, add: (work: ObservedWork) => observed.push(work) };
    const reports = withSpeedRecording({ ...planner, speeds }, { onReport: () => {}, abandonRuns: () => {} });
    const sessions = [...planner.sessions.values()];
    const rackOf = ({ descriptor }: WorkerSession) => descriptor?.rack;
    const near = sessions.filter(session => rackOf(session) === rackOf(sessions[0]));
    const other = sessions.find(session => rackOf(session) !== rackOf(sessions[0])) ?? assert.fail("one rack only");

    /** Runs a step on workers, which report 25 % more each second; before one of the reports they pause. */
    const run = async (
        on: readonly WorkerSession[],
        step: Parameters<typeof createStep>[0],
        pauseBefore?: number,
    ): Promise<ObservedWork[]> => {
        const built = createStep({ taskCount: on.length, estimateMs, ...step });
        const job = planner.addJob(createSubmission(`run-${planner.jobs.size}`, [built]));
        planner.run(job, on.map(({ id: workerId }, taskIndex) => ({ taskIndex, workerId })), "");
        for (const percent of [25, 50, 75, 100]) {
            await timer.advance(percent === pauseBefore ? 5 * reportMs : reportMs);
            on.forEach((session, index) => {
                const task = { jobId: job.submission.id, occurrence: 0, step: 0, index };
                const listed = { task, run: 1, checkpoint: "", percent, usage: 0 };
                const ended = percent === 100 ? [{ ...listed, number: 1, kind: EndKind.Done }] : [];
                const running = percent === 100 ? [] : [listed];
                const report = { clockMs: 0, bornMs: session.bornMs, running, ended, endsComplete: true };
                reports.onReport(session, report, timer.nowMs());
            });
        }
        return observed.splice(0);
    };
    return { planner, run, dataRack: rackOf(sessions[0]), near, other };
};

describe("the recorder of workers' speeds", () => {
    it("observes all work of a task, and that of a gang once for all members", async () => {
        const { run, dataRack, near } = createRecorder();
        const ofTask = await run([near[0]], { dataRack });
        assert.equal(ofTask.reduce((sum, { workMs }) => sum + workMs, 0), estimateMs);
        const ofGang = await run([near[0], near[1]], { gang: true });
        assert.isNotEmpty(ofGang);
        assert.isAtMost(ofGang.reduce((sum, { workMs }) => sum + workMs, 0), estimateMs);
        ofGang.forEach(({ workers }) => assert.lengthOf(workers, 2));
    });

    it("leaves out runs away from their data, gangs that span racks, and tasks below their worker's full rate", async () => {
        const { run, dataRack, near, other } = createRecorder();
        assert.isEmpty(await run([other], { dataRack }));
        assert.isEmpty(await run([near[0], other], { gang: true }));
        for (const step of [{ fillsIdleCores: true }, { targetMs: 100 }, { longRunning: true }]) {
            assert.isEmpty(await run([near[0]], step));
        }
    });

    it("leaves out the time in which a run was held up or its worker was cut off", async () => {
        for (const pauseBefore of [75, 100]) {
            const { run, near } = createRecorder();
            const observed = await run([near[0]], {}, pauseBefore);
            assert.isNotEmpty(observed);
            observed.forEach(({ workMs, fromMs, toMs }) => assert.equal(workMs / (toMs - fromMs), estimateMs / 4_000));
        }
    });
});

describe("the input of a planning round", () => {
    it("has the remaining times of runs by the speed of their workers, in a gang by that of the slowest", async () => {
        const { planner, near: [slow, fast, other] } = createRecorder();
        for (let step = 0; step < slowSteps; step++) {
            [slow, fast, other].forEach(worker => {
                const [fromMs, workMs] = [step * 2_000, worker === slow ? 500 : 1_000];
                const where = { unitKey: `step-${step}`, queue: "bookings", gang: false, workers: [worker] };
                planner.speeds.add({ ...where, workMs, fromMs, toMs: fromMs + 1_000, isFirstOfRun: true });
            });
        }
        planner.speeds.refresh();
        assert.match(await planner.metrics.render(), /catkinswitch_slow_workers 1\n/);
        const job = planner.addJob(createSubmission("gang", [createStep({ taskCount: 2, gang: true, estimateMs })]));
        planner.run(job, [slow, fast].map(({ id: workerId }, taskIndex) => ({ taskIndex, workerId })), "");
        planner.run(planner.addJob(createSubmission("task", [createStep({ estimateMs })])), [
            { taskIndex: 0, workerId: other.id },
        ], "");
        const busyForMs = new Map(collectWorkers(planner).map(worker => [worker.workerId, worker.busyForMs]));
        const expected = [estimateMs / slowSpeed, estimateMs / slowSpeed, estimateMs];
        assert.deepEqual([slow, fast, other].map(({ id }) => busyForMs.get(id)), expected);
    });
});
