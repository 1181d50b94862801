import { assert } from "chai";
import { execFile } from "node:child_process";
import { cp, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import { request } from "undici";
import { collectIntents } from "../src/configuration/queries/collect.js";
import type { Snapshot } from "../src/configuration/types.js";
import type { JobView } from "../src/jobs/queries/jobView.js";
import { JobPhase } from "../src/jobs/types.js";
import { VmState } from "../src/platform/types.js";
import { sendJson, startLocalCluster, waitUntil } from "../tools/localCluster.js";
import type { LocalCluster, RunningDaemon } from "../tools/localCluster.js";

const examples = fileURLToPath(new URL("../../examples", import.meta.url));
const bookingPath = "/v1/customers/funeral-parlours/services/booking/calls";
const quotePath = "/v1/customers/backyard-keepers/services/quotes/calls";
const settleTimeoutMs = 15_000;

interface Dump {
    configuration: { version: number; };
    endpoints: { name: string; leaving: boolean; }[];
}

interface Answer {
    outcome: string;
    detail?: string;
    result?: { echo: { key: string; }; };
}

const call = (router: RunningDaemon, path: string, key: string, serviceMs: number, deadlineMs?: number) =>
    sendJson<Answer>(`${router.httpAddress}${path}`, { key, serviceMs }, {
        headers: {
            "idempotency-key": key,
            ...(deadlineMs === undefined ? {} : { "deadline-ms": String(deadlineMs) }),
        },
    });

const versionOf = async (daemon: RunningDaemon): Promise<number> => {
    const dump = await sendJson<Dump>(`${daemon.httpAddress}/v1/dump`);
    return dump.body.configuration.version;
};

const startCluster = async (): Promise<LocalCluster> => {
    const cluster = await startLocalCluster({
        zones: ["zone-a", "zone-b", "zone-c"],
        workersPerZone: 2,
        entryVmsPerZone: 1,
    });
    const { intents } = await collectIntents(examples);
    await waitUntil("the planner knows all workers", settleTimeoutMs, async () => {
        const fleet = await sendJson<{ rows: { value: unknown[]; }[]; }>(
            `${cluster.platformAddress}/v1/table/rows?key=fleet`,
        );
        return fleet.body.rows.at(0)?.value.length === 6;
    });
    const body = { baseVersion: 0, publisher: "north", intents };
    const answer = await sendJson<Snapshot>(`${cluster.schedulers()[0].httpAddress}/v1/configurations`, body);
    assert.equal(answer.status, 200, JSON.stringify(answer.body));
    await waitUntil("version 1 is in force", settleTimeoutMs, async () => {
        const versions = await Promise.all(cluster.daemons.map(versionOf));
        return versions.every(version => version === 1);
    });
    return cluster;
};

/** Submits a gang until it is accepted; unknown outcomes are retried with the same key, as the API asks of callers. */
const submitGang = async (scheduler: RunningDaemon, key: string, runTimeMs: number): Promise<string> => {
    let id: string | undefined;
    await waitUntil("the job is accepted", settleTimeoutMs, async () => {
        id = await trySubmit(scheduler, key, runTimeMs);
        return id !== undefined;
    });
    return id ?? "";
};

const trySubmit = async (scheduler: RunningDaemon, key: string, runTimeMs: number): Promise<string | undefined> => {
    const body = {
        customer: "wedding-planners",
        service: "flight-models",
        shape: { taskCount: 16, acceleratorsPerTask: 1, adjacency: "rack" },
        declaredRunTimeMs: runTimeMs,
        work: { runTimeMs },
    };
    const answer = await sendJson<JobView>(`${scheduler.httpAddress}/v1/jobs`, body, {
        headers: { "idempotency-key": key },
    });
    assert.include([202, 504], answer.status, JSON.stringify(answer.body));
    return answer.status === 202 ? answer.body.id : undefined;
};

const stateOf = async (scheduler: RunningDaemon, id: string): Promise<JobPhase> => {
    const answer = await sendJson<JobView>(`${scheduler.httpAddress}/v1/jobs/${id}`);
    return answer.body.state;
};

describe("daemons as processes", function() {
    this.timeout(60_000);
    let cluster: LocalCluster;

    before(async () => {
        cluster = await startCluster();
    });

    after(() => cluster.stop());

    afterEach(async () => {
        await cluster.setPlatformSwitches({ down: false, slowMs: 0, cutVms: [] });
        for (
            const daemon of cluster.daemons.filter(candidate =>
                candidate.child.exitCode !== null || candidate.child.signalCode !== null
            )
        ) {
            await cluster.restartDaemon(daemon);
        }
    });

    const stopUnderFullLoad = async (prefix: string, serviceMs: number, deadlineMs?: number): Promise<void> => {
        const router = cluster.routers()[0];
        const keys = Array.from(Array(40).keys(), index => `${prefix}-${index}`);
        const calls = Promise.all(keys.map(key => call(router, quotePath, key, serviceMs, deadlineMs)));
        await waitUntil(
            "calls are running",
            5_000,
            async () => (await cluster.events()).some(event => event.key === keys[0]),
        );
        const code = await cluster.stopDaemon(router);
        const answers = await calls;
        assert.equal(code, 0);
        answers.forEach((answer, index) => {
            const context = [`${keys[index]}: ${answer.body.detail}`, ...router.log].join("\n");
            assert.equal(answer.body.outcome, "done", context);
            assert.equal(answer.body.result?.echo.key, keys[index]);
        });
    };

    it("finish every call in progress when a router is stopped under full load", () =>
        stopUnderFullLoad("stop", 1_000));

    it("finish calls that take most of the time until their deadline when a router is stopped", () =>
        stopUnderFullLoad("long", 3_500, 5_000));

    it("record the outcome of a booking when the platform is down as a router is stopped", async () => {
        const [router, other] = cluster.routers();
        const key = "record-late";
        const body = { key, serviceMs: 1_000 };
        const runs = async () =>
            (await cluster.events()).filter(event => event.kind === "callStarted" && event.key === key);
        // a connection that ends with the answer, so that the router does not wait for it
        const answered = request(`${router.httpAddress}${bookingPath}`, {
            method: "POST",
            headers: { "idempotency-key": key },
            body: JSON.stringify(body),
            reset: true,
        }).then(response => response.body.json() as Promise<Answer>);
        await waitUntil("the booking runs", 5_000, async () => (await runs()).length > 0);
        await cluster.setPlatformSwitches({ down: true });
        const stopped = cluster.stopDaemon(router);
        assert.equal((await answered).outcome, "done");
        // long enough for a router that does not wait for the platform to exit
        await new Promise(resolve => setTimeout(resolve, 3_000));
        await cluster.setPlatformSwitches({ down: false });
        assert.equal(await stopped, 0);
        const repeated = await call(other, bookingPath, key, body.serviceMs);
        assert.equal(repeated.body.outcome, "done", repeated.body.detail);
        assert.lengthOf(await runs(), 1);
    });

    it("keep gangs running when schedulers are stopped one after the other", async () => {
        const [first, second] = cluster.schedulers();
        const id = await submitGang(first, "kept", 9_000);
        await waitUntil(
            "the gang runs",
            settleTimeoutMs,
            async () => (await cluster.events()).some(event => event.jobId === id && event.kind === "taskRunning"),
        );
        assert.equal(await cluster.stopDaemon(first), 0);
        const restarted = await cluster.restartDaemon(first);
        assert.equal(await cluster.stopDaemon(second), 0);
        await cluster.restartDaemon(second);
        await waitUntil("the gang is done", 30_000, async () => await stateOf(restarted, id) === JobPhase.Succeeded);
        const expired = (await cluster.events()).filter(event => event.jobId === id && event.kind === "taskLapsed");
        assert.isEmpty(expired);
    });

    it("send no call to an endpoint that started to leave while the router process was paused", async () => {
        const [router] = cluster.routers();
        const local = cluster.workers[0].workers;
        const leaving = local[0].name;
        // slow platform: the list of VMs cannot be read again before the router dispatches the first calls
        await cluster.setPlatformSwitches({ slowMs: 300 });
        router.child.kill("SIGSTOP");
        await cluster.updateVm(leaving, { state: VmState.Leaving });
        const calls = Array.from(Array(24).keys(), index => call(router, quotePath, `paused-${index}`, 100));
        await new Promise(resolve => setTimeout(resolve, 3_000));
        const resumedAtMs = Date.now();
        router.child.kill("SIGCONT");
        await Promise.all(calls);
        const started = (await cluster.events()).filter(event =>
            event.worker === leaving && event.kind === "callStarted" && event.atMs >= resumedAtMs
        );
        await cluster.updateVm(leaving, { state: VmState.Live, incarnation: 2 });
        assert.isEmpty(started);
    });

    it("stop calls to an endpoint that reports that it is leaving while the list of VMs cannot be read", async () => {
        const [router] = cluster.routers();
        const leaving = cluster.workers[0].workers[1].name;
        await cluster.setPlatformSwitches({ down: true });
        await cluster.setWorkerSwitches(leaving, { saysLeaving: true });
        const keys = Array.from(Array(30).keys(), index => `leaving-${index}`);
        for (const key of keys) {
            assert.equal((await call(router, quotePath, key, 5)).body.outcome, "done");
        }
        const started = (await cluster.events()).filter(event =>
            event.worker === leaving && event.kind === "callStarted" && keys.includes(event.key ?? "")
        );
        await cluster.setWorkerSwitches(leaving, { saysLeaving: false });
        await cluster.updateVm(leaving, { state: VmState.Live, incarnation: 2 });
        assert.isAtMost(started.length, 1, "only the call whose reply reported that the endpoint is leaving");
    });

    it("adopt the highest version from peers when all daemons of a zone restart while the platform is down", async () => {
        await cluster.setPlatformSwitches({ down: true });
        const zone = cluster.daemons.filter(daemon => daemon.zone === "zone-a");
        await Promise.all(zone.map(daemon => cluster.killDaemon(daemon)));
        const restarted = await Promise.all(zone.map(daemon => cluster.restartDaemon(daemon)));
        const versions = await Promise.all(restarted.map(versionOf));
        assert.deepEqual(versions, [1, 1]);
    });

    it("serve bookings and jobs on a VM that reaches its peers but not the platform", async () => {
        await cluster.setPlatformSwitches({ cutVms: ["entry-zone-a-1"] });
        const [router] = cluster.routers();
        await waitUntil(
            "a booking is done",
            settleTimeoutMs,
            async () => (await call(router, bookingPath, `relayed-${Date.now()}`, 10)).body.outcome === "done",
        );
        const id = await submitGang(cluster.schedulers()[0], "relayed", 500);
        await waitUntil(
            "the job is done",
            settleTimeoutMs,
            async () => await stateOf(cluster.schedulers()[1], id) === JobPhase.Succeeded,
        );
        const starts = (await cluster.events()).filter(event => event.jobId === id && event.kind === "taskRunning");
        assert.lengthOf(starts, 16, "each task started once, however often the job was submitted");
    });

    it("run repeatable calls and refuse bookings as not run while the platform is down", async () => {
        await cluster.setPlatformSwitches({ down: true });
        const [router] = cluster.routers();
        assert.equal((await call(router, quotePath, "quote-down", 10)).body.outcome, "done");
        assert.equal((await call(router, bookingPath, "booking-down", 10)).body.outcome, "notRun");
        await cluster.setPlatformSwitches({ down: false });
        await waitUntil(
            "the booking is done",
            settleTimeoutMs,
            async () => (await call(router, bookingPath, "booking-down", 10)).body.outcome === "done",
        );
        const runs = (await cluster.events()).filter(event =>
            event.kind === "callStarted" && event.key === "booking-down"
        );
        assert.lengthOf(runs, 1);
    });

    const post = async (path: string, body: string, headers: Record<string, string> = {}) => {
        const response = await request(`${path}`, { method: "POST", body, headers });
        return {
            status: response.statusCode,
            body: await response.body.json() as { detail: string; outcome?: string; },
        };
    };

    it("show the changes of a publish in a dry run without publishing them", async () => {
        const tree = await mkdtemp(join(tmpdir(), "catkinswitch-dry-"));
        await cp(examples, tree, { recursive: true });
        await writeFile(
            join(tree, "zone.intent.jsonc"),
            JSON.stringify({ name: "zone-out", owner: "north", reason: "roof", availabilityZonesOut: ["zone-a"] }),
        );
        const program = fileURLToPath(new URL("../src/bin/catkinswitch.js", import.meta.url));
        const entry = cluster.schedulers()[0].httpAddress;
        const args = [program, "publish", tree, "--as", "north", "--base", "1", "--dry-run", "--entry", entry];
        const { stdout } = await promisify(execFile)(process.execPath, args);
        await rm(tree, { recursive: true });
        assert.match(stdout, /\+ zone-out {2}\(zone\.intent\.jsonc\)/);
        assert.match(stdout, /1 statements would change after version 1; nothing published/);
        assert.equal(await versionOf(cluster.schedulers()[0]), 1);
    });

    it("answer invalid input with an error that names the problem", async () => {
        const [router] = cluster.routers();
        const [scheduler] = cluster.schedulers();
        const cases: [string, string, Record<string, string>, number, RegExp][] = [
            [`${router.httpAddress}${bookingPath}`, "{", {}, 400, /not JSON/],
            [`${router.httpAddress}${bookingPath}`, "{}", {}, 400, /Idempotency-Key/],
            [`${router.httpAddress}${quotePath}`, "{}", { "deadline-ms": "soon" }, 400, /Deadline-Ms/],
            [`${router.httpAddress}${quotePath}`, JSON.stringify("x".repeat(70_000)), {}, 413, /at most 65536 bytes/],
            [`${router.httpAddress}/v1/customers/nobody/services/quotes/calls`, "{}", {}, 404, /"nobody"/],
            [`${scheduler.httpAddress}/v1/jobs`, "{\"customer\":\"x\"}", {}, 400, /needs the field "service"/],
        ];
        for (const [url, body, headers, status, detail] of cases) {
            const answer = await post(url, body, headers);
            assert.equal(answer.status, status, url);
            assert.match(answer.body.detail, detail);
            assert.equal(answer.body.outcome, "notRun");
        }
    });
});
