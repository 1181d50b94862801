import { assert } from "chai";
import { Acceptance } from "../src/jobs/commands/acceptJob.js";
import { partOfJob } from "../src/jobs/rows.js";
import { createSentSubmissions, recordRelayedSubmissions, WriteOutcome } from "../src/jobs/sentSubmissions.js";
import { createSubmissionAdmission } from "../src/jobs/submissionAdmission.js";
import { createEntryMetrics } from "../src/node/entryMetrics.js";
import { createRelayedTable } from "../src/state/relay.js";
import type { RelayedTable } from "../src/state/relay.js";
import { StateErrorKind } from "../src/state/types.js";
import type { StateError, StateTable } from "../src/state/types.js";
import { fail } from "../src/utils/result.js";
import type { Result } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import type { VirtualTimer } from "../src/utils/virtualTimer.js";
import { createFleetCallerHandler } from "./fixtures/callerHandler.js";
import { CallFault, createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";
import { createConfiguration } from "./fixtures/queueConfiguration.js";

/** Time after which submissions are refused unsent: a due long poll after 0.8 s, the limit of 1.2 s, a check of 0.25 s. */
const maxClosingMs = 2_250;
/** Time from the end of an outage until all priorities are sent: a probe, and two steps of 250 ms. */
const maxOpeningMs = 1_000;
const callerDeadlineMs = 3_000;
const timeoutMs = 1_200;

interface Caller {
    id: string;
    vm: string;
    sentAtMs: number;
    tookMs: number;
    acceptance?: Acceptance;
    retryAfterMs?: number;
}

/** How the table behaves; operations get no answer where `isSilent` says so, after they took effect if so chosen. */
const createTableFault = () => {
    const fault = { isSilent: (part: string): boolean => part === "none", takesEffect: false, delayMs: 0 };
    const wrapTable = (_vm: string, direct: StateTable, timer: VirtualTimer): StateTable => {
        const perform = async <Value>(part: string, call: () => Promise<Result<Value, StateError>>) => {
            await timer.sleep(fault.delayMs);
            if (!fault.isSilent(part)) {
                return call();
            }
            void (fault.takesEffect ? call() : undefined);
            await timer.sleep(timeoutMs);
            return fail({ kind: StateErrorKind.NoAnswer as const, detail: "silent" });
        };
        return {
            commit: transaction => perform(transaction.part, () => direct.commit(transaction)),
            read: range => perform(range.part, () => direct.read(range)),
            changes: (table, after, waitMs) => perform("", () => direct.changes(table, after, waitMs)),
        };
    };
    return { fault, wrapTable };
};

const submitTo = (fleet: Fleet, vm: string, id: string, priority = 1): Caller => {
    const caller: Caller = { id, vm, sentAtMs: fleet.timer.nowMs(), tookMs: Infinity };
    const submission = createSubmission(id, [createStep()], { priority, acceptedAtMs: caller.sentAtMs }, {
        workMs: 200,
    });
    void fleet.vms.get(vm)?.accept(submission, callerDeadlineMs).then(result => {
        Object.assign(caller, result, { tookMs: fleet.timer.nowMs() - caller.sentAtMs });
    });
    return caller;
};

/** Submits a job to each VM in turn every 50 ms. */
const submitFor = async (fleet: Fleet, durationMs: number): Promise<Caller[]> => {
    const callers: Caller[] = [];
    const fromMs = fleet.timer.nowMs();
    while (fleet.timer.nowMs() < fromMs + durationMs) {
        const index = callers.length;
        callers.push(submitTo(fleet, `vm${index % 3}`, `${fromMs}-${index}`, index % 4 === 0 ? 0 : 2));
        await fleet.timer.advance(50);
    }
    return callers;
};

const isStored = async (fleet: Fleet, id: string): Promise<boolean> => {
    const job = fleet.vms.get("vm0")?.job(id);
    await fleet.timer.advance(20);
    return await job !== undefined;
};

const ofAcceptance = (callers: Caller[], acceptance: Acceptance): Caller[] =>
    callers.filter(caller => caller.acceptance === acceptance);

const linesOf = (fleet: Fleet, message: string) => fleet.logLines.filter(line => line.message === message);

const createStartedFleet = async (options: Parameters<typeof createFleet>[0] = {}): Promise<Fleet> => {
    const fleet = createFleet(options);
    await fleet.timer.advance(1_000);
    return fleet;
};

for (const takesEffect of [false, true]) {
    const lost = takesEffect ? "answers" : "requests";
    describe(`submissions while the table's ${lost} are lost`, () => {
        // guards against submissions that end as unknown one by one, and against a "not run" that is false
        it("are refused unsent, never run, and are accepted afterwards", async () => {
            const { fault, wrapTable } = createTableFault();
            const fleet = await createStartedFleet({ wrapTable });
            await submitFor(fleet, 500);
            Object.assign(fault, { isSilent: () => true, takesEffect });
            const first = await submitFor(fleet, maxClosingMs);
            const during = await submitFor(fleet, 6_000);
            const repeated = first.slice(0, 3).map(({ id, vm }) => submitTo(fleet, vm, id));
            await fleet.timer.advance(10);
            fault.isSilent = () => false;
            await fleet.timer.advance(maxOpeningMs);
            const after = await submitFor(fleet, 1_000);
            await fleet.timer.advance(6_000);

            assert.isNotEmpty(ofAcceptance(first, Acceptance.Unknown), "those sent at its start may have been stored");
            assert.deepEqual(ofAcceptance(during, Acceptance.NotRun), during);
            assert.isTrue(during.every(({ tookMs }) => tookMs === 0));
            assert.isTrue(during.every(({ retryAfterMs = 0 }) => retryAfterMs >= 1_000 && retryAfterMs <= 3_000));
            assert.deepEqual(ofAcceptance(repeated, Acceptance.Unknown), repeated, "they were sent before");
            assert.deepEqual(ofAcceptance(after, Acceptance.Accepted), after);
            for (const { id } of ofAcceptance([...first, ...during], Acceptance.NotRun)) {
                assert.isFalse(await isStored(fleet, id), `${id} was refused and is stored`);
                assert.isUndefined(
                    fleet.spans.find(span => span.task.startsWith(`${id}.`)),
                    `${id} was refused and ran`,
                );
            }
            assert.lengthOf(linesOf(fleet, "submission gate closed"), 3);
            const opened = linesOf(fleet, "submission gate opened");
            assert.lengthOf(opened, 3);
            assert.isTrue(opened.every(({ fields }) => Number(fields.outageMs) > 6_000));
            const refused = opened.reduce((sum, { fields }) => sum + Number(fields.refused), 0);
            assert.equal(refused, ofAcceptance([...first, ...during], Acceptance.NotRun).length + repeated.length);
        });
    });
}

describe("submissions to a VM that alone has no access to the table", () => {
    // guards against one VM's partition that closes the gates of others, and a refusal of a job that is stored
    it("are refused by it with whole seconds in retry-after, while the others accept throughout", async () => {
        const fleet = await createStartedFleet();
        const stored = submitTo(fleet, "vm1", "stored");
        await fleet.timer.advance(100);
        fleet.partitionedFromTable.add("vm1");
        const callers = await submitFor(fleet, 6_000);
        const again = submitTo(fleet, "vm1", "stored");
        const handle = createFleetCallerHandler(fleet, "vm1", createConfiguration());
        const answer = handle({
            method: "POST",
            path: "/bookings/00000000000000a1",
            headers: { host: "doves.example", authorization: "Bearer key-1" },
            query: new URLSearchParams(),
            body: { spec: "", steps: [{ count: 1, "estimate-ms": 1_000 }] },
            callerGone: new AbortController().signal,
        });
        await fleet.timer.advance(10);
        const { status, headers = {} } = await answer;
        assert.equal(status, 503);
        assert.match(String(headers["retry-after"]), /^[123]$/);
        assert.deepEqual([stored.acceptance, again.acceptance], [Acceptance.Accepted, Acceptance.Accepted]);
        const refused = ofAcceptance(callers, Acceptance.NotRun);
        assert.isTrue(refused.every(({ vm }) => vm === "vm1"));
        assert.isAbove(refused.filter(({ retryAfterMs }) => retryAfterMs !== undefined).length, 20, "unsent");
        fleet.partitionedFromTable.clear();
        await fleet.timer.advance(maxOpeningMs);
        const after = submitTo(fleet, "vm1", refused[0].id);
        await fleet.timer.advance(10);
        assert.equal(after.acceptance, Acceptance.Accepted);
    });
});

describe("submissions to VMs that relay for each other", () => {
    /** A fleet whose VMs relay for each other; `silent` are those whose own operations on the table get no answer. */
    const createRelayedFleet = async () => {
        const tables = new Map<string, RelayedTable>();
        const silent = new Set<string>();
        const wrapTable = (vm: string, direct: StateTable, timer: VirtualTimer): StateTable => {
            const { fault, wrapTable: wrapDirect } = createTableFault();
            fault.isSilent = () => silent.has(vm);
            const peers = () =>
                [...tables].filter(([name]) => name !== vm).map(([name, table]) => ({
                    name,
                    perform: table.performForPeer,
                }));
            const table = createRelayedTable({ direct: wrapDirect(vm, direct, timer), timer, log: () => {}, peers });
            tables.set(vm, table);
            return table;
        };
        return { fleet: await createStartedFleet({ wrapTable }), silent };
    };

    // guards against a gate that takes only direct answers as answers
    it("are accepted while one of them has access", async () => {
        const { fleet, silent } = await createRelayedFleet();
        silent.add("vm1").add("vm2");
        const callers = await submitFor(fleet, 6_000);
        await fleet.timer.advance(2_000);
        assert.deepEqual(ofAcceptance(callers, Acceptance.Accepted), callers);
        assert.isEmpty(linesOf(fleet, "submission gate closed"));
    });

    // guards against a gate that an idle VM closes late, as it has no operations on several parts
    it("are refused unsent while none has, and accepted soon after one has again", async () => {
        const { fleet, silent } = await createRelayedFleet();
        silent.add("vm0").add("vm1").add("vm2");
        await fleet.timer.advance(maxClosingMs);
        const during = await submitFor(fleet, 5_000);
        assert.isTrue(during.every(({ retryAfterMs, tookMs }) => retryAfterMs !== undefined && tookMs === 0));
        silent.delete("vm0");
        // a peer that had no access is asked again after its cooldown of 1.5 s
        await fleet.timer.advance(1_500 + maxOpeningMs);
        const after = await submitFor(fleet, 1_000);
        await fleet.timer.advance(1_000);
        assert.deepEqual(ofAcceptance(after, Acceptance.Accepted), after);
    });
});

describe("submissions while the table is impaired but answers", () => {
    // guards against refusals of what other parts would store
    it("are sent when one part alone is silent", async () => {
        const { fault, wrapTable } = createTableFault();
        const fleet = await createStartedFleet({ wrapTable });
        fault.isSilent = part => part === "p3" || part === "planner";
        const callers = await submitFor(fleet, 6_000);
        await fleet.timer.advance(4_000);
        const ofOthers = callers.filter(({ id }) => partOfJob(id) !== "p3");
        assert.deepEqual(ofAcceptance(ofOthers, Acceptance.Accepted), ofOthers);
        assert.isEmpty(linesOf(fleet, "submission gate closed"));
    });

    // guards against refusals of what a slow table would store in time
    it("are accepted when it is 60 times slower than usual", async () => {
        const { fault, wrapTable } = createTableFault();
        const fleet = await createStartedFleet({ wrapTable });
        fault.delayMs = 500;
        const callers = await submitFor(fleet, 6_000);
        await fleet.timer.advance(2_000);
        assert.deepEqual(ofAcceptance(callers, Acceptance.Accepted), callers);
    });
});

describe("the admission of submissions", () => {
    // guards against refusals by a VM that was suspended: its operations have timed out, and the table is available
    it("stays open when the process got no processor time", async () => {
        const virtual = createVirtualTimer();
        let suspendedMs = 0;
        const lines: string[] = [];
        const replies: (() => void)[] = [];
        const lost = fail({ kind: StateErrorKind.NoAnswer as const, detail: "timed out" });
        const hang = () => new Promise<typeof lost>(resolve => replies.push(() => resolve(lost)));
        const admission = createSubmissionAdmission({
            state: { commit: hang, read: hang, changes: hang },
            timer: { ...virtual, nowMs: () => virtual.nowMs() + suspendedMs },
            log: (_level, message) => lines.push(message),
            metrics: createEntryMetrics(),
            random: () => 0,
        });
        ["p0", "p1"].forEach(part => void admission.table.read({ table: "jobs", part }));
        await virtual.advance(240);
        suspendedMs = 5_000;
        await virtual.advance(20);
        replies.forEach(reply => reply());
        await virtual.advance(100);
        admission.stop();
        assert.deepEqual(lines, []);
        assert.isUndefined(await admission.admit(1, 0));
    });
});

describe("a submission that was sent without an answer", () => {
    // guards against a refusal as not run of a submission that an earlier, unanswered write stored
    it("is not refused when it is repeated while the table refuses everything and no planner answers", async () => {
        const fleet = await createStartedFleet();
        fleet.commitFault = (_vm, { writes }) =>
            writes.some(({ key }) => key === "a1/job") ? CallFault.AnswerLost : CallFault.None;
        fleet.silentVms.add(fleet.planner() ?? "");
        const vm = [...fleet.vms.keys()].find(name => name !== fleet.planner()) ?? "";
        const first = submitTo(fleet, vm, "a1");
        await fleet.timer.advance(100);
        fleet.tableDown = true;
        const [again, other] = [submitTo(fleet, vm, "a1"), submitTo(fleet, vm, "a2")];
        await fleet.timer.advance(4_000);
        assert.equal(other.acceptance, Acceptance.NotRun);
        assert.deepEqual([first.acceptance, again.acceptance], [Acceptance.Unknown, Acceptance.Unknown]);
        fleet.tableDown = false;
        fleet.commitFault = () => CallFault.None;
        await fleet.timer.advance(maxOpeningMs);
        assert.isTrue(await isStored(fleet, "a1"));
    });

    it("is acknowledged, also when it is repeated, while the table refuses everything and the planner has it", async () => {
        const fleet = await createStartedFleet();
        fleet.commitFault = (_vm, { writes }) =>
            writes.some(({ key }) => key === "a1/job") ? CallFault.AnswerLost : CallFault.None;
        const first = submitTo(fleet, "vm0", "a1");
        await fleet.timer.advance(100);
        fleet.tableDown = true;
        const [again, other] = [submitTo(fleet, "vm0", "a1"), submitTo(fleet, "vm0", "a2")];
        await fleet.timer.advance(4_000);
        assert.equal(other.acceptance, Acceptance.NotRun);
        assert.deepEqual([first.acceptance, again.acceptance], [Acceptance.Accepted, Acceptance.Accepted]);
        fleet.tableDown = false;
        fleet.commitFault = () => CallFault.None;
        await fleet.timer.advance(maxOpeningMs);
        assert.isTrue(await isStored(fleet, "a1"));
    });
});

describe("a submission that a VM sent for another one", () => {
    // guards against a "not run" for a job that this VM sent to the table when it relayed another VM's write
    it("is not refused there as not run while its outcome is unknown", async () => {
        const sent = createSentSubmissions({ nowMs: () => 0 }, 1_000);
        const unanswered = fail({ kind: StateErrorKind.NoAnswer as const, detail: "lost" });
        const relay = recordRelayedSubmissions(
            { performForPeer: async () => unanswered } as unknown as RelayedTable,
            sent,
        );
        const write = { table: "jobs", key: "a1/job", value: {} };
        await relay.performForPeer({
            operation: "commit",
            transaction: { part: "p0", conditions: [], writes: [write] },
        });
        assert.equal(sent.outcomeOf("a1"), WriteOutcome.Unknown);
        assert.equal(sent.outcomeOf("a2"), WriteOutcome.NotStored);
    });
});
