/** Measures memory, CPU and network use of the daemons at several numbers of workers; prints a report for each. */
import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";
import { sendJson, startLocalCluster } from "./localCluster.js";
import type { LocalCluster, RunningDaemon } from "./localCluster.js";

interface Usage {
    memoryMb: number;
    cpuMs: number;
}

const zones = ["zone-a", "zone-b", "zone-c", "zone-d", "zone-e", "zone-f"];
const warmUpMs = 12_000;
const measurementMs = 12_000;

/** Reads the bytes received on the loopback interface since the machine started. */
const readLoopbackBytes = (): number => {
    const line = readFileSync("/proc/net/dev", "utf8").split("\n").find(each => each.trim().startsWith("lo:"));
    return Number(line?.trim().split(/\s+/)[1]);
};

const readUsage = async (daemon: RunningDaemon): Promise<Usage> => {
    const dump = await sendJson<Usage>(`${daemon.httpAddress}/v1/dump`);
    return { memoryMb: dump.body.memoryMb, cpuMs: dump.body.cpuMs };
};

const readUsages = (daemons: readonly RunningDaemon[]): Promise<Usage[]> => Promise.all(daemons.map(readUsage));

const submitJobs = async (cluster: LocalCluster, count: number): Promise<void> => {
    const body = { baseVersion: 0, publisher: "capacity", intents: [capacityIntent] };
    await sendJson(`${cluster.schedulers()[0].httpAddress}/v1/configurations`, body);
    for (let index = 0; index < count; index++) {
        const scheduler = cluster.schedulers()[index % cluster.schedulers().length];
        await sendJson(`${scheduler.httpAddress}/v1/jobs`, jobBody, { headers: { "idempotency-key": `job-${index}` } });
    }
};

const capacityIntent = {
    file: "capacity.intent.jsonc",
    line: 1,
    intent: {
        name: "batch",
        owner: "capacity",
        reason: "measurement",
        customer: "batch",
        service: "batch",
        jobs: { urgency: "normal" },
    },
};

const jobBody = {
    customer: "batch",
    service: "batch",
    shape: { taskCount: 16, acceleratorsPerTask: 1, adjacency: "rack" },
    declaredRunTimeMs: 3_600_000,
    work: { runTimeMs: 3_600_000 },
};

const formatUsage = (name: string, before: readonly Usage[], after: readonly Usage[]): string => {
    const memory = after.map(usage => usage.memoryMb);
    const cpu = after.map((usage, index) => (usage.cpuMs - before[index].cpuMs) / measurementMs * 100);
    const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;
    return `${name}: memory ${mean(memory).toFixed(0)} MB (max ${Math.max(...memory)}), `
        + `CPU ${mean(cpu).toFixed(2)} % (max ${Math.max(...cpu).toFixed(2)})`;
};

const measure = async (
    workersPerZone: number,
    jobs: number,
    schedulerSettings: Record<string, number>,
): Promise<void> => {
    const { heartbeatMs, pollMs } = schedulerSettings;
    const routerSettings = { heartbeatMs, pollMs };
    const cluster = await startLocalCluster({
        zones,
        workersPerZone,
        entryVmsPerZone: 1,
        schedulerSettings,
        routerSettings,
    });
    await sleep(warmUpMs / 2);
    await submitJobs(cluster, jobs);
    await sleep(warmUpMs);
    const [schedulersBefore, routersBefore] = [
        await readUsages(cluster.schedulers()),
        await readUsages(cluster.routers()),
    ];
    const bytesBefore = readLoopbackBytes();
    await sleep(measurementMs);
    const bytes = readLoopbackBytes() - bytesBefore;
    const [schedulersAfter, routersAfter] = [
        await readUsages(cluster.schedulers()),
        await readUsages(cluster.routers()),
    ];
    const daemons = cluster.daemons.length;
    process.stdout.write(`${workersPerZone * zones.length} workers, ${jobs} gangs\n`);
    process.stdout.write(`  ${formatUsage("schedulers", schedulersBefore, schedulersAfter)}\n`);
    process.stdout.write(`  ${formatUsage("routers", routersBefore, routersAfter)}\n`);
    process.stdout.write(`  network traffic ${(bytes / measurementMs / daemons).toFixed(2)} KB/s per daemon\n`);
    await cluster.stop();
};

const main = async (): Promise<void> => {
    const { values } = parseArgs({
        options: {
            lease: { type: "string", default: "30000" },
            heartbeat: { type: "string", default: "3000" },
            poll: { type: "string", default: "1000" },
            jobs: { type: "string", default: "0" },
            sizes: { type: "string", default: "8,32,64,128" },
        },
    });
    const settings = {
        taskLeaseMs: Number(values.lease),
        heartbeatMs: Number(values.heartbeat),
        pollMs: Number(values.poll),
    };
    for (const size of values.sizes.split(",")) {
        await measure(Number(size), Number(values.jobs), settings);
    }
};

void main();
