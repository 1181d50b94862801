/** Starts a small deployment on loopback: stand-ins of the store and of workers, and entry VMs as separate processes. */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { startTableServer } from "./tableServer.js";
import type { TableServer } from "./tableServer.js";
import { startWorkerServer } from "./workerServer.js";
import type { WorkerEvent, WorkerServer, WorkerServerOptions } from "./workerServer.js";

/** Options of {@link startDeployment}. */
export interface DeploymentOptions {
    /** Folder of the case, in which `record.txt` is written. */
    folder: string;
    workerIds: readonly string[];
    vmCount: number;
    /** Number of runs of a task that may fail before its job fails. */
    maxAttempts: number;
}

/** One entry VM's process. */
export interface EntryVm {
    name: string;
    callers: string;
    readiness: string;
    /** Settings file. */
    file: string;
    child: ChildProcess;
}

/** An answer to a caller. */
export interface CallerAnswer {
    /** 0 if there was no answer. */
    status: number;
    body: unknown;
}

/** Where a worker is, and the port of an earlier life of its machine. */
export type WorkerPlace = Pick<WorkerServerOptions, "zone" | "rack" | "port">;

/** The deployment. */
export interface Deployment {
    table: TableServer;
    workers: WorkerServer[];
    vms: EntryVm[];
    events: WorkerEvent[];
    /** Whether every run that starts on a worker now fails. */
    failingWorkers: Set<string>;
    note(text: string): void;
    call(
        vm: EntryVm,
        method: "GET" | "POST" | "DELETE",
        path: string,
        body?: unknown,
        tenant?: Tenant,
    ): Promise<CallerAnswer>;
    /** Hands a job in, at each VM in turn until one accepts it. */
    submit(jobId: string, body: unknown, tenant?: Tenant): Promise<boolean>;
    /** Signals the process of an entry VM; `SIGKILL` ends it for good. */
    signal(vm: EntryVm, signal: NodeJS.Signals): void;
    /** Starts the process of an entry VM again, with the same settings. */
    restart(vm: EntryVm): void;
    /** Starts a worker; with a port it is the next life of the machine that had it. */
    addWorker(id: string, place?: WorkerPlace): Promise<WorkerServer>;
    stop(): void;
}

/** Exit codes of a case. */
export enum Verdict {
    Held = 0,
    Broken = 1,
    NotRun = 2,
}

const callTimeoutMs = 3_000;
const readyTimeoutMs = 30_000;
/** Time that a VM alone takes to acquire the term and to begin to plan. */
const untilPlanningMs = 3_500;
const host = "doves.example";

/** A tenant, with the queue that it uses. */
export interface Tenant {
    name: string;
    apiKey: string;
    prefix: string;
    priority: number;
    guaranteedGpus: number;
}

/** Tenant of the urgent queue; calls are made in its name by default. */
export const hotel: Tenant = {
    name: "hotel",
    apiKey: "key-1",
    prefix: "/bookings/",
    priority: 0,
    guaranteedGpus: 8,
};

/** Another tenant with an urgent queue and a guarantee. */
export const winery: Tenant = {
    name: "winery",
    apiKey: "key-3",
    prefix: "/winery/",
    priority: 0,
    guaranteedGpus: 8,
};

/** Tenant of the queue with the lowest priority. */
export const ledger: Tenant = {
    name: "ledger",
    apiKey: "key-2",
    prefix: "/ledger/",
    priority: 2,
    guaranteedGpus: 0,
};

const findFreePort = (): Promise<number> =>
    new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, "127.0.0.1", () => {
            const address = server.address();
            const port = typeof address === "object" && address !== null ? address.port : 0;
            server.close(() => resolve(port));
        });
    });

/** The words of the command that the deploy file names. */
const readRunCommand = (): string[] => {
    const line = /^run = "(.*)"$/m.exec(readFileSync("deploy/system.toml", "utf8"));
    if (line === null) {
        throw new Error("deploy/system.toml names no command");
    }
    return line[1].split(" ");
};

const configurationOf = (maxAttempts: number): unknown => ({
    version: 3,
    routes: [hotel, winery, ledger].map(({ name, prefix, priority }) => ({
        name: `r-${name}`,
        host,
        prefix,
        service: "doves",
        priority,
        "max-attempts": maxAttempts,
        "slack-factor": 3,
        "target-latency-ms": 1_000,
        public: false,
    })),
    services: [{ name: "doves" }],
    limits: { "max-body-bytes": 262_144 },
    tenants: [hotel, winery, ledger].map(({ name, apiKey, guaranteedGpus }) => ({
        name,
        "api-keys": [apiKey],
        ...(guaranteedGpus === 0 ? {} : { guaranteed: { gpu: guaranteedGpus } }),
    })),
});

const spawnVm = (file: string): ChildProcess => {
    const [program, ...args] = readRunCommand();
    const child = spawn(program === "node" ? process.execPath : program, args, {
        env: { PATH: process.env.PATH, HOME: process.env.HOME, CATKINSWITCH_SETTINGS: file },
        stdio: ["ignore", "pipe", "inherit"],
    });
    child.stdout?.on("data", (chunk: Buffer) => appendFileSync(`${file}.log`, chunk));
    return child;
};

const startVm = async (name: string, directory: string, table: TableServer): Promise<EntryVm> => {
    const callers = `127.0.0.1:${await findFreePort()}`;
    const readiness = `127.0.0.1:${await findFreePort()}`;
    const file = join(directory, `${name}.jsonc`);
    const settings = {
        vm: name,
        availabilityZone: "north-a",
        callers,
        readiness,
        operationsPort: await findFreePort(),
        platformAddress: `127.0.0.1:${table.port}`,
        cpuShare: 0.675,
        coreCount: 1,
        maxLeaseMs: 10_000,
        revokeMs: 5_000,
        statusS: 120,
        stopGraceS: 6,
    };
    writeFileSync(file, JSON.stringify(settings));
    return { name, callers, readiness, file, child: spawnVm(file) };
};

const waitUntilReady = async ({ name, readiness, child }: EntryVm): Promise<void> => {
    const deadlineMs = Date.now() + readyTimeoutMs;
    for (;;) {
        const status = await fetch(`http://${readiness}/-/readyz`).then(answer => answer.status, () => 0);
        if (status === 200) {
            return;
        }
        if (Date.now() > deadlineMs || child.exitCode !== null) {
            throw new Error(`${name} is not ready`);
        }
        await sleep(50);
    }
};

/** Sends a caller's request on a connection of its own. */
const sendToVm = (
    vm: EntryVm,
    method: string,
    path: string,
    body: unknown,
    { apiKey, prefix }: Tenant,
): Promise<CallerAnswer> =>
    new Promise(resolve => {
        const [address, port] = vm.callers.split(":");
        const noAnswer = (): void => resolve({ status: 0, body: undefined });
        const text = body === undefined ? "" : JSON.stringify(body);
        const headers = {
            host,
            authorization: `Bearer ${apiKey}`,
            "deadline-ms": String(callTimeoutMs),
            ...(text === ""
                ? {}
                : { "content-type": "application/json", "content-length": Buffer.byteLength(text) }),
        };
        const sent = request(
            { host: address, port, method, path: `${prefix}${path}`, agent: false, timeout: callTimeoutMs, headers },
            response => {
                const chunks: Buffer[] = [];
                response.on("data", (chunk: Buffer) => chunks.push(chunk));
                response.on("error", noAnswer);
                response.on("end", () => {
                    const received = Buffer.concat(chunks).toString("utf8");
                    resolve({
                        status: response.statusCode ?? 0,
                        body: received === "" ? undefined : JSON.parse(received),
                    });
                });
            },
        );
        sent.on("timeout", () => sent.destroy());
        sent.on("error", noAnswer);
        sent.end(text);
    });

/** Starts the stand-ins and the entry VMs, and resolves when these are ready. */
export const startDeployment = async (options: DeploymentOptions): Promise<Deployment> => {
    const directory = mkdtempSync(join(tmpdir(), "catkinswitch-review-"));
    const startedAtMs = Date.now();
    const lines: { atMs: number; text: string; }[] = [];
    const events: WorkerEvent[] = [];
    const failingWorkers = new Set<string>();
    const note = (text: string): void => {
        lines.push({ atMs: Date.now(), text });
    };
    const record = (event: WorkerEvent): void => {
        events.push(event);
        const { worker, event: what, task, run, how } = event;
        note(`${worker} ${what} ${task} run ${run}${how === undefined ? "" : ` ${how}`}`);
    };
    const table = await startTableServer();
    table.writeRow("op", "config", configurationOf(options.maxAttempts));
    const workers: WorkerServer[] = [];
    const addWorker: Deployment["addWorker"] = async (id, place = {}) => {
        const worker = await startWorkerServer({ id, table, record, failsAll: () => failingWorkers.has(id), ...place });
        workers.push(worker);
        return worker;
    };
    for (const id of options.workerIds) {
        await addWorker(id);
    }
    const vms: EntryVm[] = [];

    const call: Deployment["call"] = async (vm, method, path, body, tenant = hotel) => {
        const answer = await sendToVm(vm, method, path, body, tenant);
        note(`${vm.name} answered ${method} ${path} with ${answer.status} ${JSON.stringify(answer.body)}`);
        return answer;
    };

    const stop = (): void => {
        vms.forEach(({ child }) => {
            child.kill("SIGCONT");
            child.kill("SIGKILL");
        });
        workers.forEach(worker => worker.close());
        table.close();
        const text = lines.map(line => `${((line.atMs - startedAtMs) / 1_000).toFixed(3)} ${line.text}\n`).join("");
        writeFileSync(join(options.folder, "record.txt"), text);
        if (process.env.KEEP_LOGS === undefined) {
            rmSync(directory, { recursive: true });
        }
        else {
            process.stdout.write(`logs of the entry VMs: ${directory}\n`);
        }
    };

    const deployment: Deployment = {
        table,
        workers,
        vms,
        events,
        failingWorkers,
        note,
        call,
        submit: async (jobId, body, tenant) => {
            for (const vm of vms) {
                const { status } = await call(vm, "POST", jobId, body, tenant);
                if (status === 200) {
                    return true;
                }
            }
            return false;
        },
        signal: (vm, signal) => {
            note(`${signal} to ${vm.name}`);
            vm.child.kill(signal);
        },
        restart: vm => {
            note(`${vm.name} starts again`);
            vm.child = spawnVm(vm.file);
        },
        addWorker,
        stop,
    };
    try {
        for (let index = 1; index <= options.vmCount; index++) {
            const vm = await startVm(`vm-${index}`, directory, table);
            vms.push(vm);
            // the first one acquires the term before the next one starts
            await waitUntilReady(vm);
            await sleep(untilPlanningMs);
        }
    }
    catch (error) {
        stop();
        throw error;
    }
    return deployment;
};

/** Runs a case and ends this process with its verdict; a case that throws could not run. */
export const runCase = async (
    options: DeploymentOptions,
    play: (deployment: Deployment, withTrouble: boolean) => Promise<Verdict>,
): Promise<void> => {
    let verdict = Verdict.NotRun;
    // ends the entry VMs, too, which the exit of this process alone does not
    process.once("SIGTERM", () => process.exit(Verdict.NotRun));
    try {
        const deployment = await startDeployment(options);
        process.once("exit", () => deployment.vms.forEach(({ child }) => child.kill("SIGKILL")));
        try {
            verdict = await play(deployment, process.env.TROUBLE !== "0");
            deployment.note(`verdict ${Verdict[verdict]}`);
        }
        finally {
            deployment.stop();
        }
    }
    catch (error) {
        process.stderr.write(`the case could not run: ${String(error)}\n`);
    }
    process.stdout.write(`${Verdict[verdict]}\n`);
    process.exit(verdict);
};
