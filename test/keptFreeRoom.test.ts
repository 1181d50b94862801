import { assert } from "chai";
import { EndKind } from "../src/execution/types.js";
import type { Step, TaskResources } from "../src/jobs/types.js";
import type { RunSpan } from "../standins/runs/workerModel.js";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";

const wholeWorker: TaskResources = { milliCores: 64_000, memoryMb: 200_000, accelerators: 8 };
const smallTask: TaskResources = { milliCores: 5_600, memoryMb: 20_000, accelerators: 1 };

describe("the second step of a job beside room that is kept for a blocked gang", () => {
    // twelve tasks stood for 18 s beside a quarter of the accelerators, which a gang kept that did not start
    it("waits no longer than it runs, although more than half of the service is in use", async () => {
        const estimateMs = 4_000;
        const fleet = createFleet({ workerCount: 16, vmCount: 1 });
        await fleet.timer.advance(1_000);
        const long = createStep({ taskCount: 9, resources: wholeWorker, estimateMs: 3_000 });
        await fleet.submit(createSubmission("long", [long], { priority: 1 }, { workMs: 60_000 }));
        await fleet.timer.advance(500);
        const steps = [
            createStep({ resources: smallTask, estimateMs }),
            createStep({ taskCount: 12, resources: smallTask, estimateMs, after: [0] }),
        ];
        await fleet.submit(createSubmission("steps", steps, { priority: 2 }, { workMs: 3_000 }));
        await fleet.timer.advance(1_000);
        const gang = createStep({ taskCount: 8, gang: true, resources: wholeWorker, estimateMs });
        await fleet.submit(createSubmission("gang", [gang], { priority: 1 }, { workMs: estimateMs }));
        await fleet.timer.advance(10_000);
        const first = fleet.spans.find(({ task }) => task === "steps.0.0.0");
        const second = fleet.spans.filter(({ task }) => task.startsWith("steps.0.1."));
        assert.isDefined(first?.toMs);
        assert.lengthOf(second, 12);
        const roundMs = 250;
        second.forEach(({ fromMs }) => assert.isAtMost(fromMs - (first?.toMs ?? 0), estimateMs + 2 * roundMs));
    });
});

describe("a gang of whole workers beside a backlog of small work of lower priority", () => {
    // with windows that give way to whatever has waited long, it did not start within 60 s
    it("starts while the backlog lasts", async () => {
        const fleet = createFleet({ workerCount: 16, vmCount: 1 });
        await fleet.timer.advance(1_000);
        const backlog = 400;
        const resources = { milliCores: 8_000, memoryMb: 20_000, accelerators: 2 };
        const small = createStep({ resources, estimateMs: 4_000 });
        for (let index = 0; index < backlog; index++) {
            await fleet.submit(createSubmission(`small${index}`, [small], { priority: 2 }, { workMs: 4_000 }));
        }
        await fleet.timer.advance(6_000);
        const gang = createStep({ taskCount: 4, gang: true, resources: wholeWorker, estimateMs: 5_000 });
        await fleet.submit(createSubmission("gang", [gang], { priority: 1 }, { workMs: 5_000 }));
        await fleet.timer.advance(9_000);
        const started = fleet.spans.filter(({ task }) => task.startsWith("gang."));
        assert.isBelow(fleet.spans.filter(({ task }) => task.startsWith("small")).length, backlog, "some tasks wait");
        assert.lengthOf(started, 4);
    });
});

/** Time within which a lasting task runs, however full the service is. */
const maxLastingWaitMs = 9_000;

/** Three racks of one worker each, two of which 13 lasting tasks use: with one more, more than half of the service. */
const createLastingFleet = async (): Promise<{ fleet: Fleet; lasting: Step; }> => {
    const fleet = createFleet({ workerCount: 0, vmCount: 1 });
    ["r1-1", "r1-2", "r1-3"].forEach(rack => fleet.addWorker(`w-${rack}`, rack));
    await fleet.timer.advance(1_000);
    const resources = { milliCores: 8_000, memoryMb: 1_000, accelerators: 1 };
    const lasting = createStep({ resources, estimateMs: 60_000, longRunning: true });
    const others = [{ ...lasting, taskCount: 13 }];
    await fleet.submit(createSubmission("others", others, { priority: 2 }, { workMs: 10_000_000 }));
    await fleet.timer.advance(100);
    return { fleet, lasting };
};

/** Submits a gang that needs two whole workers. */
const submitBlockedGang = (fleet: Fleet): Promise<string> => {
    const gang = createStep({ taskCount: 2, gang: true, resources: wholeWorker, estimateMs: 30_000 });
    return fleet.submit(createSubmission("gang", [gang], { priority: 2 }, { workMs: 30_000 }));
};

const spansOf = (fleet: Fleet, jobId: string): RunSpan[] =>
    fleet.spans.filter(({ task }) => task.startsWith(`${jobId}.`));

describe("a lasting task while more than half of its service is in use", () => {
    // guards against a lasting task that stood for good beside an empty worker
    it("runs again in time after it failed beside workers that are kept free for a gang", async () => {
        const { fleet, lasting } = await createLastingFleet();
        const work = { workMs: 6_000, failures: 1 };
        await fleet.submit(createSubmission("failing", [lasting], { priority: 2 }, work));
        await fleet.timer.advance(3_000);
        await submitBlockedGang(fleet);
        await fleet.timer.advance(work.workMs + maxLastingWaitMs);
        const [first, second] = spansOf(fleet, "failing");
        assert.equal(first.kind, EndKind.Failed);
        assert.isDefined(second);
        assert.isAtMost(second.fromMs - (first.toMs ?? 0), maxLastingWaitMs);
    });

    it("begins in time although others fill the rack of its data", async () => {
        const { fleet, lasting } = await createLastingFleet();
        const usedRack = fleet.spans[0].worker.replace("w-", "");
        const step = { ...lasting, dataRack: usedRack };
        await fleet.submit(createSubmission("waiting", [step], { priority: 2 }, { workMs: 60_000 }));
        await fleet.timer.advance(maxLastingWaitMs);
        assert.lengthOf(spansOf(fleet, "waiting"), 1);
    });
});

describe("work beside a gang that cannot start, as lasting tasks use the workers that it needs", () => {
    // guards against workers that were kept free for good
    it("starts on the empty worker", async () => {
        const { fleet, lasting } = await createLastingFleet();
        await fleet.submit(createSubmission("lasting", [lasting], { priority: 2 }, { workMs: 10_000_000 }));
        await submitBlockedGang(fleet);
        await fleet.timer.advance(2_000);
        const step = { ...lasting, longRunning: false };
        await fleet.submit(createSubmission("waiting", [step], { priority: 2 }, { workMs: 60_000 }));
        await fleet.timer.advance(5_000);
        assert.lengthOf(spansOf(fleet, "waiting"), 1);
    });
});
