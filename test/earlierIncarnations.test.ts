import { assert } from "chai";
import { createFencingTokens } from "../src/execution/fencingTokens.js";
import { JobPhase } from "../src/jobs/types.js";
import { CallFault, createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet, FleetOptions } from "./fixtures/fleet.js";
import { findViolations } from "./fixtures/violations.js";

/** Time after which an idle worker's clock is far ahead of the clock of its next incarnation. */
const idleMs = 20_000;
/** Time after which the list of workers shows a restart; orders reach the next incarnation before. */
const listDelayMs = 800;
const workMs = 30_000;
/** Time in which tasks that are given up start elsewhere, and what runs on without a renewal lapses. */
const lapseMs = 40_000;
/** Worker that restarts; the data of all jobs is on its rack, so that their tasks are placed there. */
const restarted = "w0";
const dataRack = "r1-1";

const createIdleFleet = async (options: FleetOptions = {}): Promise<Fleet> => {
    const fleet = createFleet({ workerCount: 0, ...options });
    fleet.addWorker(restarted, dataRack);
    ["w1", "w2", "w3"].forEach(id => fleet.addWorker(id, "r1-2"));
    fleet.notify();
    await fleet.timer.advance(idleMs);
    fleet.listDelayMs = listDelayMs;
    return fleet;
};

const submitTasks = async (fleet: Fleet, id: string, taskCount: number): Promise<void> => {
    const resources = { milliCores: 8_000, memoryMb: 16_000, accelerators: 2 };
    const step = createStep({ taskCount, resources, estimateMs: workMs, dataRack });
    await fleet.submit(createSubmission(id, [step], {}, { workMs }));
};

const countRunning = (fleet: Fleet): number =>
    fleet.spans.filter(span => span.worker === restarted && span.toMs === undefined).length;

/** Makes the next order of a kind to the worker take effect late and get no answer. */
const delayNextOrder = (fleet: Fleet, kind: "start" | "hold"): void => {
    let delayed = false;
    fleet.orderFault = (_vm, sentKind, workerId) => {
        if (delayed || sentKind !== kind || workerId !== restarted) {
            return CallFault.None;
        }
        delayed = true;
        return CallFault.Late;
    };
};

/** Cuts the worker off for good; its tasks start elsewhere once what runs on there has lapsed. */
const assertRunsOnceAfterCutOff = async (fleet: Fleet): Promise<void> => {
    const lostTasks = countRunning(fleet);
    assert.isAbove(lostTasks, 0, "tasks run on the worker when it is cut off");
    fleet.workers.get(restarted)!.unreachable = true;
    await fleet.timer.advance(lapseMs);
    assert.deepEqual(findViolations(fleet.spans), []);
    const waiting = [...fleet.vms.values()].map(vm => vm.phase("a1"));
    await fleet.timer.advance(50);
    assert.notInclude(await Promise.all(waiting), JobPhase.Queued);
    const lapsed = fleet.spans.filter(({ worker, kind }) => worker === restarted && kind === "lapsed");
    const startedAgain = lapsed.filter(({ task }) =>
        fleet.spans.some(span => span.task === task && span.worker !== restarted)
    );
    assert.isAtLeast(startedAgain.length, lostTasks, "what was lost has started elsewhere");
};

// guards against tasks that ran twice: the next incarnation of a worker takes the end of a lease in an order to its earlier incarnation
// for one on its own clock, which begins anew, so that the lease lasted longer than the planner reckoned with
describe("a worker that is back under its id, has run what was meant for its earlier incarnation and is cut off", () => {
    /** Restarts the worker and waits until it has begun what is sent to it then. */
    const restartAndRun = async (options: FleetOptions = {}): Promise<Fleet> => {
        const fleet = await createIdleFleet(options);
        fleet.restartWorker(restarted);
        await submitTasks(fleet, "a1", 4);
        while (countRunning(fleet) === 0) {
            await fleet.timer.advance(1);
        }
        return fleet;
    };

    // in the first milliseconds the answers are on their way, or the poll that shows which incarnation answers
    for (const cutAfterMs of [3, 6, 9, 100, 300, 600, 900, 1_200, 2_000, 4_000]) {
        it(`after ${cutAfterMs} ms`, async () => {
            const fleet = await restartAndRun();
            await fleet.timer.advance(cutAfterMs);
            await assertRunsOnceAfterCutOff(fleet);
        });

        it(`after ${cutAfterMs} ms, when the planner is killed`, async () => {
            const fleet = await restartAndRun();
            await fleet.timer.advance(cutAfterMs);
            fleet.killVm(fleet.planner() ?? "");
            await assertRunsOnceAfterCutOff(fleet);
        });
    }

    it("after 3 ms, while the list of workers does not show the restart", async () => {
        const fleet = await restartAndRun();
        fleet.unlisted.add(restarted);
        await fleet.timer.advance(3);
        await assertRunsOnceAfterCutOff(fleet);
    });

    it("with the answer, when the planner is killed before the list of workers shows the restart", async () => {
        const fleet = await createIdleFleet();
        fleet.listDelayMs = 2_000;
        fleet.restartWorker(restarted);
        fleet.orderFault = (_vm, kind, workerId) =>
            kind === "start" && workerId === restarted ? CallFault.AnswerLost : CallFault.None;
        await submitTasks(fleet, "a1", 4);
        while (countRunning(fleet) === 0) {
            await fleet.timer.advance(1);
        }
        const { spans } = fleet;
        fleet.workers.get(restarted)!.unreachable = true;
        await fleet.timer.advance(1_800);
        fleet.killVm(fleet.planner() ?? "");
        await fleet.timer.advance(lapseMs);
        assert.deepEqual(findViolations(spans), []);
        assert.lengthOf(spans, 8);
    });

    for (const killsPlanner of [false, true]) {
        const title = `before it has answered, and begins a late order then${
            killsPlanner ? ", without the planner" : ""
        }`;
        it(title, async () => {
            const fleet = await createIdleFleet();
            delayNextOrder(fleet, "start");
            await submitTasks(fleet, "a1", 1);
            await fleet.timer.advance(100);
            fleet.restartWorker(restarted);
            await fleet.timer.advance(200);
            fleet.workers.get(restarted)!.unreachable = true;
            await fleet.timer.advance(2_000);
            if (killsPlanner) {
                fleet.killVm(fleet.planner() ?? "");
            }
            await fleet.timer.advance(lapseMs);
            assert.deepEqual(findViolations(fleet.spans), []);
            assert.deepEqual(fleet.spans.map(({ worker }) => worker === restarted), [true, false]);
        });
    }

    it("after 300 ms, with a slow clock", async () => {
        const fleet = await restartAndRun({ clockRate: 0.98 });
        await fleet.timer.advance(300);
        await assertRunsOnceAfterCutOff(fleet);
    });
});

describe("a worker that is back under its id, gets a late order of its earlier incarnation and is cut off", () => {
    for (const kind of ["start", "hold"] as const) {
        for (const cutAfterMs of [1_600, 2_000, 2_500, 3_000, 3_500, 4_000, 4_500, 5_500]) {
            for (const killsPlanner of [false, true]) {
                const title = `${cutAfterMs} ms after a ${kind} was sent${killsPlanner ? ", with the planner" : ""}`;
                it(title, async () => {
                    const fleet = await createIdleFleet();
                    delayNextOrder(fleet, kind);
                    await submitTasks(fleet, "a1", 1);
                    await fleet.timer.advance(100);
                    fleet.restartWorker(restarted);
                    await fleet.timer.advance(1_400);
                    await submitTasks(fleet, "a2", 3);
                    await fleet.timer.advance(cutAfterMs - 1_500);
                    if (killsPlanner) {
                        fleet.killVm(fleet.planner() ?? "");
                    }
                    await assertRunsOnceAfterCutOff(fleet);
                });
            }
        }
    }
});

describe("a start without an answer that was given up after a stop of the worker's earlier incarnation", () => {
    // guards against a task that was started elsewhere while the next incarnation, which has seen no stop, had begun it
    it("keeps its task from starting elsewhere until the next incarnation has it no more", async () => {
        const fleet = await createIdleFleet();
        await submitTasks(fleet, "a0", 2);
        await fleet.timer.advance(1_000);
        delayNextOrder(fleet, "start");
        await submitTasks(fleet, "a1", 1);
        await fleet.timer.advance(3_900);
        assert.deepEqual(fleet.spans.filter(({ task }) => task === "a1.0.0.0").map(({ run }) => run), [2]);
        fleet.unlisted.add(restarted);
        fleet.restartWorker(restarted);
        while (!fleet.logLines.some(({ fields }) => fields.reason === "the worker has started anew")) {
            await fleet.timer.advance(1);
        }
        await assertRunsOnceAfterCutOff(fleet);
    });
});

describe("a worker that is not listed when a planner takes over", () => {
    // guards against runs that the worker listed and that were given up all the same
    it("keeps the runs that its next incarnation has begun by an order to its earlier incarnation", async () => {
        const fleet = await createIdleFleet();
        fleet.restartWorker(restarted);
        await submitTasks(fleet, "a1", 4);
        await fleet.timer.advance(50);
        fleet.unlisted.add(restarted);
        fleet.notify();
        fleet.killVm(fleet.planner() ?? "");
        await fleet.timer.advance(lapseMs);
        assert.deepEqual(findViolations(fleet.spans), []);
        assert.deepEqual(fleet.spans.map(({ kind }) => kind), Array(4).fill("done"));
    });
});

describe("the fencing tokens of a term", () => {
    it("are higher for each later session with a worker, and higher than those of the terms before", () => {
        const tokens = createFencingTokens(7);
        const ofWorker = Array.from({ length: 1_500 }, () => tokens.next("w0"));
        assert.isTrue(ofWorker.slice(0, 1_000).every((token, index) => index === 0 || token > ofWorker[index - 1]));
        assert.isBelow(Math.max(...ofWorker), createFencingTokens(8).next("w0"));
        assert.equal(tokens.next("w1"), ofWorker[0]);
    });
});
