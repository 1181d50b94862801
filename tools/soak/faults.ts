/** Faults of a soak run, drawn from a seed. */
import { setTimeout as sleep } from "node:timers/promises";
import { VmState } from "../../src/platform/types.js";
import { pickOne } from "../../src/utils/random.js";
import type { Random } from "../../src/utils/random.js";
import type { WorkerSwitches } from "../../standins/worker/types.js";
import { sendJson } from "../localCluster.js";
import type { LocalCluster, RunningDaemon } from "../localCluster.js";
import type { SoakRecord } from "./record.js";

/** What faults work on. */
export interface FaultContext {
    cluster: LocalCluster;
    record: SoakRecord;
    random: Random;
    /** Daemons that are stopped, frozen or restarting at present. */
    unavailable: Set<string>;
    /** Publishes the statements with the given zone out, or with all zones in. */
    publish: (zoneOut: string | undefined) => Promise<boolean>;
}

type Fault = (context: FaultContext) => Promise<void>;

/** Time after a disturbance during which its effects may still show. */
const aftermathMs = 1_500;

const nameOf = (daemon: RunningDaemon): string => `${daemon.vm}/${daemon.role}`;

const disturb = async (context: FaultContext, processes: string[], task: () => Promise<void>): Promise<void> => {
    const notes = processes.map(process => ({ process, fromMs: Date.now(), untilMs: Infinity }));
    context.record.disturbed.push(...notes);
    await task();
    notes.forEach(note => {
        note.untilMs = Date.now() + aftermathMs;
    });
};

const withDaemon = async (context: FaultContext, task: (daemon: RunningDaemon) => Promise<void>): Promise<void> => {
    const free = context.cluster.daemons.filter(daemon => !context.unavailable.has(nameOf(daemon)));
    if (free.length < context.cluster.daemons.length / 2) {
        return;
    }
    const daemon = pickOne(context.random, free);
    context.unavailable.add(nameOf(daemon));
    await task(daemon);
    context.unavailable.delete(nameOf(daemon));
};

const duration = (context: FaultContext, leastMs: number, mostMs: number): number =>
    leastMs + Math.floor(context.random() * (mostMs - leastMs));

const killDaemon: Fault = context =>
    withDaemon(context, daemon =>
        disturb(context, [nameOf(daemon)], async () => {
            await context.cluster.killDaemon(daemon);
            await sleep(duration(context, 200, 3_000));
            await context.cluster.restartDaemon(daemon);
        }));

const freezeDaemon: Fault = context =>
    withDaemon(context, daemon =>
        disturb(context, [nameOf(daemon)], async () => {
            daemon.child.kill("SIGSTOP");
            await sleep(duration(context, 500, 9_000));
            daemon.child.kill("SIGCONT");
        }));

const stopDaemon: Fault = context =>
    withDaemon(context, async daemon => {
        const code = await context.cluster.stopDaemon(daemon);
        context.record.gracefulExits.push({ process: nameOf(daemon), code });
        await sleep(duration(context, 100, 1_000));
        await disturb(context, [nameOf(daemon)], async () => {
            await context.cluster.restartDaemon(daemon);
        });
    });

const cutVm: Fault = async context => {
    const { vm } = pickOne(context.random, context.cluster.daemons);
    await disturb(context, [`${vm}/router`, `${vm}/scheduler`], async () => {
        await context.cluster.setPlatform({ cutVms: [vm] });
        await sleep(duration(context, 1_000, 6_000));
        await context.cluster.setPlatform({ cutVms: [] });
    });
};

const everyProcess = (context: FaultContext): string[] => context.cluster.daemons.map(nameOf);

const platformDown: Fault = context =>
    disturb(context, everyProcess(context), async () => {
        await context.cluster.setPlatform({ down: true });
        await sleep(duration(context, 500, 5_000));
        await context.cluster.setPlatform({ down: false });
    });

const platformSlow: Fault = async context => {
    await context.cluster.setPlatform({ slowMs: duration(context, 50, 400) });
    await sleep(duration(context, 1_000, 4_000));
    await context.cluster.setPlatform({ slowMs: 0 });
};

const loseAnswers: Fault = context =>
    context.cluster.setPlatform({ loseAnswers: 1 + Math.floor(context.random() * 5) });

const workerFault = (switches: Partial<WorkerSwitches>, healthy: Partial<WorkerSwitches>): Fault => async context => {
    const zone = pickOne(context.random, context.cluster.workers);
    const worker = pickOne(context.random, zone.workers).name;
    await context.cluster.setWorker(worker, switches);
    await sleep(duration(context, 1_000, 8_000));
    await context.cluster.setWorker(worker, healthy);
};

const freezeWorkers: Fault = async context => {
    const { child } = pickOne(context.random, context.cluster.workers);
    child.kill("SIGSTOP");
    await sleep(duration(context, 200, 2_000));
    child.kill("SIGCONT");
};

const leaveEndpoint: Fault = async context => {
    const worker = pickOne(context.random, pickOne(context.random, context.cluster.workers).workers).name;
    if (context.record.leaving.some(note => note.worker === worker)) {
        return;
    }
    const told = context.random() < 0.5;
    const note = { worker, told, fromMs: Date.now(), untilMs: Infinity };
    await context.cluster.setWorker(worker, { saysLeaving: told });
    context.record.leaving.push(note);
    await context.cluster.setVm(worker, { state: VmState.Leaving });
    await sleep(duration(context, 6_000, 9_000));
    note.untilMs = Date.now();
    await context.cluster.setWorker(worker, { saysLeaving: false });
    await context.cluster.setVm(worker, { state: VmState.Live, incarnation: 2 + context.record.leaving.length });
};

let zoneIsOut = false;

const zoneOut: Fault = async context => {
    if (zoneIsOut) {
        return;
    }
    zoneIsOut = true;
    const zone = pickOne(context.random, context.cluster.zones);
    if (await context.publish(zone)) {
        const note = { zone, acceptedAtMs: Date.now(), returnedAtMs: Infinity };
        context.record.zonesOut.push(note);
        await sleep(duration(context, 4_000, 9_000));
        note.returnedAtMs = Date.now();
        while (!await context.publish(undefined)) {
            await sleep(300);
        }
    }
    zoneIsOut = false;
};

const faults: Record<string, Fault> = {
    killDaemon,
    freezeDaemon,
    stopDaemon,
    cutVm,
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
    freezeWorkers,
    leaveEndpoint,
    zoneOut,
};

/** Brings faults about until told to stop; resolves once all have been undone. */
export const startFaults = (context: FaultContext, periodMs: number) => {
    const open = new Set<Promise<void>>();
    const timer = setInterval(() => {
        const name = pickOne(context.random, Object.keys(faults));
        context.record.faults[name] = (context.record.faults[name] ?? 0) + 1;
        const running = faults[name](context).catch(() => {});
        open.add(running);
        void running.finally(() => open.delete(running));
    }, periodMs);
    return async (): Promise<void> => {
        clearInterval(timer);
        await Promise.all(open);
    };
};

/** Samples the configuration version of every process. */
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
