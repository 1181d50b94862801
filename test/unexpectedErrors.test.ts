import { assert } from "chai";
import { createTableFollower } from "../src/state/follower.js";
import type { StateRow } from "../src/state/types.js";
import { succeed } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import { findViolations } from "./fixtures/violations.js";

/** Time for the VMs to elect a planner. */
const electionMs = 1_000;

describe("an unexpected error", () => {
    it("in one stored job does not block other jobs, also under the next planner", async () => {
        const fleet = createFleet();
        await fleet.timer.advance(electionMs);
        const malformed = { ...createSubmission("malformed", [createStep()]), steps: undefined as never };
        await fleet.submit(malformed);
        await fleet.submit(createSubmission("a1", [createStep({ taskCount: 2 })]));
        await fleet.timer.advance(3_000);
        assert.lengthOf(fleet.spans, 2);
        fleet.killVm(fleet.planner() ?? "");
        await fleet.timer.advance(4_000);
        await fleet.submit(createSubmission("a2", [createStep({ taskCount: 2 })]));
        await fleet.timer.advance(3_000);
        assert.lengthOf(fleet.spans, 4);
        assert.deepEqual(findViolations(fleet.spans), []);
        const logged = fleet.logLines.filter(line => line.message === "a job could not be taken");
        assert.deepEqual(new Set(logged.map(line => line.fields.jobId)), new Set(["malformed"]));
    });

    it("while rows are applied is logged and does not stop the table follower", async () => {
        const timer = createVirtualTimer();
        const applied: number[] = [];
        const lines: string[] = [];
        let version = 0;
        const row = (): StateRow => ({ table: "op", part: "", key: "config", version, value: version });
        const answer = async () => {
            await timer.sleep(100);
            version += 1;
            return succeed({ rows: [row()], version });
        };
        const follower = createTableFollower({
            state: { commit: async () => succeed({ version }), read: answer, changes: answer },
            timer,
            log: (_level, message) => lines.push(message),
            table: "op",
            parts: [""],
            waitMs: () => 100,
            pauseMs: () => 0,
            onRows: rows => {
                if (rows[0].value === 3) {
                    throw new Error("row that cannot be applied");
                }
                applied.push(rows[0].version);
            },
        });
        await timer.advance(650);
        follower.stop();
        assert.includeMembers(applied, [1, 2, 4, 5]);
        assert.notInclude(applied, 3);
        assert.include(lines, "rows could not be taken");
    });
});
