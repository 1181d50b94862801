/** Fault injection for a soak run: picks faults and their durations from a seeded random source. */
import { setTimeout as sleep } from "node:timers/promises";
import { VmState } from "../../src/platform/types.js";
import { pickOne } from "../../src/utils/random.js";
import type { Random } from "../../src/utils/random.js";
import type { WorkerSwitches } from "../../standins/worker/types.js";
import { sendJson } from "../localCluster.js";
import type { LocalCluster, RunningDaemon } from "../localCluster.js";
import type { SoakRecord } from "./record.js";

/** State that the faults of a soak run share. */
export interface FaultContext {
    cluster: LocalCluster;
    record: SoakRecord;
    random: Random;
    /** Daemons, as `vm/role`, that are stopped, paused or restarting. */
    unavailable: Set<string>;
    /** Publishes the statements with a zone out of service or, for `undefined`, with all zones in service. */
    publish: (zoneOut: string | undefined) => Promise<boolean>;
}

type Fault = (context: FaultContext) => Promise<void>;

/** Time after the end of a disruption during which its effects may still be observed. */
const recoveryMs = 1_500;

const nameOf = (daemon: RunningDaemon): string => `${daemon.vm}/${daemon.role}`;

const disrupt = async (context: FaultContext, processes: string[], injectFault: () => Promise<void>): Promise<void> => {
    const disruptions = processes.map(process => ({ process, fromMs: Date.now(), untilMs: Infinity }));
    context.record.disruptions.push(...disruptions);
    await injectFault();
    disruptions.forEach(disruption => {
        disruption.untilMs = Date.now() + recoveryMs;
    });
};

const withAvailableDaemon = async (
    context: FaultContext,
    injectFault: (daemon: RunningDaemon) => Promise<void>,
): Promise<void> => {
    const available = context.cluster.daemons.filter(daemon => !context.unavailable.has(nameOf(daemon)));
    if (available.length < context.cluster.daemons.length / 2) {
        return;
    }
    const daemon = pickOne(context.random, available);
    context.unavailable.add(nameOf(daemon));
    await injectFault(daemon);
    context.unavailable.delete(nameOf(daemon));
};

const drawDurationMs = (context: FaultContext, minMs: number, maxMs: number): number =>
    minMs + Math.floor(context.random() * (maxMs - minMs));

const killDaemon: Fault = context =>
    withAvailableDaemon(context, daemon =>
        disrupt(context, [nameOf(daemon)], async () => {
            await context.cluster.killDaemon(daemon);
            await sleep(drawDurationMs(context, 200, 3_000));
            await context.cluster.restartDaemon(daemon);
        }));

const pauseDaemon: Fault = context =>
    withAvailableDaemon(context, daemon =>
        disrupt(context, [nameOf(daemon)], async () => {
            daemon.child.kill("SIGSTOP");
            await sleep(drawDurationMs(context, 500, 9_000));
            daemon.child.kill("SIGCONT");
        }));

const stopDaemon: Fault = context =>
    withAvailableDaemon(context, async daemon => {
        const code = await context.cluster.stopDaemon(daemon);
        context.record.gracefulExits.push({ process: nameOf(daemon), code });
        await sleep(drawDurationMs(context, 100, 1_000));
        await disrupt(context, [nameOf(daemon)], async () => {
            await context.cluster.restartDaemon(daemon);
        });
    });

const partitionVm: Fault = async context => {
    const { vm } = pickOne(context.random, context.cluster.daemons);
    await disrupt(context, [`${vm}/router`, `${vm}/scheduler`], async () => {
        await context.cluster.setPlatformSwitches({ cutVms: [vm] });
        await sleep(drawDurationMs(context, 1_000, 6_000));
        await context.cluster.setPlatformSwitches({ cutVms: [] });
    });
};

const daemonNames = (context: FaultContext): string[] => context.cluster.daemons.map(nameOf);

const platformDown: Fault = context =>
    disrupt(context, daemonNames(context), async () => {
        await context.cluster.setPlatformSwitches({ down: true });
        await sleep(drawDurationMs(context, 500, 5_000));
        await context.cluster.setPlatformSwitches({ down: false });
    });

const platformSlow: Fault = async context => {
    await context.cluster.setPlatformSwitches({ slowMs: drawDurationMs(context, 50, 400) });
    await sleep(drawDurationMs(context, 1_000, 4_000));
    await context.cluster.setPlatformSwitches({ slowMs: 0 });
};

const loseAnswers: Fault = context =>
    context.cluster.setPlatformSwitches({ loseAnswers: 1 + Math.floor(context.random() * 5) });

const workerFault = (switches: Partial<WorkerSwitches>, healthy: Partial<WorkerSwitches>): Fault => async context => {
    const zone = pickOne(context.random, context.cluster.workers);
    const worker = pickOne(context.random, zone.workers).name;
    await context.cluster.setWorkerSwitches(worker, switches);
    await sleep(drawDurationMs(context, 1_000, 8_000));
    await context.cluster.setWorkerSwitches(worker, healthy);
};

const pauseWorkerProcess: Fault = async context => {
    const { child } = pickOne(context.random, context.cluster.workers);
    child.kill("SIGSTOP");
    await sleep(drawDurationMs(context, 200, 2_000));
    child.kill("SIGCONT");
};

const leaveEndpoint: Fault = async context => {
    const worker = pickOne(context.random, pickOne(context.random, context.cluster.workers).workers).name;
    if (context.record.leaving.some(period => period.worker === worker)) {
        return;
    }
    const saysLeaving = context.random() < 0.5;
    const period = { worker, saysLeaving, fromMs: Date.now(), untilMs: Infinity };
    await context.cluster.setWorkerSwitches(worker, { saysLeaving });
    context.record.leaving.push(period);
    await context.cluster.updateVm(worker, { state: VmState.Leaving });
    await sleep(drawDurationMs(context, 6_000, 9_000));
    period.untilMs = Date.now();
    await context.cluster.setWorkerSwitches(worker, { saysLeaving: false });
    await context.cluster.updateVm(worker, { state: VmState.Live, incarnation: 2 + context.record.leaving.length });
};

let isZoneOutOfService = false;

const zoneOut: Fault = async context => {
    if (isZoneOutOfService) {
        return;
    }
    isZoneOutOfService = true;
    const zone = pickOne(context.random, context.cluster.zones);
    if (await context.publish(zone)) {
        const outage = { zone, acceptedAtMs: Date.now(), restoreRequestedAtMs: Infinity };
        context.record.zonesOut.push(outage);
        await sleep(drawDurationMs(context, 4_000, 9_000));
        outage.restoreRequestedAtMs = Date.now();
        while (!await context.publish(undefined)) {
            await sleep(300);
        }
    }
    isZoneOutOfService = false;
};

const faults: Record<string, Fault> = {
    killDaemon,
    freezeDaemon: pauseDaemon,
    stopDaemon,
    cutVm: partitionVm,
    platformDown,
    platformSlow,
    loseAnswers,
    crossedAnswers: workerFault({ crossedShare: 0.3 }, { crossedShare: 0 }),
    cutShortAnswers: workerFault({ cutShortShare: 0.3 }, { cutShortShare: 0 }),
    lostAnswers: workerFault({ lostShare: 0.3 }, { lostShare: 0 }),
    lateAnswers: workerFault({ lateMs: 1_500 }, { lateMs: 0 }),
    failEverything: workerFault({ failEverything: true }, { failEverything: false }),
    pauseWorker: workerFault({ paused: true }, { paused: false }),
    ignoreCheckpoint: workerFault({ ignoreCheckpoint: true }, { ignoreCheckpoint: false }),
    freezeWorkers: pauseWorkerProcess,
    leaveEndpoint,
    zoneOut,
};

/** Injects a random fault every period; the returned function stops this and resolves once every fault is undone. */
export const startFaultInjection = (context: FaultContext, periodMs: number) => {
    const active = new Set<Promise<void>>();
    const timer = setInterval(() => {
        const name = pickOne(context.random, Object.keys(faults));
        context.record.faults[name] = (context.record.faults[name] ?? 0) + 1;
        const injected = faults[name](context).catch(() => {});
        active.add(injected);
        void injected.finally(() => active.delete(injected));
    }, periodMs);
    return async (): Promise<void> => {
        clearInterval(timer);
        await Promise.all(active);
    };
};

/** Records the configuration version that every available daemon reports. */
export const sampleVersions = async (context: FaultContext): Promise<void> => {
    await Promise.all(
        context.cluster.daemons.filter(daemon => !context.unavailable.has(nameOf(daemon))).map(async daemon => {
            const dump = await sendJson<{ configuration: { version: number; }; self: { processId: string; }; }>(
                `${daemon.httpAddress}/v1/dump`,
            ).catch(() => undefined);
            if (dump !== undefined) {
                context.record.versions.push({
                    process: `${nameOf(daemon)}/${dump.body.self.processId}`,
                    atMs: Date.now(),
                    version: dump.body.configuration.version,
                });
            }
        }),
    );
};
