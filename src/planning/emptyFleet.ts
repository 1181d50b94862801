import type { Step } from "../jobs/types.js";
import type { WorkerFacts } from "../workers/types.js";
import { placeGang } from "./placement.js";
import { occupiedBy, take } from "./resources.js";
import type { Candidate, Room } from "./types.js";

/** A gang to find room for. */
export interface NamedStep {
    name: string;
    step: Step;
}

const anyPool = "";

const toRoom = ({ name, availabilityZone, rack, capacity }: WorkerFacts): Room => ({
    workerId: name,
    service: anyPool,
    availabilityZone,
    rack,
    labels: [rack],
    capacity,
    free: { ...capacity },
    movable: { milliCores: 0, memoryMb: 0, accelerators: 0 },
    usable: true,
    keptForUrgent: false,
    busyForMs: 0,
    openForMs: Number.POSITIVE_INFINITY,
    hasCell: false,
    suspicion: 0,
    hasServing: false,
    hasFilling: false,
});

const toCandidate = ({ name, step }: NamedStep): Candidate => ({
    key: name,
    job: {
        id: name,
        queue: "",
        service: anyPool,
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
    avoid: new Set(),
    avoidsStrictly: false,
    runningOn: new Map(),
    waitingMs: 0,
    objectiveInMs: Number.MAX_SAFE_INTEGER,
    uselessInMs: Number.MAX_SAFE_INTEGER,
    remainingChainMs: step.estimateMs,
    guaranteed: true,
});

const acceleratorsOf = ({ step }: NamedStep): number => step.taskCount * step.resources.accelerators;

const occupy = (rooms: ReadonlyMap<string, Room>, { step }: NamedStep, workers: readonly string[]): void => {
    for (const worker of workers) {
        const room = rooms.get(worker);
        if (room !== undefined) {
            take(room.free, occupiedBy(step), 1);
        }
    }
};

/**
 * Places gangs beside each other on empty workers, in the given order; resolves to the worker of each task, by name.
 *
 * @param settled gangs that have their places already, in `places`
 */
export const findPlaces = (
    gangs: readonly NamedStep[],
    workers: readonly WorkerFacts[],
    settled: readonly NamedStep[] = [],
    places: ReadonlyMap<string, readonly string[]> = new Map(),
): Map<string, readonly string[]> => {
    const rooms = workers.map(toRoom);
    const byId = new Map(rooms.map(room => [room.workerId, room]));
    settled.forEach(gang => occupy(byId, gang, places.get(gang.name) ?? []));
    const found = new Map<string, readonly string[]>();
    for (const gang of gangs) {
        const assignments = placeGang(rooms, toCandidate(gang));
        if (assignments !== undefined) {
            const place = assignments.map(assignment => assignment.workerId);
            occupy(byId, gang, place);
            found.set(gang.name, place);
        }
    }
    return found;
};

/** Gangs that find no room beside the others on empty workers, the largest placed first. */
export const findUnplaced = (gangs: readonly NamedStep[], workers: readonly WorkerFacts[]): NamedStep[] => {
    const named = gangs.map((gang, index) => ({ ...gang, name: `${gang.name}#${index}`, gang }));
    const bySize = [...named].sort((left, right) => acceleratorsOf(right) - acceleratorsOf(left));
    const places = findPlaces(bySize, workers);
    return bySize.filter(({ name }) => !places.has(name)).map(({ gang }) => gang);
};

/** Whether a gang would find room if nothing else ran. */
export const fitsSomewhere = (step: Step, workers: readonly WorkerFacts[]): boolean =>
    findPlaces([{ name: "", step }], workers).size === 1;
