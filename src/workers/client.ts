import { Pool } from "../utils/httpClient.js";
import { fail, succeed } from "../utils/result.js";
import type { Result } from "../utils/result.js";
import { WorkerErrorKind } from "./types.js";
import type { RenewReply, TaskReport, WorkerClient, WorkerClients, WorkerError, WorkerReport } from "./types.js";

/** Options of {@link createWorkerClients}. */
export interface WorkerClientsOptions {
    /** Name of the calling VM, sent with every request. */
    vmName: string;
    /** Time after which a request counts as unanswered. @default 800 */
    timeoutMs?: number;
}

const defaultTimeoutMs = 800;
const connectionsPerWorker = 2;
const idleConnectionMs = 10_000;

const toWorkerError = (error: unknown): WorkerError => {
    const unreachable = (error as { code?: string; }).code === "ECONNREFUSED";
    return { kind: unreachable ? WorkerErrorKind.Unreachable : WorkerErrorKind.NoAnswer, detail: String(error) };
};

const createWorkerClient = (httpAddress: string, vmName: string, timeoutMs: number): WorkerClient => {
    const pool = new Pool(httpAddress, { connections: connectionsPerWorker, keepAliveTimeout: idleConnectionMs });

    const send = async <Value>(
        method: "GET" | "POST",
        path: string,
        body?: unknown,
    ): Promise<Result<Value, WorkerError>> => {
        try {
            const response = await pool.request({
                method,
                path,
                headers: { "content-type": "application/json", "x-vm": vmName },
                body: body === undefined ? undefined : JSON.stringify(body),
                signal: AbortSignal.timeout(timeoutMs),
            });
            const value = await response.body.json();
            if (response.statusCode !== 200) {
                const detail = (value as { detail?: string; }).detail ?? `answered ${response.statusCode}`;
                return fail({ kind: WorkerErrorKind.Refused, detail });
            }
            return succeed(value as Value);
        }
        catch (error) {
            return fail(toWorkerError(error));
        }
    };

    return {
        report: () => send<WorkerReport>("GET", "/v1/worker"),
        hold: request => send("POST", "/v1/holds", request),
        release: gang => send("POST", "/v1/holds/release", gang),
        start: request => send("POST", "/v1/tasks/start", request),
        renew: (gangs, leaseMs) => send<RenewReply>("POST", "/v1/tasks/renew", { gangs, leaseMs }),
        checkpoint: gangs => send<{ tasks: TaskReport[]; }>("POST", "/v1/tasks/checkpoint", { gangs }),
        stop: gangs => send("POST", "/v1/tasks/stop", { gangs }),
    };
};

/** Creates the clients of all workers; one client per address is kept. */
export const createWorkerClients = (options: WorkerClientsOptions): WorkerClients => {
    const clients = new Map<string, WorkerClient>();
    const timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
    return httpAddress => {
        const known = clients.get(httpAddress);
        if (known !== undefined) {
            return known;
        }
        const created = createWorkerClient(httpAddress, options.vmName, timeoutMs);
        clients.set(httpAddress, created);
        return created;
    };
};
