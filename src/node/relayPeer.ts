import type { Peer } from "../state/peerDirectory.js";
import type { RelayPeer, RelayReply, RelayRequest } from "../state/relay.js";
import { StateErrorKind } from "../state/types.js";
import { createHttpClient } from "../utils/httpJsonClient.js";
import type { HttpClient } from "../utils/httpJsonClient.js";
import { fail } from "../utils/result.js";

/** Path under which a VM performs table operations for another VM. */
export const relayPath = "/v1/relay";
/** Timeout of a relayed operation on top of its own wait; the peer's own request would time out soon after. */
const relayTimeoutMs = 900;
const maxConnections = 4;
const okStatus = 200;

/** Creates relay clients for other VMs; one HTTP client for each address is created and reused. */
export const createRelayPeers = (others: () => readonly Peer[]): () => RelayPeer[] => {
    const clients = new Map<string, HttpClient>();
    const findOrCreateClient = (address: string): HttpClient => {
        const client = clients.get(address) ?? createHttpClient(address, maxConnections);
        clients.set(address, client);
        return client;
    };
    const perform = async (peer: Peer, request: RelayRequest): Promise<RelayReply> => {
        const waitMs = request.operation === "changes" ? request.waitMs : 0;
        const outcome = await findOrCreateClient(peer.address).call({
            method: "POST",
            path: relayPath,
            body: request,
            timeoutMs: relayTimeoutMs + waitMs,
        });
        if (!outcome.ok) {
            const kind = outcome.failure.notSent ? StateErrorKind.Unavailable : StateErrorKind.NoAnswer;
            return fail({ kind, detail: `${peer.name}: ${outcome.failure.detail}` });
        }
        if (outcome.answer.status !== okStatus) {
            return fail({ kind: StateErrorKind.Unavailable, detail: `${peer.name} answered ${outcome.answer.status}` });
        }
        return outcome.answer.body as RelayReply;
    };
    return () => others().map(peer => ({ name: peer.name, perform: request => perform(peer, request) }));
};
