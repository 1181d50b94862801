/** Stand-in for one worker over HTTP, which lists at most 500 ends at a time. Test code only. */
import { createServer } from "node:http";
import type { IncomingMessage } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { Refusal } from "../../src/execution/types.js";
import type { OrderError } from "../../src/execution/types.js";
import type { TaskId } from "../../src/jobs/types.js";
import { listen } from "../../src/utils/http.js";
import type { Result } from "../../src/utils/result.js";
import { createTimerService } from "../../src/utils/timer.js";
import { createWorkerModel } from "../../standins/runs/workerModel.js";
import type { RunSpan } from "../../standins/runs/workerModel.js";
import { readJson, sendJson } from "./tableServer.js";
import type { TableServer } from "./tableServer.js";

/** Something that a worker did, in the order in which it happened. */
export interface WorkerEvent {
    atMs: number;
    worker: string;
    /** `start`, `end`, or `noted` when the ack-cursor reaches the end and no lease has lapsed between the two. */
    event: "start" | "end" | "noted" | "notedAfterLapse";
    task: string;
    run: number;
    /** How the run ended. */
    how?: string;
}

/** Options of {@link startWorkerServer}. */
export interface WorkerServerOptions {
    id: string;
    table: TableServer;
    record: (event: WorkerEvent) => void;
    /** Whether every run that starts now fails. */
    failsAll: () => boolean;
    /** @default "north-a" */
    zone?: string;
    /** @default "r1-1" */
    rack?: string;
    /** Port of an earlier life of the machine. @default a free one */
    port?: number;
}

/** One worker. */
export interface WorkerServer {
    id: string;
    /** Whether it is cut off: what is sent to it is lost. */
    isCut: boolean;
    port: number;
    runningCount(): number;
    /** Ends this life as a loss of power does; the store drops its entry later. */
    losePower(): void;
    close(): void;
}

/** Ends that one answer lists at most. */
const maxListedEnds = 500;
/** Longest lease that the worker grants. */
const longestLeaseMs = 10_000;
const heartbeatMs = 1_500;
/** Silence after which the store drops an entry. */
const entryExpiryMs = 3 * heartbeatMs;

const parseTask = (name: unknown): TaskId => {
    const [jobId, occurrence, step, index] = String(name).split(".");
    return { jobId, occurrence: Number(occurrence), step: Number(step), index: Number(index) };
};

const formatTask = (task: TaskId): string => `${task.jobId}.${task.occurrence}.${task.step}.${task.index}`;

const reasons = new Map<Refusal, string>([
    [Refusal.Fenced, "fence"],
    [Refusal.OldRun, "old"],
    [Refusal.Late, "late"],
    [Refusal.NoRoom, "room"],
]);

const toReply = <Value>(result: Result<Value, OrderError>, encode: (value: Value) => unknown) => {
    if (result.ok) {
        return { status: 200, body: encode(result.value) };
    }
    const { error } = result;
    const reason = error.kind === "refused" ? reasons.get(error.refusal) : undefined;
    const clockMs = error.kind === "refused" ? error.clockMs : undefined;
    return { status: reason === undefined ? 400 : 409, body: { reason, "clock-ms": clockMs } };
};

const entryOf = (
    port: number,
    { zone = "north-a", rack = "r1-1" }: WorkerServerOptions,
    bornMs: number,
    sequence: number,
): unknown => ({
    service: "doves",
    address: `127.0.0.1:${port}`,
    zone,
    version: "v1",
    slots: 8,
    state: "ready",
    "cold-remaining-ms": 0,
    capacity: { cpu: 64_000, "mem-mb": 262_144, gpu: 8 },
    labels: ["a", rack],
    born: bornMs,
    sequence,
});

/** Records when the lease of a worker has lapsed last, whether anything ran then or not. */
const createLeaseRecord = () => {
    let endsAtMs = 0;
    let lapsedAtMs = 0;
    const lastLapseMs = (): number => {
        if (endsAtMs <= Date.now()) {
            lapsedAtMs = endsAtMs;
        }
        return lapsedAtMs;
    };
    return {
        lastLapseMs,
        extend: (untilClockMs: number, clockMs: number): void => {
            lastLapseMs();
            endsAtMs = Math.max(endsAtMs, Date.now() + Math.min(untilClockMs - clockMs, longestLeaseMs));
        },
    };
};

/** Starts a worker on a free loopback port and registers it in the store. */
export const startWorkerServer = async (options: WorkerServerOptions): Promise<WorkerServer> => {
    const { id, table, record } = options;
    const timer = createTimerService();
    const bornMs = Date.now();
    const ends: { task: string; run: number; how?: string; atMs: number; }[] = [];
    let notedCount = 0;
    const leaseRecord = createLeaseRecord();

    const onSpan = ({ task, run, toMs, kind }: RunSpan): void => {
        if (toMs === undefined) {
            record({ atMs: Date.now(), worker: id, event: "start", task, run });
            return;
        }
        ends.push({ task, run, how: kind, atMs: Date.now() });
        record({ atMs: Date.now(), worker: id, event: "end", task, run, how: kind ?? "lost with the worker" });
    };
    const model = createWorkerModel({
        id,
        timer,
        bornMs,
        spans: [],
        failsAll: options.failsAll,
        savesCheckpoints: () => false,
        onSpan,
    });

    /** Records the ends that an acknowledgement covers: they are numbered from 1 in the order in which they happened. */
    const noteEnds = (cursor: number): void => {
        const lapsedAtMs = leaseRecord.lastLapseMs();
        for (; notedCount < Math.min(cursor, ends.length); notedCount++) {
            const { atMs, ...end } = ends[notedCount];
            const event = lapsedAtMs > atMs ? "notedAfterLapse" : "noted";
            record({ ...end, atMs: Date.now(), worker: id, event });
        }
    };

    const hold = async (body: Record<string, unknown>, fencingToken: number) => {
        const acknowledged = Number(body["ack-cursor"] ?? 0);
        const untilClockMs = body["until-ms"] === undefined ? undefined : Number(body["until-ms"]);
        const first = model.hold({ fencingToken, acknowledged, untilClockMs });
        if (first.ok) {
            noteEnds(acknowledged);
            leaseRecord.extend(untilClockMs ?? 0, first.value.clockMs);
        }
        if (first.ok && first.value.ended.length === 0 && body["wait-ms"] !== undefined) {
            await Promise.race([
                sleep(Number(body["wait-ms"])),
                new Promise<void>(resolve => model.onceEnded(resolve)),
            ]);
        }
        return toReply(model.hold({ fencingToken, acknowledged }), ({ clockMs, running, ended }) => ({
            "clock-ms": clockMs,
            born: bornMs,
            running: running.map(run => [formatTask(run.task), run.run, run.checkpoint, run.percent, 0]),
            finished: ended.slice(0, maxListedEnds)
                .map(end => [end.number, formatTask(end.task), end.run, end.kind, end.checkpoint]),
        }));
    };

    const handle = async (request: IncomingMessage, body: Record<string, unknown>) => {
        const fencingToken = Number(body["fencing-token"] ?? 0);
        const clockOf = ({ clockMs }: { clockMs: number; }) => ({ "clock-ms": clockMs });
        if (request.headers["expected-instance"] !== id) {
            return { status: 421, body: {} };
        }
        switch (request.url) {
            case "/-/run-start": {
                const untilClockMs = Number(body["until-ms"]);
                const started = model.start({
                    task: parseTask(body.task),
                    run: Number(body["run-id"]),
                    spec: String(body.spec),
                    untilClockMs,
                    checkpoint: String(body.checkpoint ?? ""),
                    fencingToken,
                });
                if (started.ok) {
                    leaseRecord.extend(untilClockMs, started.value.clockMs);
                }
                return toReply(started, clockOf);
            }
            case "/-/run-stop":
                return toReply(model.stop(parseTask(body.task), Number(body["run-id"]), fencingToken), clockOf);
            case "/-/hold":
                return hold(body, fencingToken);
            default:
                return { status: 404, body: {} };
        }
    };

    const server = createServer((request, response) => {
        if (worker.isCut) {
            // lost on the way: it is neither carried out nor answered
            return;
        }
        readJson(request).then(body => handle(request, body)).then(
            reply => worker.isCut ? undefined : sendJson(response, reply),
            () => response.destroy(),
        );
    });
    server.keepAliveTimeout = 60_000;
    const port = await listen(server, "127.0.0.1", options.port ?? 0);
    let sequence = 0;
    const publish = (): void => {
        if (worker.isCut) {
            return;
        }
        sequence += 1;
        table.writeRow("servers", id, entryOf(port, options, bornMs, sequence));
    };
    const heartbeat = setInterval(publish, heartbeatMs);
    const worker: WorkerServer = {
        id,
        isCut: false,
        port,
        runningCount: model.runningCount,
        losePower: () => {
            clearInterval(heartbeat);
            worker.isCut = true;
            model.crash();
            setTimeout(() => table.removeRow("servers", id), entryExpiryMs);
        },
        close: () => {
            clearInterval(heartbeat);
            model.crash();
            server.close();
            server.closeAllConnections();
        },
    };
    publish();
    return worker;
};
