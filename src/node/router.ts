import { randomUUID } from "node:crypto";
import { zonesOutOf } from "../configuration/queries/settings.js";
import { currentVersionKey } from "../configuration/types.js";
import type { CurrentVersion } from "../configuration/types.js";
import { startPeerServer } from "../peers/server.js";
import { Role } from "../peers/types.js";
import { createCallQueue } from "../routing/callQueue.js";
import { choosePowerOfTwo } from "../routing/choose.js";
import { runCall } from "../routing/commands/runCall.js";
import { runOnce } from "../routing/commands/runOnce.js";
import { createEndpoints } from "../routing/endpoints.js";
import { createInFlightLimits } from "../routing/limits.js";
import { createRetryBudget } from "../routing/retryBudget.js";
import type { Call, CallAnswer } from "../routing/types.js";
import { closeGracefully, createJsonServer, listen } from "../utils/http.js";
import type { JsonAnswer } from "../utils/http.js";
import { createPauseDetector } from "../utils/pauseDetector.js";
import { createEntryNode, describeUsage } from "./entryNode.js";
import { createRouterHttp, notRunAnswer, toHttpAnswer } from "./routerHttp.js";
import type { Daemon } from "./runDaemon.js";
import type { RouterSettings } from "./settings.js";

const vmRefreshMs = 1_000;
/** Time for the balancer to notice that this VM takes no new requests. */
const balancerLeaveMs = 500;

/** Starts the router daemon. */
export const startRouter = async (settings: RouterSettings): Promise<Daemon> => {
    const node = createEntryNode(Role.Router, settings);
    const { timer, platform, follower, peers, log, metrics } = node;
    const endpoints = createEndpoints(timer);
    const line = createCallQueue(timer, settings.maxQueued);
    const budget = createRetryBudget();
    const limits = createInFlightLimits();
    const counts = { calls: 0, attempts: 0, done: 0, notRun: 0, unknown: 0 };
    let zonesOut = zonesOutOf(follower.current());
    let refusing = false;
    follower.subscribe(snapshot => {
        zonesOut = zonesOutOf(snapshot);
    });

    const pause = createPauseDetector({
        timer,
        onResume: async () => {
            await Promise.all([poll(), refresh()]);
        },
    });

    const runner = {
        timer,
        endpoints,
        line,
        budget,
        choose: (excluded: ReadonlySet<string>) =>
            pause.isStale() ? undefined : choosePowerOfTwo({
                endpoints: endpoints.eligible(zonesOut),
                availabilityZone: settings.availabilityZone,
                nowMs: timer.nowMs(),
                random: Math.random,
                maxOutstanding: settings.connectionsPerEndpoint,
                excluded,
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
        const releasePermit = limits.tryAcquire(call.customer, call.service, maxInFlight);
        if (releasePermit === undefined) {
            return notRunAnswer(429, "too many calls", `the customer has ${maxInFlight} calls in progress here`);
        }
        const startedAtMs = timer.nowMs();
        counts.calls += 1;
        try {
            const answer = await (call.atMostOnce ? runOnce(onceRunner, call) : runCall(runner, call, randomUUID()));
            count(answer, startedAtMs);
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
        ...describeUsage(),
    });

    const answer = createRouterHttp({
        follower,
        timer,
        serve,
        isReady: () => !node.isStopping(),
        isRefusing: () => refusing,
        dump,
    });

    const poll = async (): Promise<void> => {
        const row = await platform.read<CurrentVersion>(currentVersionKey);
        if (row.ok) {
            await follower.applyCurrentVersion(row.value);
        }
    };

    const refresh = async (): Promise<void> => {
        await node.refreshVms();
        endpoints.update(node.endpoints());
    };

    const server = createJsonServer(answer);
    const peerServer = await startPeerServer(`${settings.peer.host}:${settings.peer.port}`, node.handlers);
    await Promise.all([poll(), refresh(), peers.catchUp()]);
    const httpPort = await listen(server, settings.http.host, settings.http.port);
    const stops = [timer.every(settings.pollMs, poll), timer.every(vmRefreshMs, refresh)];
    log("info", "router started", { httpPort, peerPort: peerServer.port });

    const stop = async (): Promise<void> => {
        await node.announceStop();
        await timer.sleep(balancerLeaveMs);
        refusing = true;
        await Promise.race([closeGracefully(server), timer.sleep(settings.drainMs)]);
        stops.forEach(unsubscribe => unsubscribe());
        pause.stop();
        await endpoints.close();
        await peerServer.close();
        await node.close();
        log("info", "router stopped", { ...counts });
    };
    return { httpPort, peerPort: peerServer.port, stop };
};
