import type { PeerClient } from "../peers/client.js";
import type { RelayReply, RelayRequest } from "../peers/types.js";
import { fail } from "../utils/result.js";
import type { Result } from "../utils/result.js";
import { PlatformErrorKind } from "./types.js";
import type { ChangesRequest, KeyRange, PlatformClient, PlatformError, Transaction } from "./types.js";

/** A platform client that sends requests through a peer while the platform cannot be reached directly. */
export interface RelayedPlatform extends PlatformClient {
    /** Whether the platform answered the latest request that was sent to it directly; `true` before the first one. */
    isReachableDirectly(): boolean;
}

/** Requests that are sent only to a peer between two attempts to reach an unreachable platform directly. */
const requestsBetweenDirectAttempts = 10;

/** Performs an operation for a peer, directly only: a relayed operation is never relayed again. */
export const performRelay = async (direct: PlatformClient, request: RelayRequest): Promise<RelayReply> => {
    switch (request.operation) {
        case "read":
            return { result: await direct.read(String(request.argument)) };
        case "scan":
            return { result: await direct.scan(request.argument as KeyRange) };
        case "changes":
            return { result: await direct.changes(request.argument as ChangesRequest) };
        case "commit":
            return { result: await direct.commit(request.argument as Transaction) };
        case "listVms":
            return { result: await direct.listVms(Number(request.argument)) };
    }
};

/** Creates a platform client that falls back to relaying through the peers that reach the platform directly. */
export const createRelayedPlatform = (direct: PlatformClient, reachablePeers: () => PeerClient[]): RelayedPlatform => {
    let isReachable = true;
    let requestsSinceDirectAttempt = 0;

    const performViaPeer = async <Value>(request: RelayRequest): Promise<Result<Value, PlatformError>> => {
        const peer = reachablePeers().at(0);
        if (peer === undefined) {
            return fail({
                kind: PlatformErrorKind.Unavailable,
                detail: "neither the platform nor a peer with access answers",
            });
        }
        const reply = await peer.call("relay", request);
        return reply.ok
            ? reply.value.result as Result<Value, PlatformError>
            : fail({ kind: PlatformErrorKind.NoAnswer, detail: reply.error.detail });
    };

    const shouldTryDirect = (): boolean => {
        requestsSinceDirectAttempt += 1;
        return isReachable || reachablePeers().length === 0
            || requestsSinceDirectAttempt > requestsBetweenDirectAttempts;
    };

    const perform = async <Value>(
        request: RelayRequest,
        performDirectly: () => Promise<Result<Value, PlatformError>>,
    ): Promise<Result<Value, PlatformError>> => {
        if (!shouldTryDirect()) {
            return performViaPeer<Value>(request);
        }
        requestsSinceDirectAttempt = 0;
        const result = await performDirectly();
        isReachable = result.ok || result.error.kind === PlatformErrorKind.Conflict;
        // a write without an answer may have taken effect, so it is not repeated through a peer
        const mayRepeat = request.operation !== "commit"
            || (!result.ok && result.error.kind === PlatformErrorKind.Unavailable);
        return isReachable || !mayRepeat || reachablePeers().length === 0 ? result : performViaPeer<Value>(request);
    };

    return {
        isReachableDirectly: () => isReachable,
        read: key => perform({ operation: "read", argument: key }, () => direct.read(key)),
        scan: range => perform({ operation: "scan", argument: range }, () => direct.scan(range)),
        changes: request => perform({ operation: "changes", argument: request }, () => direct.changes(request)),
        commit: transaction =>
            perform({ operation: "commit", argument: transaction }, () => direct.commit(transaction)),
        listVms: sinceRevision =>
            perform({ operation: "listVms", argument: sinceRevision }, () => direct.listVms(sinceRevision)),
        close: () => direct.close(),
    };
};
