/** Replays a load on entry VMs, a table and workers in one process, on virtual time. */
import { Adjacency } from "../../src/configuration/types.js";
import { EndKind } from "../../src/execution/types.js";
import { Acceptance } from "../../src/jobs/commands/acceptJob.js";
import { JobPhase } from "../../src/jobs/types.js";
import type { JobSubmission } from "../../src/jobs/types.js";
import type { LogLine } from "../../src/tracing/logLines.js";
import { createRandom, pickOne } from "../../src/utils/random.js";
import type { Random } from "../../src/utils/random.js";
import type { RunSpan } from "../../standins/runs/workerModel.js";
import { createFleet, createStep, createSubmission } from "../../test/fixtures/fleet.js";
import type { Fleet } from "../../test/fixtures/fleet.js";
import { FaultKind } from "./types.js";
import type { Fault, JobStream, Load, Range, ReplayResult, StreamOutcome } from "./types.js";

interface Arrival {
    stream: JobStream;
    atMs: number;
    submission: JobSubmission;
    /** Actual time of its longest path of runs, failed ones included. */
    workMs: number;
    isCancelled: boolean;
    accepted: boolean;
    /** Time from its arrival to its end. @default it has not succeeded */
    durationMs?: number;
}

/** Time for which the VMs elect a planner before the load begins. */
const settleMs = 1_000;
/** Time that a caller waits for an answer. */
const callerDeadlineMs = 3_000;
/** Pause of a caller after a refusal, and the number of its attempts. */
const callerRetryMs = 1_000;
const maxCallerAttempts = 5;
/** Multiple of the objective up to which a late job has value. */
const lateFactor = 3;
/** Cores and memory that a task needs for each accelerator; accelerators are what is scarce. */
const milliCoresPerAccelerator = 4_000;
const memoryMbPerAccelerator = 8_000;

const drawFrom = (random: Random, [least, most]: Range): number => least + random() * (most - least);

const drawInteger = (random: Random, [least, most]: Range): number =>
    Math.min(most, Math.floor(drawFrom(random, [least, most + 1])));

const createArrival = (stream: JobStream, index: number, atMs: number, random: Random): Arrival => {
    const accelerators = drawInteger(random, stream.acceleratorsPerTask);
    const runTimeMs = Math.round(drawFrom(random, stream.runTimeMs));
    const error = (random() * 2 - 1) * (stream.estimateError ?? 0);
    const failures = random() < (stream.failShare ?? 0) ? 1 : 0;
    const step = createStep({
        taskCount: drawInteger(random, stream.taskCount),
        resources: {
            milliCores: accelerators * milliCoresPerAccelerator,
            memoryMb: accelerators * memoryMbPerAccelerator,
            accelerators,
        },
        estimateMs: Math.round(runTimeMs * (1 + error)),
        checkpointing: random() < (stream.checkpointShare ?? 0),
        gang: stream.gang === true,
        adjacency: stream.sameRack === true ? Adjacency.Rack : undefined,
    });
    const { priority, slackFactor, targetLatencyMs, customer = "guest" } = stream;
    const overrides = { priority, slackFactor, targetLatencyMs, customer, uselessAfterObjectives: lateFactor };
    const work = { workMs: runTimeMs, failures, unevenShare: stream.unevenShare };
    return {
        stream,
        atMs,
        submission: createSubmission(`${stream.name}-${index}`, [step], overrides, work),
        workMs: runTimeMs * (failures + 1),
        isCancelled: random() < (stream.cancelShare ?? 0),
        accepted: false,
    };
};

const createArrivals = (load: Load, random: Random): Arrival[] =>
    load.streams.flatMap(stream => {
        const arrivals: Arrival[] = [];
        let atMs = stream.fromMs - Math.log(1 - random()) * stream.meanGapMs;
        while (atMs < stream.untilMs) {
            arrivals.push(createArrival(stream, arrivals.length, atMs, random));
            atMs -= Math.log(1 - random()) * stream.meanGapMs;
        }
        return arrivals;
    });

/** Submits a job as a caller does: to any VM, and again after a refusal. */
const submit = async (fleet: Fleet, arrival: Arrival, random: Random): Promise<void> => {
    const { timer } = fleet;
    for (let attempt = 1; attempt <= maxCallerAttempts && !arrival.accepted; attempt++) {
        const vm = pickOne(random, [...fleet.vms.values()]);
        const submission = { ...arrival.submission, acceptedAtMs: timer.wallClockMs() };
        const { acceptance } = await vm.accept(submission, callerDeadlineMs);
        arrival.accepted = acceptance === Acceptance.Accepted;
        if (!arrival.accepted) {
            await timer.sleep(callerRetryMs);
        }
    }
    if (arrival.accepted && arrival.isCancelled) {
        await timer.sleep(arrival.workMs / 2);
        await pickOne(random, [...fleet.vms.values()]).cancel(arrival.submission.id);
    }
};

const injectFault = (fleet: Fleet, { kind, count = 1, forMs }: Fault, random: Random): void => {
    switch (kind) {
        case FaultKind.TableDown:
            fleet.tableDown = true;
            fleet.timer.after(forMs, () => fleet.tableDown = false);
            break;
        case FaultKind.VmCutFromTable: {
            const vm = pickOne(random, [...fleet.vms.keys()]);
            fleet.partitionedFromTable.add(vm);
            fleet.timer.after(forMs, () => fleet.partitionedFromTable.delete(vm));
            break;
        }
        case FaultKind.PlannerKilled: {
            const planner = fleet.planner();
            if (planner !== undefined) {
                fleet.killVm(planner);
                fleet.timer.after(forMs, () => fleet.startVm(planner));
            }
            break;
        }
        case FaultKind.WorkersSilent: {
            const silent = [...fleet.workers.values()].slice(0, count);
            silent.forEach(worker => worker.unreachable = true);
            fleet.timer.after(forMs, () => silent.forEach(worker => worker.unreachable = false));
        }
    }
};

const objectiveOf = ({ stream, workMs }: Arrival): number => stream.slackFactor * workMs + stream.targetLatencyMs;

const valueOf = (arrival: Arrival): number => {
    const { durationMs = Number.POSITIVE_INFINITY, stream } = arrival;
    if (durationMs <= objectiveOf(arrival)) {
        return stream.value;
    }
    return durationMs <= objectiveOf(arrival) * lateFactor ? stream.lateValue : 0;
};

const sumValues = (arrivals: readonly Arrival[], value: (arrival: Arrival) => number): number =>
    arrivals.reduce((sum, arrival) => sum + value(arrival), 0);

const shareEarned = (owed: readonly Arrival[]): number =>
    sumValues(owed, valueOf) / Math.max(sumValues(owed, ({ stream }) => stream.value), Number.MIN_VALUE);

const outcomeOf = (stream: JobStream, owed: readonly Arrival[]): StreamOutcome => {
    const inTime = owed.filter(arrival => valueOf(arrival) === stream.value).length;
    const late = owed.filter(arrival => valueOf(arrival) === stream.lateValue).length;
    return {
        stream: stream.name,
        jobs: owed.length,
        inTime,
        late,
        lost: owed.length - inTime - late,
        earnedShare: shareEarned(owed),
    };
};

const sumLostWork = (fleet: Fleet, arrivals: readonly Arrival[]): number => {
    const steps = new Map(arrivals.map(({ submission }) => [submission.id, submission.steps[0]]));
    return fleet.spans.reduce((sum, { task, fromMs, toMs = fromMs, kind }) => {
        const step = steps.get(task.split(".")[0]);
        const isLost = kind !== undefined && kind !== EndKind.Done && step?.checkpointing === false;
        return isLost ? sum + (toMs - fromMs) / 1_000 * step.resources.accelerators : sum;
    }, 0);
};

/** Speed of a worker; the slow ones are spread evenly, so that each rack has some. */
const speedOfWorker = ({ slowWorkers: { share, speed } = { share: 0, speed: 1 } }: Load, id: string): number => {
    const number = Number(id.slice(1));
    return Math.floor((number + 1) * share) > Math.floor(number * share) ? speed : 1;
};

/** A replay that has ended. */
export interface Replay {
    result: ReplayResult;
    /** Every span in which a task ran. */
    spans: readonly RunSpan[];
    logLines: readonly LogLine[];
    /** Wall-clock time at which the load began. */
    startedAtMs: number;
}

/** Replays a load; the seed decides the arrivals, their sizes and which VMs they reach. */
export const replayLoad = async (load: Load, seed: number): Promise<Replay> => {
    const random = createRandom(seed);
    const fleet = createFleet({ workerCount: 0, vmCount: load.vms, speedOf: id => speedOfWorker(load, id) });
    for (let index = 0; index < load.racks * load.workersPerRack; index++) {
        fleet.addWorker(`w${index}`, `r1-${Math.floor(index / load.workersPerRack)}`);
    }
    await fleet.timer.advance(settleMs);
    const arrivals = createArrivals(load, random);
    const arrivalsById = new Map(arrivals.map(arrival => [arrival.submission.id, arrival]));
    const startedAtMs = fleet.timer.wallClockMs();
    arrivals.forEach(arrival => fleet.timer.after(arrival.atMs, () => void submit(fleet, arrival, random)));
    load.faults.forEach(fault => fleet.timer.after(fault.atMs, () => injectFault(fleet, fault, random)));
    await fleet.timer.advance(load.durationMs);
    for (const { message, fields, timeMs } of fleet.logLines) {
        const arrival = arrivalsById.get(String(fields.jobId));
        if (message === "job ended" && fields.phase === JobPhase.Succeeded && arrival !== undefined) {
            arrival.durationMs ??= timeMs - startedAtMs - arrival.atMs;
        }
    }
    const owed = arrivals.filter(arrival => !arrival.isCancelled);
    const result: ReplayResult = {
        seed,
        streams: load.streams.map(stream => outcomeOf(stream, owed.filter(arrival => arrival.stream === stream))),
        earnedShare: shareEarned(owed),
        lostAcceleratorS: sumLostWork(fleet, arrivals),
    };
    return { result, spans: fleet.spans, logLines: fleet.logLines, startedAtMs };
};
