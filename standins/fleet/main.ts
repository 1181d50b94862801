/** Stand-in for the users' platform over HTTP: its table, its workers and their table entries. Test code only. */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { parseArgs } from "node:util";
import { Refusal } from "../../src/execution/types.js";
import type { OrderError } from "../../src/execution/types.js";
import type { TaskId } from "../../src/jobs/types.js";
import type { TablePart } from "../../src/state/tablePart.js";
import { StateErrorKind } from "../../src/state/types.js";
import type { StateRow, StateTransaction } from "../../src/state/types.js";
import { listen } from "../../src/utils/http.js";
import type { Result } from "../../src/utils/result.js";
import { createTimerService } from "../../src/utils/timer.js";
import { createWorkerModel } from "../runs/workerModel.js";
import type { RunSpan, WorkerModel } from "../runs/workerModel.js";
import { createTableModel } from "./tableModel.js";

type JsonBody = Record<string, unknown>;

interface Reply {
    status: number;
    body: unknown;
}

/** Faults that can be switched on and off while the stand-in runs. */
interface Switches {
    /** Answers every request to the table with status 503. */
    tableDown: boolean;
    /** Leaves every request to the table without an answer. */
    tableSilent: boolean;
    /** Parts of tables whose reads and transactions get no answer; a transaction of them takes no effect. */
    silentParts: TablePart[];
    /** Number of next transactions that take effect but get no answer. */
    loseAnswers: number;
}

/** A worker and its table entry. */
interface FleetWorker {
    model: WorkerModel;
    bornMs: number;
    address: string;
    server: Server;
    /** Whether requests to it are lost, and its updates of its entry. */
    isCutOff: boolean;
    /** Monotonic time of its last update of its entry. */
    updatedAtMs: number;
}

/** Time between two updates of a worker's entry. */
const heartbeatPeriodMs = 1_500;
/** Time without an update after which an entry is removed. */
const entryExpiryMs = 3 * heartbeatPeriodMs;
const timer = createTimerService();
const table = createTableModel();
const spans: RunSpan[] = [];
const workers = new Map<string, FleetWorker>();
const switches: Switches = { tableDown: false, tableSilent: false, silentParts: [], loseAnswers: 0 };

const readBody = async (request: IncomingMessage): Promise<JsonBody> => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString("utf8")) as JsonBody;
};

const createHttpServer = (handle: (request: IncomingMessage, url: URL) => Promise<Reply | undefined>): Server =>
    createServer((request: IncomingMessage, response: ServerResponse) => {
        const url = new URL(request.url ?? "/", "http://localhost");
        void handle(request, url).then(reply => {
            if (reply === undefined) {
                // simulates a lost answer by closing the connection
                request.socket.destroy();
                return;
            }
            const text = JSON.stringify(reply.body);
            response.writeHead(reply.status, {
                "content-type": "application/json",
                "content-length": Buffer.byteLength(text),
            });
            response.end(text);
        });
    });

const encodeRow = (row: StateRow): JsonBody => ({
    table: row.table,
    part: row.part,
    key: row.key,
    ver: row.version,
    ...(row.value === undefined
        ? { removed: true }
        : { value: Buffer.from(JSON.stringify(row.value)).toString("base64") }),
});

const decodeTransaction = (body: JsonBody): StateTransaction => {
    const conditions = (body["expected-revision"] ?? []) as JsonBody[];
    const sets = (body["set-keys"] ?? []) as JsonBody[];
    const removes = (body.remove ?? []) as JsonBody[];
    const first = [...conditions, ...sets, ...removes][0] ?? {};
    return {
        part: String(first.part ?? ""),
        conditions: conditions.map(row => ({
            table: String(row.table),
            key: String(row.key),
            version: Number(row.ver),
        })),
        writes: [
            ...sets.map(row => ({
                table: String(row.table),
                key: String(row.key),
                value: JSON.parse(Buffer.from(String(row.value), "base64").toString("utf8")) as unknown,
            })),
            ...removes.map(row => ({ table: String(row.table), key: String(row.key) })),
        ],
    };
};

const waitForChange = (waitMs: number): Promise<void> =>
    new Promise(resolve => {
        const cancel = timer.after(waitMs, resolve);
        table.onceChanged(() => {
            cancel();
            resolve();
        });
    });

const readFeed = async (url: URL): Promise<Reply> => {
    const name = url.searchParams.get("table") ?? "";
    const after = Number(url.searchParams.get("after"));
    const untilMs = timer.nowMs() + Number(url.searchParams.get("wait-ms") ?? 0);
    while (timer.nowMs() < untilMs && table.changes(name, after)?.rows.length === 0) {
        await waitForChange(untilMs - timer.nowMs());
    }
    const changes = table.changes(name, after);
    return changes === undefined
        ? { status: 410, body: {} }
        : { status: 200, body: { rows: changes.rows.map(encodeRow), ver: changes.version, "now-ms": timer.nowMs() } };
};

const commit = (body: JsonBody): Reply | undefined => {
    const written = table.commit(decodeTransaction(body));
    if (!written.ok) {
        const rows = written.error.kind === StateErrorKind.Conflict ? written.error.rows : [];
        return { status: 412, body: { rows: rows.map(encodeRow), ver: 0 } };
    }
    if (switches.loseAnswers > 0) {
        switches.loseAnswers -= 1;
        return undefined;
    }
    return { status: 200, body: { ver: written.value.version, "now-ms": timer.nowMs() } };
};

const isSilent = ({ table, part }: TablePart): boolean =>
    switches.silentParts.some(silent => silent.table === table && silent.part === part);

/** Parts of tables that a request reads or writes; a feed concerns all parts. */
const partsOf = (url: URL, body: JsonBody): TablePart[] => {
    switch (url.pathname) {
        case "/-/rows-tx": {
            const { part, conditions, writes } = decodeTransaction(body);
            return [...conditions, ...writes].map(({ table }) => ({ table, part }));
        }
        case "/-/rows-get":
            return [{ table: url.searchParams.get("table") ?? "", part: url.searchParams.get("part") ?? "" }];
        default:
            return [];
    }
};

const handleTable = async (request: IncomingMessage, url: URL): Promise<Reply | undefined> => {
    const body = await readBody(request);
    if (url.pathname === "/control/switches") {
        Object.assign(switches, body);
        return { status: 200, body: switches };
    }
    if (url.pathname === "/control/spans") {
        return { status: 200, body: spans };
    }
    if (url.pathname === "/control/restart") {
        restartWorker(String(body.id));
        return { status: 200, body: {} };
    }
    if (url.pathname === "/control/cut") {
        const worker = workers.get(String(body.id));
        if (worker !== undefined) {
            worker.isCutOff = body.isCutOff === true;
        }
        return { status: 200, body: {} };
    }
    if (url.pathname === "/control/operator") {
        table.commit({ part: "", conditions: [], writes: [{ table: "op", key: String(body.key), value: body.value }] });
        return { status: 200, body: {} };
    }
    if (switches.tableSilent || partsOf(url, body).some(isSilent)) {
        return never();
    }
    if (switches.tableDown) {
        return { status: 503, body: {} };
    }
    switch (url.pathname) {
        case "/-/rows-tx":
            return commit(body);
        case "/-/rows-feed":
            return readFeed(url);
        case "/-/rows-get": {
            const read = table.read({
                table: url.searchParams.get("table") ?? "",
                part: url.searchParams.get("part") ?? "",
                from: url.searchParams.get("from") ?? undefined,
                before: url.searchParams.get("target") ?? undefined,
            });
            return { status: 200, body: { rows: read.rows.map(encodeRow), ver: read.version, "more-pages": false } };
        }
        default:
            return { status: 404, body: {} };
    }
};

const parseTaskId = (name: unknown): TaskId => {
    const [jobId, occurrence, step, index] = String(name).split(".");
    return { jobId, occurrence: Number(occurrence), step: Number(step), index: Number(index) };
};

const formatTaskId = (task: TaskId): string => `${task.jobId}.${task.occurrence}.${task.step}.${task.index}`;

const refusalStatus = new Map<Refusal, [status: number, reason: string]>([
    [Refusal.Fenced, [409, "fence"]],
    [Refusal.OldRun, [409, "old"]],
    [Refusal.Late, [409, "late"]],
    [Refusal.NoRoom, [409, "room"]],
]);

const toReply = <Value>(result: Result<Value, OrderError>, encode: (value: Value) => unknown): Reply => {
    if (result.ok) {
        return { status: 200, body: encode(result.value) };
    }
    const refusal = result.error.kind === "refused" ? result.error.refusal : Refusal.Invalid;
    const clockMs = result.error.kind === "refused" ? result.error.clockMs : undefined;
    const [status, reason] = refusalStatus.get(refusal) ?? [400, "invalid"];
    return { status, body: { reason, "clock-ms": clockMs } };
};

const never = (): Promise<Reply> => new Promise(() => {});

const handleWorker = (id: string) => async (request: IncomingMessage, url: URL): Promise<Reply> => {
    const worker = workers.get(id);
    const body = await readBody(request);
    const isCutOff = (): boolean => worker?.isCutOff === true;
    if (isCutOff()) {
        return never();
    }
    const reply = await handleOrder(id, worker, request, url, body);
    // what was carried out before the cut is not answered any more
    return isCutOff() ? never() : reply;
};

const handleOrder = async (
    id: string,
    worker: FleetWorker | undefined,
    request: IncomingMessage,
    url: URL,
    body: JsonBody,
): Promise<Reply> => {
    if (worker === undefined || request.headers["expected-instance"] !== id) {
        return { status: 421, body: {} };
    }
    const { model, bornMs } = worker;
    const token = Number(body["fencing-token"] ?? 0);
    switch (url.pathname) {
        case "/-/run-start":
            return toReply(
                model.start({
                    task: parseTaskId(body.task),
                    run: Number(body["run-id"]),
                    spec: String(body.spec),
                    untilClockMs: Number(body["until-ms"]),
                    checkpoint: String(body.checkpoint ?? ""),
                    fencingToken: token,
                }),
                value => ({ "clock-ms": value.clockMs }),
            );
        case "/-/run-stop":
            return toReply(
                model.stop(parseTaskId(body.task), Number(body["run-id"]), token),
                value => ({ "clock-ms": value.clockMs }),
            );
        case "/-/hold": {
            const order = {
                fencingToken: token,
                acknowledged: Number(body["ack-cursor"] ?? 0),
                untilClockMs: body["until-ms"] === undefined ? undefined : Number(body["until-ms"]),
            };
            const report = model.hold(order);
            if (report.ok && report.value.ended.length === 0 && body["wait-ms"] !== undefined) {
                await new Promise<void>(resolve => {
                    timer.after(Number(body["wait-ms"]), resolve);
                    model.onceEnded(resolve);
                });
            }
            return toReply(model.hold({ ...order, untilClockMs: undefined }), report => ({
                "clock-ms": report.clockMs,
                born: bornMs,
                running: report.running.map(
                    task => [formatTaskId(task.task), task.run, task.checkpoint, task.percent, 0],
                ),
                finished: report.ended.map(
                    end => [end.number, formatTaskId(end.task), end.run, end.kind, end.checkpoint],
                ),
            }));
        }
        default:
            return { status: 404, body: {} };
    }
};

const publishWorkerEntry = (id: string, sequence: number): void => {
    const worker = workers.get(id);
    const value = {
        service: "doves",
        address: worker?.address,
        zone: "north-a",
        version: "v1",
        slots: 8,
        state: "ready",
        "cold-remaining-ms": 0,
        capacity: { cpu: 64_000, "mem-mb": 256_000, gpu: 8 },
        labels: ["a", "r1-1"],
        born: worker?.bornMs,
        sequence,
    };
    table.commit({ part: "", conditions: [], writes: [{ table: "servers", key: id, value }] });
};

/** Starts a worker anew under its id and address; its connections end, and its entry shows it with the next update. */
const restartWorker = (id: string): void => {
    const worker = workers.get(id);
    if (worker !== undefined) {
        worker.model.crash();
        worker.server.closeAllConnections();
        worker.bornMs = timer.wallClockMs();
        worker.model = createWorkerModel({ id, timer, bornMs: worker.bornMs, spans });
    }
};

const startWorker = async (id: string): Promise<void> => {
    const bornMs = timer.wallClockMs();
    const model = createWorkerModel({ id, timer, bornMs, spans });
    const server = createHttpServer(handleWorker(id));
    const port = await listen(server, "127.0.0.1", 0);
    const address = `127.0.0.1:${port}`;
    const worker: FleetWorker = { model, bornMs, address, server, isCutOff: false, updatedAtMs: timer.nowMs() };
    workers.set(id, worker);
    let sequence = 0;
    publishWorkerEntry(id, sequence);
    timer.every(heartbeatPeriodMs, () => {
        if (!worker.isCutOff) {
            sequence += 1;
            worker.updatedAtMs = timer.nowMs();
            publishWorkerEntry(id, sequence);
        }
        else if (timer.nowMs() - worker.updatedAtMs >= entryExpiryMs) {
            table.commit({ part: "", conditions: [], writes: [{ table: "servers", key: id }] });
        }
    });
};

const main = async (): Promise<void> => {
    const { values } = parseArgs({ options: { workers: { type: "string", default: "3" } } });
    const port = await listen(createHttpServer(handleTable), "127.0.0.1", 0);
    for (let index = 0; index < Number(values.workers); index++) {
        await startWorker(`w${index}`);
    }
    process.stdout.write(`${JSON.stringify({ port })}\n`);
};

void main();
