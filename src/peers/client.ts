import { Client, credentials, status } from "@grpc/grpc-js";
import type { ServiceError } from "@grpc/grpc-js";
import { fail, succeed } from "../utils/result.js";
import type { Result } from "../utils/result.js";
import { peerService } from "./service.js";
import type { PeerMethods } from "./service.js";
import { PeerErrorKind } from "./types.js";
import type { PeerError } from "./types.js";

/** gRPC client of one peer. */
export interface PeerClient {
    /** Calls a method and resolves with its reply or the kind of failure. */
    call<Name extends keyof PeerMethods>(
        name: Name,
        request: PeerMethods[Name]["request"],
    ): Promise<Result<PeerMethods[Name]["reply"], PeerError>>;
    close(): void;
}

/** Options of {@link createPeerClient}. */
export interface PeerClientOptions {
    /** Address such as `127.0.0.1:7100`. */
    address: string;
    /** Time after which a request fails as not answered. @default 1000 */
    timeoutMs?: number;
}

const defaultTimeoutMs = 1_000;
const maxMessageBytes = 16_000_000;
const minReconnectMs = 100;
const maxReconnectMs = 1_000;

const toPeerError = (error: ServiceError): PeerError => ({
    kind: error.code === status.UNAVAILABLE ? PeerErrorKind.Unreachable : PeerErrorKind.NoAnswer,
    detail: error.details,
});

/** Creates the client of a peer; it connects on the first request. */
export const createPeerClient = (options: PeerClientOptions): PeerClient => {
    const timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
    const client = new Client(options.address, credentials.createInsecure(), {
        "grpc.max_receive_message_length": maxMessageBytes,
        "grpc.initial_reconnect_backoff_ms": minReconnectMs,
        "grpc.max_reconnect_backoff_ms": maxReconnectMs,
        "grpc.use_local_subchannel_pool": 1,
    });
    return {
        call: (name, request) =>
            new Promise(resolve => {
                const method = peerService[name];
                client.makeUnaryRequest(
                    method.path,
                    method.requestSerialize as (value: unknown) => Buffer,
                    method.responseDeserialize as (bytes: Buffer) => PeerMethods[typeof name]["reply"],
                    request,
                    { deadline: Date.now() + timeoutMs },
                    (error, reply) => {
                        if (error !== null || reply === undefined) {
                            resolve(
                                fail(
                                    error === null
                                        ? { kind: PeerErrorKind.NoAnswer, detail: "empty" }
                                        : toPeerError(error),
                                ),
                            );
                            return;
                        }
                        resolve(succeed(reply));
                    },
                );
            }),
        close: () => client.close(),
    };
};
