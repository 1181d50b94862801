/** Stand-in for workers: one process serves the workers of a zone, each on its own port. Test code only. */
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import { parseArgs } from "node:util";
import { createRandom } from "../../src/utils/random.js";
import { createTimerService } from "../../src/utils/timer.js";
import type { TimerService } from "../../src/utils/timer.js";
import type { WorkerDescription } from "../../src/workers/types.js";
import { createGangRegistry } from "../runs/gangs.js";
import type { GangRegistry } from "../runs/gangs.js";
import { createWorkerModel } from "../runs/workerModel.js";
import type { WorkerModel } from "../runs/workerModel.js";
import { AnswerFault, createWorkerCalls } from "./calls.js";
import type { CallRequest, WorkerCalls } from "./calls.js";
import { handleRunOrder, toSpanEvent } from "./runs.js";
import { createSwitches } from "./types.js";
import type { RecordEvent, WorkerEvent, WorkerSwitches } from "./types.js";

interface StandinWorker {
    description: Omit<WorkerDescription, "leaving">;
    runs: WorkerModel;
    calls: WorkerCalls;
    switches: WorkerSwitches;
}

const maxEvents = 2_000_000;
const events: WorkerEvent[] = [];
/** Reads the wall clock, so that events and spans of several processes can be compared. */
const timer: TimerService = { ...createTimerService(), nowMs: () => Date.now() };

const createWorker = (index: number, zone: string, firstSeed: number, gangs: GangRegistry): StandinWorker => {
    const name = `worker-${zone}-${index}`;
    const rack = `rack-${zone}-${Math.floor(index / 8)}`;
    const capacity = { accelerators: 8, milliCores: 64_000, memoryMb: 250_000 };
    const bornMs = Date.now();
    const switches = createSwitches();
    const record: RecordEvent = event => {
        if (events.length < maxEvents) {
            const leaving = switches.leaving ? { leaving: true } : {};
            events.push({ atMs: Date.now(), worker: name, availabilityZone: zone, ...leaving, ...event });
        }
    };
    return {
        description: { name, availabilityZone: zone, rack, capacity, bornMs },
        runs: createWorkerModel({
            id: name,
            timer,
            bornMs,
            spans: [],
            gangs,
            failsAll: () => switches.failEverything,
            savesCheckpoints: () => !switches.ignoreCheckpoint,
            onSpan: span => record(toSpanEvent(span)),
        }),
        calls: createWorkerCalls(switches, record, createRandom(firstSeed + index)),
        switches,
    };
};

const readJson = async (message: IncomingMessage): Promise<unknown> => {
    const chunks: Buffer[] = [];
    for await (const chunk of message) {
        chunks.push(chunk as Buffer);
    }
    return chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString("utf8"));
};

const send = (response: ServerResponse, status: number, body: unknown, headers: Record<string, string> = {}): void => {
    const text = JSON.stringify(body);
    response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
        ...headers,
    });
    response.end(text);
};

const handleCall = async (worker: StandinWorker, request: CallRequest, response: ServerResponse): Promise<void> => {
    const answer = await worker.calls.run(request);
    if (worker.switches.lateMs > 0) {
        await new Promise(resolve => setTimeout(resolve, worker.switches.lateMs));
    }
    const headers = {
        "request-id": request.requestId,
        "slots-busy": String(worker.calls.busySlots()),
        ...(worker.switches.leaving || worker.switches.saysLeaving ? { leaving: "true" } : {}),
    };
    const fault = worker.calls.drawAnswerFault();
    if (fault === AnswerFault.Lost) {
        return;
    }
    if (fault === AnswerFault.OtherRequest) {
        send(response, 200, { requestId: "another", result: { echo: "another caller's" } }, {
            ...headers,
            "request-id": "another",
        });
        return;
    }
    if (fault === AnswerFault.Truncated) {
        const text = JSON.stringify(answer.body);
        const truncated = text.slice(0, Math.floor(text.length / 2));
        response.writeHead(answer.status, { ...headers, "content-length": Buffer.byteLength(truncated) });
        response.end(truncated);
        return;
    }
    send(response, answer.status, answer.body, headers);
};

const handleRequest = async (
    worker: StandinWorker,
    message: IncomingMessage,
    response: ServerResponse,
): Promise<void> => {
    const body = await readJson(message);
    const path = message.url ?? "/";
    if (path === "/admin/switches") {
        Object.assign(worker.switches, body);
        return send(response, 200, worker.switches);
    }
    if (path === "/admin/events") {
        return send(response, 200, events);
    }
    if (worker.switches.paused) {
        return undefined;
    }
    if (path === "/v1/worker") {
        return send(response, 200, { ...worker.description, leaving: worker.switches.leaving });
    }
    if (path === "/v1/calls") {
        return handleCall(worker, body as CallRequest, response);
    }
    if (path === "/v1/calls/fence") {
        return send(response, 200, { state: worker.calls.fence((body as CallRequest).requestId) });
    }
    const runAnswer = await handleRunOrder(worker.runs, timer, path, body);
    return send(response, runAnswer.status, runAnswer.body);
};

const startServer = (worker: StandinWorker): Promise<number> =>
    new Promise(resolve => {
        const server = createServer((message, response) => {
            handleRequest(worker, message, response).catch(() => response.destroy());
        });
        server.keepAliveTimeout = 60_000;
        server.listen(0, "127.0.0.1", () => resolve((server.address() as { port: number; }).port));
    });

const main = async (): Promise<void> => {
    const { values } = parseArgs({
        options: {
            zone: { type: "string", default: "zone-a" },
            count: { type: "string", default: "8" },
            seed: { type: "string", default: "1" },
        },
    });
    const gangs = createGangRegistry(timer);
    const workers = Array.from(
        Array(Number(values.count)).keys(),
        index => createWorker(index, values.zone, Number(values.seed) * 1_000, gangs),
    );
    const ports = await Promise.all(workers.map(startServer));
    process.stdout.write(
        `${
            JSON.stringify({
                workers: workers.map((worker, index) => ({ name: worker.description.name, port: ports[index] })),
            })
        }\n`,
    );
    process.on("SIGTERM", () => process.exit(0));
};

void main();
