/** Soak test: runs the daemons as processes under load, injects seeded random faults and checks the invariants. */
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { collectIntents } from "../src/configuration/queries/collect.js";
import type { LocatedIntent } from "../src/configuration/queries/collect.js";
import type { Snapshot } from "../src/configuration/types.js";
import type { JobView } from "../src/jobs/queries/jobView.js";
import { isEnded } from "../src/jobs/types.js";
import { createRandom } from "../src/utils/random.js";
import { readyTimeoutMs } from "./childProcesses.js";
import { sendJson, startLocalCluster, waitUntil } from "./localCluster.js";
import type { LocalCluster } from "./localCluster.js";
import { checkInvariants } from "./soak/checks.js";
import { sampleVersions, startFaultInjection } from "./soak/faults.js";
import type { FaultContext } from "./soak/faults.js";
import { startLoad } from "./soak/load.js";
import { createSoakRecord } from "./soak/record.js";
import type { SoakRecord } from "./soak/record.js";

const jobsEndTimeoutMs = 60_000;
const versionSamplePeriodMs = 400;
const faultPeriodMs = 1_200;
const readinessPeriodMs = 100;

const createZoneOutIntent = (zone: string): LocatedIntent => ({
    intent: { name: "zone-out", owner: "operations", reason: "soak run", availabilityZonesOut: [zone] },
    file: "zone.intent.jsonc",
    line: 1,
});

const createPublisher = (cluster: LocalCluster, record: SoakRecord, intents: LocatedIntent[]) => {
    let baseVersion = 0;
    return async (zoneOut: string | undefined): Promise<boolean> => {
        for (const scheduler of cluster.schedulers()) {
            const body = {
                baseVersion,
                publisher: "soak",
                intents: zoneOut === undefined ? intents : [...intents, createZoneOutIntent(zoneOut)],
            };
            const answer = await sendJson<Snapshot>(`${scheduler.httpAddress}/v1/configurations`, body).catch(() =>
                undefined
            );
            if (answer?.status === 200) {
                baseVersion = answer.body.version;
                record.accepted.push({ version: baseVersion, atMs: Date.now() });
                return true;
            }
            const current = await sendJson<Snapshot>(`${scheduler.httpAddress}/v1/configurations`).catch(() =>
                undefined
            );
            baseVersion = Math.max(baseVersion, current?.body.version ?? 0);
        }
        return false;
    };
};

/** Polls the readiness of the routers as the platform's load balancer does. */
const startLoadBalancer = (cluster: LocalCluster) => {
    const notReady = new Set<string>();
    const timer = setInterval(() => {
        for (const router of cluster.routers()) {
            sendJson(`${router.httpAddress}/v1/ready`).then(
                answer => answer.status === 200 ? notReady.delete(router.vm) : notReady.add(router.vm),
                () => notReady.add(router.vm),
            );
        }
    }, readinessPeriodMs);
    return {
        ready: () => cluster.routers().filter(router => !notReady.has(router.vm)),
        stop: () => clearInterval(timer),
    };
};

const readEndedJobs = async (cluster: LocalCluster, record: SoakRecord): Promise<Set<string>> => {
    const [scheduler] = cluster.schedulers();
    const answers = await Promise.all(
        record.jobs.map(({ id }) => sendJson<JobView>(`${scheduler.httpAddress}/v1/jobs/${id}`)),
    );
    return new Set(
        answers.filter(answer => answer.status === 200 && isEnded(answer.body.state)).map(answer => answer.body.id),
    );
};

const waitForJobsToEnd = async (cluster: LocalCluster, record: SoakRecord): Promise<Set<string>> => {
    await waitUntil("all jobs ended", jobsEndTimeoutMs, async () => {
        const ended = await readEndedJobs(cluster, record);
        return record.jobs.every(job => ended.has(job.id));
    }).catch(() => {});
    return readEndedJobs(cluster, record);
};

const printReport = (record: SoakRecord, results: ReturnType<typeof checkInvariants>, seed: number): number => {
    const outcomes: Record<string, number> = {};
    record.calls.forEach(call => {
        outcomes[call.outcome] = (outcomes[call.outcome] ?? 0) + 1;
    });
    process.stdout.write(
        `seed ${seed}: ${record.calls.length} calls ${JSON.stringify(outcomes)}, ${record.jobs.length} jobs\n`,
    );
    process.stdout.write(`faults ${JSON.stringify(record.faults)}\n`);
    for (const result of results) {
        const status = result.violations.length === 0 ? "ok " : "BAD";
        process.stdout.write(
            `${status} ${result.invariant}: ${result.checked} checked, ${result.violations.length} violations\n`,
        );
        result.violations.slice(0, 10).forEach(violation => process.stdout.write(`      ${violation}\n`));
    }
    return results.reduce((sum, result) => sum + result.violations.length, 0);
};

const main = async (): Promise<void> => {
    const { values } = parseArgs({
        options: {
            seed: { type: "string", default: "1" },
            seconds: { type: "string", default: "120" },
            log: { type: "string" },
        },
    });
    const seed = Number(values.seed);
    const random = createRandom(seed);
    const record = createSoakRecord();
    const cluster = await startLocalCluster({ seed, workersPerZone: 4 });
    const examples = await collectIntents(fileURLToPath(new URL("../../examples", import.meta.url)));
    const unavailable = new Set<string>();
    const publish = createPublisher(cluster, record, examples.intents);
    const context: FaultContext = { cluster, record, random, unavailable, publish };
    await waitUntil("the first configuration was accepted", readyTimeoutMs, () => publish(undefined));
    await sleep(2_000);

    const balancer = startLoadBalancer(cluster);
    const versionSampler = setInterval(() => void sampleVersions(context), versionSamplePeriodMs);
    const stopLoad = startLoad(cluster, balancer.ready, record, random);
    const stopFaults = startFaultInjection(context, faultPeriodMs);
    await sleep(Number(values.seconds) * 1_000);
    await stopFaults();
    await stopLoad();
    const ended = await waitForJobsToEnd(cluster, record);
    clearInterval(versionSampler);
    balancer.stop();
    const violations = printReport(record, checkInvariants(record, await cluster.events(), ended), seed);
    if (values.log !== undefined) {
        const { writeFile } = await import("node:fs/promises");
        const logs = cluster.daemons.flatMap(daemon => daemon.log.map(line => `${daemon.vm}/${daemon.role} ${line}`));
        await writeFile(
            values.log,
            [...logs, ...(await cluster.events()).map(event => JSON.stringify(event))].join("\n"),
        );
    }
    await cluster.stop();
    process.exitCode = violations === 0 ? 0 : 1;
};

void main();
