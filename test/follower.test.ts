import { assert } from "chai";
import { createTableFollower } from "../src/state/follower.js";
import { StateErrorKind } from "../src/state/types.js";
import type { StateTable } from "../src/state/types.js";
import { fail, succeed } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";

const longPollMs = 800;

/** A table without changes, which fails at once while it is down. */
const createQuietTable = () => {
    const timer = createVirtualTimer();
    const table = {
        isDown: false,
        /** Times that requests for changes were asked to wait. */
        waitsMs: [] as number[],
    };
    const unavailable = fail({ kind: StateErrorKind.Unavailable as const, detail: "down" });
    const state: StateTable = {
        commit: async () => unavailable,
        read: async () => table.isDown ? unavailable : succeed({ rows: [], version: 1 }),
        changes: async (_name, afterVersion, waitMs) => {
            if (table.isDown) {
                return unavailable;
            }
            table.waitsMs.push(waitMs);
            await timer.sleep(Math.max(waitMs, 2));
            return succeed({ rows: [], version: afterVersion });
        },
    };
    const follower = createTableFollower({
        state,
        timer,
        log: () => {},
        table: "op",
        parts: [""],
        waitMs: () => longPollMs,
        pauseMs: () => 200,
        onRows: () => {},
    });
    return { timer, table, follower };
};

describe("a follower of a table that has been unavailable", () => {
    it("confirms its copy at once when the table answers again, without the wait of a long poll", async () => {
        const { timer, table, follower } = createQuietTable();
        await timer.advance(3_000);
        table.isDown = true;
        await timer.advance(5_000);
        assert.isAbove(follower.ageMs(), 4_000);
        table.isDown = false;
        await timer.advance(200);
        assert.isAtMost(follower.ageMs(), 200);
    });

    it("returns to long polls afterwards", async () => {
        const { timer, table } = createQuietTable();
        await timer.advance(1_000);
        table.isDown = true;
        await timer.advance(2_000);
        table.isDown = false;
        table.waitsMs.length = 0;
        await timer.advance(3_000);
        assert.deepEqual(table.waitsMs, [0, longPollMs, longPollMs, longPollMs]);
    });
});
