import { publish } from "../configuration/commands/publish.js";
import type { PublishError, PublishRequest } from "../configuration/commands/publish.js";
import type { WorkerFacts } from "../configuration/queries/checkTogether.js";
import { compileJobRequestCheck, describeProblem } from "../configuration/schema.js";
import { startPeerServer } from "../peers/server.js";
import { Role } from "../peers/types.js";
import type { ZoneReport } from "../peers/types.js";
import { cancelJob } from "../scheduling/commands/cancelJob.js";
import { submitJob } from "../scheduling/commands/submitJob.js";
import type { JobRequest, SubmitError } from "../scheduling/commands/submitJob.js";
import { readJob } from "../scheduling/jobTable.js";
import { createKeepers } from "../scheduling/keepers.js";
import { createLeadership } from "../scheduling/leadership.js";
import { planRound } from "../scheduling/plan.js";
import { createPlanner, fleetKey } from "../scheduling/planner.js";
import { closeGracefully, createJsonServer, listen, problemAnswer } from "../utils/http.js";
import type { JsonAnswer, JsonRequest } from "../utils/http.js";
import { createWorkerClients } from "../workers/client.js";
import { createEntryNode } from "./entryNode.js";
import type { SchedulerSettings } from "./settings.js";

/** A running daemon. */
export interface Daemon {
    httpPort: number;
    peerPort: number;
    /** Finishes what is in progress and stops. */
    stop(): Promise<void>;
}

const vmRefreshMs = 1_000;
const maxBodyBytes = 2_000_000;

const submitStatus: Record<SubmitError["kind"], number> = {
    unknownCustomer: 404,
    neverFits: 422,
    keyReused: 422,
    unavailable: 503,
    unknown: 504,
};

const publishStatus: Record<PublishError["kind"], number> = {
    problems: 422,
    conflicts: 409,
    raced: 409,
    unavailable: 503,
    unknown: 504,
};

const keyOf = (request: JsonRequest): string | undefined => request.headers["idempotency-key"]?.toString();

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

    const keepers = createKeepers({
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
            void planner.round();
        }
        else if (plannerVm !== undefined) {
            void peers.clientOf(plannerVm)?.call("noticeInbox", { jobId });
        }
    };

    const answerSubmit = async (request: JsonRequest): Promise<JsonAnswer> => {
        const check = await compileJobRequestCheck();
        const problems = check(request.body).map(describeProblem);
        if (problems.length > 0) {
            const detail = problems.join("; ");
            return problemAnswer({ title: "malformed job", status: 400, detail, outcome: "notRun" });
        }
        const job = request.body as JobRequest;
        const submitted = await submitJob(platform, follower.current(), job, keyOf(request), timer.wallClockMs());
        if (!submitted.ok) {
            const { kind, detail } = submitted.error;
            const outcome = kind === "unknown" ? "unknown" : "notRun";
            return problemAnswer({ title: kind, status: submitStatus[kind], detail, outcome });
        }
        noticePlanner(submitted.value.record.spec.id);
        return { status: 202, body: submitted.value.record };
    };

    const answerJob = async (request: JsonRequest, jobId: string): Promise<JsonAnswer> => {
        if (request.method === "DELETE") {
            const cancelled = await cancelJob(platform, jobId);
            if (!cancelled.ok) {
                const status = cancelled.error.kind === "notFound" ? 404 : 503;
                return problemAnswer({ title: cancelled.error.kind, status, detail: cancelled.error.detail });
            }
            noticePlanner(jobId);
            return { status: 202, body: cancelled.value.record };
        }
        const read = await readJob(platform, jobId);
        if (!read.ok) {
            return problemAnswer({ title: "unavailable", status: 503, detail: "the platform does not answer" });
        }
        return read.value === undefined
            ? problemAnswer({ title: "not found", status: 404, detail: `no job "${jobId}"` })
            : { status: 200, body: read.value.record };
    };

    const answerPublish = async (request: JsonRequest): Promise<JsonAnswer> => {
        const offered = request.body as PublishRequest | undefined;
        if (!Array.isArray(offered?.intents) || typeof offered.publisher !== "string") {
            return problemAnswer({ title: "malformed publish", status: 400, detail: "needs publisher and intents" });
        }
        const fleet = await platform.read<WorkerFacts[]>(fleetKey);
        const facts = fleet.ok ? fleet.value?.value : undefined;
        const published = await publish(platform, offered, facts, timer.wallClockMs());
        if (!published.ok) {
            const { kind } = published.error;
            return problemAnswer({ title: kind, status: publishStatus[kind], detail: kind, error: published.error });
        }
        follower.offer(published.value);
        log("info", "publish accepted", { version: published.value.version, publisher: offered.publisher });
        await peers.push(published.value);
        return { status: 200, body: published.value };
    };

    const dump = (): unknown => ({
        self: node.describeSelf(),
        configuration: { version: follower.current().version, confirmedAgoMs: ageOf(follower.confirmedAtMs()) },
        plannerVm: leadership.plannerVm(),
        peers: peers.views().map(view => ({ vm: view.vm, heardAgoMs: ageOf(view.heardAtMs), ...view.heartbeat })),
        keptZones: keepers.keptZones(),
        gangs: keepers.gangCount(),
        planner: planner.dump(),
        memoryMb: Math.round(process.memoryUsage().rss / 1e6),
        cpuMs: Math.round(process.cpuUsage().user / 1_000 + process.cpuUsage().system / 1_000),
    });

    const ageOf = (atMs: number | undefined): number | undefined =>
        atMs === undefined ? undefined : Math.round(timer.nowMs() - atMs);

    const answer = async (request: JsonRequest): Promise<JsonAnswer> => {
        const [version, resource, id] = request.path.split("/").slice(1);
        switch (`${version}/${resource}`) {
            case "v1/dump":
                return { status: 200, body: dump() };
            case "v1/jobs":
                return id === undefined ? answerSubmit(request) : answerJob(request, decodeURIComponent(id));
            case "v1/configurations":
                return request.method === "POST" ? answerPublish(request) : { status: 200, body: follower.current() };
            default:
                return problemAnswer({ title: "not found", status: 404, detail: request.path });
        }
    };

    const server = createJsonServer(answer, { maxBodyBytes });
    const peerServer = await startPeerServer(`${settings.peer.host}:${settings.peer.port}`, {
        ...node.handlers,
        reportZone: async report => {
            planner.reportZone(report);
            return {};
        },
        noticeInbox: async () => {
            void planner.round();
            return {};
        },
    });
    await Promise.all([leadership.poll(), node.refreshVms(), peers.catchUp()]);
    const httpPort = await listen(server, settings.http.host, settings.http.port);
    leadership.start();
    const stops = [
        timer.every(vmRefreshMs, node.refreshVms),
        timer.every(settings.renewMs, keepers.round),
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
