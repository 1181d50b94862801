import type { ConfigurationFollower } from "../configuration/follower.js";
import type { Snapshot } from "../configuration/types.js";
import type { VmList } from "../platform/types.js";
import { VmKind } from "../platform/types.js";
import type { TimerService, Unsubscribe } from "../utils/timer.js";
import { createPeerClient } from "./client.js";
import type { PeerClient } from "./client.js";
import { Role } from "./types.js";
import type { Heartbeat } from "./types.js";

/** What is known of one peer. */
export interface PeerView {
    vm: string;
    address: string;
    /** Latest heartbeat, if it ever answered. */
    heartbeat?: Heartbeat;
    /** Monotonic time of the latest answer. */
    heardAtMs?: number;
}

/** Options of {@link createPeers}. */
export interface PeersOptions {
    role: Role;
    timer: TimerService;
    follower: ConfigurationFollower;
    /** Describes this process in a heartbeat. */
    describeSelf: () => Heartbeat;
    /** Peer addresses known from the settings, by name of the VM. */
    seeds: Record<string, string>;
    /** Time between heartbeats to one peer. @default 1000 */
    heartbeatMs?: number;
    /** Silence after which a peer counts as lost. @default 2500 */
    lostAfterMs?: number;
}

/** The processes of the same role on the other entry VMs. */
export interface Peers {
    /** Follows the platform's list; peers that left are dropped. */
    update(list: VmList): void;
    views(): PeerView[];
    /** Peers that answered lately and are not stopping. */
    live(): PeerView[];
    /** Takes note of a heartbeat that a peer sent. */
    heard(heartbeat: Heartbeat): void;
    clientOf(vm: string): PeerClient | undefined;
    /** Offers a snapshot to every peer at once; resolves when all answered or timed out. */
    push(snapshot: Snapshot): Promise<void>;
    /** Asks every peer once and takes the highest version over. */
    catchUp(): Promise<void>;
    /** Tells every peer at once that this process is stopping. */
    announce(): Promise<void>;
    close(): void;
}

interface Peer {
    view: PeerView;
    client: PeerClient;
    stop: Unsubscribe;
}

const defaultHeartbeatMs = 1_000;
const defaultLostAfterMs = 2_500;

/** Creates the view of the peers of one role; every peer has a task of its own. */
export const createPeers = (options: PeersOptions): Peers => {
    const { timer, follower } = options;
    const heartbeatMs = options.heartbeatMs ?? defaultHeartbeatMs;
    const lostAfterMs = options.lostAfterMs ?? defaultLostAfterMs;
    const peers = new Map<string, Peer>();

    const exchange = async (peer: Peer): Promise<void> => {
        const answer = await peer.client.call("heartbeat", options.describeSelf());
        if (!answer.ok) {
            return;
        }
        peer.view.heartbeat = answer.value;
        peer.view.heardAtMs = timer.nowMs();
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
        if (known?.view.address === address) {
            return;
        }
        remove(vm);
        const peer: Peer = { view: { vm, address }, client: createPeerClient({ address }), stop: () => {} };
        peer.stop = timer.every(heartbeatMs, () => exchange(peer));
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

    const isLive = (view: PeerView): boolean =>
        view.heardAtMs !== undefined
        && timer.nowMs() - view.heardAtMs < lostAfterMs
        && view.heartbeat?.stopping === false;

    const ask = async (task: (peer: Peer) => Promise<unknown>): Promise<void> => {
        await Promise.all([...peers.values()].map(task));
    };

    Object.entries(options.seeds).forEach(([vm, address]) => add(vm, address));

    const heard = (heartbeat: Heartbeat): void => {
        const peer = peers.get(heartbeat.vm);
        if (peer !== undefined) {
            peer.view.heartbeat = heartbeat;
            peer.view.heardAtMs = timer.nowMs();
        }
    };

    return {
        update,
        heard,
        views: () => [...peers.values()].map(peer => peer.view),
        live: () => [...peers.values()].map(peer => peer.view).filter(isLive),
        clientOf: vm => peers.get(vm)?.client,
        push: snapshot => ask(peer => peer.client.call("offerSnapshot", snapshot)),
        catchUp: () => ask(exchange),
        announce: () => ask(peer => peer.client.call("heartbeat", options.describeSelf())),
        close: () => [...peers.keys()].forEach(remove),
    };
};
