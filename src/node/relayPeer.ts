import type { Peer } from "../state/peerDirectory.js";
import type { RelayPeer, RelayReply, RelayRequest } from "../state/relay.js";
import { isRelayReply } from "../state/relayMessages.js";
import { StateErrorKind } from "../state/types.js";
import type { HttpAnswer } from "../utils/httpJsonClient.js";
import { fail } from "../utils/result.js";
import { createPeerClients } from "./peerClients.js";

/** Path under which a VM performs table operations for another VM. */
export const relayPath = "/v1/relay";
/** Timeout of a relayed operation on top of its own wait; the peer may be at it longer, then its outcome is unknown. */
const relayTimeoutMs = 900;
/** Limits on connections to a peer; long polls have their own, so that no other operation waits for one to end. */
const maxConnections = 4;
const maxLongPollConnections = 4;
const okStatus = 200;
const minRejectionStatus = 400;
const minServerErrorStatus = 500;

/** A peer rejects a request before it performs it; any other answer that is not a reply leaves the outcome unknown. */
const decodeReply = (peerName: string, request: RelayRequest, { status, body }: HttpAnswer): RelayReply => {
    if (status === okStatus && isRelayReply(body, request)) {
        return body;
    }
    const isRejection = status >= minRejectionStatus && status < minServerErrorStatus;
    return fail({
        kind: isRejection ? StateErrorKind.Unavailable : StateErrorKind.NoAnswer,
        detail: `${peerName} answered ${status} without a reply`,
    });
};

/** Creates relay clients for other VMs; two HTTP clients for each address are created and reused. */
export const createRelayPeers = (others: () => readonly Peer[]): () => RelayPeer[] => {
    const findClient = createPeerClients(maxConnections);
    const findLongPollClient = createPeerClients(maxLongPollConnections);
    const perform = async (peer: Peer, request: RelayRequest): Promise<RelayReply> => {
        const waitMs = request.operation === "changes" ? request.waitMs : 0;
        const client = (request.operation === "changes" ? findLongPollClient : findClient)(peer.address);
        const outcome = await client.call({
            method: "POST",
            path: relayPath,
            body: request,
            timeoutMs: relayTimeoutMs + waitMs,
        });
        if (!outcome.ok) {
            const kind = outcome.failure.notSent ? StateErrorKind.Unavailable : StateErrorKind.NoAnswer;
            return fail({ kind, detail: `${peer.name}: ${outcome.failure.detail}` });
        }
        return decodeReply(peer.name, request, outcome.answer);
    };
    return () => others().map(peer => ({ name: peer.name, perform: request => perform(peer, request) }));
};
