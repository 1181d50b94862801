import { assert } from "chai";
import { createPartLimitedTable } from "../src/state/partLimit.js";
import { createRelayedTable } from "../src/state/relay.js";
import { StateErrorKind } from "../src/state/types.js";
import type { StateError, StateTable } from "../src/state/types.js";
import { fail, succeed } from "../src/utils/result.js";
import type { Result } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";

const answerMs = 4;
/** Time in which the table answers when it is slow. */
const slowAnswerMs = 500;
const timeoutMs = 1_200;
const connections = 32;
/** Connections that long polls for changes hold. */
const longPolls = 3;
/** Time of an operation in all, sent or not. */
const maxOperationMs = 2 * timeoutMs;

const createDirectTable = () => {
    const timer = createVirtualTimer();
    const silent = new Set<string>();
    const conditions = { answerMs };
    const sent: { part: string; key: string; }[] = [];
    let inProgress = 0;
    const most = { inProgress: 0 };
    const send = async <Value>(part: string, key: string, value: Value): Promise<Result<Value, StateError>> => {
        sent.push({ part, key });
        inProgress += 1;
        most.inProgress = Math.max(most.inProgress, inProgress);
        const isLost = silent.has(part);
        await timer.sleep(isLost ? timeoutMs : conditions.answerMs);
        inProgress -= 1;
        return isLost ? fail({ kind: StateErrorKind.NoAnswer, detail: "silent" }) : succeed(value);
    };
    const unlimited: StateTable = {
        commit: ({ part, writes }) => send(part, writes[0].key, { version: 1 }),
        read: ({ part, from }) => send(part, from ?? "", { rows: [], version: 1 }),
        changes: () => send("", "changes", { rows: [], version: 1 }),
    };
    const table = createPartLimitedTable(unlimited, timer);
    /** Writes a key; resolves with the outcome and the time that it took. */
    const write = async (part: string, key: string) => {
        const startedAtMs = timer.nowMs();
        const result = await table.commit({ part, conditions: [], writes: [{ table: "jobs", key, value: 1 }] });
        return { key, result, durationMs: timer.nowMs() - startedAtMs };
    };
    const writeAll = (part: string, count: number) =>
        Promise.all(Array.from({ length: count }, (_, index) => write(part, `k${index}`)));
    return { timer, silent, conditions, sent, most, unlimited, table, write, writeAll };
};

// guards against parts of the table that do not answer and take the connections of others
describe("operations on one part of the table", () => {
    it("leave connections to other parts while a third of 18 parts is silent", async () => {
        const { timer, silent, most, writeAll } = createDirectTable();
        const silentParts = Array.from({ length: 6 }, (_, index) => `silent${index}`);
        silentParts.forEach(part => silent.add(part));
        const writes = silentParts.map(part => writeAll(part, 20));
        await timer.advance(maxOperationMs);
        await Promise.all(writes);
        assert.isBelow(most.inProgress, connections - longPolls);
    });

    it("are sent in their order", async () => {
        const { timer, sent, writeAll } = createDirectTable();
        const writes = writeAll("p0", 20);
        await timer.advance(1_000);
        const keys = (await writes).map(({ key }) => key);
        assert.deepEqual(sent.map(({ key }) => key), keys);
    });

    it("are known not to have run when their time is over before they are sent", async () => {
        const { timer, silent, sent, writeAll } = createDirectTable();
        silent.add("p0");
        const writes = writeAll("p0", 20);
        await timer.advance(maxOperationMs);
        const sentKeys = new Set(sent.map(({ key }) => key));
        for (const { key, result, durationMs } of await writes) {
            const expected = sentKeys.has(key) ? StateErrorKind.NoAnswer : StateErrorKind.Unavailable;
            assert.equal(result.ok ? "ok" : result.error.kind, expected, key);
            assert.isAtMost(durationMs, timeoutMs);
        }
        await timer.advance(maxOperationMs);
        assert.equal(sent.length, sentKeys.size);
    });

    it("do not wait for those that were lost before the part answered again", async () => {
        const { timer, silent, write, writeAll } = createDirectTable();
        silent.add("p0");
        void writeAll("p0", 2);
        await timer.advance(100);
        silent.clear();
        void write("p0", "answered");
        await timer.advance(100);
        const writes = writeAll("p0", 3);
        await timer.advance(maxOperationMs);
        assert.deepEqual((await writes).map(({ durationMs }) => durationMs), [answerMs, answerMs, answerMs]);
    });

    it("are not delayed at 200 transactions a second that the table answers in 4 ms", async () => {
        const { timer, write } = createDirectTable();
        const writes: ReturnType<typeof write>[] = [];
        for (let index = 0; index < 200; index++) {
            writes.push(write("p0", `k${index}`));
            await timer.advance(index % 2 === 0 ? 1 : 9);
        }
        await timer.advance(answerMs);
        assert.isTrue(
            (await Promise.all(writes)).every(({ result, durationMs }) => result.ok && durationMs === answerMs),
        );
    });

    it("are answered as before beside a table that takes 0.5 s, six at once", async () => {
        const { timer, conditions, writeAll } = createDirectTable();
        conditions.answerMs = slowAnswerMs;
        const writes = writeAll("p0", 6);
        await timer.advance(maxOperationMs);
        assert.isTrue((await writes).every(({ result, durationMs }) => result.ok && durationMs < timeoutMs));
    });

    it("do not close the own way when they were not sent beside a slow table", async () => {
        const { timer, conditions, table } = createDirectTable();
        conditions.answerMs = slowAnswerMs;
        const relayed = createRelayedTable({ direct: table, timer, log: () => {}, peers: () => [] });
        const reads = Array.from({ length: 40 }, () => relayed.read({ table: "jobs", part: "p0" }));
        await timer.advance(maxOperationMs);
        assert.isTrue((await Promise.all(reads)).some(read => !read.ok));
        assert.isFalse(relayed.isUnreachable({ table: "jobs", part: "p0" }));
    });

    it("do not hold back long polls for changes of all parts", async () => {
        const { timer, most, table } = createDirectTable();
        const polls = Array.from({ length: 10 }, () => table.changes("jobs", 0, 0));
        await timer.advance(answerMs);
        await Promise.all(polls);
        assert.equal(most.inProgress, 10);
    });
});

// guards against probes that wait for what they are to find out, or take the connections of other parts
describe("probes of a part of the table", () => {
    const deadlineMs = 1_000;
    const returnMs = 500;
    /** Time within which a read is answered once its part is back. */
    const maxAnswerMs = 200;
    const target = { table: "jobs", part: "p0" };

    const createRelayed = () => {
        const { timer, silent, sent, unlimited, table } = createDirectTable();
        const probed: string[] = [];
        const probes = table.observeProbes({
            read: range => {
                probed.push(range.part);
                return unlimited.read(range);
            },
        });
        const relayed = createRelayedTable({ direct: table, probes, timer, log: () => {}, peers: () => [] });
        timer.every(50, () => void relayed.read({ table: "jobs", part: "answered" }));
        return { timer, silent, sent, probed, relayed };
    };

    it("let reads that wait be answered at once, although those sent before are lost", async () => {
        const { timer, silent, relayed } = createRelayed();
        await timer.advance(1_000);
        silent.add(target.part);
        const reads = Array.from({ length: 20 }, async () => {
            const read = await relayed.read({ ...target, deadlineMs });
            return { isAnswered: read.ok, atMs: timer.nowMs() };
        });
        await timer.advance(returnMs);
        silent.clear();
        const returnedAtMs = timer.nowMs();
        await timer.advance(maxOperationMs);
        const late = (await Promise.all(reads)).filter(read =>
            !read.isAnswered || read.atMs - returnedAtMs > maxAnswerMs
        );
        assert.deepEqual(late, []);
    });

    it("have connections of their own", async () => {
        const { timer, silent, sent, probed, relayed } = createRelayed();
        silent.add(target.part);
        void relayed.read(target);
        await timer.advance(4_000);
        const onPart = sent.filter(({ part }) => part === target.part);
        assert.isAbove(probed.length, 4);
        assert.equal(onPart.length, probed.length + 1);
    });
});
