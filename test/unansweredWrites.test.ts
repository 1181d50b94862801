import { assert } from "chai";
import { Acceptance, acceptJob } from "../src/jobs/commands/acceptJob.js";
import { Cancellation, cancelStoredJob } from "../src/jobs/commands/cancelStoredJob.js";
import { jobRowKey, JobRowKind, jobsTable, partOfJob } from "../src/jobs/rows.js";
import { createSentSubmissions, WriteOutcome } from "../src/jobs/sentSubmissions.js";
import { createSubmissionAdmission } from "../src/jobs/submissionAdmission.js";
import { createEntryMetrics } from "../src/node/entryMetrics.js";
import { StateErrorKind } from "../src/state/types.js";
import type { StateTable } from "../src/state/types.js";
import { fail, succeed } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { createTableModel } from "../standins/fleet/tableModel.js";
import { createStep, createSubmission } from "./fixtures/fleet.js";
import { createLoneKnowledge } from "./fixtures/phaseKnowledge.js";

/** Time in which the table and two other VMs, one after the other, give no answer. */
const silenceMs = 3_000;
const deadlineMs = 3_000;
/** Time after which a caller that was refused asks another VM, and time in which that VM can cancel a job. */
const retryAfterMs = 1_000;
const minCancelMs = 300;
const jobId = "00000000000000a1";

/** A VM that reads the table but gets no answer to its writes, which take effect all the same. */
const createVm = () => {
    const timer = createVirtualTimer();
    const model = createTableModel();
    const log = (): void => {};
    const state: StateTable = {
        read: async range => succeed(model.read(range)),
        commit: async transaction => {
            model.commit(transaction);
            await timer.sleep(silenceMs);
            return fail({ kind: StateErrorKind.NoAnswer, detail: "silent" });
        },
        changes: async () => fail({ kind: StateErrorKind.Unavailable, detail: "not used" }),
    };
    const sentSubmissions = createSentSubmissions(timer, 60_000);
    const admission = createSubmissionAdmission({ state, timer, log, metrics: createEntryMetrics(), random: () => 0 });
    const context = { state, timer, log, admission, sentSubmissions, ...createLoneKnowledge(timer) };
    /** Resolves with the result if it comes while the caller waits. */
    const awaitAsCaller = async <Value>(result: Promise<Value>): Promise<Value | "too late"> => {
        let outcome: Value | "too late" = "too late";
        void result.then(value => outcome = value);
        await timer.advance(deadlineMs - 1);
        return outcome;
    };
    return {
        timer,
        sentSubmissions,
        submit: () => awaitAsCaller(acceptJob(context, createSubmission(jobId, [createStep()]), deadlineMs)),
        cancel: () => awaitAsCaller(cancelStoredJob(context, jobId, { deadlineMs })),
    };
};

/** A VM whose table answers a read after most of a caller's deadline, and a write at once. */
const createSlowVm = () => {
    const timer = createVirtualTimer();
    const model = createTableModel();
    model.commit({
        part: partOfJob(jobId),
        conditions: [],
        writes: [{
            table: jobsTable,
            key: jobRowKey(jobId, JobRowKind.Submission),
            value: createSubmission(jobId, [createStep()]),
        }],
    });
    const state: StateTable = {
        read: async range => {
            await timer.sleep(deadlineMs * 0.95);
            return succeed(model.read(range));
        },
        commit: async transaction => model.commit(transaction),
        changes: async () => fail({ kind: StateErrorKind.Unavailable, detail: "not used" }),
    };
    return { timer, model, context: { state, timer, log: (): void => {}, ...createLoneKnowledge(timer) } };
};

// guards against callers that wait in vain for the outcome of a write
describe("a write that gets no answer", () => {
    it("of a submission is answered as unknown in time, and remembered as it ends", async () => {
        const vm = createVm();
        assert.deepEqual(await vm.submit(), { acceptance: Acceptance.Unknown });
        await vm.timer.advance(2 * silenceMs);
        assert.equal(vm.sentSubmissions.outcomeOf(jobId), WriteOutcome.Unknown);
    });

    it("of a cancellation is answered in time", async () => {
        const vm = createVm();
        await vm.submit();
        assert.equal(await vm.cancel(), Cancellation.Unknown);
    });

    it("of a cancellation is not begun after its caller was told that it could not be stored", async () => {
        const { timer, model, context } = createSlowVm();
        const cancelled = cancelStoredJob(context, jobId, { deadlineMs });
        await timer.advance(deadlineMs - 1);
        assert.equal(await cancelled, Cancellation.Unavailable);
        await timer.advance(2 * silenceMs);
        const range = { table: jobsTable, part: partOfJob(jobId) };
        assert.notInclude(model.read(range).rows.map(({ key }) => key), jobRowKey(jobId, JobRowKind.Cancellation));
    });

    it("of a cancellation is refused early enough for its caller to ask another VM", async () => {
        const { timer, context } = createSlowVm();
        let refusedAtMs = Number.POSITIVE_INFINITY;
        void cancelStoredJob(context, jobId, { deadlineMs }).then(() => refusedAtMs = timer.nowMs());
        await timer.advance(2 * silenceMs);
        assert.isAtMost(refusedAtMs + retryAfterMs + minCancelMs, deadlineMs);
    });
});
