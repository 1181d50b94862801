import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";

/** An HTTP answer with a JSON body. */
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
    /** Aborted when the caller closes its connection before the answer. */
    callerGone: AbortSignal;
}

/** Answers one request. */
export type JsonHandler = (request: JsonRequest) => Promise<JsonAnswer>;

/** Options of {@link createJsonServer}. */
export interface JsonServerOptions {
    /** Largest accepted body. @default 65536 */
    maxBodyBytes?: number;
}

const defaultMaxBodyBytes = 65_536;

/** An RFC 9457 problem document. */
export interface ProblemDetails {
    title: string;
    status: number;
    detail: string;
    [extension: string]: unknown;
}

/** Builds an answer that carries problem details. */
export const problemAnswer = (problem: ProblemDetails, headers: Record<string, string> = {}): JsonAnswer => ({
    status: problem.status,
    body: problem,
    headers: { "content-type": "application/problem+json", ...headers },
});

type BodyRead = { kind: "parsed"; body: unknown; } | { kind: "tooLarge"; } | { kind: "malformed"; };

const readBody = async (message: IncomingMessage, maxBodyBytes: number): Promise<BodyRead> => {
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

const writeAnswer = (response: ServerResponse, answer: JsonAnswer): void => {
    // a text goes out as it is, for formats other than JSON
    const text = typeof answer.body === "string" ? answer.body : JSON.stringify(answer.body ?? {});
    response.writeHead(answer.status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
        ...answer.headers,
    });
    response.end(text);
};

const badBodyAnswer = (kind: "tooLarge" | "malformed", maxBodyBytes: number): JsonAnswer => {
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

const answerRequest = async (
    message: IncomingMessage,
    response: ServerResponse,
    handler: JsonHandler,
    maxBodyBytes: number,
): Promise<void> => {
    const gone = new AbortController();
    response.once("close", () => gone.abort());
    const read = await readBody(message, maxBodyBytes);
    if (read.kind !== "parsed") {
        writeAnswer(response, badBodyAnswer(read.kind, maxBodyBytes));
        return;
    }
    const url = new URL(message.url ?? "/", "http://localhost");
    const request = {
        method: message.method ?? "GET",
        path: url.pathname,
        query: url.searchParams,
        headers: message.headers,
        body: read.body,
        callerGone: gone.signal,
    };
    writeAnswer(response, await handler(request));
};

/** Creates an HTTP server that parses JSON bodies, answers JSON and turns an unexpected error into a 500. */
export const createJsonServer = (handler: JsonHandler, options: JsonServerOptions = {}): Server => {
    const maxBodyBytes = options.maxBodyBytes ?? defaultMaxBodyBytes;
    return createServer((message, response) => {
        answerRequest(message, response, handler, maxBodyBytes).catch((error: unknown) => {
            if (!response.headersSent && !response.destroyed) {
                writeAnswer(
                    response,
                    problemAnswer({ title: "internal error", status: 500, detail: String(error), outcome: "unknown" }),
                );
            }
        });
    });
};

/** Starts listening and resolves with the bound port. */
export const listen = (server: Server, host: string, port: number): Promise<number> =>
    new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => {
            const address = server.address();
            resolve(typeof address === "object" && address !== null ? address.port : port);
        });
    });

/** Stops accepting connections and resolves once every open request has been answered. */
export const closeGracefully = (server: Server): Promise<void> =>
    new Promise(resolve => {
        server.close(() => resolve());
        server.closeIdleConnections();
    });
