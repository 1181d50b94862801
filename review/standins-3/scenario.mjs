/** What the scripts share: entry VMs as processes, consumers, and the record of what was sent, answered and run. */
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { createStore } from "./platform.mjs";
import { startWorker } from "./worker.mjs";

const repository = join(dirname(fileURLToPath(import.meta.url)), "../..");
/** Exit codes of a script. */
export const held = 0;
export const broken = 1;
export const couldNotRun = 2;
/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== "0";
const maxScriptMs = 110_000;
const host = "nony24.example";

export const sleep = durationMs => new Promise(resolve => setTimeout(resolve, durationMs));

/** Resolves with whether a condition holds within a time. */
export const waitUntil = async (condition, maxMs) => {
    const deadlineMs = performance.now() + maxMs;
    while (!await condition()) {
        if (performance.now() > deadlineMs) {
            return false;
        }
        await sleep(20);
    }
    return true;
};

const findFreePort = () =>
    new Promise(resolve => {
        // below the ports of outgoing connections
        const port = 20_000 + Math.floor(Math.random() * 10_000);
        const server = createServer();
        server.once("error", () => resolve(findFreePort()));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(port)));
    });

/** The words of the command in the deploy file. */
const readCommand = () => {
    const text = readFileSync(join(repository, "deploy/system.toml"), "utf8");
    return /^run = "(.*)"$/m.exec(text)[1].split(" ");
};

/** Fills the deploy file's template of settings. */
const fillTemplate = fields =>
    readFileSync(join(repository, "deploy/settings.jsonc"), "utf8").replace(
        /\{\{([^|}]+)\|json\}\}/g,
        (_, path) => JSON.stringify(path.split(".").reduce((value, name) => value?.[name], fields) ?? null),
    );

const callOver = (agentOptions, address, method, path, { key, body, deadlineMs }) =>
    new Promise(resolve => {
        const [name, port] = address.split(":");
        const text = body === undefined ? undefined : JSON.stringify(body);
        const sent = request({
            host: name,
            port,
            method,
            path,
            agent: false,
            headers: {
                host,
                authorization: `Bearer ${key}`,
                "deadline-ms": String(deadlineMs),
                ...(text === undefined
                    ? {}
                    : { "content-type": "application/json", "content-length": Buffer.byteLength(text) }),
            },
        });
        const settle = result => {
            clearTimeout(timeout);
            resolve(result);
        };
        const timeout = setTimeout(() => {
            sent.destroy();
            settle({ status: "no answer" });
        }, deadlineMs);
        sent.on("error", error => settle({ status: `no answer: ${error.code}` }));
        sent.on("response", response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("end", () => {
                const answer = Buffer.concat(chunks).toString("utf8");
                settle({ status: response.statusCode, body: answer === "" ? {} : JSON.parse(answer) });
            });
            response.on("error", error => settle({ status: `no answer: ${error.code}` }));
        });
        sent.end(text);
    });

/**
 * Runs a script in the folder of `file`: `play` gets the deployment and resolves with the violation that it found, if
 * any; it throws when the case cannot run.
 */
export const runScript = async (file, play, { intercept, workers = [], routes } = {}) => {
    const folder = dirname(fileURLToPath(file));
    const recordFile = join(folder, "record.txt");
    const directory = mkdtempSync(join(tmpdir(), "catkinswitch-review-"));
    const startedAtMs = performance.now();
    const events = [];
    const vms = [];
    const startedWorkers = [];
    writeFileSync(recordFile, "");

    const record = fields => {
        const event = { atMs: Math.round(performance.now() - startedAtMs), ...fields };
        events.push(event);
        appendFileSync(recordFile, `${JSON.stringify(event)}\n`);
    };
    const store = createStore({ intercept });

    const startVm = async name => {
        const [callers, readiness, operations] = [await findFreePort(), await findFreePort(), await findFreePort()];
        const settingsFile = join(directory, `${name}.jsonc`);
        const bounds = { "hold-max-ms": 10_000, "revoke-ms": 5_000, status_s: 120, "grace-s": 6 };
        writeFileSync(
            settingsFile,
            fillTemplate({
                "node-name": name,
                zone: "mu-north-a",
                "listen-addrs": { frontend: `127.0.0.1:${callers}`, readiness: `127.0.0.1:${readiness}` },
                "internal-port-range": [operations, operations],
                platform: { address: await store.listen(name) },
                limits: { "cpu-share": 0.675, cores: 1 },
                bounds,
            }),
        );
        const [program, ...args] = readCommand();
        const child = spawn(program === "node" ? process.execPath : program, args, {
            cwd: repository,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, CATKINSWITCH_SETTINGS: settingsFile },
            stdio: ["ignore", "pipe", "inherit"],
        });
        const vm = {
            name,
            callers: `127.0.0.1:${callers}`,
            child,
            log: "",
            /** Sends a signal. */
            signal: signal => {
                record({ event: "signal", vm: name, signal });
                child.kill(signal);
            },
        };
        child.stdout.on("data", chunk => {
            vm.log += chunk.toString("utf8");
        });
        vms.push(vm);
        const isReady = async () =>
            (await callOver({}, `127.0.0.1:${readiness}`, "GET", "/-/readyz", { deadlineMs: 500 })).status === 200;
        if (!await waitUntil(isReady, 20_000)) {
            throw new Error(`${name} is not ready`);
        }
        return vm;
    };

    /** Sends a consumer's request and records its answer. */
    const call = async (vm, method, path, { key = "key-hotel", body, deadlineMs = 3_000 } = {}) => {
        record({ event: "sent", vm: vm.name, method, path, key, body });
        const answer = await callOver({}, vm.callers, method, path, { key, body, deadlineMs });
        record({ event: "answered", vm: vm.name, method, path, ...answer });
        return answer;
    };

    const cleanUp = () => {
        vms.forEach(({ child }) => {
            child.kill("SIGCONT");
            child.kill("SIGKILL");
        });
        startedWorkers.forEach(worker => worker.close());
        store.close();
        rmSync(directory, { recursive: true, force: true });
    };
    const finish = code => {
        cleanUp();
        process.exit(code);
    };
    ["SIGTERM", "SIGINT"].forEach(signal => process.on(signal, () => finish(couldNotRun)));
    setTimeout(() => {
        record({ event: "result", result: "the time is over" });
        finish(couldNotRun);
    }, maxScriptMs).unref();

    try {
        store.write("op", "config", {
            version: 3,
            routes: routes ?? [buildRoute("r-confirm", "/lohu930/", 0)],
            services: [{ name: "dovebook", "rejects-overload": false }],
            limits: { "max-body-bytes": 65_536 },
            tenants: [
                { name: "hotel", "api-keys": ["key-hotel"], guaranteed: { gpu: 8 } },
                { name: "parlour", "api-keys": ["key-parlour"], guaranteed: { gpu: 8 } },
            ],
        });
        for (const options of workers) {
            startedWorkers.push(await startWorker({ ...options, store, record }));
        }
        const violation = await play({ store, record, events, call, startVm, workers: startedWorkers });
        record({ event: "result", trouble: hasTrouble, result: violation ?? "the rule held" });
        process.stdout.write(`${violation ?? "the rule held"}\n`);
        finish(violation === undefined ? held : broken);
    }
    catch (error) {
        record({ event: "result", result: `the case could not run: ${error.stack}` });
        process.stderr.write(`the case could not run: ${error.message}\n`);
        finish(couldNotRun);
    }
};

/** A route of the manifest. */
export const buildRoute = (name, prefix, priority) => ({
    name,
    host,
    prefix,
    service: "dovebook",
    priority,
    "max-attempts": 2,
    "slack-factor": 2,
    "target-latency-ms": 500,
    public: false,
});

/** Resolves with the VM that holds the planner's lease. */
export const findPlanner = async (store, vms) => {
    const holder = () => store.read("planner").get("lease")?.holder;
    if (!await waitUntil(async () => vms.some(vm => vm.name === holder()), 10_000)) {
        throw new Error("no VM became the planner");
    }
    return vms.find(vm => vm.name === holder());
};
