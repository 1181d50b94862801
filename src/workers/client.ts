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

/** Time after which an order counts as unanswered. */
const orderTimeoutMs = 900;
/** Connections to one worker: one look that waits, the rest for orders. */
const maxConnections = 4;
const ok = 200;

/** Body of an order that a worker refused. */
export interface RefusedOrder {
    refusal: Refusal;
    clockMs?: number;
    detail: string;
}

/** Order to end a run. */
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
export const createWorkerClient = (view: WorkerDescriptor, vm: string): WorkerClient => {
    const http = createHttpClient(view.address, maxConnections);
    // another incarnation refuses orders that were meant for this one
    const headers = { "x-vm": vm, "x-born-ms": String(view.bornMs) };

    const order = async <Value>(path: string, body: unknown, timeoutMs = orderTimeoutMs) => {
        const outcome = await http.call({ method: "POST", path, body, headers, timeoutMs });
        const isDone = outcome.ok && outcome.answer.status === ok;
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

/** Creates the reader of workers' descriptions; one connection an address is kept. */
export const createWorkerReader = (vm: string): DescribeWorker => {
    const clients = new Map<string, ReturnType<typeof createHttpClient>>();
    return async address => {
        const client = clients.get(address) ?? createHttpClient(address, 1);
        clients.set(address, client);
        const headers = { "x-vm": vm };
        const outcome = await client.call({ method: "GET", path: "/v1/worker", headers, timeoutMs: orderTimeoutMs });
        if (!outcome.ok) {
            return fail(outcome.failure.detail);
        }
        return outcome.answer.status === ok
            ? succeed(outcome.answer.body as WorkerDescription)
            : fail(`status ${outcome.answer.status}`);
    };
};
