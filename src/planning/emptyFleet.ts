import type { Step } from "../jobs/types.js";
import type { WorkerFacts } from "../workers/types.js";
import { placeGang } from "./placement.js";
import { occupiedBy, subtractResources } from "./resources.js";
import type { Candidate, WorkerInfo } from "./types.js";

/** A gang to place, with a name that identifies it in the result. */
export interface NamedGang {
    name: string;
    step: Step;
}

const anyService = "";

const toEmptyWorker = ({ name, availabilityZone, rack, capacity }: WorkerFacts): WorkerInfo => ({
    workerId: name,
    service: anyService,
    availabilityZone,
    rack,
    labels: [rack],
    capacity,
    free: { ...capacity },
    notAtWork: { milliCores: 0, memoryMb: 0, accelerators: 0 },
    migratable: { milliCores: 0, memoryMb: 0, accelerators: 0 },
    usable: true,
    coolingDown: false,
    isUrgentHeadroom: false,
    busyForMs: 0,
    backfillWindowMs: Number.POSITIVE_INFINITY,
    hasReservation: false,
    suspicion: 0,
    risk: 0,
    relativeSpeed: 1,
    hasServingTask: false,
    hasIdleFillingTask: false,
});

const toCandidate = ({ name, step }: NamedGang): Candidate => ({
    key: name,
    job: {
        id: name,
        queue: "",
        service: anyService,
        priority: 0,
        maxAttempts: 1,
        slackFactor: 1,
        targetLatencyMs: 0,
        spec: "",
        steps: [step],
        repeatCount: 0,
        startAtMs: 0,
        intervalMs: 0,
        acceptedAtMs: 0,
    },
    step,
    taskIndexes: Array.from({ length: step.taskCount }, (_, index) => index),
    avoidedWorkers: new Set(),
    mustAvoid: false,
    runningOn: new Map(),
    waitingMs: 0,
    uninterruptedWaitMs: 0,
    timeToObjectiveMs: Number.MAX_SAFE_INTEGER,
    timeToExpiryMs: Number.MAX_SAFE_INTEGER,
    remainingCriticalPathMs: step.estimateMs,
    guaranteed: true,
});

const gangAccelerators = ({ step }: NamedGang): number => step.taskCount * step.resources.accelerators;

const allocate = (
    workersById: ReadonlyMap<string, WorkerInfo>,
    { step }: NamedGang,
    workerIds: readonly string[],
): void => {
    for (const workerId of workerIds) {
        const worker = workersById.get(workerId);
        if (worker !== undefined) {
            subtractResources(worker.free, occupiedBy(step), 1);
        }
    }
};

/**
 * Places gangs together on otherwise empty workers, in the given order. Returns the worker of each task by the gang's
 * name, without the gangs that do not fit.
 *
 * @param placed gangs that are placed already, as `placements` says
 */
export const placeGangs = (
    gangs: readonly NamedGang[],
    workers: readonly WorkerFacts[],
    placed: readonly NamedGang[] = [],
    placements: ReadonlyMap<string, readonly string[]> = new Map(),
): Map<string, readonly string[]> => {
    const emptyWorkers = workers.map(toEmptyWorker);
    const workersById = new Map(emptyWorkers.map(worker => [worker.workerId, worker]));
    placed.forEach(gang => allocate(workersById, gang, placements.get(gang.name) ?? []));
    const found = new Map<string, readonly string[]>();
    for (const gang of gangs) {
        const assignments = placeGang(emptyWorkers, toCandidate(gang));
        if (assignments !== undefined) {
            const workerIds = assignments.map(assignment => assignment.workerId);
            allocate(workersById, gang, workerIds);
            found.set(gang.name, workerIds);
        }
    }
    return found;
};

/** Gangs that do not fit together with the others on empty workers, when the largest are placed first. */
export const findUnplaceable = (gangs: readonly NamedGang[], workers: readonly WorkerFacts[]): NamedGang[] => {
    const named = gangs.map((gang, index) => ({ ...gang, name: `${gang.name}#${index}`, gang }));
    const bySize = [...named].sort((left, right) => gangAccelerators(right) - gangAccelerators(left));
    const placements = placeGangs(bySize, workers);
    return bySize.filter(({ name }) => !placements.has(name)).map(({ gang }) => gang);
};

/** Whether a gang would fit if nothing else ran. */
export const fitsEmptyFleet = (step: Step, workers: readonly WorkerFacts[]): boolean =>
    placeGangs([{ name: "", step }], workers).size === 1;
