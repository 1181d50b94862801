import { startPeerServer } from "../peers/server.js";
import { Role } from "../peers/types.js";
import type { ZoneReport } from "../peers/types.js";
import { createLeadership } from "../scheduling/leadership.js";
import { createLeaseManagers } from "../scheduling/leaseManagers.js";
import { planRound } from "../scheduling/plan.js";
import { createPlanner } from "../scheduling/planner.js";
import { closeGracefully, createJsonServer, listen } from "../utils/http.js";
import { createWorkerClients } from "../workers/client.js";
import { createEntryNode, describeUsage } from "./entryNode.js";
import type { Daemon } from "./runDaemon.js";
import { createSchedulerHttp } from "./schedulerHttp.js";
import type { SchedulerSettings } from "./settings.js";

/** Beats without a renewal after which the planner's lease counts as lapsed. */
const beatsToLapse = 3;
const vmRefreshMs = 1_000;
const maxBodyBytes = 2_000_000;

/** Starts the scheduler daemon. */
export const startScheduler = async (settings: SchedulerSettings): Promise<Daemon> => {
    const node = createEntryNode(Role.Scheduler, settings);
    const { timer, platform, follower, peers, log, metrics } = node;
    const clientOf = createWorkerClients({ vmName: settings.vm });
    const times = {
        holdMs: settings.holdMs,
        leaseMs: settings.taskLeaseMs,
        checkpointGraceMs: settings.checkpointGraceMs,
    };

    const leadership = createLeadership({
        vm: settings.vm,
        processId: node.processId,
        platform,
        timer,
        follower,
        beatMs: settings.pollMs,
        lapseMs: settings.pollMs * beatsToLapse,
        takeoverRank: () => [...peers.live().map(view => view.vm), settings.vm].sort().indexOf(settings.vm),
    });

    const planner = createPlanner({
        platform,
        timer,
        follower,
        leadership,
        times,
        clientOf,
        listEndpoints: node.endpoints,
        plan: planRound,
        onEvent: event => {
            metrics.increment(`job.${event.kind}`);
            log("info", "job changed", { ...event });
        },
    });

    const sendReport = async (report: ZoneReport): Promise<void> => {
        const plannerVm = leadership.plannerVm();
        if (plannerVm === undefined || plannerVm === settings.vm) {
            planner.reportZone(report);
            return;
        }
        await peers.clientOf(plannerVm)?.call("reportZone", report);
    };

    const leaseManagers = createLeaseManagers({
        vm: settings.vm,
        availabilityZone: settings.availabilityZone,
        timer,
        clientOf,
        leaseMs: settings.taskLeaseMs,
        peers,
        listEndpoints: node.endpoints,
        report: sendReport,
    });

    const noticePlanner = (jobId: string): void => {
        const plannerVm = leadership.plannerVm();
        if (plannerVm === settings.vm) {
            planner.noticeInbox();
        }
        else if (plannerVm !== undefined) {
            void peers.clientOf(plannerVm)?.call("noticeInbox", { jobId });
        }
    };

    const dump = (): unknown => ({
        self: node.describeSelf(),
        configuration: { version: follower.current().version, confirmedAgoMs: ageOf(follower.confirmedAtMs()) },
        plannerVm: leadership.plannerVm(),
        peers: peers.views().map(view => ({ vm: view.vm, heardAgoMs: ageOf(view.heardAtMs), ...view.heartbeat })),
        managedZones: leaseManagers.managedZones(),
        leases: { ...times, renewMs: settings.renewMs, gangs: leaseManagers.gangs() },
        endpoints: node.endpoints().map(vm => ({
            name: vm.name,
            availabilityZone: vm.availabilityZone,
            state: vm.state,
            incarnation: vm.incarnation,
        })),
        planner: planner.dump(),
        unplacedGuarantees: planner.unplacedGuarantees(),
        ...describeUsage(),
    });

    const ageOf = (atMs: number | undefined): number | undefined =>
        atMs === undefined ? undefined : Math.round(timer.nowMs() - atMs);

    const answer = createSchedulerHttp({ platform, follower, peers, timer, log, noticePlanner, dump });

    const server = createJsonServer(answer, { maxBodyBytes });
    const peerServer = await startPeerServer(`${settings.peer.host}:${settings.peer.port}`, {
        ...node.handlers,
        reportZone: async report => {
            planner.reportZone(report);
            return {};
        },
        noticeInbox: async () => {
            planner.noticeInbox();
            return {};
        },
    });
    await Promise.all([leadership.poll(), node.refreshVms(), peers.catchUp()]);
    const httpPort = await listen(server, settings.http.host, settings.http.port);
    leadership.start();
    const stops = [
        timer.every(vmRefreshMs, node.refreshVms),
        timer.every(settings.renewMs, leaseManagers.round),
        timer.every(settings.planMs, planner.round),
    ];
    log("info", "scheduler started", { httpPort, peerPort: peerServer.port });

    const stop = async (): Promise<void> => {
        stops.forEach(unsubscribe => unsubscribe());
        await node.announceStop();
        await leadership.resign();
        await closeGracefully(server);
        await peerServer.close();
        await node.close();
        log("info", "scheduler stopped");
    };
    return { httpPort, peerPort: peerServer.port, stop };
};
