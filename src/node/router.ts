import { randomUUID } from "node:crypto";
import { callsSettingOf, zonesOutOf } from "../configuration/queries/settings.js";
import { currentVersionKey } from "../configuration/types.js";
import type { CallsStatement, CurrentVersion } from "../configuration/types.js";
import { startPeerServer } from "../peers/server.js";
import { Role } from "../peers/types.js";
import { chooseOfTwo } from "../routing/choose.js";
import { runCall } from "../routing/commands/runCall.js";
import { runOnce } from "../routing/commands/runOnce.js";
import { createEndpoints } from "../routing/endpoints.js";
import { createInFlightLimits } from "../routing/limits.js";
import { createRetryBudget } from "../routing/retryBudget.js";
import { Outcome } from "../routing/types.js";
import type { Call, CallAnswer } from "../routing/types.js";
import { createWaitingLine } from "../routing/waitingLine.js";
import { closeGracefully, createJsonServer, listen, problemAnswer } from "../utils/http.js";
import type { JsonAnswer, JsonRequest } from "../utils/http.js";
import { createEntryNode } from "./entryNode.js";
import type { Daemon } from "./scheduler.js";
import type { RouterSettings } from "./settings.js";

const pollMs = 500;
const vmRefreshMs = 1_000;
/** Time for the balancer to notice that this VM takes no new requests. */
const balancerLeaveMs = 500;
const maxDeadlineMs = 600_000;

interface CallAddress {
    customer: string;
    service: string;
}

const addressPattern = /^\/v1\/customers\/([^/]+)\/services\/([^/]+)\/calls$/;

const parseAddress = (path: string): CallAddress | undefined => {
    const match = addressPattern.exec(path);
    return match === null
        ? undefined
        : { customer: decodeURIComponent(match[1]), service: decodeURIComponent(match[2]) };
};

const notRun = (status: number, title: string, detail: string): JsonAnswer =>
    problemAnswer({ title, status, detail, outcome: Outcome.NotRun }, { outcome: Outcome.NotRun });

const deadlineOf = (request: JsonRequest, setting: CallsStatement): number | undefined => {
    const given = request.headers["deadline-ms"];
    if (given === undefined) {
        return setting.deadlineMs;
    }
    const deadlineMs = Number(given);
    return Number.isInteger(deadlineMs) && deadlineMs > 0 && deadlineMs <= maxDeadlineMs ? deadlineMs : undefined;
};

const toHttp = (answer: CallAnswer): JsonAnswer => {
    const headers = {
        outcome: answer.outcome,
        ...(answer.retryAfterSeconds === undefined ? {} : { "retry-after": String(answer.retryAfterSeconds) }),
    };
    if (answer.outcome === Outcome.Done) {
        return { status: 200, body: { outcome: answer.outcome, result: answer.result }, headers };
    }
    const { status, outcome } = answer;
    const title = outcome === Outcome.NotRun ? "the call did not run" : "it is not known whether the call ran";
    return problemAnswer({ title, status, detail: answer.detail ?? title, outcome }, headers);
};

/** Starts the router daemon. */
export const startRouter = async (settings: RouterSettings): Promise<Daemon> => {
    const node = createEntryNode(Role.Router, settings);
    const { timer, platform, follower, peers, log, metrics } = node;
    const endpoints = createEndpoints(timer);
    const line = createWaitingLine(timer, settings.maxQueued);
    const budget = createRetryBudget();
    const limits = createInFlightLimits();
    const counts = { calls: 0, attempts: 0, done: 0, notRun: 0, unknown: 0 };
    let zonesOut = zonesOutOf(follower.current());
    let refusing = false;
    follower.subscribe(snapshot => {
        zonesOut = zonesOutOf(snapshot);
    });

    const runner = {
        timer,
        endpoints,
        line,
        budget,
        choose: (avoid: ReadonlySet<string>) =>
            chooseOfTwo({
                endpoints: endpoints.eligible(zonesOut),
                availabilityZone: settings.availabilityZone,
                nowMs: timer.nowMs(),
                random: Math.random,
                maxOutstanding: settings.connectionsPerEndpoint,
                avoid,
            }),
        onAttempt: () => {
            counts.attempts += 1;
        },
    };

    const onceRunner = {
        platform,
        timer,
        router: settings.vm,
        run: (call: Call, attemptId: string) => runCall(runner, call, attemptId),
    };

    const count = (answer: CallAnswer, startedAtMs: number): void => {
        counts[answer.outcome] += 1;
        metrics.increment("call", { outcome: answer.outcome });
        metrics.timing("callMs", timer.nowMs() - startedAtMs);
    };

    const serve = async (call: Call, maxInFlight: number): Promise<JsonAnswer> => {
        const leave = limits.tryEnter(call.customer, call.service, maxInFlight);
        if (leave === undefined) {
            return notRun(429, "too many calls", `the customer has ${maxInFlight} calls in progress here`);
        }
        const startedAtMs = timer.nowMs();
        counts.calls += 1;
        try {
            const answer = await (call.atMostOnce ? runOnce(onceRunner, call) : runCall(runner, call, randomUUID()));
            count(answer, startedAtMs);
            return toHttp(answer);
        }
        finally {
            leave();
        }
    };

    const answerCall = async (request: JsonRequest, address: CallAddress): Promise<JsonAnswer> => {
        if (refusing) {
            const refusal = notRun(503, "stopping", "this VM is leaving; use another");
            return { ...refusal, headers: { ...refusal.headers, connection: "close" } };
        }
        const setting = callsSettingOf(follower.current(), address.customer, address.service);
        if (setting === undefined) {
            const { customer, service } = address;
            return notRun(404, "unknown service", `no statement allows "${customer}" to call "${service}"`);
        }
        const { urgency, atMostOnce, maxInFlight } = setting.value;
        const key = request.headers["idempotency-key"]?.toString();
        if (atMostOnce && (key === undefined || key === "")) {
            return notRun(400, "key missing", "calls that may run at most once need an Idempotency-Key header");
        }
        const deadlineMs = deadlineOf(request, setting.value);
        if (deadlineMs === undefined) {
            return notRun(400, "bad deadline", `Deadline-Ms must be a whole number from 1 to ${maxDeadlineMs}`);
        }
        const deadlineAtMs = timer.nowMs() + deadlineMs;
        const { body, callerGone } = request;
        return serve({ ...address, key, body, urgency, atMostOnce, deadlineAtMs, callerGone }, maxInFlight);
    };

    const dump = (): unknown => ({
        self: node.describeSelf(),
        configuration: { version: follower.current().version },
        zonesOut: [...zonesOut.keys()],
        peers: peers.views(),
        endpoints: endpoints.all().map(endpoint => ({
            name: endpoint.name,
            availabilityZone: endpoint.availabilityZone,
            leaving: endpoint.leaving,
            ejected: endpoints.ejection.isEjected(endpoint.name),
            outstanding: endpoint.outstanding,
            connections: endpoint.connections.openCount(),
        })),
        waiting: line.length(),
        limits: limits.counts(),
        retriesLeft: budget.remaining(),
        counts,
        memoryMb: Math.round(process.memoryUsage().rss / 1e6),
        cpuMs: Math.round(process.cpuUsage().user / 1_000 + process.cpuUsage().system / 1_000),
    });

    const answerReady = (): JsonAnswer =>
        node.isStopping() ? { status: 503, body: { ready: false } } : { status: 200, body: { ready: true } };

    const answer = async (request: JsonRequest): Promise<JsonAnswer> => {
        const address = parseAddress(request.path);
        if (address !== undefined && request.method === "POST") {
            return answerCall(request, address);
        }
        switch (request.path) {
            case "/v1/dump":
                return { status: 200, body: dump() };
            case "/v1/ready":
                return answerReady();
            default:
                return notRun(404, "not found", request.path);
        }
    };

    const poll = async (): Promise<void> => {
        const row = await platform.read<CurrentVersion>(currentVersionKey);
        if (row.ok) {
            await follower.see(row.value);
        }
    };

    const refresh = async (): Promise<void> => {
        await node.refreshVms();
        endpoints.update(node.endpoints());
    };

    const server = createJsonServer(answer);
    const peerServer = await startPeerServer(`${settings.peer.host}:${settings.peer.port}`, {
        ...node.handlers,
        reportZone: async () => ({}),
        noticeInbox: async () => ({}),
    });
    await Promise.all([poll(), refresh(), peers.catchUp()]);
    const httpPort = await listen(server, settings.http.host, settings.http.port);
    const stops = [timer.every(pollMs, poll), timer.every(vmRefreshMs, refresh)];
    log("info", "router started", { httpPort, peerPort: peerServer.port });

    const stop = async (): Promise<void> => {
        await node.announceStop();
        await timer.sleep(balancerLeaveMs);
        refusing = true;
        await Promise.race([closeGracefully(server), timer.sleep(settings.drainMs)]);
        stops.forEach(unsubscribe => unsubscribe());
        await endpoints.close();
        await peerServer.close();
        await node.close();
        log("info", "router stopped", { ...counts });
    };
    return { httpPort, peerPort: peerServer.port, stop };
};
