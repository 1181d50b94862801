import { assert } from "chai";
import { JobPhase } from "../src/jobs/types.js";
import type { Step } from "../src/jobs/types.js";
import { CallFault, createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";
import { findViolations } from "./fixtures/violations.js";

/** Time in which a planner replaces a placement that cannot be carried out, and its tasks run. */
const completionMs = 8_000;
const wholeWorker = { milliCores: 64_000, memoryMb: 256_000, accelerators: 8 };

/** Submits a job whose placement takes more than a second to record, and restarts a worker in that time. */
const restartWhileRecording = async (step: Partial<Step>): Promise<Fleet> => {
    const fleet = createFleet({ workerCount: 2 });
    await fleet.timer.advance(1_000);
    let lostWrites = 0;
    fleet.commitFault = (_vm, { writes }) => {
        const isFirst = writes.some(write => write.key.endsWith("/progress")) && lostWrites === 0;
        lostWrites += isFirst ? 1 : 0;
        return isFirst ? CallFault.RequestLost : CallFault.None;
    };
    await fleet.submit(createSubmission("a1", [createStep({ resources: wholeWorker, ...step })]));
    await fleet.timer.advance(300);
    assert.equal(lostWrites, 1, "the placement is being recorded");
    fleet.restartWorker("w0");
    await fleet.timer.advance(completionMs);
    return fleet;
};

const jobPhase = async (fleet: Fleet): Promise<unknown> => {
    const phase = fleet.vms.get("vm0")?.phase("a1");
    await fleet.timer.advance(20);
    return phase;
};

// guards against accepted jobs that never ran: their task kept a run that no planner had ordered or would order
describe("a worker that restarts while a placement on it is being recorded", () => {
    it("does not keep a gang from running", async () => {
        const fleet = await restartWhileRecording({ taskCount: 2, gang: true });
        assert.equal(await jobPhase(fleet), JobPhase.Succeeded);
        assert.deepEqual(findViolations(fleet.spans), []);
    });

    it("does not keep independent tasks from running", async () => {
        const fleet = await restartWhileRecording({ taskCount: 2 });
        assert.equal(await jobPhase(fleet), JobPhase.Succeeded);
        assert.deepEqual(findViolations(fleet.spans), []);
    });
});

/** Time after which the list of workers shows a restart; orders reach the new incarnation before. */
const listDelayMs = 800;
/** Time in which an idle worker is sent no order, so that only its next answer shows that it has restarted. */
const idleMs = 20_000;

const createRestartingFleet = async (): Promise<Fleet> => {
    const fleet = createFleet({ workerCount: 3 });
    await fleet.timer.advance(idleMs);
    fleet.listDelayMs = listDelayMs;
    return fleet;
};

const runsPerTask = (fleet: Fleet, job: string): number[] => {
    const counts = new Map<string, number>();
    fleet.spans.filter(({ task }) => task.startsWith(`${job}.`))
        .forEach(({ task }) => counts.set(task, (counts.get(task) ?? 0) + 1));
    return [...counts.values()];
};

describe("an idle worker that restarts under its id before its entry shows it", () => {
    const taskCount = 20;

    // guards against runs that the new incarnation had begun, and that were given up and started elsewhere
    it("keeps the runs that its new incarnation has begun, and runs each task once", async () => {
        const fleet = await createRestartingFleet();
        fleet.restartWorker("w0");
        await fleet.submit(createSubmission("a1", [createStep({ taskCount })], {}, { workMs: 250 }));
        await fleet.timer.advance(completionMs);
        assert.isTrue(
            fleet.spans.some(({ worker }) => worker === "w0"),
            "the new incarnation has begun some of the tasks",
        );
        assert.deepEqual(runsPerTask(fleet, "a1"), Array(taskCount).fill(1));
        assert.equal(await jobPhase(fleet), JobPhase.Succeeded);
    });

    it("keeps them also while it answers no poll for a while", async () => {
        const fleet = await createRestartingFleet();
        fleet.restartWorker("w0");
        await fleet.submit(createSubmission("a1", [createStep({ taskCount })], {}, { workMs: 6_000 }));
        await fleet.timer.advance(50);
        const worker = fleet.workers.get("w0");
        assert.isAbove(worker?.model.runningCount() ?? 0, 0);
        worker!.unreachable = true;
        await fleet.timer.advance(4_000);
        worker!.unreachable = false;
        await fleet.timer.advance(completionMs);
        assert.deepEqual(runsPerTask(fleet, "a1"), Array(taskCount).fill(1));
    });

    // guards against ends of the new incarnation that the acknowledgement of the incarnation before made it forget
    it("does not forget the ends of its new incarnation", async () => {
        const fleet = await createRestartingFleet();
        await fleet.submit(createSubmission("a0", [createStep({ taskCount })], {}, { workMs: 100 }));
        await fleet.timer.advance(idleMs);
        fleet.restartWorker("w0");
        await fleet.timer.advance(listDelayMs - 100);
        await fleet.submit(createSubmission("a1", [createStep({ taskCount })], {}, { workMs: 20 }));
        await fleet.timer.advance(completionMs);
        assert.isTrue(fleet.spans.some(({ worker, task }) => worker === "w0" && task.startsWith("a1.")));
        assert.deepEqual(runsPerTask(fleet, "a1"), Array(taskCount).fill(1));
        assert.deepEqual(findViolations(fleet.spans), []);
    });

    it("does not start a run of its earlier incarnation that was given up, when the order arrives late", async () => {
        const fleet = createFleet({ workerCount: 3 });
        await fleet.timer.advance(idleMs);
        fleet.orderFault = (_vm, kind, workerId) =>
            workerId !== "w0" ? CallFault.None : kind === "start" ? CallFault.Late : CallFault.RequestLost;
        await fleet.submit(createSubmission(
            "a1",
            [createStep({ taskCount: 2, resources: wholeWorker })],
            {},
            { workMs: 5_000 },
        ));
        await fleet.timer.advance(3_500);
        fleet.restartWorker("w0");
        fleet.orderFault = () => CallFault.None;
        await fleet.timer.advance(2 * completionMs);
        assert.deepEqual(findViolations(fleet.spans), []);
        assert.equal(await jobPhase(fleet), JobPhase.Succeeded);
    });
});

describe("an entry that gives a worker a later start than the worker itself", () => {
    it("does not keep the worker from being used once its own entry is back", async () => {
        const fleet = createFleet({ workerCount: 1 });
        const worker = fleet.workers.get("w0")!;
        const { descriptor } = worker;
        worker.descriptor = { ...descriptor, bornMs: descriptor.bornMs + 1_000_000 };
        await fleet.timer.advance(2_000);
        worker.descriptor = descriptor;
        fleet.notify();
        await fleet.submit(createSubmission("a1", [createStep()]));
        await fleet.timer.advance(completionMs);
        assert.equal(await jobPhase(fleet), JobPhase.Succeeded);
    });
});

describe("a run that is neither started nor ended for seconds", () => {
    it("is logged once with its phase and whether its worker answers", async () => {
        const fleet = createFleet({ workerCount: 1 });
        await fleet.timer.advance(1_000);
        fleet.orderFault = (_vm, kind) => kind === "hold" ? CallFault.None : CallFault.RequestLost;
        await fleet.submit(createSubmission("a1", [createStep()]));
        await fleet.timer.advance(6_000);
        const lines = fleet.logLines.filter(({ message }) => message === "run overdue");
        assert.deepEqual(lines.map(({ fields }) => [fields.task, fields.phase, fields.worker]), [
            ["a1.0.0.0", "stopping", "w0"],
        ]);
    });
});
