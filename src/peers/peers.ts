import type { ConfigurationFollower } from "../configuration/follower.js";
import type { Snapshot } from "../configuration/types.js";
import type { VmList } from "../platform/types.js";
import { VmKind } from "../platform/types.js";
import type { TimerService, Unsubscribe } from "../utils/timer.js";
import { createPeerClient } from "./client.js";
import type { PeerClient } from "./client.js";
import { Role } from "./types.js";
import type { Heartbeat } from "./types.js";

/** Address and latest heartbeat of a peer; listed in the state dump under these field names. */
export interface PeerStatus {
    vm: string;
    address: string;
    /** Latest heartbeat, if one was received. */
    heartbeat?: Heartbeat;
    /** Monotonic time at which it was received. */
    heardAtMs?: number;
}

/** Options of {@link createPeers}. */
export interface PeersOptions {
    role: Role;
    timer: TimerService;
    follower: ConfigurationFollower;
    /** Builds the heartbeat of this process. */
    describeSelf: () => Heartbeat;
    /** Peer addresses from the settings, by name of the VM. */
    seeds: Record<string, string>;
    /** Time between heartbeats to one peer. @default 1000 */
    heartbeatMs?: number;
    /** Time without a heartbeat after which a peer is not live. @default 2500 */
    lostAfterMs?: number;
}

/** The processes of the same role on the other entry VMs. */
export interface Peers {
    /** Applies the platform's list: adds peers and removes those that are not listed. */
    update(list: VmList): void;
    /** All known peers, live or not. */
    all(): PeerStatus[];
    /** Peers whose latest heartbeat is recent and that are not stopping. */
    live(): PeerStatus[];
    /** Records a heartbeat that a peer sent; ignored from an unknown VM. */
    recordHeartbeat(heartbeat: Heartbeat): void;
    /** Client of a peer; `undefined` if the peer is unknown. */
    clientOf(vm: string): PeerClient | undefined;
    /** Offers a snapshot to all peers in parallel; resolves when each has answered or timed out. */
    broadcastSnapshot(snapshot: Snapshot): Promise<void>;
    /** Exchanges heartbeats with all peers once and adopts the highest version of the configuration. */
    catchUp(): Promise<void>;
    /** Sends the current heartbeat to all peers in parallel, for example when this process is stopping. */
    broadcastHeartbeat(): Promise<void>;
    /** Stops the heartbeats and closes the connections. */
    close(): void;
}

interface Peer {
    status: PeerStatus;
    client: PeerClient;
    stop: Unsubscribe;
}

const defaultHeartbeatMs = 1_000;
const defaultLostAfterMs = 2_500;

/** Creates the registry of the peers of one role. Each has its own heartbeat timer, so a slow one delays no other. */
export const createPeers = (options: PeersOptions): Peers => {
    const { timer, follower } = options;
    const heartbeatMs = options.heartbeatMs ?? defaultHeartbeatMs;
    const lostAfterMs = options.lostAfterMs ?? defaultLostAfterMs;
    const peers = new Map<string, Peer>();

    const exchangeHeartbeat = async (peer: Peer): Promise<void> => {
        const answer = await peer.client.call("heartbeat", options.describeSelf());
        if (!answer.ok) {
            return;
        }
        peer.status.heartbeat = answer.value;
        peer.status.heardAtMs = timer.nowMs();
        const own = follower.current();
        if (answer.value.configurationVersion > own.version) {
            const reply = await peer.client.call("fetchSnapshot", { version: answer.value.configurationVersion });
            if (reply.ok && reply.value.snapshot !== undefined) {
                follower.offer(reply.value.snapshot);
            }
        }
        else if (answer.value.configurationVersion < own.version) {
            await peer.client.call("offerSnapshot", own);
        }
    };

    const add = (vm: string, address: string): void => {
        const known = peers.get(vm);
        if (known?.status.address === address) {
            return;
        }
        remove(vm);
        const peer: Peer = { status: { vm, address }, client: createPeerClient({ address }), stop: () => {} };
        peer.stop = timer.every(heartbeatMs, () => exchangeHeartbeat(peer));
        peers.set(vm, peer);
    };

    const remove = (vm: string): void => {
        const peer = peers.get(vm);
        if (peer !== undefined) {
            peer.stop();
            peer.client.close();
            peers.delete(vm);
        }
    };

    const update = (list: VmList): void => {
        const own = options.describeSelf().vm;
        const addresses = new Map<string, string>();
        for (const vm of list.vms) {
            const address = options.role === Role.Router ? vm.routerPeerAddress : vm.schedulerPeerAddress;
            if (vm.kind === VmKind.Entry && vm.name !== own && address !== undefined) {
                addresses.set(vm.name, address);
            }
        }
        [...peers.keys()].filter(vm => !addresses.has(vm)).forEach(remove);
        addresses.forEach((address, vm) => add(vm, address));
    };

    const isLive = (status: PeerStatus): boolean =>
        status.heardAtMs !== undefined
        && timer.nowMs() - status.heardAtMs < lostAfterMs
        && status.heartbeat?.stopping === false;

    const forEachPeer = async (task: (peer: Peer) => Promise<unknown>): Promise<void> => {
        await Promise.all([...peers.values()].map(task));
    };

    Object.entries(options.seeds).forEach(([vm, address]) => add(vm, address));

    const recordHeartbeat = (heartbeat: Heartbeat): void => {
        const peer = peers.get(heartbeat.vm);
        if (peer !== undefined) {
            peer.status.heartbeat = heartbeat;
            peer.status.heardAtMs = timer.nowMs();
        }
    };

    return {
        update,
        recordHeartbeat,
        all: () => [...peers.values()].map(peer => peer.status),
        live: () => [...peers.values()].map(peer => peer.status).filter(isLive),
        clientOf: vm => peers.get(vm)?.client,
        broadcastSnapshot: snapshot => forEachPeer(peer => peer.client.call("offerSnapshot", snapshot)),
        catchUp: () => forEachPeer(exchangeHeartbeat),
        broadcastHeartbeat: () => forEachPeer(peer => peer.client.call("heartbeat", options.describeSelf())),
        close: () => [...peers.keys()].forEach(remove),
    };
};
