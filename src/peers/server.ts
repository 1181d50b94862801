import { Server, ServerCredentials, status } from "@grpc/grpc-js";
import type { handleUnaryCall } from "@grpc/grpc-js";
import { peerService } from "./service.js";
import type { PeerMethods } from "./service.js";

/** Handlers of the gRPC methods, by name. */
export type PeerHandlers = {
    [Name in keyof PeerMethods]: (request: PeerMethods[Name]["request"]) => Promise<PeerMethods[Name]["reply"]>;
};

/** A running gRPC server for peers. */
export interface PeerServer {
    /** Port that the server is bound to. */
    port: number;
    /** Stops accepting requests, waits a second for those in progress and cancels the rest. */
    close(): Promise<void>;
}

const toHandler =
    <Request, Reply>(handle: (request: Request) => Promise<Reply>): handleUnaryCall<Request, Reply> =>
    (call, respond) => {
        handle(call.request).then(
            reply => respond(null, reply),
            (error: unknown) => respond({ code: status.INTERNAL, details: String(error) }),
        );
    };

const closeServer = (server: Server, timeoutMs: number): Promise<void> =>
    new Promise(resolve => {
        const forceTimer = setTimeout(() => server.forceShutdown(), timeoutMs);
        server.tryShutdown(() => {
            clearTimeout(forceTimer);
            resolve();
        });
    });

const maxMessageBytes = 16_000_000;
const closeTimeoutMs = 1_000;

/** Starts the gRPC server for peers on an address such as `127.0.0.1:7100`; port 0 binds a free port. */
export const startPeerServer = (address: string, handlers: PeerHandlers): Promise<PeerServer> => {
    const server = new Server({ "grpc.max_receive_message_length": maxMessageBytes });
    server.addService(peerService, {
        heartbeat: toHandler(handlers.heartbeat),
        fetchSnapshot: toHandler(handlers.fetchSnapshot),
        offerSnapshot: toHandler(handlers.offerSnapshot),
        relay: toHandler(handlers.relay),
    });
    return new Promise((resolve, reject) => {
        server.bindAsync(address, ServerCredentials.createInsecure(), (error, port) => {
            if (error !== null) {
                reject(error);
                return;
            }
            resolve({ port, close: () => closeServer(server, closeTimeoutMs) });
        });
    });
};
