import { assert } from "chai";
import { jobParts, jobsTable, partOfJob, progressTable } from "../src/jobs/rows.js";
import type { TablePart } from "../src/state/tablePart.js";
import { startPlatformProcesses, waitUntil } from "./fixtures/platformProcesses.js";
import type { EntryVmProcess, PlatformProcesses } from "./fixtures/platformProcesses.js";

const deadlineMs = 3_000;
/** What is left to a caller that cannot ask another VM in time; the table answers within milliseconds. */
const lastDeadlineMs = 500;
/** Timeout of a call to the table, and time within which lost probes hold as many connections as they ever will. */
const tableTimeoutMs = 1_200;
/** What a caller sees of its job: its state, or that it is refused. */
const refused = "refused";
const silentParts = jobParts.slice(0, 3);
const silentTableParts = [jobsTable, progressTable].flatMap(table => silentParts.map(part => ({ table, part })));
const jobIds = Array.from({ length: 32 }, (_, index) => index.toString(16).padStart(16, "0"));
const silentIds = jobIds.filter(jobId => silentParts.includes(partOfJob(jobId)));
/** One of each silent part. */
const firstSilentIds = silentParts.map(part => silentIds.find(jobId => partOfJob(jobId) === part) ?? "");
const answeredIds = jobIds.filter(jobId => !silentParts.includes(partOfJob(jobId)));
const createBody = (workMs: number): unknown => ({
    spec: JSON.stringify({ workMs }),
    steps: [{ count: 1, cpu: 4_000, "mem-mb": 1_024, gpu: 1, "estimate-ms": workMs }],
});
/** Jobs that do not end: only the table tells their phase before a read's time is over. */
const openJobIds = Array.from({ length: 32 }, (_, index) => (index + 256).toString(16).padStart(16, "0"));
const openStates: readonly unknown[] = ["queued", "running"];

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

const isSucceeded = (state: string | undefined): boolean => state === "succeeded";

// guards against silent parts of the table that concern the callers of others
describe("entry VM processes beside parts of the table that are silent for all of them", () => {
    let processes: PlatformProcesses;
    let vms: EntryVmProcess[];

    /** What callers see who ask a VM for jobs at the same moment, and the longest time until one is answered. */
    const askAll = async (vm: EntryVmProcess, ids: readonly string[], waitMs = deadlineMs) => {
        const startedAtMs = performance.now();
        let slowestMs = 0;
        const states = await Promise.all(ids.map(async jobId => {
            const answer = await processes.request(vm, "GET", `/bookings/${jobId}`, { deadlineMs: waitMs });
            slowestMs = Math.max(slowestMs, performance.now() - startedAtMs);
            return answer.status === 503 ? refused : (answer.body as { state?: string; }).state;
        }));
        return { states, slowestMs };
    };

    const submitAll = (vm: EntryVmProcess, ids: readonly string[], workMs: number) =>
        Promise.all(
            ids.map(jobId => processes.request(vm, "POST", `/bookings/${jobId}`, { body: createBody(workMs) })),
        );

    /** Parts of tables that a VM has found to be unreachable. */
    const findUnreachable = (vm: EntryVmProcess): string[] => {
        const lines = vm.lines.filter(line =>
            line.message === "table part not reachable directly, relaying through peers"
        );
        return lines.map(({ context }) => {
            const { table, part } = context as TablePart;
            return `${table}/${part}`;
        });
    };

    const waitUntilKnown = (vm: EntryVmProcess) =>
        waitUntil(
            async () => new Set(findUnreachable(vm)).size >= silentTableParts.length,
            5_000,
            "the VM has noticed the silence of all parts",
        );

    beforeEach(async () => {
        processes = await startPlatformProcesses();
        const submitter = await processes.startVm("a");
        await submitAll(submitter, jobIds, 100);
        const haveEnded = async (): Promise<boolean> => (await askAll(submitter, jobIds)).states.every(isSucceeded);
        await waitUntil(haveEnded, 8_000, "all jobs have succeeded");
        // these have not read the jobs
        vms = [await processes.startVm("b"), await processes.startVm("c")];
    });

    afterEach(async () => {
        await processes.stop();
    });

    it("answer for a job of another part, and answer or refuse for theirs before the caller's deadline", async () => {
        await processes.silenceParts(silentTableParts);
        for (const vm of vms) {
            const [silent, answered] = await Promise.all([
                askAll(vm, firstSilentIds),
                askAll(vm, answeredIds.slice(0, 1)),
            ]);
            assert.isTrue(silent.states.every(state => state === refused || isSucceeded(state)));
            assert.isTrue(answered.states.every(isSucceeded));
            assert.isBelow(Math.max(silent.slowestMs, answered.slowestMs), deadlineMs);
            await waitUntilKnown(vm);
            const silentKeys = silentTableParts.map(({ table, part }) => `${table}/${part}`);
            assert.includeMembers(silentKeys, findUnreachable(vm));
        }
    });

    it("answer for their jobs once they are back", async () => {
        const [vm] = vms;
        await processes.silenceParts(silentTableParts);
        await askAll(vm, silentIds);
        await processes.silenceParts([]);
        const { states, slowestMs } = await askAll(vm, silentIds);
        assert.isTrue(states.every(isSucceeded));
        assert.isBelow(slowestMs, deadlineMs);
    });

    it("answer at once for the jobs of other parts while many wait for theirs that are known to be silent", async () => {
        const [vm] = vms;
        await processes.silenceParts(silentTableParts);
        await askAll(vm, firstSilentIds);
        await waitUntilKnown(vm);
        await sleep(tableTimeoutMs);
        const waiting = askAll(vm, silentIds);
        await sleep(300);
        const { states } = await askAll(vm, answeredIds, lastDeadlineMs);
        await waiting;
        assert.deepEqual(states.filter(state => !isSucceeded(state)), []);
    });

    it("answer at once for the jobs of other parts while many wait for theirs that have just fallen silent", async () => {
        const [vm] = vms;
        await processes.silenceParts(silentTableParts);
        const waiting = askAll(vm, silentIds);
        await sleep(20);
        const { states } = await askAll(vm, answeredIds);
        await waiting;
        assert.deepEqual(states.filter(state => !isSucceeded(state)), []);
    });

    it("read the jobs of other parts at once while many wait for theirs that have just fallen silent and go on", async () => {
        const [vm, submitter] = vms;
        await submitAll(submitter, openJobIds, 600_000);
        const isSilent = (jobId: string): boolean => silentParts.includes(partOfJob(jobId));
        await processes.silenceParts(silentTableParts);
        const waiting = askAll(vm, openJobIds.filter(isSilent));
        await sleep(20);
        const { states, slowestMs } = await askAll(vm, openJobIds.filter(jobId => !isSilent(jobId)));
        await waiting;
        assert.deepEqual(states.filter(state => !openStates.includes(state)), []);
        assert.isBelow(slowestMs, lastDeadlineMs);
    });
});
