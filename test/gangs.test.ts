import { assert } from "chai";
import { Adjacency } from "../src/configuration/types.js";
import { EndKind } from "../src/execution/types.js";
import { JobPhase } from "../src/jobs/types.js";
import type { RunSpan } from "../standins/runs/workerModel.js";
import { CallFault, createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";
import { findViolations } from "./fixtures/violations.js";

const memberCount = 3;
const settleMs = 1_000;
/** Lease of the runs on a worker, for which members of a gang may continue after their planner was killed. */
/** Length of the leases that a planner grants, within which runs end when it is gone. */
const leaseMs = 8_000;
/** Maximum time from the end of one planner to the first order of the next. */
const maxGapMs = 3_000;

const createGangStep = (taskCount: number) =>
    createStep({
        taskCount,
        gang: true,
        adjacency: Adjacency.Rack,
        resources: { milliCores: 8_000, memoryMb: 8_000, accelerators: 8 },
    });

const startGang = async (workMs = 60_000, prepare: (fleet: Fleet) => void = () => {}): Promise<Fleet> => {
    const fleet = createFleet({ workerCount: memberCount + 1, vmCount: 2 });
    await fleet.timer.advance(settleMs);
    prepare(fleet);
    await fleet.submit(createSubmission("gang", [createGangStep(memberCount)], {}, { workMs }));
    return fleet;
};

const byRun = (spans: readonly RunSpan[]): Map<number, RunSpan[]> => {
    const runs = new Map<number, RunSpan[]>();
    spans.forEach(span => runs.set(span.run, [...runs.get(span.run) ?? [], span]));
    return runs;
};

/** Asserts that the members of each run start together and end within a lease of each other. */
const assertNeverPartial = (spans: readonly RunSpan[]): void => {
    for (const [run, members] of byRun(spans)) {
        assert.lengthOf(members, memberCount, `run ${run}`);
        const starts = new Set(members.map(span => span.fromMs));
        const ends = members.map(span => span.toMs ?? Number.POSITIVE_INFINITY);
        assert.lengthOf([...starts], 1, `run ${run} starts together`);
        const firstEndMs = Math.min(...ends);
        const isOver = Number.isFinite(firstEndMs);
        assert.isTrue(!isOver || Math.max(...ends) - firstEndMs <= leaseMs, `run ${run} ends together`);
    }
};

const plannerOf = (fleet: Fleet): string => fleet.planner() ?? assert.fail("no VM is the planner");

/** Calls `inject` once, when the planner has made `count` calls that record or start the gang. */
const injectAfterCalls = (fleet: Fleet, count: number, inject: (vm: string) => void): void => {
    let calls = 0;
    const countCall = (vm: string): CallFault => {
        calls += 1;
        if (calls === count + 1) {
            inject(vm);
        }
        return CallFault.None;
    };
    const planner = plannerOf(fleet);
    fleet.commitFault = (vm, { writes }) =>
        vm === planner && writes.some(write => write.key.endsWith("/progress")) ? countCall(vm) : CallFault.None;
    fleet.orderFault = (vm, kind) => vm === planner && kind === "start" ? countCall(vm) : CallFault.None;
};

describe("gangs", () => {
    for (let call = 0; call <= memberCount; call++) {
        it(`run completely or not at all when the planner is killed at call ${call}`, async () => {
            const fleet = await startGang(9_000, prepared => injectAfterCalls(prepared, call, prepared.killVm));
            await fleet.timer.advance(30_000);
            assertNeverPartial(fleet.spans);
            assert.deepEqual(findViolations(fleet.spans), []);
            assert.equal(fleet.spans.filter(span => span.kind === EndKind.Done).length, memberCount);
        });

        it(`run completely or not at all when a table partition at call ${call} ends the planner's term`, async () => {
            const fleet = await startGang(9_000, prepared =>
                injectAfterCalls(prepared, call, vm => {
                    prepared.partitionedFromTable.add(vm);
                    prepared.timer.after(10_000, () => prepared.partitionedFromTable.delete(vm));
                }));
            await fleet.timer.advance(30_000);
            assertNeverPartial(fleet.spans);
            assert.deepEqual(findViolations(fleet.spans), []);
        });
    }

    it("do not start when recording their placement took too long", async () => {
        let lostRequests = 0;
        const fleet = await startGang(2_000, prepared => {
            prepared.commitFault = (_vm, { writes }) =>
                writes.some(write => write.key.endsWith("/progress")) && lostRequests++ < 2
                    ? CallFault.RequestLost
                    : CallFault.None;
        });
        await fleet.timer.advance(2_600);
        assert.isEmpty(fleet.spans);
        await fleet.timer.advance(6_000);
        const abandoned = fleet.logLines.filter(line => line.message === "placement given up");
        assert.lengthOf(abandoned, 1, "the placement was based on outdated free resources");
        assert.equal(fleet.spans.filter(span => span.kind === EndKind.Done).length, memberCount);
    });

    it("run once when the answer to the write of their placement is lost", async () => {
        let lostAnswers = 0;
        const fleet = await startGang(2_000, prepared => {
            prepared.commitFault = (_vm, { writes }) =>
                writes.some(write => write.key.endsWith("/progress")) && lostAnswers++ === 0
                    ? CallFault.AnswerLost
                    : CallFault.None;
        });
        await fleet.timer.advance(8_000);
        assert.lengthOf(fleet.spans, memberCount);
        assertNeverPartial(fleet.spans);
    });

    it("do not start while their placement cannot be recorded", async () => {
        const fleet = await startGang(2_000, prepared => {
            prepared.commitFault = (_vm, { writes }) =>
                writes.some(write => write.key.endsWith("/progress")) ? CallFault.RequestLost : CallFault.None;
        });
        await fleet.timer.advance(8_000);
        assert.isEmpty(fleet.spans);
    });

    it("stop on all workers when a member is lost, and run again completely on other workers", async () => {
        const fleet = await startGang(20_000);
        await fleet.timer.advance(2_000);
        assert.lengthOf(fleet.spans, memberCount);
        const lost = fleet.spans[0].worker;
        fleet.removeWorker(lost);
        await fleet.timer.advance(leaseMs + maxGapMs);
        assertNeverPartial(fleet.spans);
        const again = fleet.spans.filter(span => span.run !== fleet.spans[0].run);
        assert.lengthOf(again, memberCount);
        assert.isTrue(again.every(span => span.worker !== lost));
    });

    it("end within a lease when no VM is left", async () => {
        const fleet = await startGang();
        await fleet.timer.advance(2_000);
        [...fleet.vms.keys()].forEach(fleet.killVm);
        await fleet.timer.advance(leaseMs + 500);
        assert.isTrue(fleet.spans.every(span => span.toMs !== undefined));
        assertNeverPartial(fleet.spans);
    });

    it("are not joined by a delayed start order after their run was stopped", async () => {
        let starts = 0;
        const fleet = await startGang(3_000, prepared => {
            prepared.orderFault = (_vm, kind) => kind === "start" && starts++ === 0 ? CallFault.Late : CallFault.None;
        });
        await fleet.timer.advance(20_000);
        assertNeverPartial(fleet.spans);
        assert.deepEqual(findViolations(fleet.spans), []);
        const phase = fleet.vms.get("vm0")?.phase("gang");
        await fleet.timer.advance(100);
        assert.equal(await phase, JobPhase.Succeeded);
    });
});
