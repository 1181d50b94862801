import { assert } from "chai";
import { latestMoveMs, mustDepart } from "../src/execution/departures.js";
import type { DepartingRun } from "../src/execution/departures.js";
import { EndKind } from "../src/execution/types.js";
import type { JobSubmission, Step } from "../src/jobs/types.js";
import { planRound } from "../src/planning/round.js";
import type { RunSpan } from "../standins/runs/workerModel.js";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";
import { addOccupant, createCandidate, createRacks, createRoundInput } from "./fixtures/planning.js";
import { findViolations } from "./fixtures/violations.js";

const settleMs = 1_000;
const noticeMs = 5_500;
/** Time in which a round, the stop order and the report of the end fit. */
const decisionMs = 400;
const wholeWorker = { milliCores: 64_000, memoryMb: 256_000, accelerators: 8 };

const createRun = (known: Partial<DepartingRun>): DepartingRun => ({
    untilDepartureMs: noticeMs,
    estimateMs: 11_000,
    percent: 0,
    workedMs: 0,
    reportAgeMs: 0,
    resumable: false,
    ...known,
});

describe("a run on a worker that is about to leave", () => {
    it("is judged by its declared time until its progress tells how fast it is", () => {
        assert.isTrue(mustDepart(createRun({})));
        assert.isFalse(mustDepart(createRun({ estimateMs: 5_000 })));
        assert.isFalse(mustDepart(createRun({ percent: 50, workedMs: 3_000 })), "it is faster than declared");
        assert.isTrue(mustDepart(createRun({ estimateMs: 5_000, percent: 20, workedMs: 3_000 })), "it is slower");
        assert.isFalse(mustDepart(createRun({ percent: 50, workedMs: 6_000, reportAgeMs: 900 })), "the report is old");
    });

    it("is moved as late as a stop with its checkpoint allows if it is resumable", () => {
        assert.isFalse(mustDepart(createRun({ resumable: true })));
        assert.isTrue(mustDepart(createRun({ resumable: true, untilDepartureMs: 1_400 })));
        assert.isFalse(mustDepart(createRun({ resumable: true, untilDepartureMs: 1_400, estimateMs: 1_000 })));
        assert.isTrue(mustDepart(createRun({ resumable: true, untilDepartureMs: 800, estimateMs: 500 })));
    });
});

interface Departure {
    fleet: Fleet;
    /** Monotonic times at which the worker announced that it leaves, and at which it was gone. */
    noticeAtMs: number;
    goneAtMs: number;
}

/** Runs a job for `runningMs` and has the worker of its first task leave at short notice. */
const departFrom = async (
    step: Partial<Step>,
    { workMs, runningMs = 1_200, job = {}, prepare = async () => {} }: {
        workMs: number;
        runningMs?: number;
        job?: Partial<JobSubmission>;
        prepare?: (fleet: Fleet) => Promise<void>;
    },
): Promise<Departure> => {
    const fleet = createFleet({ workerCount: 4, vmCount: 2 });
    await fleet.timer.advance(settleMs);
    await prepare(fleet);
    const whole = createStep({ resources: wholeWorker, estimateMs: workMs, ...step });
    await fleet.submit(createSubmission("leaving", [whole], job, { workMs }));
    await fleet.timer.advance(runningMs);
    const id = spansOf(fleet)[0].worker;
    const worker = fleet.workers.get(id)!;
    const noticeAtMs = fleet.timer.nowMs();
    const goneAtMs = noticeAtMs + noticeMs;
    worker.descriptor = { ...worker.descriptor, draining: true, leavesAtMs: goneAtMs };
    fleet.notify();
    fleet.timer.after(noticeMs, () => fleet.removeWorker(id));
    return { fleet, noticeAtMs, goneAtMs };
};

const spansOf = (fleet: Fleet): RunSpan[] => fleet.spans.filter(({ task }) => task.startsWith("leaving."));

const firstRuns = (fleet: Fleet): RunSpan[] => spansOf(fleet).filter(({ run }) => run === 1);

/** Asserts that the first runs were stopped: workers end the members that were not told to stop first as broken. */
const assertStopped = (fleet: Fleet): void => {
    const kinds = firstRuns(fleet).map(({ kind }) => kind);
    assert.include(kinds, EndKind.Stopped);
    assert.isEmpty(kinds.filter(kind => kind !== EndKind.Stopped && kind !== EndKind.Broken));
};

const gang = { gang: true, taskCount: 2 };

describe("work on a worker that leaves at short notice", () => {
    // guards against gangs that ran until their worker was gone although they could not end before
    it("is stopped at the notice, with its gang, if it cannot end before and is not resumable", async () => {
        const { fleet, noticeAtMs } = await departFrom(gang, { workMs: 20_000 });
        await fleet.timer.advance(decisionMs);
        assertStopped(fleet);
        assert.isTrue(firstRuns(fleet).every(({ toMs = Infinity }) => toMs <= noticeAtMs + decisionMs));
        await fleet.timer.advance(30_000);
        assert.lengthOf(spansOf(fleet).filter(({ kind }) => kind === EndKind.Done), 2);
        assert.deepEqual(findViolations(fleet.spans), []);
    });

    it("ends there if it can", async () => {
        const { fleet } = await departFrom(gang, { workMs: 5_000 });
        await fleet.timer.advance(10_000);
        assert.deepEqual(spansOf(fleet).map(({ kind }) => kind), [EndKind.Done, EndKind.Done]);
    });

    it("ends there if its progress shows that it can, whatever was declared", async () => {
        const { fleet } = await departFrom({ ...gang, estimateMs: 20_000 }, { workMs: 5_000 });
        await fleet.timer.advance(10_000);
        assert.deepEqual(spansOf(fleet).map(({ kind }) => kind), [EndKind.Done, EndKind.Done]);
    });

    it("is stopped once its progress shows that it cannot end before, whatever was declared", async () => {
        const { fleet, goneAtMs } = await departFrom({ ...gang, estimateMs: 3_000 }, { workMs: 20_000 });
        await fleet.timer.advance(10_000);
        assertStopped(fleet);
        assert.isTrue(firstRuns(fleet).every(({ toMs = Infinity }) => toMs < goneAtMs - noticeMs / 2));
    });

    // guards against runs whose worker was gone before it had saved the checkpoint that the stop asks for
    it("is moved with its checkpoint if it is resumable, also when the stop takes 0.9 s", async () => {
        const { fleet, goneAtMs } = await departFrom({ ...gang, checkpointing: true }, { workMs: 20_000 });
        fleet.orderDelayMs = (_vm, kind) => kind === "stop" ? 850 : 0;
        await fleet.timer.advance(30_000);
        assertStopped(fleet);
        assert.isTrue(firstRuns(fleet).every(({ toMs = Infinity }) => toMs < goneAtMs));
        assert.isTrue(firstRuns(fleet).every(({ toMs = 0 }) => toMs > goneAtMs - 2_000), "no earlier than necessary");
        const [again] = spansOf(fleet).filter(({ run }) => run === 2);
        assert.isBelow((again.toMs ?? Infinity) - again.fromMs, 20_000 - noticeMs, "it resumes");
    });

    it("is not stopped beyond the limit of its step", async () => {
        const { fleet, goneAtMs } = await departFrom({ taskCount: 3, maxUnavailable: 1 }, { workMs: 20_000 });
        await fleet.timer.advance(10_000);
        const [first] = spansOf(fleet);
        assert.isUndefined(first.kind);
        assert.equal(first.toMs, goneAtMs);
    });

    it("is moved as late as before beyond the limit of its step if it is resumable", async () => {
        const step = { taskCount: 3, maxUnavailable: 1, checkpointing: true };
        const { fleet, goneAtMs } = await departFrom(step, { workMs: 20_000 });
        await fleet.timer.advance(10_000);
        const [first] = spansOf(fleet);
        assert.equal(first.kind, EndKind.Stopped);
        assert.isAbove(first.toMs ?? 0, goneAtMs - latestMoveMs);
    });

    it("stays until the worker is gone if it is long-running", async () => {
        const { fleet, goneAtMs } = await departFrom({ longRunning: true }, { workMs: 60_000 });
        await fleet.timer.advance(10_000);
        assert.equal(spansOf(fleet)[0].toMs, goneAtMs);
    });

    // guards against work of others that is thrown away for a move that the planner itself decided
    it("preempts nothing until the worker is gone", async () => {
        const { fleet, goneAtMs } = await departFrom(gang, {
            workMs: 20_000,
            job: { priority: 0, slackFactor: 100, customer: "without a guarantee" },
            prepare: async prepared => {
                const step = createStep({ taskCount: 2, resources: wholeWorker, estimateMs: 60_000 });
                await prepared.submit(createSubmission("other", [step], {}, { workMs: 60_000 }));
                await prepared.timer.advance(1_000);
            },
        });
        await fleet.timer.advance(noticeMs - 100);
        assertStopped(fleet);
        const isRunning = ({ task, toMs }: RunSpan): boolean => task.startsWith("other.") && toMs === undefined;
        assert.lengthOf(fleet.spans.filter(isRunning), 2);
        await fleet.timer.advance(3_000);
        const again = spansOf(fleet).filter(({ run }) => run > 1);
        assert.isTrue(again.length === 2 && again.every(({ fromMs }) => fromMs >= goneAtMs), "then it does as before");
    });
});

// guards against urgent work that waits since work of the same shape, which must not preempt, did not fit
describe("a gang that preempts nothing in a round", () => {
    it("does not keep a like gang from preempting", () => {
        const workers = createRacks(1, 1);
        const occupants = [addOccupant(workers[0], "running", {
            priority: 2,
            resources: { milliCores: 32_000, memoryMb: 64_000, accelerators: 8 },
            lostCoreMs: 0,
        })];
        const options = { taskCount: 2, accelerators: 4, gang: true, priority: 0 };
        const candidates = [
            createCandidate("moved", { ...options, preemptsNothing: true, timeToObjectiveMs: 3_000 }),
            createCandidate("urgent", options),
        ];
        const { evictions } = planRound(createRoundInput({ workers, candidates, occupants }));
        assert.deepEqual(evictions.map(({ forKey }) => forKey), ["urgent"]);
    });
});
