import { Agent, request } from "node:http";
import type { ClientRequest, OutgoingHttpHeaders } from "node:http";
import type { Socket } from "node:net";
import { parseJson } from "./parseJson.js";
import { readArrived } from "./readArrived.js";

/** Response to an HTTP call. */
export interface HttpAnswer {
    status: number;
    /** Parsed body; `undefined` when it is not JSON. */
    body: unknown;
    /** Seconds from the `Retry-After` header. */
    retryAfterS?: number;
}

/** An HTTP call that got no complete response. */
export interface HttpFailure {
    /** Whether nothing was sent: the connection was refused, or the call cannot be expressed as an HTTP request. */
    notSent: boolean;
    detail: string;
}

/** Outcome of an HTTP call; a response of any status is `ok`. */
export type HttpOutcome = { ok: true; answer: HttpAnswer; } | { ok: false; failure: HttpFailure; };

/** Request of an HTTP call; its body is sent as JSON. */
export interface HttpCall {
    method: "GET" | "POST" | "PUT" | "DELETE";
    path: string;
    body?: unknown;
    headers?: Record<string, string>;
    /** Maximum time from the start of the call to the end of the response. */
    timeoutMs: number;
}

/** Calls one address over persistent connections. */
export interface HttpClient {
    /** Performs a call; failures are returned as an outcome and never thrown. */
    call(call: HttpCall): Promise<HttpOutcome>;
    /** Closes all connections; calls in progress fail. */
    close(): void;
}

/** Time after which an idle connection is closed; shorter than the servers' own, so that they do not close it first. */
const idleTimeoutMs = 20_000;
/** Delay before the first TCP keep-alive probe, which detects connections that broke while idle. */
const keepAliveDelayMs = 2_000;

/** Maximum size of a response body; the largest expected one is a page of the platform's table, 1 MB before encoding. */
const maxAnswerBytes = 8 * 1024 * 1024;

/** Creates a client of `host:port` with at most `maxConnections` connections. */
export const createHttpClient = (address: string, maxConnections: number): HttpClient => {
    const [host, port] = address.split(":");
    const agent = new Agent({
        keepAlive: true,
        keepAliveMsecs: keepAliveDelayMs,
        maxSockets: maxConnections,
        timeout: idleTimeoutMs,
        scheduling: "lifo",
    });
    /** Time of the latest answer on each connection. */
    const answeredAtMs = new WeakMap<Socket, number>();

    /**
     * Closes the connections that have been idle since before a call without an answer was sent. The agent reuses the
     * newest first, so what broke the connection of that call has probably broken these too.
     */
    const closeIdleSince = (sentAtMs: number): void =>
        Object.values(agent.freeSockets)
            .flatMap(sockets => sockets ?? [])
            .filter(socket => (answeredAtMs.get(socket) ?? 0) < sentAtMs)
            .forEach(socket => {
                // `close` is emitted later, and the agent would reuse the connection until then
                socket.emit("agentRemove");
                socket.destroy();
            });

    /** Sends the request; throws on an address, path or header that an HTTP request cannot carry. */
    const send = (options: HttpCall, settle: (outcome: HttpOutcome) => void): ClientRequest => {
        const text = options.body === undefined ? undefined : JSON.stringify(options.body);
        const headers: OutgoingHttpHeaders = { ...options.headers };
        if (text !== undefined) {
            headers["content-type"] = "application/json";
            headers["content-length"] = Buffer.byteLength(text);
        }
        const clientRequest = request({ agent, host, port, method: options.method, path: options.path, headers });
        const failWith = (detail: string, notSent: boolean): void =>
            settle({ ok: false, failure: { detail, notSent } });
        clientRequest.on("error", (error: NodeJS.ErrnoException) => {
            failWith(error.code ?? error.message, error.code === "ECONNREFUSED");
        });
        clientRequest.on("response", response => {
            // the response loses its socket when it has ended
            const { socket } = response;
            const chunks: Buffer[] = [];
            let sizeBytes = 0;
            response.on("data", (chunk: Buffer) => {
                chunks.push(chunk);
                sizeBytes += chunk.length;
                if (sizeBytes > maxAnswerBytes) {
                    failWith(`the answer is longer than ${maxAnswerBytes} bytes`, false);
                    clientRequest.destroy();
                }
            });
            response.on("error", error => failWith(error.message, false));
            response.on("close", () => failWith("the answer broke off", false));
            response.on("end", () => {
                answeredAtMs.set(socket, performance.now());
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
        clientRequest.end(text);
        return clientRequest;
    };

    const call = (options: HttpCall): Promise<HttpOutcome> =>
        new Promise(resolve => {
            let settled = false;
            let clientRequest: ClientRequest | undefined;
            /** Set once the call has a connection. */
            let sentAtMs: number | undefined;
            const settle = (outcome: HttpOutcome): void => {
                if (!settled) {
                    settled = true;
                    clearTimeout(deadline);
                    if (!outcome.ok && sentAtMs !== undefined) {
                        closeIdleSince(sentAtMs);
                    }
                    resolve(outcome);
                }
            };
            const failWith = (detail: string, notSent: boolean): void =>
                settle({ ok: false, failure: { detail, notSent } });
            const expire = async (): Promise<void> => {
                // an answer may have arrived while the event loop was blocked
                await readArrived();
                if (!settled) {
                    failWith(`no answer within ${options.timeoutMs} ms`, false);
                    clientRequest?.destroy();
                }
            };
            const deadline = setTimeout(() => void expire(), options.timeoutMs);
            try {
                clientRequest = send(options, settle);
                clientRequest.once("socket", () => {
                    sentAtMs = performance.now();
                });
            }
            catch (error) {
                failWith(error instanceof Error ? error.message : String(error), true);
            }
        });

    return { call, close: () => agent.destroy() };
};
