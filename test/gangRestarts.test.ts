import { assert } from "chai";
import { EndKind } from "../src/execution/types.js";
import { succeed } from "../src/utils/result.js";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";
import { findViolations } from "./fixtures/violations.js";

const memberCount = 3;
const workMs = 10_000;
/** Work between two checkpoints of the workers. */
const checkpointMs = 500;
/** Age of the checkpoint that a worker last reported, at most. */
const reportIntervalMs = 1_000;
/** Time from the loss of a member to the restart: reports, a round, its record and the start orders. */
const restartMs = 100;
const wholeWorker = { milliCores: 64_000, memoryMb: 256_000, accelerators: 8 };
const gangStep = createStep({
    taskCount: memberCount,
    gang: true,
    checkpointing: true,
    resources: wholeWorker,
    estimateMs: workMs,
});

interface LostMember {
    fleet: Fleet;
    lostAtMs: number;
    /** Work of the gang until then. */
    workedMs: number;
}

/** Runs a gang that saves checkpoints for a few seconds, then `lose` takes the worker of its first member away. */
const loseMember = async (
    lose: (fleet: Fleet, workerId: string) => void,
    { prepare = () => {}, failures = 0 }: { prepare?: (fleet: Fleet) => void; failures?: number; } = {},
): Promise<LostMember> => {
    const fleet = createFleet({ workerCount: memberCount + 2, vmCount: 2 });
    await fleet.timer.advance(1_000);
    prepare(fleet);
    await fleet.submit(createSubmission("gang", [gangStep], {}, { workMs, failures }));
    await fleet.timer.advance(3_300);
    const lostAtMs = fleet.timer.nowMs();
    const workedMs = lostAtMs - fleet.spans[0].fromMs;
    lose(fleet, fleet.spans[0].worker);
    await fleet.timer.advance(20_000);
    assert.deepEqual(findViolations(fleet.spans), []);
    return { fleet, lostAtMs, workedMs };
};

const restartsOf = (fleet: Fleet) => fleet.spans.filter(({ run }) => run === 2);

/** Has every checkpoint that a worker reports replaced. */
const replaceCheckpoints = (
    fleet: Fleet,
    workerId: string,
    replace: (checkpoint: string, hasEnded: boolean) => string,
): void => {
    const { model } = fleet.workers.get(workerId)!;
    const { hold } = model;
    const map = <Entry extends { checkpoint: string; }>(entries: readonly Entry[], hasEnded: boolean): Entry[] =>
        entries.map(entry => ({ ...entry, checkpoint: replace(entry.checkpoint, hasEnded) }));
    model.hold = order => {
        const answer = hold(order);
        return answer.ok
            ? succeed({
                ...answer.value,
                running: map(answer.value.running, false),
                ended: map(answer.value.ended, true),
            })
            : answer;
    };
};

/** Announces that a worker leaves, so soon that resumable runs are stopped at once. */
const leaveSoon = (fleet: Fleet, workerId: string): void => {
    const worker = fleet.workers.get(workerId)!;
    worker.descriptor = { ...worker.descriptor, draining: true, leavesAtMs: fleet.timer.nowMs() + 1_000 };
    fleet.notify();
};

describe("a gang that lost a member", () => {
    it("restarts at once from the newest checkpoint, which all members carry", async () => {
        const { fleet, lostAtMs, workedMs } = await loseMember((hit, id) => hit.restartWorker(id));
        const restarts = restartsOf(fleet);
        assert.lengthOf(restarts, memberCount);
        assert.isTrue(restarts.every(({ fromMs }) => fromMs <= lostAtMs + restartMs));
        const resumedMs = restarts.map(({ fromMs, toMs = Infinity }) => workMs - (toMs - fromMs));
        assert.isTrue(resumedMs.every(resumed => resumed > workedMs - checkpointMs), `${resumedMs} of ${workedMs}`);
    });

    it("restarts at once when a member's run failed", async () => {
        const { fleet } = await loseMember(() => {}, { failures: 1 });
        const failedAtMs = fleet.spans.find(({ kind }) => kind === EndKind.Failed)?.toMs ?? Infinity;
        assert.lengthOf(restartsOf(fleet), memberCount);
        assert.isTrue(restartsOf(fleet).every(({ fromMs }) => fromMs <= failedAtMs + restartMs));
    });

    // guards against a member that reports the same checkpoint again and so replaces newer ones of the others
    it("does not go back to a checkpoint that another member still reports", async () => {
        const { fleet, workedMs } = await loseMember((hit, id) => hit.restartWorker(id), {
            prepare: prepared =>
                ["w1", "w2"].forEach(id =>
                    replaceCheckpoints(prepared, id, text => Number(text) < 1_000 ? text : "1000.5")
                ),
        });
        const resumedMs = restartsOf(fleet).map(({ fromMs, toMs = Infinity }) => workMs - (toMs - fromMs));
        assert.lengthOf(resumedMs, memberCount);
        assert.isTrue(resumedMs.every(resumed => resumed > workedMs - checkpointMs - reportIntervalMs), `${resumedMs}`);
    });

    // guards against an older checkpoint of the member that was lost, which is reported after those of the others
    it("restarts from a checkpoint that a member saved when it was stopped", async () => {
        const { fleet, workedMs } = await loseMember(leaveSoon, {
            prepare: prepared => {
                replaceCheckpoints(prepared, "w0", (text, hasEnded) => hasEnded ? `${text}.7` : text);
                ["w1", "w2"].forEach(id => replaceCheckpoints(prepared, id, (_, ended) => ended ? "900.5" : "500.5"));
            },
        });
        const resumedMs = restartsOf(fleet).map(({ fromMs, toMs = Infinity }) => workMs - (toMs - fromMs));
        assert.lengthOf(resumedMs, memberCount);
        assert.isTrue(resumedMs.every(resumed => resumed > workedMs - checkpointMs), `${resumedMs} of ${workedMs}`);
    });
});
