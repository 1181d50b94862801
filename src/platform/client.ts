import type { Dispatcher } from "undici";
import { Pool } from "../utils/httpClient.js";
import { fail, succeed } from "../utils/result.js";
import type { Result } from "../utils/result.js";
import { PlatformErrorKind } from "./types.js";
import type {
    CommitReceipt,
    KeyRange,
    PlatformClient,
    PlatformError,
    Row,
    RowsAsOf,
    TableChanges,
    Transaction,
    VmListChange,
} from "./types.js";

/** Options of {@link createPlatformClient}. */
export interface PlatformClientOptions {
    /** Base address, for example `http://127.0.0.1:7000`. */
    address: string;
    /** Name of the calling VM, sent with every request. */
    vmName: string;
    /** Timeout of a request; the time that it waits for changes is added. @default 1500 */
    timeoutMs?: number;
    /** Maximum number of open connections. @default 4 */
    connections?: number;
}

const defaultTimeoutMs = 1_500;
const defaultConnections = 4;
const httpConflict = 409;

interface TableAnswer {
    status: number;
    body: unknown;
}

const isConnectFailure = (error: unknown): boolean => {
    const code = (error as { code?: string; }).code;
    return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT";
};

const toPlatformError = (error: unknown): PlatformError => ({
    kind: isConnectFailure(error) ? PlatformErrorKind.Unavailable : PlatformErrorKind.NoAnswer,
    detail: String(error),
});

const toResult = <Value>(answer: TableAnswer): Result<Value, PlatformError> => {
    if (answer.status === httpConflict) {
        const { keys, rows } = answer.body as { keys: string[]; rows: Row[]; };
        return fail({ kind: PlatformErrorKind.Conflict, keys, rows });
    }
    if (answer.status !== 200) {
        return fail({ kind: PlatformErrorKind.Unavailable, detail: `the platform answered ${answer.status}` });
    }
    return succeed(answer.body as Value);
};

/** Creates a client of the platform's table and VM list over HTTP with JSON bodies. */
export const createPlatformClient = (options: PlatformClientOptions): PlatformClient => {
    const timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
    const pool = new Pool(options.address, {
        connections: options.connections ?? defaultConnections,
        connect: { timeout: timeoutMs },
    });

    const send = async <Value>(
        method: Dispatcher.HttpMethod,
        path: string,
        body?: unknown,
        waitMs = 0,
    ): Promise<Result<Value, PlatformError>> => {
        try {
            const response = await pool.request({
                method,
                path,
                headers: { "content-type": "application/json", "x-vm": options.vmName },
                body: body === undefined ? undefined : JSON.stringify(body),
                signal: AbortSignal.timeout(timeoutMs + waitMs),
            });
            return toResult<Value>({ status: response.statusCode, body: await response.body.json() });
        }
        catch (error) {
            return fail(toPlatformError(error));
        }
    };

    return {
        read: async <Value>(key: string) => {
            const rows = await send<{ rows: Row<Value>[]; }>("GET", `/v1/table/rows?key=${encodeURIComponent(key)}`);
            return rows.ok ? succeed(rows.value.rows.at(0)) : rows;
        },
        scan: <Value>({ prefix, from = prefix, before }: KeyRange) => {
            const query = new URLSearchParams({ prefix, from, ...(before === undefined ? {} : { before }) });
            return send<RowsAsOf<Value>>("GET", `/v1/table/rows?${query.toString()}`);
        },
        changes: ({ prefix, afterVersion, waitMs }) => {
            const query = new URLSearchParams({ prefix, after: String(afterVersion), waitMs: String(waitMs) });
            return send<TableChanges>("GET", `/v1/table/changes?${query.toString()}`, undefined, waitMs);
        },
        commit: (transaction: Transaction) => send<CommitReceipt>("POST", "/v1/table/transactions", transaction),
        listVms: sinceRevision => send<VmListChange>("GET", `/v1/vms?since=${sinceRevision}`),
        close: () => pool.destroy(),
    };
};
