import { randomUUID } from "node:crypto";
import { createConfigurationFollower } from "../configuration/follower.js";
import type { ConfigurationFollower } from "../configuration/follower.js";
import { createPeers } from "../peers/peers.js";
import type { Peers } from "../peers/peers.js";
import type { PeerHandlers } from "../peers/server.js";
import type { Heartbeat, Role } from "../peers/types.js";
import { createPlatformClient } from "../platform/client.js";
import { createRelayedPlatform, performRelay } from "../platform/relay.js";
import type { PlatformClient, Vm, VmList } from "../platform/types.js";
import { VmKind } from "../platform/types.js";
import { createTimerService } from "../utils/timer.js";
import type { TimerService } from "../utils/timer.js";
import { createLog } from "./logs.js";
import type { Log } from "./logs.js";
import { createMetrics } from "./metrics.js";
import type { Metrics } from "./metrics.js";
import type { DaemonSettings } from "./settings.js";
import { createUnexpectedErrorLog } from "./unexpectedErrors.js";

/** Parts of an entry VM's process that the scheduler and the router daemon share. */
export interface EntryNode {
    /** Random identifier of this process; a restart changes it. */
    processId: string;
    timer: TimerService;
    log: Log;
    metrics: Metrics;
    platform: PlatformClient;
    follower: ConfigurationFollower;
    peers: Peers;
    /** Endpoint VMs in the latest list of VMs from the platform. */
    endpoints(): Vm[];
    /** Reads the platform's list of VMs and updates the peers from it. */
    refreshVms(): Promise<void>;
    /** Marks the process as stopping and sends every peer a heartbeat that says so. */
    announceStop(): Promise<void>;
    isStopping(): boolean;
    /** Returns the heartbeat that describes the current state of this process. */
    describeSelf(): Heartbeat;
    /** Handlers of the peer server that are the same in both daemons. */
    peerHandlers: Pick<PeerHandlers, "heartbeat" | "fetchSnapshot" | "offerSnapshot" | "relay">;
    close(): Promise<void>;
}

/** Heartbeat intervals without an answer after which a peer counts as lost. */
const lostAfterHeartbeats = 2.5;

/** Returns the resident memory and the CPU time of this process, for its state dump. */
export const describeUsage = (): { memoryMb: number; cpuMs: number; } => {
    const { user, system } = process.cpuUsage();
    return { memoryMb: Math.round(process.memoryUsage().rss / 1e6), cpuMs: Math.round((user + system) / 1_000) };
};

/** Creates the parts that both daemons share. */
export const createEntryNode = (role: Role, settings: DaemonSettings): EntryNode => {
    const log = createLog(role, settings.vm, settings.logLevel);
    const timer = createTimerService(createUnexpectedErrorLog(log, "a timed task failed"));
    const metrics = createMetrics(role, settings.vm, settings.metrics);
    const processId = randomUUID();
    const directClient = createPlatformClient({ address: settings.platformAddress, vmName: settings.vm });
    const platform = createRelayedPlatform(directClient, () => relayPeers());
    const follower = createConfigurationFollower(platform, timer);
    let vmList: VmList = { revision: 0, vms: [] };
    let stopping = false;

    const describeSelf = (): Heartbeat => ({
        vm: settings.vm,
        role,
        availabilityZone: settings.availabilityZone,
        processId,
        configurationVersion: follower.current().version,
        platformReachable: platform.isReachableDirectly(),
        stopping,
    });

    const peers = createPeers({
        role,
        timer,
        follower,
        describeSelf,
        seeds: settings.peerSeeds,
        heartbeatMs: settings.heartbeatMs,
        lostAfterMs: settings.heartbeatMs * lostAfterHeartbeats,
    });
    const relayPeers = () =>
        peers.live()
            .filter(peer => peer.heartbeat?.platformReachable === true)
            .flatMap(peer => peers.clientOf(peer.vm) ?? []);

    const refreshVms = async (): Promise<void> => {
        const listed = await platform.listVms(vmList.revision);
        if (listed.ok && listed.value.vms !== undefined && listed.value.revision > vmList.revision) {
            vmList = { revision: listed.value.revision, vms: listed.value.vms };
            peers.update(vmList);
        }
    };

    follower.subscribe(snapshot => log("info", "configuration adopted", { version: snapshot.version }));

    return {
        processId,
        timer,
        log,
        metrics,
        platform,
        follower,
        peers,
        endpoints: () => vmList.vms.filter(vm => vm.kind === VmKind.Endpoint),
        refreshVms,
        announceStop: async () => {
            stopping = true;
            await peers.broadcastHeartbeat();
        },
        isStopping: () => stopping,
        describeSelf,
        peerHandlers: {
            heartbeat: async heartbeat => {
                peers.recordHeartbeat(heartbeat);
                return describeSelf();
            },
            fetchSnapshot: async () => ({ snapshot: follower.current() }),
            offerSnapshot: async snapshot => {
                follower.offer(snapshot);
                return {};
            },
            relay: request => performRelay(directClient, request),
        },
        close: async () => {
            peers.close();
            metrics.close();
            await platform.close();
        },
    };
};
