/** Starts entry VMs with the command and the settings template of the deploy file, and acts as their consumers. */
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request as httpRequest } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { startStore } from "./store.js";
import { createWorker, heartbeatMs } from "./worker.js";

const repository = fileURLToPath(new URL("../..", import.meta.url));
const host = "doves.example";
const apiKey = "key-1";
/** Time after which the platform starts a process again that has ended. */
const restartDelayMs = 500;
const pollMs = 100;

/** Resolves after a delay. */
export const sleep = durationMs => new Promise(resolve => setTimeout(resolve, durationMs));

/** Exit code of a script that could not run its case. */
export const couldNotRun = 2;

/** Finds a port of the loopback address on which nobody listens. */
export const findFreePort = () =>
    new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, "127.0.0.1", () => {
            const { port } = server.address();
            server.close(() => resolve(port));
        });
    });

const fillTemplate = values =>
    readFileSync(join(repository, "deploy/settings.jsonc"), "utf8")
        .replace(/\{\{([^}|]+)\|json\}\}/g, (_, name) => JSON.stringify(values[name]));

const deployCommand = () => {
    const [, command] = /^run = "(.*)"$/m.exec(readFileSync(join(repository, "deploy/system.toml"), "utf8"));
    return command.split(" ");
};

const route = (name, prefix) => ({
    name,
    host,
    prefix,
    service: "doves",
    priority: 0,
    "max-attempts": 2,
    "slack-factor": 2,
    "target-latency-ms": 500,
    public: false,
});

const manifest = {
    version: 3,
    routes: [route("r-bookings", "/bookings/")],
    services: [{ name: "doves" }],
    limits: { "max-body-bytes": 262_144 },
    tenants: [{ name: "hotel", "api-keys": [apiKey], guaranteed: { gpu: 16 } }],
};

/** Sends one HTTP request; resolves with its status and body, or with the error of the connection. */
export const call = (address, method, path, body, timeoutMs = 3_000) =>
    new Promise(resolve => {
        const [hostname, port] = address.split(":");
        const headers = {
            host,
            authorization: `Bearer ${apiKey}`,
            "content-type": "application/json",
            "deadline-ms": timeoutMs,
        };
        const sent = httpRequest(
            { hostname, port, method, path, headers, timeout: timeoutMs, agent: false },
            answer => {
                const chunks = [];
                answer.on("data", chunk => chunks.push(chunk));
                answer.on("error", error => resolve({ error: error.message }));
                answer.on("end", () => {
                    const text = Buffer.concat(chunks).toString("utf8");
                    resolve({ status: answer.statusCode, body: text === "" ? undefined : JSON.parse(text) });
                });
            },
        );
        sent.on("timeout", () => sent.destroy(new Error("no answer in time")));
        sent.on("error", error => resolve({ error: error.message }));
        sent.end(body === undefined ? undefined : JSON.stringify(body));
    });

/** Starts the store, workers and entry VMs; `recordFile` gets a line for each event. */
export const startDeployment = async ({ recordFile, workerCount, vmCount, labelsOf }) => {
    const directory = mkdtempSync(join(tmpdir(), "catkinswitch-review-"));
    const startedAt = performance.now();
    const events = [];
    const children = new Set();
    let isStopping = false;
    writeFileSync(recordFile, "");
    const record = event => {
        const entry = { atMs: Math.round(performance.now() - startedAt), ...event };
        events.push(entry);
        appendFileSync(recordFile, `${JSON.stringify(entry)}\n`);
    };

    const store = await startStore();
    store.set("op", "config", manifest);
    const workers = [];
    for (let index = 0; index < workerCount; index++) {
        const worker = createWorker({ id: `i-${index}`, store, record, labels: labelsOf?.(index) });
        workers.push(worker);
        await worker.startLife();
        // so that the workers do not write their entries at the same moments
        await sleep(heartbeatMs / workerCount);
    }

    const spawnVm = vm => {
        const [program, ...args] = deployCommand();
        const { PATH, HOME, LANG } = process.env;
        const env = { PATH, HOME, LANG, CATKINSWITCH_SETTINGS: vm.settingsFile };
        const child = spawn(program, args, { cwd: repository, env, stdio: ["ignore", "pipe", "pipe"] });
        children.add(child);
        vm.child = child;
        const keepLine = chunk => {
            vm.output = `${vm.output}${chunk}`.slice(-4_000);
            if (process.env.LOG_DIRECTORY !== undefined) {
                appendFileSync(join(process.env.LOG_DIRECTORY, `${vm.name}.log`), chunk);
            }
        };
        child.stdout.on("data", keepLine);
        child.stderr.on("data", keepLine);
        record({ event: "process started", vm: vm.name, pid: child.pid });
        child.once("exit", (code, signal) => {
            children.delete(child);
            if (!isStopping) {
                const byItself = !vm.isSignalled;
                vm.isSignalled = false;
                const error = /"detail":"([^"]{0,160})[^}]*\}[^}]*"message":"unexpected error"/.exec(vm.output)?.[1];
                record({ event: "process ended", vm: vm.name, code, signal, byItself, error });
                setTimeout(() => isStopping || spawnVm(vm), restartDelayMs);
            }
        });
    };

    const startVm = async index => {
        const [callers, readiness, operations] = [await findFreePort(), await findFreePort(), await findFreePort()];
        const name = `frontend-north-a-${index + 1}`;
        const settings = fillTemplate({
            "node-name": name,
            zone: "north-a",
            "listen-addrs.frontend": `127.0.0.1:${callers}`,
            "listen-addrs.readiness": `127.0.0.1:${readiness}`,
            "internal-port-range.0": operations,
            "platform.address": store.address,
            "limits.cpu-share": 0.675,
            "limits.cores": 1,
            "bounds.hold-max-ms": 10_000,
            "bounds.revoke-ms": 5_000,
            "bounds.status_s": 120,
            "bounds.grace-s": 6,
        });
        const settingsFile = join(directory, `${name}.jsonc`);
        writeFileSync(settingsFile, settings);
        const vm = { name, settingsFile, output: "", callers: `127.0.0.1:${callers}`, isSignalled: false };
        vm.readiness = `127.0.0.1:${readiness}`;
        vm.operations = `127.0.0.1:${operations}`;
        spawnVm(vm);
        return vm;
    };

    const vms = [];
    for (let index = 0; index < vmCount; index++) {
        vms.push(await startVm(index));
    }

    const stop = async () => {
        isStopping = true;
        children.forEach(child => child.kill("SIGKILL"));
        workers.filter(worker => worker.isUp()).forEach(worker => worker.crash());
        store.stop();
        await sleep(pollMs);
        rmSync(directory, { recursive: true, force: true });
    };

    const isReady = async vm => (await call(vm.readiness, "GET", "/-/readyz")).status === 200;

    const findPlanner = async () => {
        const dumps = await Promise.all(vms.map(vm => call(vm.operations, "GET", "/v1/dump")));
        return vms.find((_, index) => dumps[index].body?.planner !== undefined);
    };

    /** Waits until every VM is ready and one is the planner; false after `maxMs`. */
    const waitUntilReady = async maxMs => {
        for (const untilMs = performance.now() + maxMs; performance.now() < untilMs; await sleep(pollMs)) {
            const ready = await Promise.all(vms.map(isReady));
            if (ready.every(Boolean) && await findPlanner() !== undefined) {
                return true;
            }
        }
        return false;
    };

    /** Sends a consumer's request and records it with its answer. */
    const send = async (vm, method, path, body) => {
        record({ event: "request sent", vm: vm.name, method, path, body });
        const answer = await call(vm.callers, method, path, body);
        record({ event: "request answered", vm: vm.name, method, path, ...answer });
        return answer;
    };

    return { store, workers, vms, events, record, waitUntilReady, findPlanner, send, stop };
};

/** Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
export const runCase = async (options, play) => {
    const isTrouble = process.env.TROUBLE !== "0";
    const deployment = await startDeployment(options);
    process.once("SIGTERM", () => void deployment.stop().then(() => process.exit(couldNotRun)));
    let code = couldNotRun;
    try {
        code = await deployment.waitUntilReady(40_000) ? await play(deployment, isTrouble) : couldNotRun;
    }
    catch (error) {
        deployment.record({ event: "the case could not run", error: String(error) });
    }
    deployment.record({ event: "result", trouble: isTrouble, code });
    await deployment.stop();
    process.exit(code);
};
