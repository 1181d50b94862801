/** Generates workloads from seeds: arrivals and faults that model the users' fleets and job mixes. */
import { Adjacency, Urgency } from "../src/configuration/types.js";
import type { Shape, Snapshot, Statement } from "../src/configuration/types.js";
import { buildSubmission } from "../src/jobs/commands/submitJob.js";
import type { JobSubmission } from "../src/jobs/types.js";
import { createRandom, pickOne } from "../src/utils/random.js";
import type { Random } from "../src/utils/random.js";
import type { WorkerFacts } from "../src/workers/types.js";

/** Class of a job by urgency and size, by which waits and completion times are reported. */
export enum JobClass {
    Urgent = "urgent",
    Small = "small",
    Medium = "medium",
    Large = "large",
}

/** An arriving job, with properties that the planner does not know. */
export interface Arrival {
    atMs: number;
    submission: JobSubmission;
    class: JobClass;
    actualRunTimeMs: number;
    /** It ignores requests to checkpoint, so that its work is lost when it is stopped. */
    ignoresCheckpoint: boolean;
    /** It can never run, because its shape is too large for the fleet. */
    neverFits: boolean;
}

/** An event of a workload other than an arrival. */
export type WorkloadEvent =
    | { kind: "zoneOut"; atMs: number; zone: string; }
    | { kind: "zoneIn"; atMs: number; zone: string; }
    | { kind: "workerBreaks"; atMs: number; worker: string; }
    | { kind: "workerRepaired"; atMs: number; worker: string; }
    | { kind: "massCancellation"; atMs: number; share: number; };

/** Fleet and job mix of one user. */
export interface Profile {
    name: string;
    zones: number;
    workersPerZone: number;
    /** Accelerators of a worker by its index within the zone. */
    acceleratorsOf: (index: number) => number;
    customers: number;
    jobsPerDay: number;
    days: number;
    /** Probability of each class; they add up to 1. */
    weights: Record<JobClass, number>;
    /** Shapes that large jobs are drawn from. */
    largeShapes: Shape[];
    /** Mean run time of each class, in addition to one minute. */
    meanHours: Record<JobClass, number>;
}

/** Everything that happens in one replay. */
export interface Workload {
    workers: WorkerFacts[];
    snapshot: Snapshot;
    arrivals: Arrival[];
    events: WorkloadEvent[];
    /** Time during which an availability zone is out of service and its work moves elsewhere. */
    zoneMove: { fromMs: number; untilMs: number; zone: string; };
    /** Nominal end of the arrivals; accelerator use is not measured after it. */
    endMs: number;
}

const hourMs = 3_600_000;
const dayMs = 24 * hourMs;

/** A shape with one core and one GB for each task. */
export const shapeOf = (taskCount: number, acceleratorsPerTask: number, adjacency: Adjacency): Shape => ({
    taskCount,
    acceleratorsPerTask,
    coresPerTask: 1,
    memoryGbPerTask: 1,
    adjacency,
});

const createWorkers = (profile: Profile): WorkerFacts[] => {
    const workers: WorkerFacts[] = [];
    for (let zone = 0; zone < profile.zones; zone++) {
        for (let index = 0; index < profile.workersPerZone; index++) {
            workers.push({
                name: `worker-${zone}-${String(index).padStart(3, "0")}`,
                availabilityZone: `zone-${zone}`,
                rack: `rack-${zone}-${Math.floor(index / 8)}`,
                capacity: { accelerators: profile.acceleratorsOf(index), milliCores: 64_000, memoryMb: 130_000 },
            });
        }
    }
    return workers;
};

const createGuarantee = (customer: number, shape: Shape, count: number): Statement => ({
    name: `guarantee-${customer}`,
    owner: "bench",
    reason: "bench",
    customer: `customer-${customer}`,
    guarantee: { shape, count, holdsWithZoneOut: true },
    provenance: { file: "bench", line: 1, changedInVersion: 1, changedBy: "bench", changedAtMs: 0 },
});

/** Half of the customers hold guarantees, together about a third of all accelerators. */
const createStatements = (profile: Profile, totalAccelerators: number): Statement[] => {
    const holders = Math.floor(profile.customers / 2);
    const gangsPerHolder = Math.max(1, Math.floor(totalAccelerators * 0.3 / (16 * holders)));
    return Array.from(
        Array(holders).keys(),
        customer => createGuarantee(customer, shapeOf(16, 1, Adjacency.Rack), gangsPerHolder),
    );
};

const drawExponential = (random: Random, mean: number): number => -Math.log(1 - random()) * mean;

/** Draws a declared run time, which is wrong by a factor between a fifth and five. */
const drawDeclaredMs = (random: Random, actualMs: number): number =>
    actualMs * Math.exp((random() * 2 - 1) * Math.log(5));

const drawClass = (random: Random, profile: Profile): JobClass => {
    let draw = random();
    for (const jobClass of Object.values(JobClass)) {
        draw -= profile.weights[jobClass];
        if (draw < 0) {
            return jobClass;
        }
    }
    return JobClass.Small;
};

const drawShape = (random: Random, profile: Profile, jobClass: JobClass): Shape => {
    switch (jobClass) {
        case JobClass.Urgent:
            return shapeOf(16, 1, Adjacency.Rack);
        case JobClass.Small:
            return shapeOf(1, pickOne(random, [1, 2, 4]), Adjacency.Worker);
        case JobClass.Medium:
            return pickOne(random, [
                shapeOf(8, 1, Adjacency.Worker),
                shapeOf(12, 1, Adjacency.Rack),
                shapeOf(16, 1, Adjacency.Rack),
            ]);
        case JobClass.Large:
            return pickOne(random, profile.largeShapes);
    }
};

const createArrival = (random: Random, profile: Profile, index: number, atMs: number): Arrival => {
    const jobClass = drawClass(random, profile);
    const neverFits = random() < 0.01;
    const actualRunTimeMs = 60_000 + drawExponential(random, profile.meanHours[jobClass] * hourMs);
    const holders = Math.floor(profile.customers / 2);
    const customer = jobClass === JobClass.Urgent
        ? Math.floor(random() * holders)
        : holders + Math.floor(random() * (profile.customers - holders));
    const urgency = jobClass === JobClass.Urgent ? Urgency.Urgent : random() < 0.5 ? Urgency.Normal : Urgency.MayWait;
    const request = {
        customer: `customer-${customer}`,
        service: jobClass,
        shape: neverFits ? shapeOf(96, 8, Adjacency.Rack) : drawShape(random, profile, jobClass),
        declaredRunTimeMs: drawDeclaredMs(random, actualRunTimeMs),
        checkpointable: random() < 0.85,
    };
    return {
        atMs,
        class: jobClass,
        actualRunTimeMs,
        neverFits,
        ignoresCheckpoint: random() < 0.1,
        submission: buildSubmission(`job-${index}`, request, urgency, atMs),
    };
};

/** Draws arrivals: a fifth of them come in bursts of ten, the others singly. */
const createArrivals = (random: Random, profile: Profile): Arrival[] => {
    const arrivals: Arrival[] = [];
    const total = profile.jobsPerDay * profile.days;
    const meanGapMs = profile.days * dayMs / (total * 0.8 + total * 0.02);
    let atMs = 0;
    while (arrivals.length < total) {
        atMs += drawExponential(random, meanGapMs);
        const count = random() < 0.025 ? 10 : 1;
        for (let copy = 0; copy < count; copy++) {
            arrivals.push(createArrival(random, profile, arrivals.length, atMs));
        }
    }
    return arrivals;
};

/** Draws a backlog of small jobs that may wait, so that the remaining zones have enough work during a zone move. */
const createBacklog = (random: Random, profile: Profile, atMs: number, accelerators: number): Arrival[] => {
    const backlog: Arrival[] = [];
    for (let index = 0; index * 4 < accelerators; index++) {
        const arrival = createArrival(
            random,
            { ...profile, weights: { urgent: 0, small: 1, medium: 0, large: 0 } },
            index,
            atMs,
        );
        const request = {
            customer: arrival.submission.customer ?? "",
            service: JobClass.Small,
            shape: shapeOf(1, 4, Adjacency.Worker),
            declaredRunTimeMs: arrival.submission.steps[0].estimateMs,
            checkpointable: true,
        };
        arrival.submission = buildSubmission(`backlog-${index}`, request, Urgency.MayWait, atMs);
        arrival.neverFits = false;
        arrival.actualRunTimeMs = 2 * hourMs;
        backlog.push(arrival);
    }
    return backlog;
};

/** Creates the workload of a profile for a seed. */
export const createWorkload = (profile: Profile, seed: number): Workload => {
    const random = createRandom(seed);
    const workers = createWorkers(profile);
    const totalAccelerators = workers.reduce((sum, worker) => sum + worker.capacity.accelerators, 0);
    const zoneMove = {
        fromMs: 0.55 * profile.days * dayMs,
        untilMs: 0.55 * profile.days * dayMs + 2 * hourMs,
        zone: "zone-1",
    };
    const backlog = createBacklog(random, profile, zoneMove.fromMs - hourMs / 2, totalAccelerators * 0.6);
    const arrivals = [...createArrivals(random, profile), ...backlog].sort((left, right) => left.atMs - right.atMs);
    const brokenWorker = pickOne(random, workers.filter(worker => worker.capacity.accelerators > 0)).name;
    const events: WorkloadEvent[] = [
        { kind: "workerBreaks", atMs: 0.2 * profile.days * dayMs, worker: brokenWorker },
        { kind: "workerRepaired", atMs: 0.4 * profile.days * dayMs, worker: brokenWorker },
        { kind: "zoneOut", atMs: zoneMove.fromMs, zone: zoneMove.zone },
        { kind: "zoneIn", atMs: zoneMove.untilMs, zone: zoneMove.zone },
        { kind: "massCancellation", atMs: 0.8 * profile.days * dayMs, share: 0.3 },
    ];
    return {
        workers,
        snapshot: {
            version: 1,
            publishId: "bench",
            publishedBy: "bench",
            publishedAtMs: 0,
            statements: createStatements(profile, totalAccelerators),
            removed: [],
        },
        arrivals,
        events,
        zoneMove,
        endMs: profile.days * dayMs,
    };
};

const todayWeights = { urgent: 0.08, small: 0.55, medium: 0.27, large: 0.1 };

/** The dove company's present size: many short jobs, large ones that span racks. */
export const doveProfile: Profile = {
    name: "dove today",
    zones: 3,
    workersPerZone: 10,
    acceleratorsOf: () => 8,
    customers: 4,
    jobsPerDay: 380,
    days: 2,
    weights: todayWeights,
    largeShapes: [shapeOf(32, 1, Adjacency.Rack), shapeOf(48, 1, Adjacency.AvailabilityZone)],
    meanHours: { urgent: 0.3, small: 1.2, medium: 1.2, large: 1.5 },
};

/** The coop company's present size: fewer, longer jobs. */
export const coopProfile: Profile = {
    ...doveProfile,
    name: "coop today",
    jobsPerDay: 200,
    weights: { urgent: 0.08, small: 0.5, medium: 0.32, large: 0.1 },
    largeShapes: [shapeOf(32, 1, Adjacency.Rack), shapeOf(64, 1, Adjacency.AvailabilityZone)],
    meanHours: { urgent: 0.5, small: 2.5, medium: 2.2, large: 2.5 },
};

/** The size to be supported: 770 workers, 200 of them with 8 accelerators each, 36 customers, gangs of up to 64 tasks. */
export const targetProfile: Profile = {
    name: "target size",
    zones: 6,
    workersPerZone: 128,
    acceleratorsOf: index => index < 33 ? 8 : 0,
    customers: 36,
    jobsPerDay: 710,
    days: 1,
    weights: { urgent: 0.1, small: 0.35, medium: 0.35, large: 0.2 },
    largeShapes: [
        shapeOf(32, 1, Adjacency.Rack),
        shapeOf(64, 1, Adjacency.Rack),
        shapeOf(64, 1, Adjacency.AvailabilityZone),
    ],
    meanHours: { urgent: 1, small: 4, medium: 4, large: 2.8 },
};
