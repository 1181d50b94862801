import type { MethodDefinition } from "@grpc/grpc-js";
import type { Snapshot } from "../configuration/types.js";
import type { Empty, Heartbeat, RelayReply, RelayRequest, SnapshotReply, SnapshotRequest } from "./types.js";

/** Request and reply type of every method between peers. */
export interface PeerMethods {
    heartbeat: { request: Heartbeat; reply: Heartbeat; };
    fetchSnapshot: { request: SnapshotRequest; reply: SnapshotReply; };
    offerSnapshot: { request: Snapshot; reply: Empty; };
    relay: { request: RelayRequest; reply: RelayReply; };
}

const encode = (message: unknown): Buffer => Buffer.from(JSON.stringify(message));

const defineMethod = <Name extends keyof PeerMethods>(
    name: Name,
): MethodDefinition<PeerMethods[Name]["request"], PeerMethods[Name]["reply"]> => ({
    path: `/catkinswitch.Peer/${name}`,
    requestStream: false,
    responseStream: false,
    requestSerialize: encode,
    requestDeserialize: bytes => JSON.parse(bytes.toString("utf8")) as PeerMethods[Name]["request"],
    responseSerialize: encode,
    responseDeserialize: bytes => JSON.parse(bytes.toString("utf8")) as PeerMethods[Name]["reply"],
});

/** gRPC definition of the service between peers, with JSON messages. */
export const peerService = {
    heartbeat: defineMethod("heartbeat"),
    fetchSnapshot: defineMethod("fetchSnapshot"),
    offerSnapshot: defineMethod("offerSnapshot"),
    relay: defineMethod("relay"),
};
