import type { Shape } from "../configuration/types.js";
import type { Domain, Fleet } from "./fleet.js";
import { noResources, resourcesPerTask, tasksThatFit } from "./resources.js";
import type { JobSpec, Member, Resources, Worker } from "./types.js";

/** Resources of a worker that a placement may use. */
export type Available = (worker: Worker) => Resources;

/** Leaves out the workers on which a job failed. */
export const avoidingFailures = (job: JobSpec, available: Available): Available => {
    const avoid = new Set(job.avoid);
    return avoid.size === 0 ? available : worker => avoid.has(worker.name) ? noResources() : available(worker);
};

/** One way to place a gang. */
export interface Candidate {
    domain: Domain;
    members: Member[];
    /** Tasks of the shape that would still fit into the domain. */
    leftoverTasks: number;
}

/** Ranks candidates; the lowest cost wins, and `undefined` rules a candidate out. */
export type CandidateCost = (candidate: Candidate) => number | undefined;

interface Slot {
    worker: Worker;
    tasks: number;
}

const takeFrom = (slot: Slot, taskCount: number): Member => ({ worker: slot.worker.name, taskCount });

/** Uses as few workers as possible and puts the rest where it leaves the smallest gap. */
const fillSlots = (slots: Slot[], taskCount: number): Member[] => {
    const descending = [...slots].sort((left, right) => right.tasks - left.tasks);
    const members: Member[] = [];
    let remaining = taskCount;
    while (remaining > 0) {
        const tight = descending.filter(slot => slot.tasks >= remaining).at(-1);
        const slot = tight ?? descending[0];
        const taken = Math.min(slot.tasks, remaining);
        members.push(takeFrom(slot, taken));
        descending.splice(descending.indexOf(slot), 1);
        remaining -= taken;
    }
    return members;
};

/** Fits a gang into one domain, if it has room. */
export const fitIntoDomain = (shape: Shape, domain: Domain, available: Available): Candidate | undefined => {
    const perTask = resourcesPerTask(shape);
    const slots: Slot[] = [];
    let total = 0;
    for (const worker of domain.workers) {
        const tasks = worker.usable ? Math.min(shape.taskCount, tasksThatFit(perTask, available(worker))) : 0;
        if (tasks > 0) {
            slots.push({ worker, tasks });
            total += tasks;
        }
    }
    if (total < shape.taskCount) {
        return undefined;
    }
    return { domain, members: fillSlots(slots, shape.taskCount), leftoverTasks: total - shape.taskCount };
};

/** Finds the cheapest placement of a gang over all domains of its adjacency. */
export const findPlacement = (
    shape: Shape,
    fleet: Fleet,
    available: Available,
    costOf: CandidateCost,
): Candidate | undefined => {
    let best: Candidate | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const domain of fleet.domains(shape.adjacency)) {
        const candidate = fitIntoDomain(shape, domain, available);
        const cost = candidate === undefined ? undefined : costOf(candidate);
        if (cost !== undefined && cost < bestCost) {
            best = candidate;
            bestCost = cost;
        }
    }
    return best;
};

/** Whether a gang could run if every worker, other than those to avoid, were empty. */
export const fitsEmptyFleet = (shape: Shape, fleet: Fleet, avoid: ReadonlySet<string> = new Set()): boolean => {
    const perTask = resourcesPerTask(shape);
    const tasksOn = (worker: Worker): number =>
        avoid.has(worker.name) ? 0 : Math.min(shape.taskCount, tasksThatFit(perTask, worker.capacity));
    return fleet.domains(shape.adjacency).some(domain =>
        domain.workers.reduce((sum, worker) => sum + tasksOn(worker), 0) >= shape.taskCount
    );
};
