import { assert } from "chai";
import { startPlatformProcesses, until } from "./fixtures/platformProcesses.js";
import type { EntryProcess, PlatformProcesses } from "./fixtures/platformProcesses.js";
import { findViolations } from "./fixtures/violations.js";

/** Bound on the time in which jobs go on after every process was lost. */
const recoveryMs = 12_000;

const jobId = (index: number): string => index.toString(16).padStart(16, "0");

const jobOf = (workMs: number, count = 2): unknown => ({
    spec: JSON.stringify({ workMs }),
    steps: [{ count, cpu: 4_000, "mem-mb": 1_024, gpu: 1, "estimate-ms": workMs }],
});

const isPhase = async (processes: PlatformProcesses, vm: EntryProcess, id: string, phase: string): Promise<boolean> => {
    const answer = await processes.request(vm, "GET", `/bookings/${id}`);
    return (answer.body as { state?: string; }).state === phase;
};

describe("entry VMs as processes on the platform's protocol", () => {
    let processes: PlatformProcesses;

    beforeEach(async () => {
        processes = await startPlatformProcesses();
    });

    afterEach(async () => {
        await processes.stop();
    });

    it("take a job on one, plan it on another, answer on a third, and know it after all were killed", async () => {
        const vms = [await processes.startVm("a"), await processes.startVm("b"), await processes.startVm("c")];
        const [first, second, third] = vms;
        assert.equal(
            (await processes.request(first, "POST", `/bookings/${jobId(1)}`, { body: jobOf(300) })).status,
            200,
        );
        await until(() => isPhase(processes, third, jobId(1), "succeeded"), 5_000, "the first job is done");

        await processes.request(second, "POST", `/bookings/${jobId(2)}`, { body: jobOf(2_000) });
        await until(() => isPhase(processes, third, jobId(2), "running"), 5_000, "the second job runs");
        await Promise.all(vms.map(vm => vm.kill("SIGKILL")));
        const next = await processes.startVm("d");
        assert.isTrue(await isPhase(processes, next, jobId(1), "succeeded"));
        await until(() => isPhase(processes, next, jobId(2), "succeeded"), recoveryMs, "the second job is done");
        assert.deepEqual(findViolations(await processes.spans()), []);
    });

    it("answer what the page says to unknown keys, queues, jobs and bodies", async () => {
        const vm = await processes.startVm("a");
        const ask = async (method: "GET" | "POST" | "DELETE", path: string, body?: unknown, key?: string) =>
            (await processes.request(vm, method, path, { body, key })).status;
        assert.equal(await ask("POST", `/bookings/${jobId(1)}`, jobOf(100), "stolen"), 401);
        assert.equal(await ask("POST", `/elsewhere/${jobId(1)}`, jobOf(100)), 404);
        assert.equal(await ask("GET", `/bookings/${jobId(9)}`), 410);
        assert.equal(await ask("DELETE", `/bookings/${jobId(9)}`), 410);
        assert.equal(await ask("POST", "/bookings/short", jobOf(100)), 400);
        assert.equal(await ask("POST", `/bookings/${jobId(1)}`, { spec: "x", steps: [] }), 400);
        assert.deepEqual((await processes.request(vm, "GET", "/bookings/")).body, { pending: 0 });
    });

    it("accept once while answers of the table are lost, and refuse truthfully while it is down", async () => {
        const vm = await processes.startVm("a");
        await processes.control("switches", { loseAnswers: 1 });
        const accepted = await processes.request(vm, "POST", `/bookings/${jobId(1)}`, { body: jobOf(200, 1) });
        assert.equal(accepted.status, 200);
        await until(() => isPhase(processes, vm, jobId(1), "succeeded"), 5_000, "the job is done");
        assert.lengthOf(await processes.spans(), 1);

        await processes.control("switches", { tableDown: true });
        const refused = await processes.request(vm, "POST", `/bookings/${jobId(2)}`, { body: jobOf(200) });
        assert.equal(refused.status, 503);
        assert.isDefined(refused.retryAfterS);
        await processes.control("switches", { tableDown: false });
        await until(
            async () => (await processes.request(vm, "GET", `/bookings/${jobId(2)}`)).status === 410,
            5_000,
            "the refused job is not known",
        );
    });

    it("end within their grace although the table does not answer", async () => {
        const vm = await processes.startVm("a");
        await processes.control("switches", { tableSilent: true });
        const toldAtMs = Date.now();
        await vm.kill("SIGTERM");
        assert.isBelow(Date.now() - toldAtMs, 2_000, "the grace of the test's settings");
    });

    it("hand the term over and end in time when they are told to stop", async () => {
        const first = await processes.startVm("a");
        const second = await processes.startVm("b");
        await first.kill("SIGTERM");
        await processes.request(second, "POST", `/bookings/${jobId(1)}`, { body: jobOf(200) });
        await until(() => isPhase(processes, second, jobId(1), "succeeded"), 3_000, "the other VM plans");
        assert.isTrue(first.lines.some(line => line.message === "stopped"));
    });

    it("take settings that change while they run, and keep the present ones when the new ones are wrong", async () => {
        const vm = await processes.startVm("a");
        const told = (message: string) => vm.lines.find(line => line.message === message)?.context;
        const wasTold = (message: string) => until(async () => told(message) !== undefined, 5_000, message);
        await vm.changeSettings(text => text.replace("\"revokeMs\":5000", "\"revokeMs\":\"soon\""));
        await wasTold("changed settings cannot be used, the present ones stay");
        await vm.changeSettings(text => text.replace("\"soon\"", "4000").replace("\"statusS\":120", "\"statusS\":90"));
        await wasTold("settings read again");
        assert.deepInclude(told("settings read again"), { inForce: ["revokeMs"], atNextStart: ["statusS"] });
        assert.equal((await processes.request(vm, "GET", "/bookings/")).status, 200);
    });
});
