import { currentVersionKey } from "../configuration/types.js";
import type { CurrentVersion } from "../configuration/types.js";
import { startPeerServer } from "../peers/server.js";
import { Role } from "../peers/types.js";
import { createPlatformTable } from "../state/platformTable.js";
import { closeGracefully, createJsonServer, listen } from "../utils/http.js";
import { createWorkerClient, createWorkerDescriptionReader } from "../workers/client.js";
import { createWorkerDirectory } from "../workers/directory.js";
import { fleetKey } from "../workers/types.js";
import { createEntryMetrics } from "./entryMetrics.js";
import { createEntryNode, describeUsage } from "./entryNode.js";
import type { EntryNode } from "./entryNode.js";
import { startEntryVm } from "./entryVm.js";
import type { EntryVm } from "./entryVm.js";
import type { Daemon } from "./runDaemon.js";
import { createSchedulerHttp } from "./schedulerHttp.js";
import type { SchedulerSettings } from "./settings.js";
import { createSnapshotOperatorSource } from "./snapshotOperatorSource.js";

const vmRefreshMs = 1_000;
const maxBodyBytes = 2_000_000;
/** Time for which ended jobs are retained, so that submitters can query them the next day. */
const retainMs = 86_400_000;

const describeScheduler = ({ timer, follower, peers, describeSelf, endpoints }: EntryNode, vm: EntryVm): unknown => {
    const ageOf = (atMs: number | undefined): number | undefined =>
        atMs === undefined ? undefined : Math.round(timer.nowMs() - atMs);
    return {
        self: describeSelf(),
        configuration: { version: follower.current().version, confirmedAgoMs: ageOf(follower.confirmedAtMs()) },
        peers: peers.all().map(peer => ({ vm: peer.vm, heardAgoMs: ageOf(peer.heardAtMs), ...peer.heartbeat })),
        endpoints: endpoints().map(({ name, availabilityZone, state, incarnation }) => ({
            name,
            availabilityZone,
            state,
            incarnation,
        })),
        jobs: vm.dump(),
        ...describeUsage(),
    };
};

/** Starts the scheduler daemon, which runs jobs under the published statements; resolves once its server listens. */
export const startScheduler = async (settings: SchedulerSettings): Promise<Daemon> => {
    const node = createEntryNode(Role.Scheduler, settings);
    const { timer, platform, follower, peers, log } = node;
    const state = createPlatformTable(platform);
    const describe = createWorkerDescriptionReader(settings.vm);
    const directory = createWorkerDirectory({ timer, log, endpoints: node.endpoints, describe });
    const vm = startEntryVm({
        vm: settings.vm,
        state,
        timer,
        log,
        operator: createSnapshotOperatorSource(follower, timer, maxBodyBytes),
        directory,
        createClient: descriptor => createWorkerClient(descriptor, settings.vm),
        maxLeaseMs: settings.taskLeaseMs,
        retainMs,
        relativePower: () => 1,
        metrics: createEntryMetrics(),
    });

    const writeFacts = async (): Promise<void> => {
        if (vm.isPlanner()) {
            const written = await platform.commit({
                conditions: [],
                writes: [{ key: fleetKey, value: directory.facts() }],
            });
            log("info", "worker facts written", { workers: directory.facts().length, ok: written.ok });
        }
    };
    directory.onChange(() => void writeFacts());

    const pollVersion = async (): Promise<void> => {
        const read = await platform.read<CurrentVersion>(currentVersionKey);
        if (read.ok) {
            await follower.applyCurrentVersion(read.value);
        }
    };

    const dump = (): unknown => describeScheduler(node, vm);
    const handleRequest = createSchedulerHttp({ platform, state, follower, peers, timer, log, vm, dump });
    const server = createJsonServer(handleRequest, { maxBodyBytes });
    const peerServer = await startPeerServer(`${settings.peer.host}:${settings.peer.port}`, node.peerHandlers);
    await Promise.all([pollVersion(), node.refreshVms(), peers.catchUp()]);
    const httpPort = await listen(server, settings.http.host, settings.http.port);
    const unsubscribes = [timer.every(vmRefreshMs, node.refreshVms), timer.every(settings.pollMs, pollVersion)];
    log("info", "scheduler started", { httpPort, peerPort: peerServer.port });

    const stop = async (): Promise<void> => {
        await node.announceStop();
        await vm.stepDown();
        await closeGracefully(server);
        unsubscribes.forEach(unsubscribe => unsubscribe());
        vm.stop();
        await peerServer.close();
        await node.close();
        log("info", "scheduler stopped");
    };
    return { httpPort, peerPort: peerServer.port, stop };
};
