/** Measures what a daemon costs as the number of workers grows; prints one line per point. */
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
const settleMs = 12_000;
const measureMs = 12_000;

/** Bytes that passed the loopback interface since the machine started. */
const loopbackBytes = (): number => {
    const line = readFileSync("/proc/net/dev", "utf8").split("\n").find(each => each.trim().startsWith("lo:"));
    return Number(line?.trim().split(/\s+/)[1]);
};

const usageOf = async (daemon: RunningDaemon): Promise<Usage> => {
    const dump = await sendJson<Usage>(`${daemon.httpAddress}/v1/dump`);
    return { memoryMb: dump.body.memoryMb, cpuMs: dump.body.cpuMs };
};

const usages = (daemons: readonly RunningDaemon[]): Promise<Usage[]> => Promise.all(daemons.map(usageOf));

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

const describe = (name: string, before: readonly Usage[], after: readonly Usage[]): string => {
    const memory = after.map(usage => usage.memoryMb);
    const cpu = after.map((usage, index) => (usage.cpuMs - before[index].cpuMs) / measureMs * 100);
    const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;
    return `${name}: memory ${mean(memory).toFixed(0)} MB (most ${Math.max(...memory)}), `
        + `processor ${mean(cpu).toFixed(2)} % (most ${Math.max(...cpu).toFixed(2)})`;
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
    await sleep(settleMs / 2);
    await submitJobs(cluster, jobs);
    await sleep(settleMs);
    const [schedulersBefore, routersBefore] = [await usages(cluster.schedulers()), await usages(cluster.routers())];
    const bytesBefore = loopbackBytes();
    await sleep(measureMs);
    const bytes = loopbackBytes() - bytesBefore;
    const [schedulersAfter, routersAfter] = [await usages(cluster.schedulers()), await usages(cluster.routers())];
    const daemons = cluster.daemons.length;
    process.stdout.write(`${workersPerZone * zones.length} workers, ${jobs} gangs running\n`);
    process.stdout.write(`  ${describe("schedulers", schedulersBefore, schedulersAfter)}\n`);
    process.stdout.write(`  ${describe("routers", routersBefore, routersAfter)}\n`);
    process.stdout.write(`  traffic ${(bytes / measureMs / daemons).toFixed(2)} KB/s per daemon\n`);
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
