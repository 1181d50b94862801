import { Agent, request } from "node:http";
import type { OutgoingHttpHeaders } from "node:http";
import { parseJson } from "./parseJson.js";

/** Answer of an HTTP call. */
export interface HttpAnswer {
    status: number;
    body: unknown;
    /** Seconds from a Retry-After header. */
    retryAfterS?: number;
}

/** An HTTP call that got no whole answer. */
export interface HttpFailure {
    /** Nothing was sent: the connection was refused. */
    notSent: boolean;
    detail: string;
}

/** What came of an HTTP call. */
export type HttpOutcome = { ok: true; answer: HttpAnswer; } | { ok: false; failure: HttpFailure; };

/** One HTTP call. */
export interface HttpCall {
    method: "GET" | "POST" | "PUT" | "DELETE";
    path: string;
    body?: unknown;
    headers?: Record<string, string>;
    timeoutMs: number;
}

/** Calls one address over connections that are kept open. */
export interface HttpClient {
    call(call: HttpCall): Promise<HttpOutcome>;
    close(): void;
}

/** Connections are closed before the other side does so. */
const idleMs = 20_000;
/** Keep-alive probes find connections that went silent between calls. */
const probeDelayMs = 2_000;

/** Creates a client of `host:port`. */
export const createHttpClient = (address: string, maxConnections: number): HttpClient => {
    const [host, port] = address.split(":");
    const agent = new Agent({
        keepAlive: true,
        keepAliveMsecs: probeDelayMs,
        maxSockets: maxConnections,
        timeout: idleMs,
        scheduling: "lifo",
    });

    const call = (options: HttpCall): Promise<HttpOutcome> =>
        new Promise(resolve => {
            const text = options.body === undefined ? undefined : JSON.stringify(options.body);
            const headers: OutgoingHttpHeaders = { ...options.headers };
            if (text !== undefined) {
                headers["content-type"] = "application/json";
                headers["content-length"] = Buffer.byteLength(text);
            }
            const sent = request({ agent, host, port, method: options.method, path: options.path, headers });
            let settled = false;
            const settle = (outcome: HttpOutcome): void => {
                if (!settled) {
                    settled = true;
                    clearTimeout(deadline);
                    resolve(outcome);
                }
            };
            const failWith = (detail: string, notSent: boolean): void =>
                settle({ ok: false, failure: { detail, notSent } });
            const deadline = setTimeout(() => {
                failWith(`no answer within ${options.timeoutMs} ms`, false);
                sent.destroy();
            }, options.timeoutMs);
            sent.on("error", (error: NodeJS.ErrnoException) => {
                failWith(error.code ?? error.message, error.code === "ECONNREFUSED");
            });
            sent.on("response", response => {
                const chunks: Buffer[] = [];
                response.on("data", (chunk: Buffer) => chunks.push(chunk));
                response.on("error", error => failWith(error.message, false));
                response.on("close", () => failWith("the answer broke off", false));
                response.on("end", () => {
                    const retryAfter = Number(response.headers["retry-after"]);
                    settle({
                        ok: true,
                        answer: {
                            status: response.statusCode ?? 0,
                            body: parseJson(Buffer.concat(chunks).toString("utf8")),
                            retryAfterS: Number.isFinite(retryAfter) ? retryAfter : undefined,
                        },
                    });
                });
            });
            sent.end(text);
        });

    return { call, close: () => agent.destroy() };
};
