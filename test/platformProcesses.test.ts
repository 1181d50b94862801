import { assert } from "chai";
import { formatRequest, openCallerConnection } from "./fixtures/callerConnection.js";
import { startPlatformProcesses, waitUntil } from "./fixtures/platformProcesses.js";
import type { EntryVmProcess, PlatformProcesses } from "./fixtures/platformProcesses.js";
import { findViolations } from "./fixtures/violations.js";

/** Limit on the time until a job succeeds after all entry VMs were killed. */
const maxRecoveryMs = 12_000;

const jobId = (index: number): string => index.toString(16).padStart(16, "0");

const buildJob = (workMs: number, count = 2): unknown => ({
    spec: JSON.stringify({ workMs }),
    steps: [{ count, cpu: 4_000, "mem-mb": 1_024, gpu: 1, "estimate-ms": workMs }],
});

const hasPhase = async (
    processes: PlatformProcesses,
    vm: EntryVmProcess,
    id: string,
    phase: string,
): Promise<boolean> => {
    const answer = await processes.request(vm, "GET", `/bookings/${id}`);
    return (answer.body as { state?: string; }).state === phase;
};

describe("entry VM processes on the platform's protocol", () => {
    let processes: PlatformProcesses;

    beforeEach(async () => {
        processes = await startPlatformProcesses();
    });

    afterEach(async () => {
        await processes.stop();
    });

    it("accept a job on one VM, plan it on another, answer on a third, and recover after all were killed", async () => {
        const vms = [await processes.startVm("a"), await processes.startVm("b"), await processes.startVm("c")];
        const [first, second, third] = vms;
        assert.equal(
            (await processes.request(first, "POST", `/bookings/${jobId(1)}`, { body: buildJob(300) })).status,
            200,
        );
        await waitUntil(() => hasPhase(processes, third, jobId(1), "succeeded"), 5_000, "the first job has succeeded");

        await processes.request(second, "POST", `/bookings/${jobId(2)}`, { body: buildJob(2_000) });
        await waitUntil(() => hasPhase(processes, third, jobId(2), "running"), 5_000, "the second job is running");
        await Promise.all(vms.map(vm => vm.kill("SIGKILL")));
        const next = await processes.startVm("d");
        assert.isTrue(await hasPhase(processes, next, jobId(1), "succeeded"));
        await waitUntil(
            () => hasPhase(processes, next, jobId(2), "succeeded"),
            maxRecoveryMs,
            "the second job has succeeded",
        );
        assert.deepEqual(findViolations(await processes.spans()), []);
    });

    it("answer unknown keys, queues and jobs and invalid bodies with the documented statuses", async () => {
        const vm = await processes.startVm("a");
        const requestStatus = async (method: "GET" | "POST" | "DELETE", path: string, body?: unknown, key?: string) =>
            (await processes.request(vm, method, path, { body, key })).status;
        assert.equal(await requestStatus("POST", `/bookings/${jobId(1)}`, buildJob(100), "stolen"), 401);
        assert.equal(await requestStatus("POST", `/elsewhere/${jobId(1)}`, buildJob(100)), 404);
        assert.equal(await requestStatus("GET", `/bookings/${jobId(9)}`), 410);
        assert.equal(await requestStatus("DELETE", `/bookings/${jobId(9)}`), 410);
        assert.equal(await requestStatus("POST", "/bookings/short", buildJob(100)), 400);
        assert.equal(await requestStatus("POST", `/bookings/${jobId(1)}`, { spec: "x", steps: [] }), 400);
        assert.deepEqual((await processes.request(vm, "GET", "/bookings/")).body, { pending: 0 });
    });

    it("accept a job once although the table's answer is lost, and store no job refused while it is down", async () => {
        const vm = await processes.startVm("a");
        await processes.control("switches", { loseAnswers: 1 });
        const accepted = await processes.request(vm, "POST", `/bookings/${jobId(1)}`, { body: buildJob(200, 1) });
        assert.equal(accepted.status, 200);
        await waitUntil(() => hasPhase(processes, vm, jobId(1), "succeeded"), 5_000, "the job has succeeded");
        assert.lengthOf(await processes.spans(), 1);

        await processes.control("switches", { tableDown: true });
        const refused = await processes.request(vm, "POST", `/bookings/${jobId(2)}`, { body: buildJob(200) });
        assert.equal(refused.status, 503);
        assert.isDefined(refused.retryAfterS);
        await processes.control("switches", { tableDown: false });
        await waitUntil(
            async () => (await processes.request(vm, "GET", `/bookings/${jobId(2)}`)).status === 410,
            5_000,
            "the refused job is unknown",
        );
    });

    it("exit within the grace period although the table does not answer", async () => {
        const vm = await processes.startVm("a");
        await processes.control("switches", { tableSilent: true });
        const signalledAtMs = Date.now();
        await vm.kill("SIGTERM");
        assert.isBelow(Date.now() - signalledAtMs, 2_000, "the grace period in the test's settings");
    });

    it("hand the term over and exit in time on SIGTERM", async () => {
        const first = await processes.startVm("a");
        const second = await processes.startVm("b");
        await first.kill("SIGTERM");
        await processes.request(second, "POST", `/bookings/${jobId(1)}`, { body: buildJob(200) });
        await waitUntil(() => hasPhase(processes, second, jobId(1), "succeeded"), 3_000, "the other VM plans the job");
        assert.isTrue(first.lines.some(line => line.message === "stopped"));
    });

    it("apply changed settings on SIGHUP, and keep the current ones when the new ones are invalid", async () => {
        const vm = await processes.startVm("a");
        const findContext = (message: string) => vm.lines.find(line => line.message === message)?.context;
        const waitForLine = (message: string) =>
            waitUntil(async () => findContext(message) !== undefined, 5_000, message);
        await vm.changeSettings(text => text.replace("\"revokeMs\":5000", "\"revokeMs\":\"soon\""));
        await waitForLine("changed settings cannot be used, the present ones stay");
        await vm.changeSettings(text => text.replace("\"soon\"", "4000").replace("\"statusS\":120", "\"statusS\":90"));
        await waitForLine("settings read again");
        assert.deepInclude(findContext("settings read again"), { inForce: ["revokeMs"], atNextStart: ["statusS"] });
        assert.equal((await processes.request(vm, "GET", "/bookings/")).status, 200);
    });

    it("read the settings again after a SIGHUP that arrived while they were starting", async () => {
        const vm = await processes.startVm("a", { signalWhileStarting: "SIGHUP" });
        await waitUntil(
            async () => vm.lines.some(line => line.message === "settings read again"),
            5_000,
            "the settings have been read again",
        );
    });

    it("report connections closed before the answer", async () => {
        const vm = await processes.startVm("a");
        await processes.control("switches", { tableSilent: true });
        const impatient = await openCallerConnection(vm.callers);
        await impatient?.send(formatRequest("GET", `/bookings/${jobId(1)}`));
        await waitUntil(async () => /open_requests 1/.test(await processes.metrics(vm)), 5_000, "the request is read");
        impatient?.destroy();
        const findContext = (message: string) => vm.lines.find(line => line.message === message)?.context;
        await waitUntil(
            async () => findContext("connection closed before the answer") !== undefined,
            5_000,
            "it is logged",
        );
        assert.deepInclude(findContext("connection closed before the answer"), {
            path: `/bookings/${jobId(1)}`,
            isHandled: true,
            closedBy: "caller",
        });
        assert.include(await processes.metrics(vm), "catkinswitch_broken_answers_total{closed_by=\"caller\"} 1");
    });

    it("keep the newest settings when SIGHUP arrives again while they are read", async () => {
        const vm = await processes.startVm("a");
        const readAgain = () => vm.lines.filter(line => line.message === "settings read again");
        const finishFirst = await vm.beginReload(text => text.replace("\"revokeMs\":5000", "\"revokeMs\":4000"));
        await vm.changeSettings(text => text.replace("\"revokeMs\":4000", "\"revokeMs\":3000"));
        // gives a process that does not wait for the first reading the time to end the second before it
        for (let round = 0; round < 20; round++) {
            await processes.metrics(vm);
        }
        await finishFirst();
        await waitUntil(async () => readAgain().length === 2, 5_000, "both readings are done");
        await vm.changeSettings(text => text);
        await waitUntil(async () => readAgain().length === 3, 5_000, "the unchanged settings have been read");
        assert.deepInclude(readAgain().at(-1)?.context, { inForce: [], atNextStart: [] });
    });
});
