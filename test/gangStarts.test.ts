import { assert } from "chai";
import { startRetryDelayMs } from "../src/execution/startRetry.js";
import { Refusal } from "../src/execution/types.js";
import { JobPhase } from "../src/jobs/types.js";
import { CallFault, createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";
import { findViolations } from "./fixtures/violations.js";

const memberCount = 3;
const settleMs = 1_000;
/** Time in which a gang is placed and its placement recorded. */
const placementMs = 20;
/** Time after the first try within which the tries end, and in which the members are told to stop. */
const triesMs = 2_000;
const lateOrderMs = 15_000;
const wholeWorker = { milliCores: 64_000, memoryMb: 256_000, accelerators: 8 };
const gangStep = createStep({ taskCount: memberCount, gang: true, resources: wholeWorker });

const linesOf = (fleet: Fleet, message: string) => fleet.logLines.filter(line => line.message === message);

/** The tasks whose runs have been told to stop. */
const stoppedTasks = (fleet: Fleet): unknown[] => linesOf(fleet, "stopping a run").map(({ fields }) => fields.task);

const allTasks = ["gang.0.0.0", "gang.0.0.1", "gang.0.0.2"];

/** Has the worker refuse one start order. */
const refuseNextStart = (fleet: Fleet, workerId: string): void => {
    const { model } = fleet.workers.get(workerId)!;
    const { start } = model;
    model.start = () => {
        model.start = start;
        return { ok: false, error: { kind: "refused", refusal: Refusal.NoRoom, detail: "no room" } };
    };
};

/** Submits a gang on as many workers and one more; `fault` chooses what becomes of each try of one member's start. */
const startGang = async (
    workMs: number,
    fault: (attempt: number) => CallFault,
    prepare: (fleet: Fleet, workerId: string) => void = () => {},
): Promise<{ fleet: Fleet; workerId: string; }> => {
    const fleet = createFleet({ workerCount: memberCount + 1, vmCount: 2 });
    await fleet.timer.advance(settleMs);
    let workerId = "";
    let attempt = 0;
    fleet.orderFault = (_vm, kind, id) => {
        if (kind === "start" && workerId === "") {
            workerId = id;
            prepare(fleet, id);
        }
        return kind === "start" && id === workerId ? fault(++attempt) : CallFault.None;
    };
    await fleet.submit(createSubmission("gang", [gangStep], {}, { workMs }));
    await fleet.timer.advance(placementMs);
    assert.notEqual(workerId, "", "its start is ordered");
    return { fleet, workerId };
};

const assertNoneAlone = (fleet: Fleet): void =>
    assert.isEmpty(linesOf(fleet, "run ended").filter(({ fields }) => fields.kind === "alone"));

const phaseOf = async (fleet: Fleet): Promise<JobPhase | "unavailable" | undefined> => {
    const phase = [...fleet.vms.values()][0].phase("gang");
    await fleet.timer.advance(100);
    return phase;
};

const faultFirst = (fault: CallFault) => (attempt: number): CallFault => attempt === 1 ? fault : CallFault.None;

describe("a start order of a gang member that gets no answer", () => {
    for (const fault of [CallFault.RequestLost, CallFault.AnswerLost, CallFault.Late, CallFault.LateWithinLease]) {
        // guards against gangs that were stopped on all workers because one order was lost
        it(`is sent again, and the gang runs once (${fault})`, async () => {
            const { fleet } = await startGang(5_000, faultFirst(fault));
            await fleet.timer.advance(triesMs);
            assert.deepEqual(fleet.spans.map(({ run }) => run), [1, 1, 1]);
            await fleet.timer.advance(lateOrderMs);
            assert.lengthOf(fleet.spans, memberCount);
            assert.isEmpty(linesOf(fleet, "stopping a run"));
            assert.equal(await phaseOf(fleet), JobPhase.Succeeded);
        });
    }

    // guards against gangs that stood still for the usual timeout of an order, 0.9 s, in which no member works
    it("is sent again long before the usual timeout, and its worker does not count as silent", async () => {
        const { fleet } = await startGang(5_000, faultFirst(CallFault.Late));
        await fleet.timer.advance(400);
        assert.lengthOf(fleet.spans, memberCount);
        assert.isEmpty(linesOf(fleet, "worker does not answer"));
    });

    it("carries the same run, checkpoint and lease in each try", async () => {
        const orders: unknown[] = [];
        const { fleet } = await startGang(5_000, faultFirst(CallFault.AnswerLost), (prepared, id) => {
            const { model } = prepared.workers.get(id)!;
            const { start } = model;
            model.start = order => {
                orders.push(order);
                return start(order);
            };
        });
        await fleet.timer.advance(triesMs);
        assert.lengthOf(orders, 2);
        assert.deepEqual(orders[0], orders[1]);
    });

    for (const fault of [CallFault.RequestLost, CallFault.Late]) {
        // guards against members that wait until they end alone, and against late starts that join them
        it(`is sent a bounded number of times, then the whole gang is stopped (${fault})`, async () => {
            const { fleet, workerId } = await startGang(5_000, attempt => attempt <= 9 ? fault : CallFault.None);
            await fleet.timer.advance(triesMs);
            assert.sameMembers(stoppedTasks(fleet), allTasks);
            assert.isBelow(linesOf(fleet, "start repeated").length, 4);
            fleet.orderFault = () => CallFault.None;
            await fleet.timer.advance(lateOrderMs);
            assertNoneAlone(fleet);
            assert.deepEqual(findViolations(fleet.spans), []);
            assert.lengthOf(fleet.spans, memberCount, `run 1 began nowhere, also not on ${workerId}`);
            assert.equal(await phaseOf(fleet), JobPhase.Succeeded);
        });
    }

    // guards against members that wait for one whose worker is gone
    it("has the gang stopped in time when its worker is gone", async () => {
        const { fleet } = await startGang(5_000, () => CallFault.None, (prepared, id) => prepared.removeWorker(id));
        await fleet.timer.advance(triesMs);
        assert.sameMembers(stoppedTasks(fleet), allTasks);
        await fleet.timer.advance(lateOrderMs);
        assertNoneAlone(fleet);
        assert.deepEqual(findViolations(fleet.spans), []);
        assert.equal(await phaseOf(fleet), JobPhase.Succeeded);
    });

    // guards against a task that runs again because the worker refused the run number that it had completed
    it("is not taken for refused when the run has ended before the next try", async () => {
        const { fleet, workerId } = await startGang(500, faultFirst(CallFault.AnswerLost));
        fleet.orderDelayMs = (_vm, kind, id) => kind === "hold" && id === workerId ? 300 : 0;
        await fleet.timer.advance(lateOrderMs);
        assert.lengthOf(fleet.spans, memberCount);
        assert.equal(await phaseOf(fleet), JobPhase.Succeeded);
    });

    // guards against a late first try that begins its run after the refusal of a later one
    it("is stopped on its worker when a later try is refused", async () => {
        const { fleet } = await startGang(5_000, faultFirst(CallFault.Late), refuseNextStart);
        await fleet.timer.advance(triesMs);
        assert.sameMembers(stoppedTasks(fleet), allTasks);
        await fleet.timer.advance(lateOrderMs);
        assertNoneAlone(fleet);
        assert.deepEqual(findViolations(fleet.spans), []);
        assert.lengthOf(fleet.spans, memberCount);
        assert.equal(await phaseOf(fleet), JobPhase.Succeeded);
    });

    for (const cancelAfterMs of [300, 905, 1_500]) {
        // guards against tries for jobs that were cancelled meanwhile
        it(`starts nothing of a job that is cancelled after ${cancelAfterMs} ms`, async () => {
            const { fleet } = await startGang(60_000, attempt => attempt === 2 ? CallFault.None : CallFault.Late);
            await fleet.timer.advance(cancelAfterMs);
            void [...fleet.vms.values()][0].cancel("gang");
            await fleet.timer.advance(3_200);
            const cancelledAtMs = fleet.timer.nowMs();
            await fleet.timer.advance(lateOrderMs);
            assert.isTrue(fleet.spans.every(({ toMs = Infinity }) => toMs <= cancelledAtMs), "none runs on");
        });
    }

    for (const restartAfterMs of [300, 905, 1_300, 3_000]) {
        // guards against runs that the next incarnation begins from a late try while the task runs elsewhere
        it(`begins no second run on the worker's next incarnation after ${restartAfterMs} ms`, async () => {
            const { fleet, workerId } = await startGang(9_000, faultFirst(CallFault.LateWithinLease));
            await fleet.timer.advance(restartAfterMs);
            fleet.restartWorker(workerId);
            await fleet.timer.advance(2 * lateOrderMs);
            assertNoneAlone(fleet);
            assert.deepEqual(findViolations(fleet.spans), []);
            assert.equal(await phaseOf(fleet), JobPhase.Succeeded);
        });
    }

    // guards against members that wait for one whose worker started again and does not answer
    it("has the gang stopped in time when the worker starts again and does not answer then", async () => {
        const { fleet, workerId } = await startGang(5_000, () => CallFault.RequestLost);
        await fleet.timer.advance(300);
        fleet.restartWorker(workerId);
        fleet.workers.get(workerId)!.unreachable = true;
        await fleet.timer.advance(triesMs);
        assert.sameMembers(stoppedTasks(fleet), allTasks);
        await fleet.timer.advance(lateOrderMs);
        assertNoneAlone(fleet);
        assert.deepEqual(findViolations(fleet.spans), []);
    });

    // guards against members that wait until the stop of the one that did not start is answered
    it("has the gang stopped at once when the worker's next incarnation does not list the run", async () => {
        const { fleet, workerId } = await startGang(5_000, () => CallFault.RequestLost);
        fleet.orderDelayMs = (_vm, kind, id) => kind === "stop" && id === workerId ? 850 : 0;
        await fleet.timer.advance(300);
        fleet.restartWorker(workerId);
        await fleet.timer.advance(200);
        assert.sameMembers(stoppedTasks(fleet), allTasks);
    });

    for (const killAfterMs of [300, 905, 1_500]) {
        // guards against tries of a planner that another one has replaced
        it(`is left to the next planner when the planner is killed after ${killAfterMs} ms`, async () => {
            const { fleet } = await startGang(5_000, faultFirst(CallFault.Late));
            await fleet.timer.advance(killAfterMs);
            fleet.killVm(fleet.planner()!);
            await fleet.timer.advance(2 * lateOrderMs);
            assert.deepEqual(findViolations(fleet.spans), []);
            assert.equal(await phaseOf(fleet), JobPhase.Succeeded);
        });
    }
});

describe("the tries of a start order", () => {
    // guards against tries that are used up in a moment by a connection that is refused, and against endless ones
    it("are apart, few, and early enough for the answer of the last to be there within 2 s", () => {
        const first = { count: 1, firstSentAtMs: 0, lastSentAtMs: 0 };
        assert.equal(startRetryDelayMs(first, 900), 0);
        assert.equal(startRetryDelayMs(first, 5), 295);
        assert.isUndefined(startRetryDelayMs({ ...first, count: 4, lastSentAtMs: 900 }, 905));
        assert.isUndefined(startRetryDelayMs({ ...first, count: 2, lastSentAtMs: 900 }, 1_800));
        assert.isUndefined(startRetryDelayMs(first, 1_101));
    });
});

describe("members of a gang that one of them has left", () => {
    // guards against members that wait until they end alone because the stops of the planner before were lost
    it("are stopped by the next planner", async () => {
        let first = "";
        const { fleet } = await startGang(5_000, () => CallFault.None, (prepared, id) => {
            first = prepared.planner()!;
            refuseNextStart(prepared, id);
            prepared.orderFault = (vm, kind) =>
                vm === first && kind === "stop" ? CallFault.RequestLost : CallFault.None;
        });
        void fleet.vms.get(first)?.stepDown();
        await fleet.timer.advance(lateOrderMs);
        assertNoneAlone(fleet);
        assert.deepEqual(findViolations(fleet.spans), []);
        assert.equal(await phaseOf(fleet), JobPhase.Succeeded);
    });
});
