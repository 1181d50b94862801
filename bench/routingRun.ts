/** Sends calls through the router's own code to fake endpoints in virtual time. */
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

/** One run of the routing benchmark. */
export interface RoutingScenario {
    name: string;
    choose: ChooseEndpoint;
    /** Calls in relation to what all slots can serve. */
    load: number;
    /** Endpoints that fail every call at once. */
    failing: number;
    /** Endpoints that take ten times as long. */
    slow: number;
    seed: number;
    calls: number;
}

/** Figures of one run. */
export interface RoutingResult {
    urgentP50Ms: number;
    urgentP99Ms: number;
    normalP50Ms: number;
    normalP99Ms: number;
    /** Share of calls that were answered with their result. */
    doneShare: number;
    /** Attempts that started, per call. */
    amplification: number;
    /** Choices of an endpoint per second of processor time. */
    callsPerSecond: number;
}

const routerCount = 9;
const endpointCount = 30;
const slots = 8;
const zoneCount = 3;
const meanServiceMs = 40;
const deadlineMs = 3_000;
const hopMs = 1;

interface FastTimer extends TimerService {
    run(): Promise<void>;
}

/** A virtual timer for many events; promises settle between any two of them. */
const createFastTimer = (): FastTimer => {
    const queue = new TinyQueue<{ atMs: number; order: number; run: () => void; }>(
        [],
        (left, right) => left.atMs - right.atMs || left.order - right.order,
    );
    let nowMs = 0;
    let order = 0;
    const after = (delayMs: number, run: () => void) => {
        const entry = { atMs: nowMs + Math.max(0, delayMs), order: order++, run };
        queue.push(entry);
        return () => {
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
            for (let entry = queue.pop(); entry !== undefined; entry = queue.pop()) {
                nowMs = entry.atMs;
                entry.run();
                await new Promise(resolve => setImmediate(resolve));
            }
        },
    };
};

interface Server {
    busy: number;
    starts: number;
    factor: number;
    fails: boolean;
}

const serve = async (server: Server, timer: TimerService, random: Random): Promise<EndpointReply> => {
    await timer.sleep(hopMs);
    if (server.busy >= slots) {
        return { attempt: { kind: AttemptKind.Refused, reason: "busy" }, slotsBusy: server.busy, leaving: false };
    }
    server.busy += 1;
    server.starts += 1;
    const serviceMs = server.fails ? 1 : -Math.log(1 - random()) * meanServiceMs * server.factor;
    await timer.sleep(serviceMs);
    server.busy -= 1;
    const attempt = server.fails
        ? { kind: AttemptKind.Failed as const, reason: "fails everything" }
        : { kind: AttemptKind.Done as const, result: {} };
    await timer.sleep(hopMs);
    return { attempt, slotsBusy: server.busy, leaving: false };
};

const createEndpoint = (index: number, server: Server, timer: TimerService, random: Random): Endpoint => ({
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
        send: () => serve(server, timer, random),
        fence: async () => undefined,
        openCount: () => 0,
        close: async () => {},
    },
});

const createRunner = (
    scenario: RoutingScenario,
    zone: string,
    servers: Server[],
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
                maxOutstanding: slots,
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
    const timer = createFastTimer();
    const servers = Array.from(Array(endpointCount).keys(), (index): Server => ({
        busy: 0,
        starts: 0,
        factor: index >= scenario.failing && index < scenario.failing + scenario.slow ? 10 : 1,
        fails: index < scenario.failing,
    }));
    const routers = Array.from(
        Array(routerCount).keys(),
        index => createRunner(scenario, `zone-${index % zoneCount}`, servers, timer, random),
    );
    const times = {
        [Urgency.Urgent]: buildHistogram(),
        [Urgency.Normal]: buildHistogram(),
        [Urgency.MayWait]: buildHistogram(),
    };
    let done = 0;
    const gapMs = meanServiceMs / (endpointCount * slots * scenario.load);
    const send = async (index: number): Promise<void> => {
        const call = createCall(random, timer.nowMs());
        const sentAtMs = timer.nowMs();
        const answer = await runCall(routers[index % routerCount], call, `call-${index}`);
        times[call.urgency].recordValue(Math.max(1, Math.round((timer.nowMs() - sentAtMs) * 10)));
        done += answer.outcome === Outcome.Done ? 1 : 0;
    };
    let atMs = 0;
    for (let index = 0; index < scenario.calls; index++) {
        atMs += -Math.log(1 - random()) * gapMs;
        timer.after(atMs, () => void send(index));
    }
    const startedAt = process.cpuUsage();
    await timer.run();
    const used = process.cpuUsage(startedAt);
    const starts = servers.reduce((sum, server) => sum + server.starts, 0);
    const percentile = (urgency: Urgency, share: number): number => times[urgency].getValueAtPercentile(share) / 10;
    return {
        urgentP50Ms: percentile(Urgency.Urgent, 50),
        urgentP99Ms: percentile(Urgency.Urgent, 99),
        normalP50Ms: percentile(Urgency.Normal, 50),
        normalP99Ms: percentile(Urgency.Normal, 99),
        doneShare: done / scenario.calls,
        amplification: starts / scenario.calls,
        callsPerSecond: scenario.calls / ((used.user + used.system) / 1e6),
    };
};

const withRoom: (pick: (free: Endpoint[], at: { nowMs: number; turn: number; }) => Endpoint) => ChooseEndpoint =
    pick => {
        let turn = 0;
        return input => {
            const free = input.endpoints.filter(endpoint =>
                endpoint.outstanding < input.maxOutstanding && endpoint.backoffUntilMs <= input.nowMs
                && !input.excluded.has(endpoint.name)
            );
            return free.length === 0 ? undefined : pick(free, { nowMs: input.nowMs, turn: turn++ });
        };
    };

/** Takes endpoints in turn. */
export const roundRobin = (): ChooseEndpoint => withRoom((free, { turn }) => free[turn % free.length]);

/** Takes the endpoint with the least calls that the router knows of. */
export const leastOutstanding = (): ChooseEndpoint =>
    withRoom((free, { nowMs }) =>
        free.reduce((best, endpoint) => loadOf(endpoint, nowMs) < loadOf(best, nowMs) ? endpoint : best)
    );

/** The router's own choice. */
export const ownChoice = (): ChooseEndpoint => choosePowerOfTwo;
