/** Starts the stand-ins and the daemons as processes on loopback, for the demo, the soak run and the tests. */
import type { ChildProcess } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { VmKind, VmState } from "../src/platform/types.js";
import type { Vm } from "../src/platform/types.js";
import type { PlatformSwitches } from "../standins/platform.js";
import type { WorkerEvent, WorkerSwitches } from "../standins/worker/types.js";
import { killChild, readFirstLine, runningChildren, startChild, waitForExit } from "./childProcesses.js";

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
    /** Seed of the faults that workers draw at random. @default 1 */
    seed?: number;
}

/** A daemon that runs as a process. */
export interface RunningDaemon {
    vm: string;
    role: "router" | "scheduler";
    zone: string;
    child: ChildProcess;
    httpAddress: string;
    peerAddress: string;
    /** Lines of its log so far. */
    log: string[];
}

/** The process that serves the workers of one zone. */
export interface WorkerProcess {
    zone: string;
    child: ChildProcess;
    workers: { name: string; httpAddress: string; }[];
}

/** Platform, workers and daemons, all on this machine. */
export interface LocalCluster {
    platformAddress: string;
    platformChild: ChildProcess;
    zones: string[];
    workers: WorkerProcess[];
    daemons: RunningDaemon[];
    routers(): RunningDaemon[];
    schedulers(): RunningDaemon[];
    /** Sends SIGTERM to a daemon and waits for its exit code. */
    stopDaemon(daemon: RunningDaemon): Promise<number | undefined>;
    /** Kills a daemon with SIGKILL. */
    killDaemon(daemon: RunningDaemon): Promise<void>;
    /** Starts a new process, on the same ports, for a daemon that has ended. */
    restartDaemon(daemon: RunningDaemon): Promise<RunningDaemon>;
    /** Switches faults of the platform stand-in. */
    setPlatformSwitches(switches: Partial<PlatformSwitches>): Promise<void>;
    /** Switches faults of one worker. */
    setWorkerSwitches(name: string, switches: Partial<WorkerSwitches>): Promise<void>;
    /** Changes the entry of one VM in the platform's list. */
    updateVm(name: string, change: Partial<Vm>): Promise<void>;
    /** Events of all workers, ordered by time. */
    events(): Promise<WorkerEvent[]>;
    /** Stops the daemons gracefully and kills the stand-ins; resolves with the daemons' exit codes. */
    stop(): Promise<(number | undefined)[]>;
}

/** Sends a JSON request and returns status and parsed body of the answer. */
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

const startWorkers = async (zone: string, count: number, seed: number): Promise<WorkerProcess> => {
    const child = startChild("standins/worker/main.js", [
        "--zone",
        zone,
        "--count",
        String(count),
        "--seed",
        String(seed),
    ]);
    const ready = await readFirstLine<{ workers: { name: string; port: number; }[]; }>(child);
    const workers = ready.workers.map(worker => ({
        name: worker.name,
        httpAddress: `http://127.0.0.1:${worker.port}`,
    }));
    return { zone, child, workers };
};

interface DaemonSpec {
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

/** Returns a function that writes the settings file of a daemon and starts it. */
const createDaemonStarter =
    (settingsDirectory: string, platformAddress: string, options: LocalClusterOptions) =>
    async (spec: DaemonSpec): Promise<RunningDaemon> => {
        const settings = {
            vm: spec.vm,
            availabilityZone: spec.zone,
            http: { host: "127.0.0.1", port: spec.httpPort },
            peer: { host: "127.0.0.1", port: spec.peerPort },
            platformAddress,
            peerSeeds: spec.peerSeeds,
            ...(spec.role === "router" ? options.routerSettings : options.schedulerSettings),
        };
        const file = join(settingsDirectory, `${spec.vm}-${spec.role}.jsonc`);
        await writeFile(file, JSON.stringify(settings, undefined, 4));
        const child = startChild(`src/bin/${spec.role}.js`, [file]);
        const log: string[] = [];
        collectLog(child, log);
        const ready = await readFirstLine<{ httpPort: number; peerPort: number; }>(child).catch((error: unknown) => {
            throw new Error(`${spec.vm} ${spec.role}: ${String(error)}\n${log.join("\n")}`);
        });
        return {
            ...spec,
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

/** Starts a local cluster and registers its VMs with the platform; kills every started process if one cannot start. */
export const startLocalCluster = async (options: LocalClusterOptions = {}): Promise<LocalCluster> => {
    const settingsDirectory = await mkdtemp(join(tmpdir(), "catkinswitch-"));
    const existing = new Set(runningChildren());
    try {
        return await startProcesses(options, settingsDirectory);
    }
    catch (error) {
        await Promise.all(runningChildren().filter(child => !existing.has(child)).map(killChild));
        await rm(settingsDirectory, { recursive: true });
        throw error;
    }
};

const startProcesses = async (options: LocalClusterOptions, settingsDirectory: string): Promise<LocalCluster> => {
    const zones = options.zones ?? ["zone-a", "zone-b", "zone-c"];
    const platformChild = startChild("standins/platform.js", []);
    const { listening } = await readFirstLine<{ listening: number; }>(platformChild);
    const platformAddress = `http://127.0.0.1:${listening}`;
    const workers = await Promise.all(
        zones.map((zone, index) => startWorkers(zone, options.workersPerZone ?? 8, (options.seed ?? 1) * 10 + index)),
    );
    const startDaemon = createDaemonStarter(settingsDirectory, platformAddress, options);
    const entryNames = zones.flatMap(zone =>
        Array.from(Array(options.entryVmsPerZone ?? 2).keys(), index => ({ zone, vm: `entry-${zone}-${index + 1}` }))
    );
    const specs = entryNames.flatMap(({ zone, vm }) =>
        (["scheduler", "router"] as const).map(role => ({ vm, zone, role, httpPort: 0, peerPort: 0, peerSeeds: {} }))
    );
    const daemons = await Promise.all(specs.map(startDaemon));
    let vms = [
        ...toEntryVms(daemons),
        ...workers.flatMap(zone => zone.workers.map(worker => toEndpointVm(zone.zone, worker))),
    ];
    const publishVmList = async (): Promise<void> => {
        await sendJson(`${platformAddress}/admin/vms`, { vms });
    };
    await publishVmList();

    const findWorkerAddress = (name: string): string => {
        const worker = workers.flatMap(zone => zone.workers).find(candidate => candidate.name === name);
        if (worker === undefined) {
            throw new Error(`worker "${name}" does not exist in the local cluster`);
        }
        return worker.httpAddress;
    };

    const findPeerSeeds = (daemon: RunningDaemon): Record<string, string> =>
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
        killDaemon: daemon => killChild(daemon.child),
        restartDaemon: async daemon => {
            const restarted = await startDaemon({
                vm: daemon.vm,
                role: daemon.role,
                zone: daemon.zone,
                httpPort: portOf(daemon.httpAddress),
                peerPort: portOf(daemon.peerAddress),
                peerSeeds: findPeerSeeds(daemon),
            });
            daemons[daemons.indexOf(daemon)] = restarted;
            return restarted;
        },
        setPlatformSwitches: async switches => {
            await sendJson(`${platformAddress}/admin/switches`, switches);
        },
        setWorkerSwitches: async (name, switches) => {
            await sendJson(`${findWorkerAddress(name)}/admin/switches`, switches);
        },
        updateVm: async (name, change) => {
            vms = vms.map(vm => vm.name === name ? { ...vm, ...change } : vm);
            await publishVmList();
        },
        events: async () => {
            const lists = await Promise.all(
                workers.map(zone => sendJson<WorkerEvent[]>(`${zone.workers[0].httpAddress}/admin/events`)),
            );
            return lists.flatMap(list => list.body).sort((left, right) => left.atMs - right.atMs);
        },
        stop: async () => {
            const codes = await Promise.all(daemons.map(stopDaemon));
            await Promise.all([...workers.map(zone => killChild(zone.child)), killChild(platformChild)]);
            await rm(settingsDirectory, { recursive: true });
            return codes;
        },
    };
};

const pollPeriodMs = 50;

/** Waits until a condition holds; throws an error with its name after `timeoutMs`. */
export const waitUntil = async (
    name: string,
    timeoutMs: number,
    condition: () => Promise<boolean> | boolean,
): Promise<void> => {
    const deadlineAtMs = Date.now() + timeoutMs;
    while (!await condition()) {
        if (Date.now() > deadlineAtMs) {
            throw new Error(`timed out after ${timeoutMs} ms waiting until: ${name}`);
        }
        await new Promise(resolve => setTimeout(resolve, pollPeriodMs));
    }
};
