/** Sends calls through the router's own code to simulated endpoints in virtual time. */
import { build as buildHistogram } from "hdr-histogram-js";
import TinyQueue from "tinyqueue";
import { Urgency } from "../src/configuration/types.js";
import { createCallQueue } from "../src/routing/callQueue.js";
import { choosePowerOfTwo, loadOf } from "../src/routing/choose.js";
import type { ChooseEndpoint } from "../src/routing/choose.js";
import { runCall } from "../src/routing/commands/runCall.js";
import type { CallRunner } from "../src/routing/commands/runCall.js";
import type { EndpointReply } from "../src/routing/connections.js";
import { createEjection } from "../src/routing/ejection.js";
import type { Endpoint } from "../src/routing/endpoints.js";
import { createRetryBudget } from "../src/routing/retryBudget.js";
import { AttemptKind, Outcome } from "../src/routing/types.js";
import type { Call } from "../src/routing/types.js";
import { createRandom } from "../src/utils/random.js";
import type { Random } from "../src/utils/random.js";
import type { TimerService } from "../src/utils/timer.js";

/** Parameters of one run of the routing benchmark. */
export interface RoutingScenario {
    name: string;
    choose: ChooseEndpoint;
    /** Offered load as a multiple of the capacity of all endpoints. */
    load: number;
    /** Number of endpoints that fail every call immediately. */
    failingEndpoints: number;
    /** Number of endpoints that take ten times as long per call. */
    slowEndpoints: number;
    seed: number;
    calls: number;
}

/** Measurements of one run. */
export interface RoutingResult {
    urgentP50Ms: number;
    urgentP99Ms: number;
    normalP50Ms: number;
    normalP99Ms: number;
    /** Share of calls that were answered with their result. */
    doneShare: number;
    /** Started attempts per call. */
    amplification: number;
    /** Calls per second of processor time. */
    callsPerSecond: number;
}

const routerCount = 9;
const endpointCount = 30;
const slotsPerEndpoint = 8;
const zoneCount = 3;
const meanServiceMs = 40;
const deadlineMs = 3_000;
/** One-way delay between router and endpoint. */
const networkDelayMs = 1;

interface SimulationTimer extends TimerService {
    /** Runs all events in order of time. */
    run(): Promise<void>;
}

/** Creates a virtual timer that scales to many events; pending promises settle between any two events. */
const createSimulationTimer = (): SimulationTimer => {
    const eventQueue = new TinyQueue<{ atMs: number; order: number; run: () => void; cancelled: boolean; }>(
        [],
        (left, right) => left.atMs - right.atMs || left.order - right.order,
    );
    let nowMs = 0;
    let order = 0;
    const after = (delayMs: number, run: () => void) => {
        const entry = { atMs: nowMs + Math.max(0, delayMs), order: order++, run, cancelled: false };
        eventQueue.push(entry);
        return () => {
            entry.cancelled = true;
            // what it refers to would stay in memory until its time
            entry.run = () => {};
        };
    };
    return {
        nowMs: () => nowMs,
        wallClockMs: () => nowMs,
        every: () => () => {},
        after,
        sleep: delayMs => new Promise(resolve => after(delayMs, resolve)),
        run: async () => {
            for (let entry = eventQueue.pop(); entry !== undefined; entry = eventQueue.pop()) {
                if (entry.cancelled) {
                    continue;
                }
                nowMs = entry.atMs;
                entry.run();
                await new Promise(resolve => setImmediate(resolve));
            }
        },
    };
};

interface SimulatedServer {
    /** Calls in progress. */
    busy: number;
    startedCalls: number;
    /** Factor on service times. */
    slowdown: number;
    fails: boolean;
}

const serveCall = async (server: SimulatedServer, timer: TimerService, random: Random): Promise<EndpointReply> => {
    await timer.sleep(networkDelayMs);
    if (server.busy >= slotsPerEndpoint) {
        return { attempt: { kind: AttemptKind.Refused, reason: "busy" }, slotsBusy: server.busy, leaving: false };
    }
    server.busy += 1;
    server.startedCalls += 1;
    const serviceMs = server.fails ? 1 : -Math.log(1 - random()) * meanServiceMs * server.slowdown;
    await timer.sleep(serviceMs);
    server.busy -= 1;
    const attempt = server.fails
        ? { kind: AttemptKind.Failed as const, reason: "fails everything" }
        : { kind: AttemptKind.Done as const, result: {} };
    await timer.sleep(networkDelayMs);
    return { attempt, slotsBusy: server.busy, leaving: false };
};

const createEndpoint = (index: number, server: SimulatedServer, timer: TimerService, random: Random): Endpoint => ({
    name: `endpoint-${index}`,
    availabilityZone: `zone-${index % zoneCount}`,
    httpAddress: "",
    incarnation: 1,
    leaving: false,
    outstanding: 0,
    slotsBusy: 0,
    slotsBusyAtMs: -1e9,
    backoffUntilMs: 0,
    connections: {
        send: () => serveCall(server, timer, random),
        fence: async () => undefined,
        openCount: () => 0,
        close: async () => {},
    },
});

const createCallRunner = (
    scenario: RoutingScenario,
    zone: string,
    servers: SimulatedServer[],
    timer: TimerService,
    random: Random,
): CallRunner => {
    const endpoints = servers.map((server, index) => createEndpoint(index, server, timer, random));
    const ejection = createEjection(timer);
    return {
        timer,
        endpoints: {
            update: () => {},
            all: () => endpoints,
            eligible: () => endpoints,
            markLeaving: () => {},
            ejection,
            close: async () => {},
        },
        line: createCallQueue(timer, 256),
        budget: createRetryBudget(),
        choose: excluded =>
            scenario.choose({
                endpoints: endpoints.filter(endpoint => !ejection.isEjected(endpoint.name)),
                availabilityZone: zone,
                nowMs: timer.nowMs(),
                random,
                maxOutstanding: slotsPerEndpoint,
                excluded,
            }),
        onAttempt: () => {},
    };
};

const createCall = (random: Random, nowMs: number): Call => ({
    customer: "customer",
    service: "quotes",
    body: {},
    urgency: random() < 0.3 ? Urgency.Urgent : Urgency.Normal,
    atMostOnce: false,
    deadlineAtMs: nowMs + deadlineMs,
    callerGone: new AbortController().signal,
});

/** Runs one scenario. */
export const runRouting = async (scenario: RoutingScenario): Promise<RoutingResult> => {
    const random = createRandom(scenario.seed);
    const timer = createSimulationTimer();
    const servers = Array.from(Array(endpointCount).keys(), (index): SimulatedServer => ({
        busy: 0,
        startedCalls: 0,
        slowdown: index >= scenario.failingEndpoints && index < scenario.failingEndpoints + scenario.slowEndpoints
            ? 10
            : 1,
        fails: index < scenario.failingEndpoints,
    }));
    const routers = Array.from(
        Array(routerCount).keys(),
        index => createCallRunner(scenario, `zone-${index % zoneCount}`, servers, timer, random),
    );
    // in tenths of a millisecond
    const latencies = {
        [Urgency.Urgent]: buildHistogram(),
        [Urgency.Normal]: buildHistogram(),
        [Urgency.MayWait]: buildHistogram(),
    };
    let done = 0;
    const meanGapMs = meanServiceMs / (endpointCount * slotsPerEndpoint * scenario.load);
    const sendCall = async (index: number): Promise<void> => {
        const call = createCall(random, timer.nowMs());
        const sentAtMs = timer.nowMs();
        const answer = await runCall(routers[index % routerCount], call, `call-${index}`);
        latencies[call.urgency].recordValue(Math.max(1, Math.round((timer.nowMs() - sentAtMs) * 10)));
        done += answer.outcome === Outcome.Done ? 1 : 0;
    };
    let atMs = 0;
    for (let index = 0; index < scenario.calls; index++) {
        atMs += -Math.log(1 - random()) * meanGapMs;
        timer.after(atMs, () => void sendCall(index));
    }
    const cpuAtStart = process.cpuUsage();
    await timer.run();
    const cpuUsed = process.cpuUsage(cpuAtStart);
    const startedCalls = servers.reduce((sum, server) => sum + server.startedCalls, 0);
    const percentile = (urgency: Urgency, share: number): number => latencies[urgency].getValueAtPercentile(share) / 10;
    return {
        urgentP50Ms: percentile(Urgency.Urgent, 50),
        urgentP99Ms: percentile(Urgency.Urgent, 99),
        normalP50Ms: percentile(Urgency.Normal, 50),
        normalP99Ms: percentile(Urgency.Normal, 99),
        doneShare: done / scenario.calls,
        amplification: startedCalls / scenario.calls,
        callsPerSecond: scenario.calls / ((cpuUsed.user + cpuUsed.system) / 1e6),
    };
};

/** Restricts a policy to endpoints with free capacity; `turn` counts the choices. */
const chooseAmongFree: (
    pick: (free: Endpoint[], context: { nowMs: number; turn: number; }) => Endpoint,
) => ChooseEndpoint = pick => {
    let turn = 0;
    return input => {
        const free = input.endpoints.filter(endpoint =>
            endpoint.outstanding < input.maxOutstanding && endpoint.backoffUntilMs <= input.nowMs
            && !input.excluded.has(endpoint.name)
        );
        return free.length === 0 ? undefined : pick(free, { nowMs: input.nowMs, turn: turn++ });
    };
};

/** Chooses endpoints in turn. */
export const roundRobin = (): ChooseEndpoint => chooseAmongFree((free, { turn }) => free[turn % free.length]);

/** Chooses the endpoint with the fewest outstanding calls that the router knows of. */
export const leastOutstanding = (): ChooseEndpoint =>
    chooseAmongFree((free, { nowMs }) =>
        free.reduce((best, endpoint) => loadOf(endpoint, nowMs) < loadOf(best, nowMs) ? endpoint : best)
    );

/** The router's own policy: the less loaded of two random endpoints. */
export const powerOfTwo = (): ChooseEndpoint => choosePowerOfTwo;
