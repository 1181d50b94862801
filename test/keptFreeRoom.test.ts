import { assert } from "chai";
import type { TaskResources } from "../src/jobs/types.js";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";

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
