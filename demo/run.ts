/** Runs both example deployments end to end on loopback and checks every step. */
import { spawn } from "node:child_process";
import { cp, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type { JobView } from "../src/jobs/queries/jobView.js";
import { JobPhase } from "../src/jobs/types.js";
import { readyTimeoutMs, waitForExit } from "../tools/childProcesses.js";
import { sendJson, startLocalCluster, waitUntil } from "../tools/localCluster.js";
import type { LocalCluster } from "../tools/localCluster.js";

const root = fileURLToPath(new URL("../..", import.meta.url));
const cliProgram = fileURLToPath(new URL("../src/bin/catkinswitch.js", import.meta.url));
const startedAtMs = Date.now();

const print = (line: string): void => {
    process.stdout.write(`${((Date.now() - startedAtMs) / 1_000).toFixed(1).padStart(5)} s  ${line}\n`);
};

const expect = (condition: boolean, description: string): void => {
    if (!condition) {
        throw new Error(`expectation failed: ${description}`);
    }
    print(`ok  ${description}`);
};

interface CliResult {
    code: number | undefined;
    text: string;
}

const runCli = async (...args: string[]): Promise<CliResult> => {
    const child = spawn(process.execPath, [cliProgram, ...args], { stdio: ["ignore", "pipe", "pipe"] });
    let text = "";
    child.stdout.on("data", (chunk: Buffer) => {
        text += chunk.toString("utf8");
    });
    child.stderr.on("data", (chunk: Buffer) => {
        text += chunk.toString("utf8");
    });
    const code = await waitForExit(child);
    return { code, text: text.trim() };
};

const gangJob = {
    customer: "wedding-planners",
    service: "flight-models",
    shape: { taskCount: 16, acceleratorsPerTask: 1, adjacency: "rack" },
    declaredRunTimeMs: 60_000,
    checkpointable: true,
    work: { runTimeMs: 6_000 },
};

const publishTree = (cluster: LocalCluster, tree: string): Promise<CliResult> =>
    runCli("publish", tree, "--as", "operations", "--entry", cluster.schedulers()[0].httpAddress);

const publishExamples = async (cluster: LocalCluster, tree: string): Promise<void> => {
    const checked = await runCli("check", tree);
    expect(checked.code === 0, `the statements pass their check: ${checked.text}`);
    const published = await publishTree(cluster, tree);
    expect(published.code === 0, `both deployments are published: ${published.text}`);
    await waitUntil("version 1 in force everywhere", 8_000, async () => {
        const versions = await Promise.all(cluster.daemons.map(async daemon => {
            const dump = await sendJson<{ configuration: { version: number; }; }>(`${daemon.httpAddress}/v1/dump`);
            return dump.body.configuration.version;
        }));
        return versions.every(version => version === 1);
    });
    print("ok  version 1 is in force in every process");
};

const makeCalls = async (cluster: LocalCluster): Promise<void> => {
    const [first, second] = cluster.routers();
    const entry = ["--entry", first.httpAddress];
    const booking = await runCli(
        "call",
        "funeral-parlours",
        "booking",
        "--key",
        "order-1",
        "--body",
        "{\"doves\":12}",
        ...entry,
    );
    expect(booking.code === 0, `a funeral booking ran: ${booking.text}`);
    const quote = await runCli("call", "backyard-keepers", "quotes", "--body", "{\"hens\":4}", ...entry);
    expect(quote.code === 0, `a quote was answered: ${quote.text}`);
    const review = await runCli("call", "small-farms", "photo-reviews", "--body", "{\"photos\":3}", ...entry);
    expect(review.code === 0, `a photo review that may wait ran: ${review.text}`);
    const url = "/v1/customers/funeral-parlours/services/booking/calls";
    const headers = { "idempotency-key": "order-2" };
    const answers = await Promise.all(
        [first, second].map(router =>
            sendJson<{ outcome: string; }>(`${router.httpAddress}${url}`, { doves: 6, serviceMs: 200 }, { headers })
        ),
    );
    expect(
        answers.every(answer => answer.body.outcome === "done"),
        "the same key sent through two entry VMs is answered by both",
    );
    const runs = (await cluster.events()).filter(event => event.kind === "callStarted" && event.key === "order-2");
    expect(runs.length === 1, "the booking with that key ran once");
};

const readJob = async (cluster: LocalCluster, id: string): Promise<JobView> => {
    const answer = await sendJson<JobView>(`${cluster.schedulers()[1].httpAddress}/v1/jobs/${id}`);
    return answer.body;
};

const runGang = async (cluster: LocalCluster, tree: string): Promise<void> => {
    const file = join(tree, "gang.jsonc");
    await writeFile(file, JSON.stringify(gangJob));
    const submitted = await runCli("submit", file, "--key", "plan-1", "--entry", cluster.schedulers()[1].httpAddress);
    expect(submitted.code === 0, `a gang over two workers is accepted: ${submitted.text}`);
    const id = "wedding-planners.plan-1";
    await waitUntil("the gang is placed", 10_000, async () => (await readJob(cluster, id)).state === JobPhase.Running);
    const { workers } = await readJob(cluster, id);
    expect(workers.length === 2, `it runs on ${workers.join(" and ")}`);
    await waitUntil("the gang finished", 20_000, async () => (await readJob(cluster, id)).state === JobPhase.Succeeded);
    print("ok  the gang finished");
};

const zoneOutStatement = JSON.stringify({
    name: "zone-a-maintenance",
    owner: "operations",
    reason: "The roof of zone-a is being repaired.",
    availabilityZonesOut: ["zone-a"],
});

const takeZoneOut = async (cluster: LocalCluster, tree: string): Promise<void> => {
    const file = join(tree, "zone-a.intent.jsonc");
    await writeFile(file, zoneOutStatement);
    const out = await publishTree(cluster, tree);
    expect(out.code === 0, `zone-a is taken out of service: ${out.text}`);
    const explanation = await runCli("explain", "zone-a", "--entry", cluster.schedulers()[3].httpAddress);
    expect(explanation.text.includes("The roof of zone-a"), "explain states why zone-a is out of service");
    const zoneOutAtMs = Date.now();
    const ids = Array.from(Array(3).keys(), index => `plan-out-${index}`);
    await Promise.all(
        ids.map(key =>
            sendJson(`${cluster.schedulers()[4].httpAddress}/v1/jobs`, { ...gangJob, work: { runTimeMs: 500 } }, {
                headers: { "idempotency-key": key },
            })
        ),
    );
    await waitUntil("the gangs finished", 20_000, async () => {
        const records = await Promise.all(ids.map(key => readJob(cluster, `wedding-planners.${key}`)));
        return records.every(record => record.state === JobPhase.Succeeded);
    });
    const starts = (await cluster.events()).filter(event =>
        event.kind === "taskRunning" && event.availabilityZone === "zone-a" && event.atMs > zoneOutAtMs
    );
    expect(starts.length === 0, "three more gangs ran, none of them in zone-a");
    await rm(file);
    const restored = await publishTree(cluster, tree);
    expect(restored.code === 0, `zone-a is back in service: ${restored.text}`);
};

const main = async (): Promise<void> => {
    const tree = await mkdtemp(join(tmpdir(), "catkinswitch-demo-"));
    await cp(join(root, "examples"), tree, { recursive: true });
    const cluster = await startLocalCluster();
    print(`started the platform, 24 workers in 3 zones and ${cluster.daemons.length} daemons on 6 entry VMs`);
    let failure: unknown;
    try {
        await waitUntil("a planner knows all workers", readyTimeoutMs, async () => {
            const fleet = await sendJson<{ rows: { value: unknown[]; }[]; }>(
                `${cluster.platformAddress}/v1/table/rows?key=fleet`,
            );
            return fleet.body.rows.at(0)?.value.length === 24;
        });
        await publishExamples(cluster, tree);
        await makeCalls(cluster);
        await runGang(cluster, tree);
        await takeZoneOut(cluster, tree);
    }
    catch (error) {
        failure = error;
        print(`FAILED  ${String(error)}`);
    }
    const codes = await cluster.stop();
    await rm(tree, { recursive: true });
    if (failure === undefined) {
        expect(codes.every(code => code === 0), "every daemon stopped gracefully");
    }
    process.exitCode = failure === undefined ? 0 : 1;
};

void main().catch((error: unknown) => {
    print(`FAILED  ${String(error)}`);
    process.exitCode = 1;
});
