import { assert } from "chai";
import { decodeSubmission } from "../platform/submission.js";
import type { WorkerSession } from "../src/execution/session.js";
import { createUnknownRun, restoreJob, toJobRecord } from "../src/jobs/progress.js";
import { estimateRecordBytes, sizeOfRecord } from "../src/jobs/recordSize.js";
import { JobPhase } from "../src/jobs/types.js";
import type { JobSubmission, Step } from "../src/jobs/types.js";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";
import { createConfiguration } from "./fixtures/queueConfiguration.js";

const tinyTask = { milliCores: 100, memoryMb: 10, accelerators: 0 };
/** With ids of this length the record of 600 runs does not fit a row. */
const longId = "w".repeat(80);

const createLongIdFleet = async (): Promise<Fleet> => {
    const fleet = createFleet({ workerCount: 0 });
    ["a", "b"].forEach(suffix => fleet.addWorker(`${longId}-${suffix}`));
    fleet.notify();
    await fleet.timer.advance(1_000);
    return fleet;
};

/** Submits a job whose tasks run for a moment; resolves with its phase some time later, and with its runs. */
const runTinyTasks = async (
    fleet: Fleet,
    step: Partial<Step>,
    overrides: Partial<JobSubmission> = {},
): Promise<{ phase: unknown; runs: number; }> => {
    const steps = [createStep({ resources: tinyTask, estimateMs: 200, ...step })];
    await fleet.submit(createSubmission("a1", steps, overrides, { workMs: 200 }));
    await fleet.timer.advance(10_000);
    const phase = [...fleet.vms.values()][0].phase("a1");
    await fleet.timer.advance(20);
    return { phase: await phase, runs: fleet.spans.length };
};

// guards against tasks that were placed with a record too large for a row, and were neither started nor placed again
describe("a job of which more tasks could run at once than fit its record", () => {
    it("runs them in turn if they are independent", async () => {
        const result = await runTinyTasks(await createLongIdFleet(), { taskCount: 600 });
        assert.deepEqual(result, { phase: JobPhase.Succeeded, runs: 600 });
    });

    it("runs them in turn if they are occurrences that are due at once", async () => {
        const fleet = await createLongIdFleet();
        const startAtMs = fleet.timer.wallClockMs() - 60_000;
        const result = await runTinyTasks(fleet, {}, { repeatCount: 560, startAtMs, intervalMs: 1 });
        assert.deepEqual(result, { phase: JobPhase.Succeeded, runs: 560 });
    });

    it("is refused if they have to run at once", () => {
        const [queue] = createConfiguration().queues;
        const body = (count: number) => ({ spec: "", steps: [{ count, cpu: 100, gang: true, "estimate-ms": 100 }] });
        const decode = (count: number) => decodeSubmission("00000000000000a1", queue, undefined, body(count), 0);
        assert.isTrue(decode(400).ok);
        assert.deepInclude(decode(401), { ok: false, error: "step 0: at most 400 tasks in a gang" });
    });
});

describe("the estimated size of a job's record", () => {
    it("is no smaller than the record without what is not needed", () => {
        const steps = [createStep({ taskCount: 400 }), createStep({ taskCount: 100, after: [0] })];
        const job = restoreJob(
            createSubmission("a1", steps),
            { submissionVersion: 1, record: undefined, recordVersion: 0, cancelled: false },
            { findSession: () => assert.fail("nothing is recorded"), nowMs: 0, ageMs: 0 },
        );
        const worker = { id: longId, bornMs: 1_796_583_737_490 } as WorkerSession;
        for (const task of [...job.units.values()].flatMap(unit => unit.tasks)) {
            task.done = task.index % 3 === 0;
            task.run = task.done ? undefined : createUnknownRun(1_000_000 + task.index, worker, 0);
            task.failedRuns = new Set(task.index % 2 === 0 ? [1_000_001, 1_000_002, 1_000_003] : []);
        }
        assert.isAtLeast(estimateRecordBytes(job), sizeOfRecord(toJobRecord(job, 1)));
    });
});
