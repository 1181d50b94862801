import { assert } from "chai";
import { createRelayedTable } from "../src/state/relay.js";
import type { RelayPeer } from "../src/state/relay.js";
import { StateErrorKind } from "../src/state/types.js";
import type { StateTable } from "../src/state/types.js";
import { fail, succeed } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";

const slowAnswerMs = 250;
/** Time in which a job's state is read for a caller that waits 3,000 ms and may ask another VM after 1,000 ms. */
const readDeadlineMs = 1_000;
const reads = 40;
/** Share of operations that a slow table may get twice. */
const maxRepeatedShare = 0.1;

const createVm = (answersMs: { direct: number; peer: number; }) => {
    const timer = createVirtualTimer();
    const counts = { performed: 0, closedWays: 0 };
    const answer = async (answerMs: number) => {
        counts.performed += 1;
        await timer.sleep(answerMs);
        return succeed({ rows: [], version: 1 });
    };
    const unused = async () => fail({ kind: StateErrorKind.Unavailable as const, detail: "not used" });
    const direct: StateTable = { read: () => answer(answersMs.direct), commit: unused, changes: unused };
    const peers = Array.from({ length: 7 }, (_, index): RelayPeer => ({
        name: `peer${index}`,
        perform: () => answer(answersMs.peer),
    }));
    const log = (_level: string, text: string): void => {
        counts.closedWays += text.includes("not reachable directly") ? 1 : 0;
    };
    const table = createRelayedTable({ direct, timer, log, peers: () => peers });
    const readAll = async (deadlineMs?: number): Promise<void> => {
        for (let index = 0; index < reads; index++) {
            void table.read({ table: "jobs", part: `p${index}`, deadlineMs });
            await timer.advance(slowAnswerMs);
        }
        await timer.advance(2_000);
    };
    return { counts, readAll };
};

// guards against load that reads add while the table is slow for every VM
describe("reads with a deadline beside a table that is slow for every VM", () => {
    it("are sent once when the table usually answers before their deadline", async () => {
        const { counts, readAll } = createVm({ direct: slowAnswerMs, peer: slowAnswerMs });
        await readAll();
        counts.performed = 0;
        await readAll(readDeadlineMs);
        assert.isAtMost(counts.performed, reads * (1 + maxRepeatedShare));
    });

    it("do not close the own way when a deadline is shorter than the usual answer", async () => {
        const { counts, readAll } = createVm({ direct: slowAnswerMs, peer: slowAnswerMs / 2 });
        await readAll();
        counts.closedWays = 0;
        await readAll(1);
        assert.equal(counts.closedWays, 0);
    });
});
