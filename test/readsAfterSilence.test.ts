import { assert } from "chai";
import { readJob } from "../src/jobs/queries/readJob.js";
import { jobParts, jobRowKey, JobRowKind, jobsTable, partOfJob, progressTable } from "../src/jobs/rows.js";
import { JobPhase } from "../src/jobs/types.js";
import { createRelayedTable } from "../src/state/relay.js";
import type { RelayedTable, RelayPeer, RelayReply } from "../src/state/relay.js";
import { StateErrorKind } from "../src/state/types.js";
import type { ReadRange, StateTable } from "../src/state/types.js";
import { resolveWithin } from "../src/utils/resolveWithin.js";
import { fail, succeed } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { createTableModel } from "../standins/fleet/tableModel.js";
import { createStep, createSubmission } from "./fixtures/fleet.js";

/** Timeouts of a call to the table and of a relayed one. */
const tableTimeoutMs = 1_200;
const relayTimeoutMs = 900;
/** Longer than the time for which a VM that had no way is not asked again. */
const cooldownMs = 1_600;
const answerMs = 5;
const slowAnswerMs = 250;
const backgroundPeriodMs = 50;
const vmCount = 8;
/** Times that reads have, from callers that wait 3 s and ask again down to what is left of a last try. */
const readTimesMs = [1_000, 830, 300, 100];
const returnShares = [0.2, 0.5, 0.8];
/** Time within which a read is answered once its part is back. */
const maxAnswerMs = 200;
const silentParts = jobParts.slice(0, 3);
const answeredParts = jobParts.slice(3);
const jobIds = Array.from({ length: 200 }, (_, index) => index.toString(16).padStart(16, "0"));
const silentJobIds = jobIds.filter(jobId => silentParts.includes(partOfJob(jobId))).slice(0, 24);

/** What VMs know of the silence when a read begins. */
enum Known {
    Nothing = "that knows nothing of the silence",
    ByOthers = "that knows nothing of the silence, beside others that do",
    ByAll = "that knows of the silence, as all others do",
    AllAsked = "that knows of the silence and has just asked all others",
}

const createTable = () => {
    const model = createTableModel();
    for (const jobId of jobIds) {
        model.commit({
            part: partOfJob(jobId),
            conditions: [],
            writes: [
                {
                    table: jobsTable,
                    key: jobRowKey(jobId, JobRowKind.Submission),
                    value: createSubmission(jobId, [createStep()]),
                },
                {
                    table: progressTable,
                    key: jobRowKey(jobId, JobRowKind.Progress),
                    value: { phase: JobPhase.Succeeded, units: {} },
                },
            ],
        });
    }
    return model;
};

/** VMs in touch with one another beside a table of which parts can be silent: a request that is sent then is lost. */
const createVms = () => {
    const timer = createVirtualTimer();
    const model = createTable();
    const silent = new Set<string>();
    const conditions = { answerMs };
    /** Requests that all VMs sent to the table. */
    const requests: { vm: string; part: string; sentAtMs: number; }[] = [];
    const vms = new Map<string, RelayedTable>();
    /** VMs that others ask for nothing. */
    const unlisted = new Set<string>();

    const createDirect = (vm: string): StateTable => {
        const unused = async () => fail({ kind: StateErrorKind.Unavailable as const, detail: "not used" });
        const read = async (range: ReadRange) => {
            requests.push({ vm, part: range.part, sentAtMs: timer.nowMs() });
            const isLost = silent.has(range.part);
            await timer.sleep(isLost ? tableTimeoutMs : conditions.answerMs);
            return isLost
                ? fail({ kind: StateErrorKind.NoAnswer as const, detail: "silent" })
                : succeed(model.read(range));
        };
        return { read, commit: unused, changes: unused };
    };

    const createPeer = (name: string): RelayPeer => ({
        name,
        perform: request => {
            const noAnswer = fail({ kind: StateErrorKind.NoAnswer as const, detail: "silent" }) as RelayReply;
            const reply = vms.get(name)?.performForPeer(request) ?? Promise.resolve(noAnswer);
            return resolveWithin(timer, relayTimeoutMs, reply, noAnswer);
        },
    });

    const names = Array.from({ length: vmCount }, (_, index) => `vm${index}`);
    for (const name of names) {
        const peers = () => names.filter(other => other !== name && !unlisted.has(other)).map(createPeer);
        vms.set(name, createRelayedTable({ direct: createDirect(name), timer, log: () => {}, peers }));
    }
    const [reader, ...others] = [...vms.values()];

    const readParts = (vm: RelayedTable, parts: readonly string[]): void =>
        parts.forEach(part => [jobsTable, progressTable].forEach(table => void vm.read({ table, part, from: "~" })));

    const vmsThatLearn = (known: Known): readonly RelayedTable[] => {
        switch (known) {
            case Known.Nothing:
                return [];
            case Known.ByOthers:
                return others;
            case Known.ByAll:
            case Known.AllAsked:
                return [reader, ...others];
        }
    };

    /** Lets VMs learn from requests of their own that parts are silent. */
    const learnSilence = async (known: Known): Promise<void> => {
        if (known === Known.ByOthers) {
            // it would learn from what they ask it for
            unlisted.add(names[0]);
        }
        vmsThatLearn(known).forEach(vm => readParts(vm, silentParts));
        await timer.advance(2 * tableTimeoutMs + cooldownMs);
        unlisted.clear();
        if (known === Known.AllAsked) {
            readParts(reader, silentParts);
            await timer.advance(backgroundPeriodMs);
        }
    };

    /** Reads jobs at the same moment; resolves with their phases as their callers get them, and when. */
    const readAll = (ids: readonly string[], readMs: number) =>
        Promise.all(ids.map(async jobId => {
            const job = await resolveWithin(timer, readMs, readJob(reader, jobId, readMs), "unavailable" as const);
            return { phase: job === "unavailable" ? "refused" : job?.record?.phase, atMs: timer.nowMs() };
        }));

    /** Keeps reading the parts that answer, as a VM does for its other callers. */
    timer.every(backgroundPeriodMs, () => readParts(reader, [answeredParts[0]]));
    return { timer, silent, conditions, requests, readerName: names[0], readAll, learnSilence };
};

const isSucceeded = ({ phase }: { phase?: string; }): boolean => phase === JobPhase.Succeeded;

/** Time of a read that has to be left when its part comes back. */
const minLeftMs = (readMs: number): number => Math.min(maxAnswerMs, readMs / 2);

/** What reads of jobs bring whose parts are silent when they begin and back after `returnMs`, and how long after it. */
const readBesideReturn = async (known: Known, ids: readonly string[], readMs: number, returnMs: number) => {
    const { timer, silent, readAll, learnSilence } = createVms();
    await timer.advance(1_000);
    silentParts.forEach(part => silent.add(part));
    await learnSilence(known);
    const answered = readAll(ids, readMs);
    await timer.advance(returnMs);
    silent.clear();
    const returnedAtMs = timer.nowMs();
    await timer.advance(2 * tableTimeoutMs);
    return (await answered).map(({ phase, atMs }) => ({ phase, afterMs: atMs - returnedAtMs }));
};

// guards against reads that are refused although their part has been back for long enough
describe("a read of a job whose part is silent when it begins", () => {
    for (const readMs of readTimesMs) {
        for (const known of Object.values(Known)) {
            for (const ids of [silentJobIds.slice(0, 1), silentJobIds]) {
                const reads = ids.length === 1 ? "alone" : `as one of ${ids.length}`;
                it(`is answered in ${readMs} ms ${reads} by a VM ${known} once the part is back`, async () => {
                    const refused: string[] = [];
                    for (const share of returnShares.filter(part => readMs * (1 - part) >= minLeftMs(readMs))) {
                        const answers = await readBesideReturn(known, ids, readMs, share * readMs);
                        const count = answers.filter(answer =>
                            !isSucceeded(answer) || answer.afterMs > maxAnswerMs
                        ).length;
                        if (count > 0) {
                            refused.push(`${count} of ${ids.length} after a return at ${share}`);
                        }
                    }
                    assert.deepEqual(refused, []);
                });
            }
        }
    }
});

// guards against waiting for a part on a VM that cannot see its return, while another VM could serve the caller
describe("a read of a job whose ways have all failed", () => {
    const readMs = 1_000;
    const longReadMs = 3_000;
    /** Time in which a VM that knows no way refuses. */
    const maxRefusalMs = 50;
    /** Time in which one refuses that was answered until the read began: a call's timeout, and checks 100 ms apart. */
    const maxNoticeMs = tableTimeoutMs + 150;
    const ids = silentJobIds.slice(0, 1);

    const createVmsWithoutWay = async (parts: readonly string[]) => {
        const vms = createVms();
        await vms.timer.advance(1_000);
        parts.forEach(part => vms.silent.add(part));
        await vms.learnSilence(Known.AllAsked);
        return vms;
    };

    it("is refused at once by a VM that no part answers", async () => {
        const { timer, readAll } = await createVmsWithoutWay(jobParts);
        const startedAtMs = timer.nowMs();
        const answers = readAll(ids, readMs);
        await timer.advance(readMs);
        const [answer] = await answers;
        assert.equal(answer.phase, "refused");
        assert.isAtMost(answer.atMs - startedAtMs, maxRefusalMs);
    });

    it("waits on a VM that other parts answer, and is answered once its part is back", async () => {
        const { timer, silent, readAll } = await createVmsWithoutWay(silentParts);
        const answers = readAll(ids, readMs);
        await timer.advance(readMs / 2);
        silent.clear();
        const returnedAtMs = timer.nowMs();
        await timer.advance(readMs);
        const [answer] = await answers;
        assert.isTrue(isSucceeded(answer));
        assert.isAtLeast(answer.atMs, returnedAtMs);
        assert.isAtMost(answer.atMs - returnedAtMs, maxAnswerMs);
    });

    it("is refused when the other parts fall silent, too, while it waits", async () => {
        const { timer, silent, readAll } = await createVmsWithoutWay(silentParts);
        const startedAtMs = timer.nowMs();
        const answers = readAll(ids, longReadMs);
        jobParts.forEach(part => silent.add(part));
        await timer.advance(longReadMs);
        const [answer] = await answers;
        assert.equal(answer.phase, "refused");
        assert.isAtMost(answer.atMs - startedAtMs, maxNoticeMs);
    });
});

// guards against load that waiting reads add to a table that cannot carry it
describe("reads of jobs that wait for an answer", () => {
    /** Share of the requests that a slow table may get twice. */
    const maxRepeatedShare = 0.1;
    /** Attempts that one VM makes beside those that its reads begin with while none of them gains by it. */
    const maxFurtherAttempts = 8;
    /** Probes that a VM sends at a time; the rounds of two runs may be counted from different moments. */
    const maxProbesPerRound = 4;
    const silenceMs = 3_000;

    it("are sent once, but for a tenth, while the table is as slow as usual for all", async () => {
        const { timer, conditions, requests, readAll } = createVms();
        conditions.answerMs = slowAnswerMs;
        await timer.advance(4_000);
        const answered = readAll(silentJobIds, 1_000);
        const sentFromMs = timer.nowMs();
        await timer.advance(2_000);
        const sent = requests.filter(({ part, sentAtMs }) => sentAtMs >= sentFromMs && silentParts.includes(part));
        assert.isTrue((await answered).every(isSucceeded));
        assert.isAtMost(sent.length, 2 * silentJobIds.length * (1 + maxRepeatedShare));
    });

    it("are repeated a few times when the table becomes slow for all", async () => {
        const { timer, conditions, requests, readAll } = createVms();
        await timer.advance(1_000);
        conditions.answerMs = slowAnswerMs;
        const answered = readAll(silentJobIds, 1_000);
        const sentFromMs = timer.nowMs();
        await timer.advance(2_000);
        const sent = requests.filter(({ part, sentAtMs }) => sentAtMs >= sentFromMs && silentParts.includes(part));
        assert.isTrue((await answered).every(isSucceeded));
        assert.isAtMost(sent.length, 2 * silentJobIds.length + maxFurtherAttempts);
    });

    for (const readMs of readTimesMs) {
        it(`have their silent parts probed no more often than without them, for ${readMs} ms one after the other`, async () => {
            const countSent = async (ids: readonly string[]): Promise<number> => {
                const { timer, silent, requests, readerName, readAll, learnSilence } = createVms();
                await timer.advance(1_000);
                silentParts.forEach(part => silent.add(part));
                await learnSilence(Known.ByAll);
                const sentFromMs = timer.nowMs();
                for (let elapsedMs = 0; elapsedMs < silenceMs; elapsedMs += readMs) {
                    void readAll(ids, readMs);
                    await timer.advance(Math.min(readMs, silenceMs - elapsedMs));
                }
                return requests.filter(({ vm, part, sentAtMs }) =>
                    vm === readerName && sentAtMs > sentFromMs && silentParts.includes(part)
                ).length;
            };
            assert.isAtMost(await countSent(silentJobIds), await countSent([]) + maxProbesPerRound);
        });
    }
});
