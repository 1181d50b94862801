/** Stand-in of a worker: runs tasks under a lease, lists their ends until they are acknowledged, and registers itself. */
import { createServer } from "node:http";
import { listenLocally, readBody, sendJson } from "./store.js";

/** Interval of a worker's writes to its entry, `heartbeat-ms`. */
export const heartbeatMs = 1_500;
/** Longest lease that a worker grants, `hold-max-ms`. */
const maxLeaseMs = 10_000;
const maxWaitMs = 2_000;
const maxListedEnds = 500;

/** Creates a worker that is not started; `record` gets each start and end of a run. */
export const createWorker = ({ id, store, record, service = "doves", zone = "north-a", labels = ["a", "r1-1"] }) => {
    const capacity = { cpu: 64_000, "mem-mb": 256_000, gpu: 8 };
    let life;
    let port = 0;

    const clockMs = current => Math.floor(performance.now() - current.startedAt);

    const register = current => {
        current.sequence += 1;
        const state = { service, address: `127.0.0.1:${port}`, zone, version: "v1", slots: 8, state: "ready" };
        const { bornMs: born, sequence } = current;
        store.set("servers", id, { ...state, "cold-remaining-ms": 0, capacity, labels, born, sequence });
    };

    const endRun = (current, task, how) => {
        const run = current.running.get(task);
        clearTimeout(run.timer);
        current.running.delete(task);
        current.closedRuns.set(task, Math.max(run.number, current.closedRuns.get(task) ?? 0));
        current.ends.push([++current.lastEnd, task, run.number, how, ""]);
        record({ event: "run ended", worker: id, born: current.bornMs, task, run: run.number, how });
        const woken = current.waiting;
        current.waiting = [];
        woken.forEach(wake => wake());
    };

    /** Ends all runs; ends that are acknowledged only after this do not count as taken note of. */
    const lapse = current => {
        [...current.running.keys()].forEach(task => endRun(current, task, "lapsed"));
        current.ends.forEach(([number]) => current.lapsedEnds.add(number));
        record({ event: "lease lapsed", worker: id, born: current.bornMs });
    };

    const acknowledge = (current, cursor) => {
        for (const [number, task, run, how] of current.ends) {
            if (number <= cursor && !current.lapsedEnds.has(number)) {
                record({ event: "end taken note of", worker: id, born: current.bornMs, task, run, how });
            }
        }
        current.ends = current.ends.filter(([number]) => number > cursor);
    };

    const extendLease = (current, untilMs) => {
        const until = Math.min(untilMs, clockMs(current) + maxLeaseMs);
        if (until > current.leaseUntil) {
            current.leaseUntil = until;
            clearTimeout(current.leaseTimer);
            current.leaseTimer = setTimeout(() => lapse(current), until - clockMs(current));
        }
    };

    const start = (current, body) => {
        const { task, "run-id": number, spec, "until-ms": untilMs } = body;
        if (untilMs <= clockMs(current)) {
            return [409, { reason: "late" }];
        }
        extendLease(current, untilMs);
        const running = current.running.get(task);
        if (running?.number === number) {
            return [200, {}];
        }
        if (running !== undefined || number <= (current.closedRuns.get(task) ?? 0)) {
            return [409, { reason: "old" }];
        }
        const { workMs } = JSON.parse(spec);
        const startedAt = performance.now();
        const timer = setTimeout(() => endRun(current, task, "done"), workMs);
        current.running.set(task, { number, timer, workMs, startedAt });
        record({ event: "run started", worker: id, born: current.bornMs, task, run: number });
        return [200, {}];
    };

    const stopRun = (current, { task, "run-id": number }) => {
        const running = current.running.get(task);
        if (running !== undefined && running.number <= number) {
            endRun(current, task, "stopped");
        }
        current.closedRuns.set(task, Math.max(number, current.closedRuns.get(task) ?? 0));
        return [200, {}];
    };

    const percentOf = ({ startedAt, workMs }) =>
        Math.min(100, Math.floor((performance.now() - startedAt) / workMs * 100));

    const hold = async (current, body) => {
        extendLease(current, body["until-ms"] ?? 0);
        acknowledge(current, body["ack-cursor"] ?? 0);
        if (current.ends.length === 0 && body["wait-ms"] !== undefined) {
            await new Promise(resolve => {
                setTimeout(resolve, Math.min(body["wait-ms"], maxWaitMs));
                current.waiting.push(resolve);
            });
            acknowledge(current, body["ack-cursor"] ?? 0);
        }
        const running = [...current.running].map(([task, run]) => [task, run.number, "", percentOf(run), 0]);
        return [200, { born: current.bornMs, running, finished: current.ends.slice(0, maxListedEnds) }];
    };

    const handle = async (current, request, body) => {
        if (current.isUnhealthy) {
            return [503, {}];
        }
        if ((request.headers["expected-instance"] ?? id) !== id) {
            return [421, {}];
        }
        const token = body["fencing-token"] ?? 0;
        if (token < current.token) {
            return [409, { reason: "fence" }];
        }
        current.token = token;
        switch (request.url) {
            case "/-/run-start":
                return start(current, body);
            case "/-/run-stop":
                return stopRun(current, body);
            case "/-/hold":
                return hold(current, body);
            default:
                return [404, {}];
        }
    };

    const answer = async (current, request, response) => {
        const [status, body] = await handle(current, request, await readBody(request));
        if (life === current) {
            sendJson(response, status, { "clock-ms": clockMs(current), ...body });
        }
    };

    /** Starts a life of the worker, at the port of the previous one; its first entry is written after `registerMs`. */
    const startLife = async (registerMs = 0) => {
        const current = {
            startedAt: performance.now(),
            bornMs: Date.now(),
            sequence: 0,
            token: 0,
            leaseUntil: 0,
            lastEnd: 0,
            running: new Map(),
            closedRuns: new Map(),
            ends: [],
            lapsedEnds: new Set(),
            waiting: [],
            isUnhealthy: false,
        };
        life = current;
        current.server = createServer((request, response) => {
            answer(current, request, response).catch(() => request.socket.destroy());
        });
        port = await listenLocally(current.server, port);
        record({ event: "worker up", worker: id, born: current.bornMs });
        current.firstEntry = setTimeout(() => {
            register(current);
            record({ event: "worker registered", worker: id, born: current.bornMs });
            current.heartbeat = setInterval(() => register(current), heartbeatMs);
        }, registerMs);
    };

    /** Ends the present life as a crash does: its runs are gone and its connections are reset. */
    const crash = () => {
        const current = life;
        life = undefined;
        clearTimeout(current.firstEntry);
        clearTimeout(current.leaseTimer);
        clearInterval(current.heartbeat);
        current.running.forEach(({ timer, number }, task) => {
            clearTimeout(timer);
            record({ event: "run ended", worker: id, born: current.bornMs, task, run: number, how: "crashed" });
        });
        current.server.close();
        current.server.closeAllConnections();
        record({ event: "worker down", worker: id, born: current.bornMs });
    };

    /** Makes the present life refuse every order with a 503 and do nothing, or accept orders again. */
    const setUnhealthy = isUnhealthy => {
        life.isUnhealthy = isUnhealthy;
        record({ event: isUnhealthy ? "worker unhealthy" : "worker healthy", worker: id, born: life.bornMs });
    };

    return { id, startLife, crash, setUnhealthy, isUp: () => life !== undefined };
};
