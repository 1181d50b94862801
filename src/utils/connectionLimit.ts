import type { Socket } from "node:net";
import type { BodyReading } from "./readBody.js";
import { refusalAnswer, RefusalCause } from "./refusals.js";
import type { RequestIntake } from "./requestIntake.js";
import { chooseConnectionToClose, ConnectionUse } from "./shedding.js";
import type { ConnectionState } from "./shedding.js";

/** A request on a connection whose limits are checked. */
export interface LimitedRequest {
    /** Notes that the request is complete; it is not refused any more. */
    received(): void;
    /** Refuses the request, whose body is incomplete. */
    refuse(cause: RefusalCause): void;
    /** Notes that the request is answered or its connection closed. */
    end(): void;
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
    /** Adds a request; `refuse` answers it while its body is incomplete. */
    begin(socket: Socket, reading: BodyReading, refuse: (cause: RefusalCause) => void): LimitedRequest;
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

const createConnection = (socket: Socket, nowMs: number): Connection => ({
    socket,
    openedAtMs: nowMs,
    changedAtMs: nowMs,
    requestCount: 0,
    handledCount: 0,
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

/** Creates the bound on the connections of a server. */
export const createConnectionLimit = ({ server, maxConnections, intake }: ConnectionLimitOptions): ConnectionLimit => {
    const connections = new Map<Socket, Connection>();

    const touch = (connection: Connection): void => {
        connection.changedAtMs = intake.nowMs();
    };

    const report = (connection: Connection, cause: RefusalCause): void =>
        intake.report({
            server,
            cause,
            clients: 1,
            ageMs: Math.round(intake.nowMs() - connection.openedAtMs),
            stalledMs: Math.round(intake.nowMs() - connection.progressedAtMs),
            heldBytes: connection.heldBytes,
            inProgress: connections.size,
        });

    /** Refuses the incomplete request on a connection, which is then read no further. */
    const refuseReceiving = (connection: Connection, cause: RefusalCause): void => {
        const { receiving } = connection;
        receiving?.reading.close();
        receiving?.refuse(cause);
        connection.receiving = undefined;
        connection.isRefused = true;
        touch(connection);
    };

    const makeRoom = (newcomer: Connection): void => {
        const chosen = chooseConnectionToClose(connections.values(), intake.nowMs());
        const closed = chosen ?? newcomer;
        report(closed, RefusalCause.ConnectionLimit);
        if (chosen === undefined) {
            newcomer.socket.write(formatAnswer(RefusalCause.ConnectionLimit));
        }
        else if (chosen.use === ConnectionUse.Receiving) {
            refuseReceiving(chosen, RefusalCause.ConnectionLimit);
        }
        // at once, without the time to read an answer: the new connection needs the descriptor
        closed.socket.destroy();
        connections.delete(closed.socket);
    };

    const accept = (socket: Socket): void => {
        const connection = createConnection(socket, intake.nowMs());
        if (connections.size >= maxConnections) {
            makeRoom(connection);
        }
        if (!socket.destroyed) {
            connections.set(socket, connection);
            socket.once("close", () => connections.delete(socket));
        }
    };

    const begin: ConnectionLimit["begin"] = (socket, reading, refuse) => {
        const connection = connections.get(socket) ?? createConnection(socket, intake.nowMs());
        const receiving = { reading, refuse };
        let isReceived = false;
        /** A later request may have begun on the connection by now. */
        const stopReceiving = (): void => {
            if (connection.receiving === receiving) {
                connection.receiving = undefined;
            }
        };
        connection.receiving = receiving;
        connection.requestCount += 1;
        touch(connection);
        return {
            received: () => {
                isReceived = true;
                stopReceiving();
                connection.handledCount += 1;
                touch(connection);
            },
            refuse: cause => {
                if (cause === RefusalCause.BodyTooLarge) {
                    // the budget reports the others itself
                    report(connection, cause);
                }
                refuseReceiving(connection, cause);
            },
            end: () => {
                connection.handledCount -= isReceived ? 1 : 0;
                stopReceiving();
                touch(connection);
                if (connection.use === ConnectionUse.Refused) {
                    socket.end();
                    intake.destroyLater(socket);
                }
            },
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
            refuseReceiving(connection, cause);
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
