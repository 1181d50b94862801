/**
 * Stand-in for a worker: runs tasks under a lease, refuses lower epoch numbers, lists ends until they are acknowledged,
 * and may start again under its id. The specification of a job is JSON with `workMs`, the duration of each task.
 */
import { serve } from "./platform.mjs";

const holdMaxMs = 10_000;
const heartbeatMs = 1_500;
const sleep = durationMs => new Promise(resolve => setTimeout(resolve, durationMs));

/** Creates one life of a worker. */
const createLife = ({ id, record }) => {
    const startedAtMs = performance.now();
    const bornMs = Date.now();
    const running = new Map();
    const highestRuns = new Map();
    let ends = [];
    let endCount = 0;
    let highestToken = 0;
    let untilMs = 0;
    let leaseTimer;
    let wakers = [];
    let isOver = false;

    const clockMs = () => Math.floor(performance.now() - startedAtMs);
    const answer = (status, body = {}) => ({ status, body: { "clock-ms": clockMs(), ...body } });

    const end = (task, how) => {
        const active = running.get(task);
        if (active === undefined || isOver) {
            return;
        }
        clearTimeout(active.timer);
        running.delete(task);
        highestRuns.set(task, Math.max(active.run, highestRuns.get(task) ?? 0));
        endCount += 1;
        ends.push([endCount, task, active.run, how, ""]);
        record({ event: "ended", worker: id, bornMs, number: endCount, task, run: active.run, how });
        const waking = wakers;
        wakers = [];
        waking.forEach(wake => wake());
    };

    const extendLease = requestedMs => {
        const until = Math.min(requestedMs, clockMs() + holdMaxMs);
        if (until > untilMs) {
            untilMs = until;
            clearTimeout(leaseTimer);
            leaseTimer = setTimeout(() => [...running.keys()].forEach(task => end(task, "lapsed")), until - clockMs());
        }
    };

    const start = body => {
        const { task, "run-id": run } = body;
        if (body["until-ms"] <= clockMs()) {
            return answer(409, { reason: "late" });
        }
        extendLease(body["until-ms"]);
        const active = running.get(task);
        if (active?.run === run) {
            return answer(200);
        }
        if (active !== undefined || run <= (highestRuns.get(task) ?? 0)) {
            return answer(409, { reason: "old" });
        }
        const { workMs } = JSON.parse(body.spec);
        running.set(task, { run, timer: setTimeout(() => end(task, "done"), workMs) });
        record({ event: "started", worker: id, bornMs, task, run, token: body["fencing-token"] ?? 0 });
        return answer(200);
    };

    const stop = ({ task, "run-id": run }) => {
        if ((running.get(task)?.run ?? Infinity) <= run) {
            end(task, "stopped");
        }
        highestRuns.set(task, Math.max(run, highestRuns.get(task) ?? 0));
        record({ event: "stop order", worker: id, bornMs, task, run });
        return answer(200);
    };

    const hold = async (body, isCallerGone) => {
        const cursor = body["ack-cursor"] ?? 0;
        const forget = () => {
            const forgotten = ends.filter(([number]) => number <= cursor);
            ends = ends.filter(([number]) => number > cursor);
            forgotten.forEach(([number, task, run, how]) =>
                record({ event: "end acknowledged", worker: id, bornMs, cursor, number, task, run, how })
            );
        };
        extendLease(body["until-ms"] ?? 0);
        forget();
        if (ends.length === 0 && body["wait-ms"] > 0) {
            await Promise.race([sleep(body["wait-ms"]), new Promise(resolve => wakers.push(resolve))]);
            if (isCallerGone()) {
                return undefined;
            }
            forget();
        }
        return answer(200, {
            born: bornMs,
            running: [...running].map(([task, { run }]) => [task, run, "", 50, 0]),
            finished: ends.slice(0, 500),
        });
    };

    const orders = { "/-/run-start": start, "/-/run-stop": stop, "/-/hold": hold };
    return {
        bornMs,
        handle: ({ url, headers, body, isCallerGone }) => {
            const order = orders[url.pathname];
            if (headers["expected-instance"] !== id) {
                return { status: 421, body: {} };
            }
            if (order === undefined) {
                return { status: 404, body: {} };
            }
            const token = body["fencing-token"] ?? 0;
            if (token < highestToken) {
                return answer(409, { reason: "fence" });
            }
            highestToken = token;
            return order(body, isCallerGone);
        },
        crash: () => {
            isOver = true;
            clearTimeout(leaseTimer);
            for (const [task, { run, timer }] of running) {
                clearTimeout(timer);
                record({ event: "lost in a crash", worker: id, bornMs, task, run });
            }
            running.clear();
        },
    };
};

/** Starts a worker and registers it in the store. */
export const startWorker = async ({ id, store, record, rack = "r1-1", labels = [] }) => {
    let life = createLife({ id, record });
    let sequence = 0;
    let server = await serve(request => life.handle(request));
    const { port } = server.address();

    const register = () => {
        sequence += 1;
        store.write("servers", id, {
            service: "dovebook",
            address: `127.0.0.1:${port}`,
            zone: "mu-north-a",
            version: "v1",
            slots: 8,
            state: "ready",
            "cold-remaining-ms": 0,
            capacity: { cpu: 64_000, "mem-mb": 262_144, gpu: 8 },
            labels: ["a", rack, ...labels],
            machine: `m-${id}`,
            born: life.bornMs,
            sequence,
        });
    };
    register();
    let heartbeat = setInterval(register, heartbeatMs);
    return {
        id,
        /** Ends the process: its channels are reset and nothing listens at its address. */
        crash: () => {
            life.crash();
            clearInterval(heartbeat);
            server.closeAllConnections();
            server.close();
            record({ event: "worker crashed", worker: id, bornMs: life.bornMs });
        },
        /** Starts it again under its id and address; it writes its entry after some time, in the course of its first interval. */
        restart: async (firstEntryAfterMs = 0) => {
            sequence = 0;
            life = createLife({ id, record });
            server = await serve(request => life.handle(request), port);
            record({ event: "worker started again", worker: id, bornMs: life.bornMs });
            await sleep(firstEntryAfterMs);
            register();
            heartbeat = setInterval(register, heartbeatMs);
        },
        close: () => {
            clearInterval(heartbeat);
            server.closeAllConnections();
            server.close();
        },
    };
};
