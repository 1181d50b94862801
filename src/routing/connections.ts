import type { Client as HttpClient } from "undici";
import type { Cancellation } from "../utils/cancellation.js";
import { Client } from "../utils/httpClient.js";
import { AttemptKind, FenceState } from "./types.js";
import type { Attempt } from "./types.js";

/** Body of a request to an endpoint. */
export interface EndpointRequest {
    /** Unique per attempt; the answer must carry it. */
    requestId: string;
    key?: string;
    customer: string;
    service: string;
    body: unknown;
}

/** Outcome of an attempt, with the state that the endpoint reported in its answer. */
export interface EndpointReply {
    attempt: Attempt;
    /** Slots in use, if reported. */
    slotsBusy?: number;
    /** Whether the endpoint reported that it is leaving. */
    leaving: boolean;
}

/** Connection pool of one endpoint; each connection carries one request at a time. */
export interface EndpointConnections {
    /** Sends a request; errors, timeouts and a cancellation resolve as attempts without a result. */
    send(request: EndpointRequest, timeoutMs: number, cancellation?: Cancellation): Promise<EndpointReply>;
    /** Prevents a request from starting later and resolves with whether it ran; `undefined` without a valid answer. */
    fence(requestId: string, timeoutMs: number): Promise<FenceState | undefined>;
    /** Number of open connections, idle ones included. */
    openCount(): number;
    close(): Promise<void>;
}

const maxIdleConnections = 8;

interface ReplyBody {
    requestId?: string;
    result?: unknown;
    refused?: boolean;
    failed?: boolean;
    reason?: string;
}

interface HttpReply {
    status: number;
    headers: Record<string, string | string[] | undefined>;
    text: string;
}

const doubtfulAttempt = (reason: string): Attempt => ({ kind: AttemptKind.Doubtful, reason });

const parseReplyBody = (text: string): ReplyBody | undefined => {
    try {
        return JSON.parse(text) as ReplyBody;
    }
    catch {
        return undefined;
    }
};

/** Classifies an answer; it is accepted only if it is complete and carries the id of the request. */
const classifyReply = (request: EndpointRequest, reply: HttpReply): Attempt => {
    const length = Number(reply.headers["content-length"]);
    if (length !== Buffer.byteLength(reply.text)) {
        return doubtfulAttempt("the answer's length is wrong");
    }
    const body = parseReplyBody(reply.text);
    if (body === undefined) {
        return doubtfulAttempt("the answer is cut short");
    }
    if (reply.headers["request-id"] !== request.requestId || body.requestId !== request.requestId) {
        return doubtfulAttempt("the answer belongs to another request");
    }
    if (body.refused === true) {
        return { kind: AttemptKind.Refused, reason: body.reason ?? "refused" };
    }
    if (body.failed === true || reply.status !== 200) {
        return { kind: AttemptKind.Failed, reason: body.reason ?? `answered ${reply.status}` };
    }
    return { kind: AttemptKind.Done, result: body.result };
};

/** Connection errors that prove that the request did not leave this process. */
const notSentErrorCodes = ["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH", "ENETUNREACH"];

const classifyError = (error: unknown): Attempt => {
    const code = (error as { code?: string; }).code ?? "";
    return notSentErrorCodes.includes(code)
        ? { kind: AttemptKind.NotSent, reason: "the endpoint cannot be reached" }
        : doubtfulAttempt(`no answer: ${error instanceof Error ? error.message : String(error)}`);
};

const post = async (
    client: HttpClient,
    path: string,
    body: unknown,
    timeoutMs: number,
    cancellation?: Cancellation,
): Promise<HttpReply> => {
    const abortController = new AbortController();
    const abort = (reason: string): void => abortController.abort(new Error(reason));
    const timeout = setTimeout(
        () => abort(`nothing within ${Math.round(timeoutMs)} ms`),
        Math.max(1, Math.ceil(timeoutMs)),
    );
    cancellation?.subscribe(() => abort("no longer needed"));
    try {
        const response = await client.request({
            method: "POST",
            path,
            headers: { "content-type": "application/json" },
            body: JSON.stringify(body),
            signal: abortController.signal,
        });
        return { status: response.statusCode, headers: response.headers, text: await response.body.text() };
    }
    finally {
        clearTimeout(timeout);
    }
};

/** Creates the connection pool of an endpoint; connections open on demand. */
export const createEndpointConnections = (httpAddress: string): EndpointConnections => {
    const idle: HttpClient[] = [];
    const open = new Set<HttpClient>();

    const acquire = (): HttpClient => {
        const reused = idle.pop();
        if (reused !== undefined) {
            return reused;
        }
        const created = new Client(httpAddress, { pipelining: 1 });
        open.add(created);
        return created;
    };

    const discard = (client: HttpClient): void => {
        open.delete(client);
        void client.destroy();
    };

    const release = (client: HttpClient): void => {
        if (idle.length < maxIdleConnections) {
            idle.push(client);
        }
        else {
            discard(client);
        }
    };

    const send = async (
        request: EndpointRequest,
        timeoutMs: number,
        cancellation?: Cancellation,
    ): Promise<EndpointReply> => {
        const client = acquire();
        try {
            const reply = await post(client, "/v1/calls", request, timeoutMs, cancellation);
            const attempt = classifyReply(request, reply);
            if (attempt.kind === AttemptKind.Doubtful) {
                discard(client);
                return { attempt, leaving: false };
            }
            release(client);
            const leaving = reply.headers.leaving === "true";
            return { attempt, slotsBusy: Number(reply.headers["slots-busy"]), leaving };
        }
        catch (error) {
            discard(client);
            return { attempt: classifyError(error), leaving: false };
        }
    };

    const fence = async (requestId: string, timeoutMs: number): Promise<FenceState | undefined> => {
        const client = acquire();
        try {
            const reply = await post(client, "/v1/calls/fence", { requestId }, timeoutMs);
            release(client);
            const { state } = JSON.parse(reply.text) as { state: FenceState; };
            return Object.values(FenceState).includes(state) ? state : undefined;
        }
        catch {
            discard(client);
            return undefined;
        }
    };

    return {
        send,
        fence,
        openCount: () => open.size,
        close: async () => {
            await Promise.all([...open].map(client => client.close()));
        },
    };
};
