import { assert } from "chai";
import { queryJobPhase } from "../src/jobs/queries/jobPhase.js";
import { jobRowKey, JobRowKind, jobsTable, partOfJob, progressTable } from "../src/jobs/rows.js";
import { createSubmissionAdmission } from "../src/jobs/submissionAdmission.js";
import { JobPhase } from "../src/jobs/types.js";
import { createEntryMetrics } from "../src/node/entryMetrics.js";
import { createRelayedTable } from "../src/state/relay.js";
import type { RelayPeer } from "../src/state/relay.js";
import { StateErrorKind } from "../src/state/types.js";
import type { ReadRange, StateTable } from "../src/state/types.js";
import { fail, succeed } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { createTableModel } from "../standins/fleet/tableModel.js";
import { createStep, createSubmission } from "./fixtures/fleet.js";
import { createLoneKnowledge } from "./fixtures/phaseKnowledge.js";

/** Timeouts of a call to the table and of a relayed one. */
const tableTimeoutMs = 1_200;
const relayTimeoutMs = 900;
const answerMs = 5;
const slowAnswerMs = 250;
/** Time that callers wait for the state of a job; the shorter ones are what is left to callers that ask again. */
const deadlinesMs = [485, 1_160, 3_000];
/** Time after which a caller that was refused asks another VM. */
const retryAfterMs = 1_000;
/** What is left to a caller that cannot ask another VM in time. */
const lastDeadlineMs = 1_160;
const unreadJobId = "0000000000000001";
const jobIds = Array.from({ length: 24 }, (_, index) => `00000000000000${(index + 16).toString(16)}`);

/** What a way to the table does. */
enum Way {
    Answers,
    /** Answers 60 times slower than usual. */
    AnswersSlowly,
    Silent,
    Refuses,
}

/** A table that holds jobs that have succeeded. */
const createTable = () => {
    const model = createTableModel();
    for (const jobId of [unreadJobId, ...jobIds]) {
        const submission = createSubmission(jobId, [createStep()]);
        const record = { phase: JobPhase.Succeeded, units: {} };
        model.commit({
            part: partOfJob(jobId),
            conditions: [],
            writes: [
                { table: jobsTable, key: jobRowKey(jobId, JobRowKind.Submission), value: submission },
                { table: progressTable, key: jobRowKey(jobId, JobRowKind.Progress), value: record },
            ],
        });
    }
    return model;
};

/** Creates VMs that read the same table, each directly and through other VMs as its ways say. */
const createVms = () => {
    const timer = createVirtualTimer();
    const model = createTable();
    const log = (): void => {};
    const read = async (way: Way, range: ReadRange, timeoutMs: number) => {
        switch (way) {
            case Way.Answers:
                await timer.sleep(answerMs);
                return succeed(model.read(range));
            case Way.AnswersSlowly:
                await timer.sleep(slowAnswerMs);
                return succeed(model.read(range));
            case Way.Silent:
                await timer.sleep(timeoutMs);
                return fail({ kind: StateErrorKind.NoAnswer as const, detail: "silent" });
            case Way.Refuses:
                await timer.sleep(answerMs);
                return fail({ kind: StateErrorKind.Unavailable as const, detail: "refused" });
        }
    };
    const createVm = (ways: { direct: Way; peers: Way[]; }) => {
        const unused = async () => fail({ kind: StateErrorKind.Unavailable as const, detail: "not used" });
        const direct: StateTable = {
            read: range => read(ways.direct, range, tableTimeoutMs),
            commit: unused,
            changes: unused,
        };
        const peers = ways.peers.map((_, index): RelayPeer => ({
            name: `peer${index}`,
            perform: request => read(ways.peers[index], (request as { range: ReadRange; }).range, relayTimeoutMs),
        }));
        const relayed = createRelayedTable({ direct, timer, log, peers: () => peers });
        const admission = createSubmissionAdmission({
            state: relayed,
            timer,
            log,
            metrics: createEntryMetrics(),
            random: () => 0,
        });
        const { table: state, isOutage } = admission;
        const { isUnreachable } = relayed;
        const context = { state, timer, log, isOutage, isUnreachable, ...createLoneKnowledge(timer) };
        return async (jobId: string, deadlineMs: number) => {
            const startedAtMs = timer.nowMs();
            const phase = await queryJobPhase(context, jobId, { deadlineMs, retryAfterMs });
            return { phase, leftMs: deadlineMs - (timer.nowMs() - startedAtMs) };
        };
    };
    return { timer, createVm };
};

type Ask = ReturnType<ReturnType<typeof createVms>["createVm"]>;

/** Phases as their callers get them, who all ask at the same moment. */
const askForAll = async (ask: Ask, ids: readonly string[], deadlineMs: number, advance: (ms: number) => unknown) => {
    const answers = Promise.all(ids.map(jobId => ask(jobId, deadlineMs)));
    await advance(2 * deadlineMs + tableTimeoutMs);
    return (await answers).map(({ phase, leftMs }) => leftMs > 0 ? phase : "too late");
};

// guards against callers that wait in vain for the state of a job that another VM could have read
describe("the state of an ended job", () => {
    for (const deadlineMs of deadlinesMs) {
        describe(`for a caller that waits ${deadlineMs} ms`, () => {
            const askVm = async (direct: Way, peers: Way[], ids: readonly string[]) => {
                const { timer, createVm } = createVms();
                return askForAll(createVm({ direct, peers }), ids, deadlineMs, timer.advance);
            };

            it("is read in time beside a silent table and two silent VMs", async () => {
                const phases = await askVm(Way.Silent, [Way.Silent, Way.Silent, Way.Answers], jobIds.slice(0, 1));
                assert.deepEqual(phases, [JobPhase.Succeeded]);
            });

            it("is read in time beside a silent table and two VMs that have no way to it either", async () => {
                const phases = await askVm(Way.Silent, [Way.Refuses, Way.Refuses, Way.Answers], jobIds.slice(0, 1));
                assert.deepEqual(phases, [JobPhase.Succeeded]);
            });

            it("is read in time by all who ask at the same moment beside a silent table and silent VMs", async () => {
                const phases = await askVm(Way.Silent, [Way.Silent, Way.Silent, Way.Answers], jobIds);
                assert.deepEqual(phases, jobIds.map(() => JobPhase.Succeeded));
            });

            it("is refused in time while no way answers", async () => {
                const phases = await askVm(Way.Silent, [Way.Silent, Way.Silent, Way.Silent], jobIds);
                assert.deepEqual(phases, jobIds.map(() => "unavailable" as const));
            });

            it("is answered in time from an earlier read while no way answers", async () => {
                const { timer, createVm } = createVms();
                const ways = { direct: Way.Answers, peers: [Way.Answers, Way.Answers] };
                const ask = createVm(ways);
                await askForAll(ask, jobIds, deadlineMs, timer.advance);
                ways.direct = Way.Silent;
                ways.peers.fill(Way.Silent);
                const phases = await askForAll(ask, jobIds, deadlineMs, timer.advance);
                assert.deepEqual(phases, jobIds.map(() => JobPhase.Succeeded));
            });
        });
    }

    it("reaches a caller that asks a second VM after a first one on which a slow table has become silent", async () => {
        const { timer, createVm } = createVms();
        const ways = { direct: Way.AnswersSlowly, peers: Array.from({ length: 4 }, () => Way.AnswersSlowly) };
        const askFirst = createVm(ways);
        await askForAll(askFirst, jobIds, 3_000, timer.advance);
        ways.direct = Way.Silent;
        ways.peers.fill(Way.Silent);
        const askSecond = createVm({ direct: Way.Silent, peers: [Way.Silent, Way.Answers] });
        const askBoth = async (jobId: string) => {
            const { leftMs } = await askFirst(jobId, 3_000);
            await timer.sleep(retryAfterMs);
            return askSecond(jobId, leftMs - retryAfterMs);
        };
        const asked = askBoth(unreadJobId);
        await timer.advance(6_000);
        const { phase, leftMs } = await asked;
        assert.equal(phase, JobPhase.Succeeded);
        assert.isAbove(leftMs, 0);
    });

    it("is refused at once during an outage, and read again as soon as the table answers", async () => {
        const { timer, createVm } = createVms();
        const ways = { direct: Way.Silent, peers: [Way.Silent, Way.Silent] };
        const ask = createVm(ways);
        // these parts show the outage, the others are not read before
        const isReadFirst = (jobId: string): boolean =>
            [jobIds[0], jobIds[1]].map(partOfJob).includes(partOfJob(jobId));
        await askForAll(ask, jobIds.filter(isReadFirst), 3_000, timer.advance);
        const laterIds = jobIds.filter(jobId => !isReadFirst(jobId));
        const refused = Promise.all(laterIds.map(jobId => ask(jobId, 3_000)));
        await timer.advance(3_000);
        assert.deepEqual(await refused, laterIds.map(() => ({ phase: "unavailable", leftMs: 3_000 })));
        ways.direct = Way.Answers;
        await timer.advance(tableTimeoutMs + 500);
        assert.deepEqual(await askForAll(ask, jobIds, 3_000, timer.advance), jobIds.map(() => JobPhase.Succeeded));
    });

    it("is read during an outage that ends while its caller waits, if it has no time to ask another VM", async () => {
        const { timer, createVm } = createVms();
        const ways = { direct: Way.Silent, peers: [Way.Silent, Way.Silent] };
        const ask = createVm(ways);
        await askForAll(ask, jobIds, 3_000, timer.advance);
        const answered = ask(unreadJobId, lastDeadlineMs);
        await timer.advance(50);
        ways.direct = Way.Answers;
        await timer.advance(lastDeadlineMs);
        assert.equal((await answered).phase, JobPhase.Succeeded);
    });
});

/** A VM that asks a table which answers each read as of its start, after the time that `answerMs` gives it. */
const createVmOfSlowTable = (jobId: string) => {
    const timer = createVirtualTimer();
    const model = createTableModel();
    const put = (phase: JobPhase) =>
        model.commit({
            part: partOfJob(jobId),
            conditions: [],
            writes: [
                {
                    table: jobsTable,
                    key: jobRowKey(jobId, JobRowKind.Submission),
                    value: createSubmission(jobId, [createStep()]),
                },
                { table: progressTable, key: jobRowKey(jobId, JobRowKind.Progress), value: { phase, units: {} } },
            ],
        });
    const unused = async () => fail({ kind: StateErrorKind.Unavailable as const, detail: "not used" });
    const vm = { timer, put, answerMs, isSilent: false };
    const state: StateTable = {
        read: async range => {
            const { isSilent } = vm;
            const value = model.read(range);
            await timer.sleep(isSilent ? tableTimeoutMs : vm.answerMs);
            return isSilent ? fail({ kind: StateErrorKind.NoAnswer, detail: "silent" }) : succeed(value);
        },
        commit: unused,
        changes: unused,
    };
    const log = (): void => {};
    const never = (): boolean => false;
    const context = {
        state,
        timer,
        log,
        isOutage: never,
        isUnreachable: never,
        ...createLoneKnowledge(timer),
    };
    const ask = (deadlineMs: number) => queryJobPhase(context, jobId, { deadlineMs, retryAfterMs });
    return { vm, ask };
};

// guards against what a read still brings when a later one was answered, or when its caller was refused
describe("the phase of a job that a VM remembers", () => {
    it("does not go back when an earlier read is answered after a later one", async () => {
        const { vm, ask } = createVmOfSlowTable(unreadJobId);
        vm.put(JobPhase.Running);
        vm.answerMs = 400;
        void ask(3_000);
        await vm.timer.advance(100);
        vm.put(JobPhase.Succeeded);
        vm.answerMs = 5;
        const newer = ask(3_000);
        await vm.timer.advance(1_000);
        assert.equal(await newer, JobPhase.Succeeded);
        vm.isSilent = true;
        const remembered = ask(3_000);
        await vm.timer.advance(3_000);
        assert.equal(await remembered, JobPhase.Succeeded);
    });

    it("is what a read brought after its caller was refused", async () => {
        const { vm, ask } = createVmOfSlowTable(unreadJobId);
        vm.put(JobPhase.Succeeded);
        vm.answerMs = 1_100;
        const refused = ask(3_000);
        await vm.timer.advance(1_150);
        assert.equal(await refused, "unavailable");
        vm.isSilent = true;
        const remembered = ask(1_160);
        await vm.timer.advance(3_000);
        assert.equal(await remembered, JobPhase.Succeeded);
    });
});
