import type { Socket } from "node:net";
import type { BodyReading } from "./readBody.js";
import { refusalAnswer, RefusalCause } from "./refusals.js";
import type { RequestIntake } from "./requestIntake.js";
import { createRequestQueues } from "./requestQueue.js";
import type { RequestQueue } from "./requestQueue.js";
import { chooseConnectionToClose, ConnectionUse } from "./shedding.js";
import type { ConnectionState } from "./shedding.js";

/** A request on a connection whose limits are checked. */
export interface LimitedRequest {
    /**
     * Notes that the request is complete, so that it is not refused any more. Resolves when it may be handled, with
     * `false` if its connection was closed before that.
     */
    received(): Promise<boolean>;
    /** Refuses the request, whose body is incomplete. */
    refuse(cause: RefusalCause): void;
    /** Notes that the request is answered or its connection closed. */
    end(): void;
}

/** Options of {@link ConnectionLimit.begin}. */
export interface LimitedRequestOptions {
    reading: BodyReading;
    /** Answers the request while its body is incomplete. */
    refuse: (cause: RefusalCause) => void;
    /** Called once when the request is answered or its connection closed. */
    onEnd: () => void;
}

/** Options of {@link createConnectionLimit}. */
export interface ConnectionLimitOptions {
    /** Name of the server in decisions. */
    server: string;
    maxConnections: number;
    intake: RequestIntake;
}

/** The connections of a server, whose number is bounded. */
export interface ConnectionLimit {
    /** Adds a new connection, and closes another one or this one when there are too many. */
    accept(socket: Socket): void;
    /** Adds a request; closes the connection that waits for most answers when there are too many pipelined requests. */
    begin(socket: Socket, options: LimitedRequestOptions): LimitedRequest;
    /** Refuses what the parser did not accept, or did not get in time. */
    refuseInvalid(error: NodeJS.ErrnoException, socket: Socket): void;
}

interface Connection extends ConnectionState {
    socket: Socket;
    openedAtMs: number;
    /** Time at which a request began, was received or was answered last. */
    changedAtMs: number;
    requestCount: number;
    /** Requests that are complete and not answered. */
    handledCount: number;
    queue: RequestQueue;
    /** Ends the requests that are not answered. */
    ends: Set<() => void>;
    /** The request whose body is being received. */
    receiving?: { reading: BodyReading; refuse: (cause: RefusalCause) => void; };
    /** Whether nothing more is read from it. */
    isRefused: boolean;
}

const useOf = ({ requestCount, handledCount, receiving, isRefused }: Connection): ConnectionUse => {
    if (handledCount > 0) {
        return ConnectionUse.Handling;
    }
    if (isRefused) {
        return ConnectionUse.Refused;
    }
    if (receiving !== undefined) {
        return ConnectionUse.Receiving;
    }
    return requestCount > 0 ? ConnectionUse.Idle : ConnectionUse.Unused;
};

const createConnection = (socket: Socket, queue: RequestQueue, nowMs: number): Connection => ({
    socket,
    openedAtMs: nowMs,
    changedAtMs: nowMs,
    requestCount: 0,
    handledCount: 0,
    queue,
    ends: new Set(),
    isRefused: false,
    get use() {
        return useOf(this);
    },
    get progressedAtMs() {
        return this.receiving?.reading.progressedAtMs() ?? this.changedAtMs;
    },
    get heldBytes() {
        return this.receiving?.reading.heldBytes() ?? 0;
    },
});

/** Finds the open connection with the most unanswered requests, at least two. */
const findMostPipelined = (connections: Iterable<Connection>): Connection | undefined => {
    let largest: Connection | undefined;
    for (const connection of connections) {
        if (!connection.socket.destroyed && connection.queue.size() > (largest?.queue.size() ?? 1)) {
            largest = connection;
        }
    }
    return largest;
};

const causesByCode: Record<string, RefusalCause> = {
    ERR_HTTP_REQUEST_TIMEOUT: RefusalCause.HeaderTimeout,
    HPE_HEADER_OVERFLOW: RefusalCause.HeadersTooLarge,
    HPE_CHUNK_EXTENSIONS_OVERFLOW: RefusalCause.HeadersTooLarge,
};

/** Text of an answer on a connection without a request. */
const formatAnswer = (cause: RefusalCause): string => {
    const { status, body, headers } = refusalAnswer(cause);
    const text = JSON.stringify(body);
    const lines = Object.entries({ ...headers, "content-length": Buffer.byteLength(text) });
    const head = lines.map(([name, value]) => `${name}: ${value}\r\n`).join("");
    return `HTTP/1.1 ${status} ${(body as { title: string; }).title}\r\n${head}\r\n${text}`;
};

/** Inputs of a decision about a connection. */
const measure = (connection: Connection, nowMs: number) => ({
    clients: 1,
    ageMs: Math.round(nowMs - connection.openedAtMs),
    stalledMs: Math.round(nowMs - connection.progressedAtMs),
    heldBytes: connection.heldBytes,
});

/** Refuses the incomplete request on a connection, which is then read no further. */
const refuseReceiving = (connection: Connection, cause: RefusalCause, nowMs: number): void => {
    const { receiving } = connection;
    receiving?.reading.close();
    receiving?.refuse(cause);
    connection.receiving = undefined;
    connection.isRefused = true;
    connection.changedAtMs = nowMs;
};

/** Adds a connection to those that share the turns of the event loop. */
const shareTurns = (socket: Socket, server: string, { turns }: RequestIntake): void => {
    // Node.js resumes connections by this method, too
    socket.resume = () => {
        turns.resume(socket);
        return socket;
    };
    socket.pause = () => {
        turns.pause(socket);
        return socket;
    };
    // Node.js resumes a new connection in the next tick, whether it was paused or not
    process.nextTick(() => {
        if (!socket.destroyed) {
            turns.add(socket, server);
        }
    });
};

/** Creates the bound on the connections of a server. */
export const createConnectionLimit = ({ server, maxConnections, intake }: ConnectionLimitOptions): ConnectionLimit => {
    const connections = new Map<Socket, Connection>();
    const queues = createRequestQueues();

    const touch = (connection: Connection): void => {
        connection.changedAtMs = intake.nowMs();
    };

    const report = (connection: Connection, cause: RefusalCause): void =>
        intake.report({ server, cause, inProgress: connections.size, ...measure(connection, intake.nowMs()) });

    const makeRoom = (newcomer: Connection): void => {
        const chosen = chooseConnectionToClose(connections.values(), intake.nowMs());
        const closed = chosen ?? newcomer;
        report(closed, RefusalCause.ConnectionLimit);
        if (chosen === undefined) {
            newcomer.socket.write(formatAnswer(RefusalCause.ConnectionLimit));
        }
        else if (chosen.use === ConnectionUse.Receiving) {
            refuseReceiving(chosen, RefusalCause.ConnectionLimit, intake.nowMs());
        }
        // at once, without the time to read an answer: the new connection needs the descriptor
        closed.socket.destroy();
        connections.delete(closed.socket);
    };

    const accept = (socket: Socket): void => {
        const connection = createConnection(socket, queues.create(), intake.nowMs());
        if (connections.size >= maxConnections) {
            makeRoom(connection);
        }
        if (!socket.destroyed) {
            connections.set(socket, connection);
            shareTurns(socket, server, intake);
            socket.once("close", () => {
                connections.delete(socket);
                intake.turns.remove(socket);
                // the responses to pipelined requests do not notice it
                connection.queue.close();
                connection.ends.forEach(end => end());
            });
        }
    };

    const boundPipelining = (): void => {
        if (queues.pipelinedCount() <= intake.limits.maxPipelinedRequests) {
            return;
        }
        const largest = findMostPipelined(connections.values());
        if (largest !== undefined) {
            report(largest, RefusalCause.Pipelining);
            largest.socket.destroy();
        }
    };

    const begin: ConnectionLimit["begin"] = (socket, { reading, refuse, onEnd }) => {
        const connection = connections.get(socket) ?? createConnection(socket, queues.create(), intake.nowMs());
        const receiving = { reading, refuse };
        const request = connection.queue.add();
        let isReceived = false;
        /** A later request may have begun on the connection by now. */
        const stopReceiving = (): void => {
            if (connection.receiving === receiving) {
                connection.receiving = undefined;
            }
        };
        const end = (): void => {
            if (!request.end()) {
                return;
            }
            connection.ends.delete(end);
            connection.handledCount -= isReceived ? 1 : 0;
            stopReceiving();
            touch(connection);
            intake.turns.recordAnswer(socket);
            onEnd();
            if (connection.use === ConnectionUse.Refused) {
                socket.end();
                intake.destroyLater(socket);
            }
        };
        connection.receiving = receiving;
        connection.requestCount += 1;
        connection.ends.add(end);
        touch(connection);
        boundPipelining();
        return {
            received: () => {
                isReceived = true;
                stopReceiving();
                connection.handledCount += 1;
                touch(connection);
                return request.turn();
            },
            refuse: cause => {
                if (cause === RefusalCause.BodyTooLarge) {
                    // the budget reports the others itself
                    report(connection, cause);
                }
                refuseReceiving(connection, cause, intake.nowMs());
            },
            end,
        };
    };

    const refuseInvalid = (error: NodeJS.ErrnoException, socket: Socket): void => {
        const connection = connections.get(socket);
        if (connection === undefined || !socket.writable) {
            socket.destroy();
            return;
        }
        if (connection.isRefused) {
            return;
        }
        const cause = causesByCode[error.code ?? ""] ?? RefusalCause.Malformed;
        report(connection, cause);
        socket.pause();
        if (connection.receiving !== undefined) {
            refuseReceiving(connection, cause, intake.nowMs());
            return;
        }
        connection.isRefused = true;
        // a complete request that waits for its answer keeps the connection until it has got it
        if (connection.handledCount === 0) {
            socket.end(formatAnswer(cause));
            intake.destroyLater(socket);
        }
    };

    return { accept, begin, refuseInvalid };
};
