/** Starts the stand-ins and the daemons as processes on loopback, for the demo, the soak run and tests. */
import type { ChildProcess } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { VmKind, VmState } from "../src/platform/types.js";
import type { Vm } from "../src/platform/types.js";
import type { PlatformSwitches } from "../standins/platform.js";
import type { WorkerEvent, WorkerSwitches } from "../standins/worker/types.js";
import { firstLine, runningChildren, startChild, stopChild, waitForExit } from "./childProcesses.js";

/** Options of {@link startLocalCluster}. */
export interface LocalClusterOptions {
    /** @default ["zone-a", "zone-b", "zone-c"] */
    zones?: string[];
    /** @default 8 */
    workersPerZone?: number;
    /** @default 2 */
    entryVmsPerZone?: number;
    /** Settings given to every scheduler. @default {} */
    schedulerSettings?: Record<string, number>;
    /** Settings given to every router. @default {} */
    routerSettings?: Record<string, number>;
    /** Seed of the workers' faults. @default 1 */
    seed?: number;
}

/** A daemon running as a process. */
export interface RunningDaemon {
    vm: string;
    role: "router" | "scheduler";
    zone: string;
    child: ChildProcess;
    httpAddress: string;
    peerAddress: string;
    /** Lines that it wrote to its log. */
    log: string[];
}

/** Workers of one zone, served by one process. */
export interface RunningWorkers {
    zone: string;
    child: ChildProcess;
    workers: { name: string; httpAddress: string; }[];
}

/** A whole local system. */
export interface LocalCluster {
    platformAddress: string;
    platformChild: ChildProcess;
    zones: string[];
    workers: RunningWorkers[];
    daemons: RunningDaemon[];
    routers(): RunningDaemon[];
    schedulers(): RunningDaemon[];
    /** Sends SIGTERM and waits for the exit code. */
    stopDaemon(daemon: RunningDaemon): Promise<number | undefined>;
    /** Kills at once. */
    killDaemon(daemon: RunningDaemon): Promise<void>;
    /** Starts a new process for an entry VM whose daemon ended. */
    restartDaemon(daemon: RunningDaemon): Promise<RunningDaemon>;
    setPlatform(switches: Partial<PlatformSwitches>): Promise<void>;
    setWorker(name: string, switches: Partial<WorkerSwitches>): Promise<void>;
    /** Changes what the platform lists of one VM. */
    setVm(name: string, change: Partial<Vm>): Promise<void>;
    /** Everything that happened on the workers. */
    events(): Promise<WorkerEvent[]>;
    /** Stops everything, daemons gracefully; resolves with their exit codes. */
    stop(): Promise<(number | undefined)[]>;
}

/** Sends a JSON request and returns the parsed answer. */
export const sendJson = async <Value>(
    url: string,
    body?: unknown,
    options: { method?: "GET" | "POST" | "DELETE"; headers?: Record<string, string>; } = {},
): Promise<{ status: number; body: Value; }> => {
    const response = await request(url, {
        method: options.method ?? (body === undefined ? "GET" : "POST"),
        headers: { "content-type": "application/json", ...options.headers },
        body: body === undefined ? undefined : JSON.stringify(body),
    });
    return { status: response.statusCode, body: await response.body.json() as Value };
};

const startWorkers = async (zone: string, count: number, seed: number): Promise<RunningWorkers> => {
    const child = startChild("standins/worker/main.js", [
        "--zone",
        zone,
        "--count",
        String(count),
        "--seed",
        String(seed),
    ]);
    const ready = await firstLine<{ workers: { name: string; port: number; }[]; }>(child);
    const workers = ready.workers.map(worker => ({
        name: worker.name,
        httpAddress: `http://127.0.0.1:${worker.port}`,
    }));
    return { zone, child, workers };
};

interface DaemonPlan {
    vm: string;
    role: "router" | "scheduler";
    zone: string;
    httpPort: number;
    peerPort: number;
    peerSeeds: Record<string, string>;
}

const collectLog = (child: ChildProcess, log: string[]): void => {
    child.stderr?.on("data", (chunk: Buffer) => log.push(...chunk.toString("utf8").split("\n").filter(Boolean)));
};

/** Creates the starter of daemons, which writes each one's settings file first. */
const createDaemonStarter =
    (settingsDirectory: string, platformAddress: string, options: LocalClusterOptions) =>
    async (plan: DaemonPlan): Promise<RunningDaemon> => {
        const settings = {
            vm: plan.vm,
            availabilityZone: plan.zone,
            http: { host: "127.0.0.1", port: plan.httpPort },
            peer: { host: "127.0.0.1", port: plan.peerPort },
            platformAddress,
            peerSeeds: plan.peerSeeds,
            ...(plan.role === "router" ? options.routerSettings : options.schedulerSettings),
        };
        const file = join(settingsDirectory, `${plan.vm}-${plan.role}.jsonc`);
        await writeFile(file, JSON.stringify(settings, undefined, 4));
        const child = startChild(`src/bin/${plan.role}.js`, [file]);
        const log: string[] = [];
        collectLog(child, log);
        const ready = await firstLine<{ httpPort: number; peerPort: number; }>(child).catch((error: unknown) => {
            throw new Error(`${plan.vm} ${plan.role}: ${String(error)}\n${log.join("\n")}`);
        });
        return {
            ...plan,
            child,
            httpAddress: `http://127.0.0.1:${ready.httpPort}`,
            peerAddress: `127.0.0.1:${ready.peerPort}`,
            log,
        };
    };

const toEndpointVm = (zone: string, worker: { name: string; httpAddress: string; }): Vm => ({
    name: worker.name,
    kind: VmKind.Endpoint,
    state: VmState.Live,
    availabilityZone: zone,
    incarnation: 1,
    httpAddress: worker.httpAddress,
});

const toEntryVms = (daemons: readonly RunningDaemon[]): Vm[] =>
    daemons.filter(daemon => daemon.role === "scheduler").map(scheduler => ({
        name: scheduler.vm,
        kind: VmKind.Entry,
        state: VmState.Live,
        availabilityZone: scheduler.zone,
        incarnation: 1,
        httpAddress: scheduler.httpAddress,
        schedulerPeerAddress: scheduler.peerAddress,
        routerPeerAddress: daemons.find(daemon => daemon.role === "router" && daemon.vm === scheduler.vm)?.peerAddress,
    }));

const portOf = (address: string): number => Number(address.slice(address.lastIndexOf(":") + 1));

/** Starts a local system and registers its VMs with the platform; what was started ends when the rest cannot. */
export const startLocalCluster = async (options: LocalClusterOptions = {}): Promise<LocalCluster> => {
    const settingsDirectory = await mkdtemp(join(tmpdir(), "catkinswitch-"));
    const before = new Set(runningChildren());
    try {
        return await startProcesses(options, settingsDirectory);
    }
    catch (error) {
        await Promise.all(runningChildren().filter(child => !before.has(child)).map(stopChild));
        await rm(settingsDirectory, { recursive: true });
        throw error;
    }
};

const startProcesses = async (options: LocalClusterOptions, settingsDirectory: string): Promise<LocalCluster> => {
    const zones = options.zones ?? ["zone-a", "zone-b", "zone-c"];
    const platformChild = startChild("standins/platform.js", []);
    const { listening } = await firstLine<{ listening: number; }>(platformChild);
    const platformAddress = `http://127.0.0.1:${listening}`;
    const workers = await Promise.all(
        zones.map((zone, index) => startWorkers(zone, options.workersPerZone ?? 8, (options.seed ?? 1) * 10 + index)),
    );
    const startDaemon = createDaemonStarter(settingsDirectory, platformAddress, options);
    const entryNames = zones.flatMap(zone =>
        Array.from(Array(options.entryVmsPerZone ?? 2).keys(), index => ({ zone, vm: `entry-${zone}-${index + 1}` }))
    );
    const plans = entryNames.flatMap(({ zone, vm }) =>
        (["scheduler", "router"] as const).map(role => ({ vm, zone, role, httpPort: 0, peerPort: 0, peerSeeds: {} }))
    );
    const daemons = await Promise.all(plans.map(startDaemon));
    let vms = [
        ...toEntryVms(daemons),
        ...workers.flatMap(zone => zone.workers.map(worker => toEndpointVm(zone.zone, worker))),
    ];
    const publishVms = async (): Promise<void> => {
        await sendJson(`${platformAddress}/admin/vms`, { vms });
    };
    await publishVms();

    const workerAddress = (name: string): string => {
        const worker = workers.flatMap(zone => zone.workers).find(candidate => candidate.name === name);
        if (worker === undefined) {
            throw new Error(`no worker ${name}`);
        }
        return worker.httpAddress;
    };

    const seedsFor = (daemon: RunningDaemon): Record<string, string> =>
        Object.fromEntries(
            daemons.filter(other => other.role === daemon.role && other.vm !== daemon.vm)
                .map(other => [other.vm, other.peerAddress]),
        );

    const stopDaemon = async (daemon: RunningDaemon): Promise<number | undefined> => {
        daemon.child.kill("SIGTERM");
        return waitForExit(daemon.child);
    };

    return {
        platformAddress,
        platformChild,
        zones,
        workers,
        daemons,
        routers: () => daemons.filter(daemon => daemon.role === "router"),
        schedulers: () => daemons.filter(daemon => daemon.role === "scheduler"),
        stopDaemon,
        killDaemon: daemon => stopChild(daemon.child),
        restartDaemon: async daemon => {
            const restarted = await startDaemon({
                vm: daemon.vm,
                role: daemon.role,
                zone: daemon.zone,
                httpPort: portOf(daemon.httpAddress),
                peerPort: portOf(daemon.peerAddress),
                peerSeeds: seedsFor(daemon),
            });
            daemons[daemons.indexOf(daemon)] = restarted;
            return restarted;
        },
        setPlatform: async switches => {
            await sendJson(`${platformAddress}/admin/switches`, switches);
        },
        setWorker: async (name, switches) => {
            await sendJson(`${workerAddress(name)}/admin/switches`, switches);
        },
        setVm: async (name, change) => {
            vms = vms.map(vm => vm.name === name ? { ...vm, ...change } : vm);
            await publishVms();
        },
        events: async () => {
            const lists = await Promise.all(
                workers.map(zone => sendJson<WorkerEvent[]>(`${zone.workers[0].httpAddress}/admin/events`)),
            );
            return lists.flatMap(list => list.body).sort((left, right) => left.atMs - right.atMs);
        },
        stop: async () => {
            const codes = await Promise.all(daemons.map(stopDaemon));
            await Promise.all([...workers.map(zone => stopChild(zone.child)), stopChild(platformChild)]);
            await rm(settingsDirectory, { recursive: true });
            return codes;
        },
    };
};

const pollPeriodMs = 50;

/** Waits until a condition holds; throws with its name after the time is up. */
export const waitUntil = async (
    name: string,
    timeoutMs: number,
    condition: () => Promise<boolean> | boolean,
): Promise<void> => {
    const deadlineAtMs = Date.now() + timeoutMs;
    while (!await condition()) {
        if (Date.now() > deadlineAtMs) {
            throw new Error(`not within ${timeoutMs} ms: ${name}`);
        }
        await new Promise(resolve => setTimeout(resolve, pollPeriodMs));
    }
};
