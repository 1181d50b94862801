import { assert } from "chai";
import { takeOver } from "../src/execution/takeover.js";
import { jobParts, jobRowKey, JobRowKind, jobsTable } from "../src/jobs/rows.js";
import { StateErrorKind } from "../src/state/types.js";
import type { StateTable } from "../src/state/types.js";
import { fail, succeed } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { createTableModel } from "../standins/fleet/tableModel.js";
import { createStep, createSubmission } from "./fixtures/submissions.js";

const callMs = 2;

/** A takeover during whose reads a job is stored in each part that was read already. */
const takeOverWhileJobsArrive = async () => {
    const timer = createVirtualTimer();
    const model = createTableModel();
    const storedIds: string[] = [];
    const state: StateTable = {
        commit: async transaction => {
            await timer.sleep(callMs);
            return model.commit(transaction);
        },
        read: async range => {
            // each part is read at a time of its own
            await timer.sleep(callMs * (1 + jobParts.indexOf(range.part)));
            const rows = model.read(range);
            if (range.table === jobsTable) {
                const id = `after-${range.part}`;
                const key = jobRowKey(id, JobRowKind.Submission);
                storedIds.push(id);
                model.commit({
                    part: range.part,
                    conditions: [],
                    writes: [{ table: jobsTable, key, value: createSubmission(id, [createStep()]) }],
                });
            }
            return succeed(rows);
        },
        changes: async () => fail({ kind: StateErrorKind.HistoryLost }),
    };
    const result = takeOver({ state, timer, term: 1, isCurrent: () => true });
    await timer.advance(1_000);
    return { takeover: await result, model, storedIds };
};

describe("a takeover", () => {
    it("misses no job that is stored in a part after it was read", async () => {
        const { takeover, model, storedIds } = await takeOverWhileJobsArrive();
        assert.isDefined(takeover);
        const followed = model.changes(jobsTable, takeover!.version)?.rows ?? [];
        const known = new Set([
            ...takeover!.projection.jobs.keys(),
            ...followed.map(row => row.key.split("/")[0]),
        ]);
        assert.lengthOf(storedIds, jobParts.length);
        assert.deepEqual(storedIds.filter(id => !known.has(id)), []);
    });
});
