import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { ClosedBy } from "./openRequests.js";
import type { OpenRequests } from "./openRequests.js";

/** An HTTP response with a JSON body; a body that is a string is sent as it is. */
export interface JsonAnswer {
    status: number;
    body: unknown;
    headers?: Record<string, string>;
}

/** A request whose body has been read and parsed. */
export interface JsonRequest {
    method: string;
    /** Path without the query string. */
    path: string;
    query: URLSearchParams;
    headers: IncomingMessage["headers"];
    /** Parsed body; `undefined` when the request had none. */
    body: unknown;
    /** Aborted when the caller closes the connection before the response was sent. */
    callerGone: AbortSignal;
}

/** Handles one request; a rejected promise is answered with status 500. */
export type JsonHandler = (request: JsonRequest) => Promise<JsonAnswer>;

/** Options of {@link createJsonServer}. */
export interface JsonServerOptions {
    /** Maximum size of a request body in bytes; larger ones are answered with status 413. @default 65536 */
    maxBodyBytes?: number;
    /** Registry of the requests in progress. @default none */
    openRequests?: OpenRequests;
}

const defaultMaxBodyBytes = 65_536;

/** An RFC 9457 problem document. */
export interface ProblemDetails {
    title: string;
    status: number;
    detail: string;
    [extension: string]: unknown;
}

/** Builds a response whose body is a problem document. */
export const problemAnswer = (problem: ProblemDetails, headers: Record<string, string> = {}): JsonAnswer => ({
    status: problem.status,
    body: problem,
    headers: { "content-type": "application/problem+json", ...headers },
});

type BodyResult = { kind: "parsed"; body: unknown; } | { kind: "tooLarge"; } | { kind: "malformed"; };

const readBody = async (message: IncomingMessage, maxBodyBytes: number): Promise<BodyResult> => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    for await (const chunk of message) {
        sizeBytes += (chunk as Buffer).length;
        if (sizeBytes <= maxBodyBytes) {
            chunks.push(chunk as Buffer);
        }
    }
    if (sizeBytes > maxBodyBytes) {
        return { kind: "tooLarge" };
    }
    if (sizeBytes === 0) {
        return { kind: "parsed", body: undefined };
    }
    try {
        return { kind: "parsed", body: JSON.parse(Buffer.concat(chunks).toString("utf8")) };
    }
    catch {
        return { kind: "malformed" };
    }
};

/** Response to the newest request of each connection; a caller may send it before the previous one is answered. */
const newestResponses = new WeakMap<Socket, ServerResponse>();

/** Drops a wish to close the connection while it carries a later request, which has to be answered, too. */
const headersOf = (response: ServerResponse, { headers = {} }: JsonAnswer): Record<string, string> => {
    if (newestResponses.get(response.req.socket) === response) {
        return headers;
    }
    return Object.fromEntries(Object.entries(headers).filter(([name]) => name !== "connection"));
};

const writeAnswer = (response: ServerResponse, answer: JsonAnswer): void => {
    if (response.headersSent || response.destroyed) {
        return;
    }
    // a string is sent as it is, for formats other than JSON
    const text = typeof answer.body === "string" ? answer.body : JSON.stringify(answer.body ?? {});
    response.writeHead(answer.status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
        ...headersOf(response, answer),
    });
    response.end(text);
};

const invalidBodyAnswer = (kind: "tooLarge" | "malformed", maxBodyBytes: number): JsonAnswer => {
    const extensions = { outcome: "notRun" };
    return kind === "tooLarge"
        ? problemAnswer({
            title: "body too large",
            status: 413,
            detail: `at most ${maxBodyBytes} bytes`,
            ...extensions,
        })
        : problemAnswer({ title: "malformed body", status: 400, detail: "the body is not JSON", ...extensions });
};

/** Tells who closed the connection of a response that is not complete; `undefined` if the response is complete. */
const closedByOf = (response: ServerResponse): ClosedBy | undefined => {
    if (response.writableFinished) {
        return undefined;
    }
    const { socket } = response.req;
    return socket.errored !== null || socket.readableEnded ? ClosedBy.Caller : ClosedBy.Server;
};

/** Base of request targets, which are paths. */
const baseUrl = "http://localhost";

const answerRequest = async (
    message: IncomingMessage,
    response: ServerResponse,
    handler: JsonHandler,
    maxBodyBytes: number,
    openRequests: OpenRequests | undefined,
): Promise<void> => {
    const abortController = new AbortController();
    const target = message.url ?? "/";
    if (!URL.canParse(target, baseUrl)) {
        const detail = "the request target is no URL";
        writeAnswer(response, problemAnswer({ title: "malformed target", status: 400, detail, outcome: "notRun" }));
        return;
    }
    const url = new URL(target, baseUrl);
    const method = message.method ?? "GET";
    const openRequest = openRequests?.add(method, url.pathname, answer => writeAnswer(response, answer));
    response.once("close", () => {
        if (openRequest !== undefined) {
            openRequests?.remove(openRequest, closedByOf(response));
        }
        abortController.abort();
    });
    const bodyResult = await readBody(message, maxBodyBytes);
    if (response.headersSent) {
        return;
    }
    if (bodyResult.kind !== "parsed") {
        writeAnswer(response, invalidBodyAnswer(bodyResult.kind, maxBodyBytes));
        return;
    }
    if (openRequest !== undefined) {
        openRequest.isHandled = true;
    }
    const request = {
        method,
        path: url.pathname,
        query: url.searchParams,
        headers: message.headers,
        body: bodyResult.body,
        callerGone: abortController.signal,
    };
    writeAnswer(response, await handler(request));
};

/** Creates an HTTP server that parses JSON bodies, responds in JSON and answers an unexpected error with a 500. */
export const createJsonServer = (handler: JsonHandler, options: JsonServerOptions = {}): Server => {
    const maxBodyBytes = options.maxBodyBytes ?? defaultMaxBodyBytes;
    return createServer((message, response) => {
        newestResponses.set(message.socket, response);
        answerRequest(message, response, handler, maxBodyBytes, options.openRequests).catch((error: unknown) =>
            writeAnswer(
                response,
                problemAnswer({ title: "internal error", status: 500, detail: String(error), outcome: "unknown" }),
            )
        );
    });
};

/** Starts listening and resolves with the bound port; rejects when the address cannot be bound. */
export const listen = (server: Server, host: string, port: number): Promise<number> =>
    new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => {
            const address = server.address();
            resolve(typeof address === "object" && address !== null ? address.port : port);
        });
    });

/** Resolves after the event loop has accepted the connections and read the data that had arrived. */
export const readArrived = async (): Promise<void> => {
    // the first callback may run without polling the sockets again, the second runs one turn of the event loop later
    await new Promise<void>(resolve => setImmediate(() => setImmediate(resolve)));
};

/** Turns of the event loop for which a closing server accepts waiting connections: the length of the backlog. */
const maxAcceptTurns = 511;

/** Accepts the connections in the backlog, of which the event loop takes one in each turn. */
const acceptBacklog = async (server: Server): Promise<void> => {
    let accepted = 0;
    const count = (): void => {
        accepted += 1;
    };
    server.on("connection", count);
    for (let turn = 0, before = -1; turn < maxAcceptTurns && accepted > before; turn++) {
        before = accepted;
        await readArrived();
    }
    server.off("connection", count);
};

/** Stops accepting connections and resolves when all requests in progress have been answered. */
export const closeGracefully = async (server: Server): Promise<void> => {
    // closing resets connections in the backlog and idle ones with unread data, and a busy event loop leaves both
    await acceptBacklog(server);
    await new Promise<void>(resolve => {
        server.close(() => resolve());
        server.closeIdleConnections();
    });
};
