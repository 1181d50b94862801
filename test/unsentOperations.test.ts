import { assert } from "chai";
import { createPartLimitedTable } from "../src/state/partLimit.js";
import { createRelayedTable } from "../src/state/relay.js";
import type { RelayPeer } from "../src/state/relay.js";
import { StateErrorKind } from "../src/state/types.js";
import type { ReadRange, StateTable } from "../src/state/types.js";
import { fail, succeed } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";

const target = { table: "jobs", part: "p0" };
const timeoutMs = 1_200;
const rowsAt = { rows: [], version: 1 };

/** A VM whose direct operations on `target` take `answerMs`, beside peers that answer at once. */
const createVm = (answerMs: number, peers: readonly RelayPeer[] = [], otherPartsAnswerMs = answerMs) => {
    const timer = createVirtualTimer();
    const reads: string[] = [];
    const unused = async () => fail({ kind: StateErrorKind.Unavailable as const, detail: "not used" });
    const send = async ({ part }: ReadRange) => {
        await timer.sleep(part === target.part ? answerMs : otherPartsAnswerMs);
        return succeed(rowsAt);
    };
    const unlimited: StateTable = {
        commit: async () => {
            await timer.sleep(answerMs);
            return succeed({ version: 1 });
        },
        changes: unused,
        read: range => {
            reads.push(range.from ?? "");
            return send(range);
        },
    };
    const direct = createPartLimitedTable(unlimited, timer);
    const messages: string[] = [];
    const relayed = createRelayedTable({
        direct,
        probes: direct.observeProbes({ read: send }),
        timer,
        log: (_level, message) => void messages.push(message),
        peers: () => peers,
    });
    return { timer, reads, messages, direct, relayed };
};

// guards against conclusions about the table from operations that this VM has not sent
describe("an operation that waits for its turn on its part", () => {
    it("does not close the own way when a peer answers first", async () => {
        const peer: RelayPeer = { name: "peer", perform: async () => succeed(rowsAt) };
        const { timer, messages, direct, relayed } = createVm(500, [peer]);
        // the part answers in 0.5 s, and operations of others hold all places
        const others = Array.from({ length: 10 }, () => direct.read(target));
        const read = relayed.read({ ...target, deadlineMs: 1_000 });
        await timer.advance(400);
        assert.isTrue((await read).ok);
        assert.deepEqual(messages, []);
        assert.isFalse(relayed.isUnreachable(target));
        await timer.advance(2 * timeoutMs);
        await Promise.all(others);
        relayed.stop();
    });

    it("is sent once when a probe sent later has been answered", async () => {
        const { timer, reads, relayed } = createVm(100);
        const keys = Array.from({ length: 20 }, (_, index) => `k${index}`);
        const results = keys.map(from => relayed.read({ ...target, from, deadlineMs: 1_000 }));
        await timer.advance(4_000);
        const answered = (await Promise.all(results)).filter(result => result.ok).length;
        const sentTwice = keys.filter(key => reads.filter(read => read === key).length > 1);
        assert.deepEqual({ sentTwice, sent: reads.length }, { sentTwice: [], sent: answered });
        relayed.stop();
    });
});

// guards against a crowd of reads that wait although their VM has no place for them
describe("a read that was held back until its time to be sent was over", () => {
    const longAnswerMs = 5_000;
    const deadlineMs = 2_000;
    /** Time unsent, and until the next check of what waits. */
    const maxRefusalMs = 800;

    it("is refused then, although its caller waits on and other parts answer", async () => {
        const { timer, direct, relayed } = createVm(longAnswerMs, [], 4);
        const others = Array.from({ length: 10 }, () => direct.read(target));
        timer.every(50, () => void relayed.read({ table: "jobs", part: "answered" }));
        await timer.advance(100);
        const startedAtMs = timer.nowMs();
        const refusedAtMs = relayed.read({ ...target, deadlineMs }).then(() => timer.nowMs());
        await timer.advance(deadlineMs + longAnswerMs);
        assert.isAtMost(await refusedAtMs - startedAtMs, maxRefusalMs);
        await Promise.all(others);
        relayed.stop();
    });
});

// guards against a limit on a part that holds back operations although the part answers all of them
describe("operations on one part of a table that answers in 0.5 s", () => {
    const slowAnswerMs = 500;
    /** Ten are in progress at a time, of the 24 that the connections allow. */
    const readIntervalMs = 50;
    const readCount = 100;
    const retryPauseMs = 200;

    it("are all answered at 20 a second", async () => {
        const { timer, direct } = createVm(slowAnswerMs);
        const reads: Promise<boolean>[] = [];
        for (let count = 0; count < readCount; count++) {
            reads.push(direct.read(target).then(read => read.ok));
            await timer.advance(readIntervalMs);
        }
        await timer.advance(2 * timeoutMs);
        assert.equal((await Promise.all(reads)).filter(isAnswered => isAnswered).length, readCount);
    });

    it("leave room for the planner's writes, which are repeated after 0.2 s", async () => {
        const { timer, direct } = createVm(slowAnswerMs);
        timer.every(readIntervalMs, () => void direct.read(target));
        await timer.advance(2_000);
        const durationsMs: number[] = [];
        const writeOften = async (): Promise<void> => {
            for (let count = 0; count < 10; count++) {
                const startedAtMs = timer.nowMs();
                while (!(await direct.commit({ part: "p0", conditions: [], writes: [{ ...target, key: "k" }] })).ok) {
                    await timer.sleep(retryPauseMs);
                }
                durationsMs.push(timer.nowMs() - startedAtMs);
                await timer.sleep(readIntervalMs);
            }
        };
        const written = writeOften();
        await timer.advance(120_000);
        await Promise.race([written, Promise.resolve()]);
        assert.equal(durationsMs.length, 10);
        assert.isAtMost(Math.max(...durationsMs), timeoutMs, `took ${durationsMs.join(", ")} ms`);
    });
});
