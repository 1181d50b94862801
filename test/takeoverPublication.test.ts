import { assert } from "chai";
import { plannerPart } from "../src/jobs/rows.js";
import { createCoalescedTask } from "../src/utils/coalescedTask.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";

const settleMs = 1_000;
const workerCount = 60;

describe("a new planner whose workers answer one after another", () => {
    it("starts work on those that have answered without waiting for the others", async () => {
        const fleet = createFleet({ workerCount, vmCount: 2 });
        await fleet.timer.advance(settleMs);
        const planner = fleet.planner() ?? "";
        fleet.orderDelayMs = (_vm, kind, id) => kind === "hold" ? Number(id.slice(1)) * 14 : 0;
        fleet.commitDelayMs = (_vm, { part }) => part === plannerPart ? 30 : 0;
        void fleet.vms.get(planner)?.stepDown();
        await fleet.timer.advance(50);
        fleet.killVm(planner);
        await fleet.submit(createSubmission("a1", [createStep()]));
        await fleet.timer.advance(5_000);
        const timeOf = (name: string): number =>
            fleet.logLines.filter(({ message }) => message === name).at(-1)?.timeMs ?? 0;
        assert.isBelow(timeOf("start ordered") - timeOf("planning begins"), 250);
    });
});

describe("a coalesced task", () => {
    const runMs = 30;
    const createTask = () => {
        const timer = createVirtualTimer();
        let runs = 0;
        const task = createCoalescedTask(async () => {
            runs += 1;
            const run = runs;
            await timer.sleep(runMs);
            return run;
        });
        return { timer, task, runCount: () => runs };
    };

    it("answers a call by the run after it, however many calls follow", async () => {
        const { timer, task } = createTask();
        const answered: number[] = [];
        const call = (): void => void task().then(run => answered.push(run));
        for (let atMs = 0; atMs < 10 * runMs; atMs += runMs / 3) {
            call();
            await timer.advance(runMs / 3);
        }
        assert.includeMembers(answered, [1, 2, 3]);
    });

    it("performs one more run for all calls during a run", async () => {
        const { timer, task, runCount } = createTask();
        const results = [task(), task(), task()];
        await timer.advance(10 * runMs);
        assert.deepEqual(await Promise.all(results), [1, 2, 2]);
        assert.equal(runCount(), 2);
    });

    it("goes on after a run that failed", async () => {
        let runs = 0;
        const task = createCoalescedTask(async () => {
            runs += 1;
            if (runs === 1) {
                throw new Error("first");
            }
            return runs;
        });
        const first = task().catch(() => "failed");
        const second = task();
        assert.equal(await first, "failed");
        assert.equal(await second, 2);
        assert.equal(await task(), 3);
    });
});
