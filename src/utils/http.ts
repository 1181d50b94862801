import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer } from "node:net";
import type { Socket } from "node:net";
import { createConnectionLimit } from "./connectionLimit.js";
import type { ConnectionLimit } from "./connectionLimit.js";
import { ClosedBy } from "./openRequests.js";
import type { OpenRequests } from "./openRequests.js";
import { readArrived } from "./readArrived.js";
import { parseBody, startReadingBody, stopReading } from "./readBody.js";
import { refusalAnswer, RefusalCause } from "./refusals.js";
import { createDefaultIntake } from "./requestIntake.js";
import type { RequestIntake } from "./requestIntake.js";

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
    /** Limits that the servers of a process share. @default limits of its own */
    intake?: RequestIntake;
    /** Maximum number of connections; further ones take the places of those that do least. @default unlimited */
    maxConnections?: number;
    /** Name in decisions to refuse clients. @default "http" */
    name?: string;
}

const defaultMaxBodyBytes = 65_536;
/** Maximum size of the headers of a request, the documented limit of callers. */
const maxHeaderBytes = 16_384;

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

const malformedBodyAnswer = problemAnswer({
    title: "malformed body",
    status: 400,
    detail: "the body is not JSON",
    outcome: "notRun",
});

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

/** What answers the requests of one server. */
interface RequestContext {
    handler: JsonHandler;
    maxBodyBytes: number;
    openRequests: OpenRequests | undefined;
    intake: RequestIntake;
    connections: ConnectionLimit;
}

/** Answers a request whose body is not read further, and closes its connection. */
const refuse = (
    message: IncomingMessage,
    response: ServerResponse,
    answer: JsonAnswer,
    intake: RequestIntake,
): void => {
    stopReading(message);
    // a connection that is destroyed with unread data is reset, and its client may lose the answer
    message.socket.destroySoon = () => {
        message.socket.end();
        intake.destroyLater(message.socket);
    };
    writeAnswer(response, answer);
};

const refusalOfBody = (cause: RefusalCause, maxBodyBytes: number): JsonAnswer =>
    refusalAnswer(cause, cause === RefusalCause.BodyTooLarge ? `at most ${maxBodyBytes} bytes` : undefined);

/** Parses a body when it is its turn, and calls the handler; `undefined` if the request was answered meanwhile. */
const parseAndHandle = async (
    bytes: Buffer,
    response: ServerResponse,
    intake: RequestIntake,
    handle: (body: unknown) => Promise<JsonAnswer>,
): Promise<JsonAnswer | undefined> => {
    const turn = intake.parsing.add(bytes.length);
    response.once("close", turn.end);
    try {
        await turn.ready;
        if (response.headersSent || response.destroyed || response.req.socket.destroyed) {
            return undefined;
        }
        const parsed = parseBody(bytes);
        turn.parsed();
        return parsed.kind === "parsed" ? await handle(parsed.body) : malformedBodyAnswer;
    }
    finally {
        turn.end();
    }
};

/** Reads the body and calls the handler; the request counts as receiving, then as handled until it is answered. */
const readAndHandle = async (
    message: IncomingMessage,
    response: ServerResponse,
    context: RequestContext,
    handle: (body: unknown) => Promise<JsonAnswer>,
    onEnd: () => void,
): Promise<void> => {
    const { maxBodyBytes, intake, connections } = context;
    const reading = startReadingBody(message, { maxBodyBytes, intake, isAnswered: () => response.headersSent });
    const request = connections.begin(message.socket, {
        reading,
        refuse: cause => refuse(message, response, refusalOfBody(cause, maxBodyBytes), intake),
        onEnd,
    });
    response.once("close", request.end);
    try {
        const bodyResult = await reading.result;
        if (response.headersSent || bodyResult.kind === "brokenOff") {
            return;
        }
        if (bodyResult.kind === "refused") {
            request.refuse(bodyResult.cause);
            return;
        }
        if (!await request.received() || response.headersSent) {
            return;
        }
        const answer = await parseAndHandle(bodyResult.bytes, response, intake, handle);
        if (answer !== undefined) {
            writeAnswer(response, answer);
        }
    }
    finally {
        reading.close();
    }
};

const answerRequest = async (
    message: IncomingMessage,
    response: ServerResponse,
    context: RequestContext,
): Promise<void> => {
    const { handler, openRequests } = context;
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
    const onEnd = (): void => {
        if (openRequest !== undefined) {
            openRequests?.remove(openRequest, closedByOf(response));
        }
        abortController.abort();
    };
    const handle = (body: unknown): Promise<JsonAnswer> => {
        if (openRequest !== undefined) {
            openRequest.isHandled = true;
        }
        return handler({
            method,
            path: url.pathname,
            query: url.searchParams,
            headers: message.headers,
            body,
            callerGone: abortController.signal,
        });
    };
    await readAndHandle(message, response, context, handle, onEnd);
};

/** Closes a connection without activity; a request may have arrived on it while the event loop was blocked. */
const closeInactive = async (socket: Socket): Promise<void> => {
    const { bytesRead } = socket;
    await readArrived();
    if (socket.bytesRead === bytesRead) {
        socket.destroy();
    }
};

/** Period in which Node.js checks its own limits on time. */
const connectionsCheckingIntervalMs = 1_000;

const intakes = new WeakMap<Server, RequestIntake>();

/** Creates an HTTP server that parses JSON bodies, responds in JSON and answers an unexpected error with a 500. */
export const createJsonServer = (handler: JsonHandler, options: JsonServerOptions = {}): Server => {
    const maxBodyBytes = options.maxBodyBytes ?? defaultMaxBodyBytes;
    const intake = options.intake ?? createDefaultIntake(maxBodyBytes);
    const { headerTimeoutMs, bodyTimeoutMs, inactivityTimeoutMs } = intake.limits;
    const connections = createConnectionLimit({
        server: options.name ?? "http",
        maxConnections: options.maxConnections ?? Infinity,
        intake,
    });
    const context = { handler, maxBodyBytes, openRequests: options.openRequests, intake, connections };
    const server = createServer({
        // it bounds trailers and the extensions of chunks, too
        maxHeaderSize: maxHeaderBytes,
        headersTimeout: headerTimeoutMs,
        // the intake refuses a body earlier, with an answer that says that nothing ran
        requestTimeout: headerTimeoutMs + bodyTimeoutMs + connectionsCheckingIntervalMs,
        connectionsCheckingInterval: connectionsCheckingIntervalMs,
    }, (message, response) => {
        if (message.socket.destroyed) {
            // the rest of what was read from a connection that was closed meanwhile
            return;
        }
        newestResponses.set(message.socket, response);
        answerRequest(message, response, context).catch((error: unknown) =>
            writeAnswer(
                response,
                problemAnswer({ title: "internal error", status: 500, detail: String(error), outcome: "unknown" }),
            )
        );
    });
    intakes.set(server, intake);
    server.timeout = inactivityTimeoutMs;
    server.on("connection", connections.accept);
    server.on("clientError", connections.refuseInvalid);
    server.on("timeout", socket => void closeInactive(socket));
    return server;
};

/** Ends the wait for the last connection of a server that is closing. */
const endWaits = new WeakMap<Server, () => void>();

/** A server that listens reports errors of single connections, of which their clients learn. */
const ignoreError = (): void => {};

/** Starts listening and resolves with the bound port; rejects when the address cannot be bound. */
export const listen = (server: Server, host: string, port: number): Promise<number> =>
    new Promise((resolve, reject) => {
        const onError = (error: Error): void => {
            server.off("listening", onListening);
            reject(error);
        };
        const onListening = (): void => {
            server.off("error", onError);
            if (server.listenerCount("error") === 0) {
                server.on("error", ignoreError);
            }
            const address = server.address();
            resolve(typeof address === "object" && address !== null ? address.port : port);
        };
        endWaits.get(server)?.();
        server.once("error", onError);
        server.once("listening", onListening);
        server.listen(port, host);
    });

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

/** Resolves when the last connection of a closing server has ended, or when the server listens again. */
const awaitClosed = (server: Server): Promise<void> =>
    new Promise(resolve => {
        const end = (): void => {
            server.off("close", end);
            endWaits.delete(server);
            resolve();
        };
        server.once("close", end);
        endWaits.set(server, end);
    });

/**
 * Stops accepting connections and resolves when all requests in progress have been answered, or when the server listens
 * again.
 */
export const closeGracefully = async (server: Server): Promise<void> => {
    // closing resets connections in the backlog and idle ones with unread data, and a busy event loop leaves both
    await acceptBacklog(server);
    await intakes.get(server)?.turns.readArrived();
    if (!server.listening) {
        return;
    }
    const closed = awaitClosed(server);
    // an HTTP server's own method would also end the limits on the time of requests on connections that are open
    NetServer.prototype.close.call(server);
    server.closeIdleConnections();
    await closed;
};
