import type { PeerClient } from "../peers/client.js";
import type { RelayReply, RelayRequest } from "../peers/types.js";
import { fail } from "../utils/result.js";
import type { Result } from "../utils/result.js";
import { PlatformErrorKind } from "./types.js";
import type { ChangesRequest, KeyRange, PlatformClient, PlatformError, Transaction } from "./types.js";

/** A platform client that goes through a peer while its own way is cut. */
export interface RelayedPlatform extends PlatformClient {
    /** Whether the platform answered the latest request directly. */
    isDirect(): boolean;
}

/** Requests that go straight to a peer after one that found the platform cut off. */
const requestsBetweenDirectTries = 10;

/** Performs an operation for a peer; a relayed operation is never passed on again. */
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

/** Creates a platform client that falls back to peers with access of their own. */
export const createRelayedPlatform = (direct: PlatformClient, relays: () => PeerClient[]): RelayedPlatform => {
    let isDirect = true;
    let sinceDirectTry = 0;

    const relay = async <Value>(request: RelayRequest): Promise<Result<Value, PlatformError>> => {
        const peer = relays().at(0);
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
        sinceDirectTry += 1;
        return isDirect || relays().length === 0 || sinceDirectTry > requestsBetweenDirectTries;
    };

    const perform = async <Value>(
        request: RelayRequest,
        directly: () => Promise<Result<Value, PlatformError>>,
    ): Promise<Result<Value, PlatformError>> => {
        if (!shouldTryDirect()) {
            return relay<Value>(request);
        }
        sinceDirectTry = 0;
        const result = await directly();
        isDirect = result.ok || result.error.kind === PlatformErrorKind.Conflict;
        // a write without an answer may have taken effect, so it is not sent again
        const mayRepeat = request.operation !== "commit"
            || (!result.ok && result.error.kind === PlatformErrorKind.Unavailable);
        return isDirect || !mayRepeat || relays().length === 0 ? result : relay<Value>(request);
    };

    return {
        isDirect: () => isDirect,
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
