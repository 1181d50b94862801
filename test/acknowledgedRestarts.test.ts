import { assert } from "chai";
import { JobPhase } from "../src/jobs/types.js";
import type { RunSpan } from "../standins/runs/workerModel.js";
import { CallFault, createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";
import { findViolations } from "./fixtures/violations.js";

const wholeWorker = { milliCores: 64_000, memoryMb: 256_000, accelerators: 8 };
const idleMs = 2_000;
const firstWorkMs = 2_000;
/** Time in which a planner replaces what a restart has ended, and all tasks run. */
const completionMs = 20_000;
const smallJobCount = 6;

/** Advances until a condition holds. */
const advanceUntil = async (fleet: Fleet, condition: () => boolean): Promise<void> => {
    for (let atMs = 0; !condition() && atMs < completionMs; atMs++) {
        await fleet.timer.advance(1);
    }
    assert.isTrue(condition());
};

/** Submits a task that needs a whole worker, waits until it has run there, and submits small ones that wait for the room. */
const runToFirstEnd = async (workerCount: number, workMs: number): Promise<Fleet> => {
    const fleet = createFleet({ workerCount });
    await fleet.timer.advance(idleMs);
    const step = createStep({ resources: wholeWorker });
    for (let index = 0; index < workerCount; index++) {
        await fleet.submit(createSubmission(`a${index}`, [step], {}, { workMs: firstWorkMs }));
    }
    await advanceUntil(fleet, () => fleet.spans.length === workerCount);
    for (let index = 0; index < smallJobCount; index++) {
        await fleet.submit(createSubmission(`b${index}`, [createStep()], {}, { workMs }));
    }
    await advanceUntil(fleet, () => fleet.spans[0].toMs !== undefined);
    return fleet;
};

const assertAllRanOnce = async (fleet: Fleet, message: string): Promise<void> => {
    await fleet.timer.advance(completionMs);
    assert.deepEqual(findViolations(fleet.spans), [], message);
    const phases = Array.from({ length: smallJobCount }, (_, index) => fleet.vms.get("vm0")?.phase(`b${index}`));
    await fleet.timer.advance(50);
    assert.deepEqual(await Promise.all(phases), Array(smallJobCount).fill(JobPhase.Succeeded), message);
};

// guards against tasks that ran twice: the next incarnation of a worker, which numbers its ended runs anew, forgot one that
// the acknowledgement of another one by the incarnation before covered
describe("a worker that restarts under its id just after it has listed an ended run", () => {
    for (const workMs of [30, 200, 700]) {
        it(`lists the ends of tasks of ${workMs} ms that its next incarnation begins`, async () => {
            for (const workerCount of [1, 3]) {
                for (const listDelayMs of [600, 1_400]) {
                    for (const restartAfterMs of [2, 3]) {
                        const fleet = await runToFirstEnd(workerCount, workMs);
                        fleet.listDelayMs = listDelayMs;
                        await fleet.timer.advance(restartAfterMs);
                        fleet.restartWorker(fleet.spans[0].worker);
                        await assertAllRanOnce(
                            fleet,
                            `${workerCount} workers, list ${listDelayMs} ms late, restart after ${restartAfterMs} ms`,
                        );
                    }
                }
            }
        });
    }

    for (const workMs of [10, 30, 80]) {
        it(`lists the ends of tasks of ${workMs} ms although the acknowledgement arrives later than their starts`, async () => {
            for (const delayMs of [20, 60, 120, 300]) {
                const fleet = await runToFirstEnd(1, workMs);
                fleet.listDelayMs = 1_400;
                let delayed = false;
                fleet.orderDelayMs = (_vm, _kind, _worker, acknowledged) => {
                    const isFirst = acknowledged > 0 && !delayed;
                    delayed ||= isFirst;
                    return isFirst ? delayMs : 0;
                };
                await fleet.timer.advance(2);
                fleet.restartWorker("w0");
                await assertAllRanOnce(fleet, `acknowledgement ${delayMs} ms late`);
            }
        });
    }
});

/** Delay of a late order in the fleet. */
const lateMs = 4_000;
const briefWorkMs = 2;

/**
 * Runs a task whose acknowledgement gets no answer and arrives seconds late, and restarts the worker before, while a brief
 * task is sent to it.
 */
const restartBeforeLateAcknowledgement = async (restartBeforeMs: number, submitBeforeMs: number): Promise<Fleet> => {
    const fleet = createFleet({ workerCount: 1 });
    await fleet.timer.advance(idleMs);
    let lateAtMs: number | undefined;
    fleet.orderFault = (_vm, _kind, _worker, acknowledged) => {
        if (acknowledged === 0 || lateAtMs !== undefined) {
            return CallFault.None;
        }
        lateAtMs = fleet.timer.nowMs() + lateMs;
        return CallFault.Late;
    };
    await fleet.submit(createSubmission("a0", [createStep()], {}, { workMs: 100 }));
    await advanceUntil(fleet, () => lateAtMs !== undefined);
    fleet.listDelayMs = 1_400;
    const arrivesAtMs = lateAtMs ?? 0;
    fleet.timer.after(arrivesAtMs - restartBeforeMs - fleet.timer.nowMs(), () => fleet.restartWorker("w0"));
    await fleet.timer.advance(arrivesAtMs - submitBeforeMs - fleet.timer.nowMs());
    await fleet.submit(createSubmission("b0", [createStep()], {}, { workMs: briefWorkMs }));
    await fleet.timer.advance(completionMs);
    return fleet;
};

describe("an acknowledgement without an answer", () => {
    // guards against the same when the acknowledgement is carried out seconds later, after starts that were sent since
    it("covers no ended run of a later incarnation of the worker that carries it out late", async () => {
        let lateRuns = 0;
        for (let submitBeforeMs = 20; submitBeforeMs <= 40; submitBeforeMs++) {
            for (let restartBeforeMs = 4; restartBeforeMs <= 16; restartBeforeMs++) {
                const fleet = await restartBeforeLateAcknowledgement(restartBeforeMs, submitBeforeMs);
                const spans = fleet.spans.filter(({ task }) => task.startsWith("b0."));
                lateRuns += spans.length;
                assert.deepEqual(
                    findViolations(fleet.spans),
                    [],
                    `restart ${restartBeforeMs} ms before, submission ${submitBeforeMs} ms before`,
                );
            }
        }
        assert.isAbove(lateRuns, 0);
    });
});

/** Where a worker is in its life, and what is on its way to it, when it restarts. */
interface StartInFlight {
    /** Age of the worker when it is sent the first task. */
    ageMs: number;
    /** Time that a start takes to reach the worker. */
    startDelayMs: number;
    /** Time from the submission of the second task to the end of the first. */
    submitBeforeMs: number;
    /** Time from the end of the first task to the restart. */
    restartAfterMs: number;
}

/** Restarts a worker just after a task has ended there, while the start of another one is on its way to it. */
const restartBeforeStart = async (options: StartInFlight): Promise<Fleet> => {
    const fleet = createFleet({ workerCount: 1 });
    await fleet.timer.advance(idleMs);
    fleet.restartWorker("w0");
    await fleet.timer.advance(options.ageMs);
    const runMs = 40;
    await fleet.submit(createSubmission("a0", [createStep()], {}, { workMs: runMs }));
    await advanceUntil(fleet, () => fleet.spans.length === 1);
    fleet.listDelayMs = 1_400;
    fleet.orderDelayMs = (_vm, kind) => kind === "start" ? options.startDelayMs : 0;
    const endsAtMs = fleet.spans[0].fromMs + runMs;
    fleet.timer.after(endsAtMs + options.restartAfterMs - fleet.timer.nowMs(), () => fleet.restartWorker("w0"));
    await fleet.timer.advance(endsAtMs - options.submitBeforeMs - fleet.timer.nowMs());
    await fleet.submit(createSubmission("b0", [createStep()], {}, { workMs: briefWorkMs }));
    await fleet.timer.advance(completionMs);
    return fleet;
};

describe("a worker that restarts while a start is on its way to it", () => {
    // guards against the same when the acknowledgement is sent after the start and before the restart is noticed
    for (const ageMs of [0, 2_000, 60_000]) {
        it(`${ageMs} ms after another restart, lists the end of what its next incarnation begins`, async () => {
            let lateRuns = 0;
            for (const startDelayMs of [10, 20, 60, 90]) {
                for (const restartAfterMs of [2, 3, 4, 6, 10]) {
                    for (const submitBeforeMs of [35, 30, 25, 20, 15, 10]) {
                        const options = { ageMs, startDelayMs, restartAfterMs, submitBeforeMs };
                        const fleet = await restartBeforeStart(options);
                        assert.deepEqual(findViolations(fleet.spans), [], JSON.stringify(options));
                        const restartedAtMs = (fleet.spans[0].toMs ?? 0) + restartAfterMs;
                        const isLate = ({ task, fromMs }: RunSpan): boolean =>
                            task.startsWith("b0.") && fromMs > restartedAtMs;
                        lateRuns += fleet.spans.filter(isLate).length;
                    }
                }
            }
            assert.isAbove(lateRuns, 0, "the next incarnation has begun some of the tasks");
        });
    }
});

/** Time within which the platform expects the acknowledgement of a listed ended run. */
const maxUnacknowledgedMs = 4_000;

describe("a worker that is sent starts without a pause", () => {
    // guards against acknowledgements that wait for a moment without starts, which a busy worker may not have
    it("is sent acknowledgements in time", async () => {
        const fleet = createFleet({ workerCount: 1 });
        await fleet.timer.advance(idleMs);
        const acknowledgedAtMs: number[] = [];
        fleet.orderDelayMs = (_vm, kind, _worker, acknowledged) => {
            if (acknowledged > 0) {
                acknowledgedAtMs.push(fleet.timer.nowMs());
            }
            return kind === "start" ? 30 : 0;
        };
        const resources = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };
        const step = createStep({ taskCount: 200, resources });
        for (let index = 0; index < smallJobCount; index++) {
            await fleet.submit(createSubmission(`b${index}`, [step], {}, { workMs: 60, unevenShare: 0.9 }));
        }
        await assertAllRanOnce(fleet, "no restart");
        const ends = fleet.spans.map(({ toMs }) => toMs ?? Infinity);
        const waits = ends.map(atMs => (acknowledgedAtMs.find(sentAtMs => sentAtMs > atMs) ?? Infinity) - atMs);
        assert.isBelow(Math.max(...waits), maxUnacknowledgedMs);
    });
});
