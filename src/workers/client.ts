import type {
    HoldOrder,
    OrderError,
    StartOrder,
    WorkerClient,
    WorkerDescriptor,
    WorkerReport,
} from "../execution/types.js";
import { Refusal } from "../execution/types.js";
import type { TaskId } from "../jobs/types.js";
import { createHttpClient } from "../utils/httpJsonClient.js";
import type { HttpOutcome } from "../utils/httpJsonClient.js";
import { fail, succeed } from "../utils/result.js";
import type { Result } from "../utils/result.js";
import type { DescribeWorker, WorkerDescription } from "./types.js";

/** Time after which an order fails as not answered. */
const orderTimeoutMs = 900;
/** Maximum number of connections to one worker: one for the long poll, the others for orders. */
const maxConnections = 4;
const httpOk = 200;

/** Body of a worker's answer to an order that it refused. */
export interface RefusedOrder {
    refusal: Refusal;
    clockMs?: number;
    detail: string;
}

/** Body of the order to stop a run. */
export interface StopOrder {
    task: TaskId;
    run: number;
    fencingToken: number;
}

const toError = (outcome: HttpOutcome): OrderError => {
    if (!outcome.ok) {
        return { kind: "noAnswer", detail: outcome.failure.detail };
    }
    const { refusal = Refusal.Invalid, clockMs, detail = `status ${outcome.answer.status}` } =
        (outcome.answer.body ?? {}) as Partial<RefusedOrder>;
    return { kind: "refused", refusal, clockMs, detail };
};

/** Creates the client of one incarnation of a worker. */
export const createWorkerClient = (descriptor: WorkerDescriptor, vm: string): WorkerClient => {
    const http = createHttpClient(descriptor.address, maxConnections);
    // a worker that was restarted refuses orders to its previous incarnation
    const headers = { "x-vm": vm, "x-born-ms": String(descriptor.bornMs) };

    const order = async <Value>(path: string, body: unknown, timeoutMs = orderTimeoutMs) => {
        const outcome = await http.call({ method: "POST", path, body, headers, timeoutMs });
        const isDone = outcome.ok && outcome.answer.status === httpOk;
        const result: Result<Value, OrderError> = isDone
            ? succeed(outcome.answer.body as Value)
            : fail(toError(outcome));
        return result;
    };

    return {
        start: (start: StartOrder) => order<{ clockMs: number; }>("/v1/runs/start", start),
        stop: (task, run, fencingToken) => {
            const stop: StopOrder = { task, run, fencingToken };
            return order<{ clockMs: number; }>("/v1/runs/stop", stop);
        },
        hold: (hold: HoldOrder) => order<WorkerReport>("/v1/runs/hold", hold, orderTimeoutMs + (hold.waitMs ?? 0)),
        pace: async () => fail({ kind: "refused", refusal: Refusal.Invalid, detail: "workers do not pace tasks" }),
        close: () => http.close(),
    };
};

/** Creates the function that reads workers' descriptions; it keeps one connection per address. */
export const createWorkerDescriptionReader = (vm: string): DescribeWorker => {
    const clients = new Map<string, ReturnType<typeof createHttpClient>>();
    return async address => {
        const client = clients.get(address) ?? createHttpClient(address, 1);
        clients.set(address, client);
        const headers = { "x-vm": vm };
        const outcome = await client.call({ method: "GET", path: "/v1/worker", headers, timeoutMs: orderTimeoutMs });
        if (!outcome.ok) {
            return fail(outcome.failure.detail);
        }
        return outcome.answer.status === httpOk
            ? succeed(outcome.answer.body as WorkerDescription)
            : fail(`status ${outcome.answer.status}`);
    };
};
