import { randomUUID } from "node:crypto";
import { zonesOutOf } from "../configuration/queries/settings.js";
import { currentVersionKey } from "../configuration/types.js";
import type { CurrentVersion } from "../configuration/types.js";
import { startPeerServer } from "../peers/server.js";
import { Role } from "../peers/types.js";
import { createCallQueue } from "../routing/callQueue.js";
import { choosePowerOfTwo } from "../routing/choose.js";
import { runCall } from "../routing/commands/runCall.js";
import type { EndedAttempt } from "../routing/commands/runCall.js";
import { runOnce } from "../routing/commands/runOnce.js";
import { createEndpoints } from "../routing/endpoints.js";
import type { Endpoints } from "../routing/endpoints.js";
import { createInFlightLimits } from "../routing/limits.js";
import { createRetryBudget } from "../routing/retryBudget.js";
import type { Call, CallAnswer } from "../routing/types.js";
import { closeGracefully, createJsonServer, listen } from "../utils/http.js";
import type { JsonAnswer } from "../utils/http.js";
import { createPauseDetector } from "../utils/pauseDetector.js";
import { createUnfinishedTasks } from "../utils/unfinishedTasks.js";
import { createEntryNode, describeUsage } from "./entryNode.js";
import { createRouterHttp, notRunAnswer, toHttpAnswer } from "./routerHttp.js";
import { logAttempt, logUnfinishedCall } from "./routerLog.js";
import type { Daemon } from "./runDaemon.js";
import type { RouterSettings } from "./settings.js";

const vmRefreshMs = 1_000;
/** Time between the failing readiness check and the refusal of calls, for load balancers to deregister this VM. */
const deregistrationDelayMs = 500;

const describeEndpoints = (endpoints: Endpoints): unknown =>
    endpoints.all().map(endpoint => ({
        name: endpoint.name,
        availabilityZone: endpoint.availabilityZone,
        leaving: endpoint.leaving,
        ejected: endpoints.ejection.isEjected(endpoint.name),
        outstanding: endpoint.outstanding,
        connections: endpoint.connections.openCount(),
    }));

/** Starts the router daemon; resolves once its HTTP server listens. */
export const startRouter = async (settings: RouterSettings): Promise<Daemon> => {
    const node = createEntryNode(Role.Router, settings);
    const { timer, platform, follower, peers, log, metrics } = node;
    const endpoints = createEndpoints(timer);
    const callQueue = createCallQueue(timer, settings.maxQueued);
    const retryBudget = createRetryBudget();
    const inFlightLimits = createInFlightLimits();
    /** Calls, also those whose callers have left, and writes of their outcomes. */
    const unfinished = createUnfinishedTasks();
    const counts = { calls: 0, attempts: 0, done: 0, notRun: 0, unknown: 0 };
    let zonesOut = zonesOutOf(follower.current());
    let refusing = false;
    follower.subscribe(snapshot => {
        zonesOut = zonesOutOf(snapshot);
    });

    const pauseDetector = createPauseDetector({
        timer,
        onResume: async () => {
            await Promise.all([pollVersion(), refreshEndpoints()]);
        },
    });

    const runner = {
        timer,
        endpoints,
        line: callQueue,
        budget: retryBudget,
        choose: (excluded: ReadonlySet<string>) =>
            pauseDetector.isStale() ? undefined : choosePowerOfTwo({
                endpoints: endpoints.eligible(zonesOut),
                availabilityZone: settings.availabilityZone,
                nowMs: timer.nowMs(),
                random: Math.random,
                maxOutstanding: settings.connectionsPerEndpoint,
                excluded,
            }),
        onAttempt: (ended: EndedAttempt) => {
            counts.attempts += 1;
            logAttempt(log, ended);
        },
    };

    const atMostOnceRunner = {
        platform,
        timer,
        router: settings.vm,
        run: (call: Call, attemptId: string) => runCall(runner, call, attemptId),
        onRecording: (recording: Promise<unknown>) => void unfinished.track(recording),
    };

    const recordOutcome = (call: Call, answer: CallAnswer, startedAtMs: number): void => {
        counts[answer.outcome] += 1;
        logUnfinishedCall(log, call, answer, {
            ageMs: timer.nowMs() - startedAtMs,
            remainingMs: call.deadlineAtMs - timer.nowMs(),
            waiting: callQueue.length(),
            ejected: endpoints.ejection.ejected(),
            stopping: node.isStopping(),
        });
        metrics.increment("call", { outcome: answer.outcome });
        metrics.timing("callMs", timer.nowMs() - startedAtMs);
    };

    const serve = async (call: Call, maxInFlight: number): Promise<JsonAnswer> => {
        const releasePermit = inFlightLimits.tryAcquire(call.customer, call.service, maxInFlight);
        if (releasePermit === undefined) {
            return notRunAnswer(429, "too many calls", `the customer has ${maxInFlight} calls in progress here`);
        }
        const startedAtMs = timer.nowMs();
        counts.calls += 1;
        try {
            const answer = await unfinished.track(
                call.atMostOnce ? runOnce(atMostOnceRunner, call) : runCall(runner, call, randomUUID()),
            );
            recordOutcome(call, answer, startedAtMs);
            return toHttpAnswer(answer);
        }
        finally {
            releasePermit();
        }
    };

    const dump = (): unknown => ({
        self: node.describeSelf(),
        configuration: { version: follower.current().version },
        zonesOut: [...zonesOut.keys()],
        peers: peers.all(),
        endpoints: describeEndpoints(endpoints),
        waiting: callQueue.length(),
        limits: inFlightLimits.counts(),
        retriesLeft: retryBudget.remaining(),
        counts,
        ...describeUsage(),
    });

    const handleRequest = createRouterHttp({
        follower,
        timer,
        serve,
        isReady: () => !node.isStopping(),
        isRefusing: () => refusing,
        dump,
    });

    const pollVersion = async (): Promise<void> => {
        const row = await platform.read<CurrentVersion>(currentVersionKey);
        if (row.ok) {
            await follower.applyCurrentVersion(row.value);
        }
    };

    const refreshEndpoints = async (): Promise<void> => {
        await node.refreshVms();
        endpoints.update(node.endpoints());
    };

    const server = createJsonServer(handleRequest);
    const peerServer = await startPeerServer(`${settings.peer.host}:${settings.peer.port}`, node.peerHandlers);
    await Promise.all([pollVersion(), refreshEndpoints(), peers.catchUp()]);
    const httpPort = await listen(server, settings.http.host, settings.http.port);
    const unsubscribes = [timer.every(settings.pollMs, pollVersion), timer.every(vmRefreshMs, refreshEndpoints)];
    log("info", "router started", { httpPort, peerPort: peerServer.port });

    const stop = async (): Promise<void> => {
        await node.announceStop();
        await timer.sleep(deregistrationDelayMs);
        refusing = true;
        const finished = Promise.all([closeGracefully(server), unfinished.whenNone()]);
        await Promise.race([finished, timer.sleep(settings.drainMs)]);
        unsubscribes.forEach(unsubscribe => unsubscribe());
        pauseDetector.stop();
        await endpoints.close();
        await peerServer.close();
        await node.close();
        log("info", "router stopped", { ...counts, unfinished: unfinished.count() });
    };
    return { httpPort, peerPort: peerServer.port, stop };
};
