import type { Client as HttpClient } from "undici";
import { Client } from "../utils/httpClient.js";
import { AttemptKind, FenceState } from "./types.js";
import type { Attempt } from "./types.js";

/** A request as it is sent to an endpoint. */
export interface EndpointRequest {
    /** Unique per attempt; the answer must carry it. */
    requestId: string;
    key?: string;
    customer: string;
    service: string;
    body: unknown;
}

/** An attempt with what the endpoint said of its load. */
export interface EndpointReply {
    attempt: Attempt;
    /** Slots in use, if the endpoint said so. */
    slotsBusy?: number;
    /** Whether the endpoint said that it is leaving. */
    leaving: boolean;
}

/** Connections to one endpoint; each carries one request at a time. */
export interface EndpointConnections {
    send(request: EndpointRequest, timeoutMs: number): Promise<EndpointReply>;
    /** Makes sure that a request cannot start any more, and tells whether it ran. */
    fence(requestId: string, timeoutMs: number): Promise<FenceState | undefined>;
    openCount(): number;
    close(): Promise<void>;
}

const maxIdleConnections = 8;

interface Envelope {
    requestId?: string;
    result?: unknown;
    refused?: boolean;
    failed?: boolean;
    reason?: string;
}

interface RawReply {
    status: number;
    headers: Record<string, string | string[] | undefined>;
    text: string;
}

const doubtful = (reason: string): Attempt => ({ kind: AttemptKind.Doubtful, reason });

const parseEnvelope = (text: string): Envelope | undefined => {
    try {
        return JSON.parse(text) as Envelope;
    }
    catch {
        return undefined;
    }
};

/** Trusts an answer only if it is whole and carries the identity of the request. */
const judge = (request: EndpointRequest, reply: RawReply): Attempt => {
    const length = Number(reply.headers["content-length"]);
    if (length !== Buffer.byteLength(reply.text)) {
        return doubtful("the answer's length is wrong");
    }
    const envelope = parseEnvelope(reply.text);
    if (envelope === undefined) {
        return doubtful("the answer is cut short");
    }
    if (reply.headers["request-id"] !== request.requestId || envelope.requestId !== request.requestId) {
        return doubtful("the answer belongs to another request");
    }
    if (envelope.refused === true) {
        return { kind: AttemptKind.Refused, reason: envelope.reason ?? "refused" };
    }
    if (envelope.failed === true || reply.status !== 200) {
        return { kind: AttemptKind.Failed, reason: envelope.reason ?? `answered ${reply.status}` };
    }
    return { kind: AttemptKind.Done, result: envelope.result };
};

const neverSentCodes = ["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH", "ENETUNREACH"];

const attemptOfError = (error: unknown): Attempt => {
    const code = (error as { code?: string; }).code ?? "";
    return neverSentCodes.includes(code)
        ? { kind: AttemptKind.NotSent, reason: "the endpoint cannot be reached" }
        : doubtful(`no answer: ${String(error)}`);
};

const post = async (client: HttpClient, path: string, body: unknown, timeoutMs: number): Promise<RawReply> => {
    const response = await client.request({
        method: "POST",
        path,
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMs))),
    });
    return { status: response.statusCode, headers: response.headers, text: await response.body.text() };
};

/** Creates the connections to an endpoint. */
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

    const giveBack = (client: HttpClient): void => {
        if (idle.length < maxIdleConnections) {
            idle.push(client);
        }
        else {
            discard(client);
        }
    };

    const send = async (request: EndpointRequest, timeoutMs: number): Promise<EndpointReply> => {
        const client = acquire();
        try {
            const reply = await post(client, "/v1/calls", request, timeoutMs);
            const attempt = judge(request, reply);
            if (attempt.kind === AttemptKind.Doubtful) {
                discard(client);
                return { attempt, leaving: false };
            }
            giveBack(client);
            const leaving = reply.headers.leaving === "true";
            return { attempt, slotsBusy: Number(reply.headers["slots-busy"]), leaving };
        }
        catch (error) {
            discard(client);
            return { attempt: attemptOfError(error), leaving: false };
        }
    };

    const fence = async (requestId: string, timeoutMs: number): Promise<FenceState | undefined> => {
        const client = acquire();
        try {
            const reply = await post(client, "/v1/calls/fence", { requestId }, timeoutMs);
            giveBack(client);
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
