import { Adjacency } from "../configuration/types.js";
import { avoidingFailures, findPlacement } from "./fit.js";
import type { Candidate } from "./fit.js";
import type { Claim, Ledger } from "./ledger.js";
import { acceleratorsOf, addScaled, noResources, resourcesPerTask } from "./resources.js";
import type { JobSpec, Member, Resources, Worker } from "./types.js";

/** Weight of an accelerator inside somebody's idle cell. */
const cellOverlapWeight = 1_000;
/** Weight of an accelerator left over on a worker that was untouched so far. */
const brokenWorkerWeight = 10;
/** Weight of breaking into an untouched rack. */
const brokenRackWeight = 40;

const cellOverlap = (ledger: Ledger, candidate: Candidate, perTask: Resources): number => {
    let overlap = 0;
    for (const member of candidate.members) {
        const worker = ledger.fleet.workers.get(member.worker);
        if (worker !== undefined) {
            overlap += Math.max(0, member.taskCount * perTask.accelerators - ledger.spare(worker).accelerators);
        }
    }
    return overlap;
};

const isUntouched = (ledger: Ledger, worker: Worker): boolean =>
    ledger.free(worker).accelerators === worker.capacity.accelerators;

const brokenWorkers = (ledger: Ledger, candidate: Candidate, perTask: Resources): number => {
    let broken = 0;
    for (const member of candidate.members) {
        const worker = ledger.fleet.workers.get(member.worker);
        const usedAccelerators = member.taskCount * perTask.accelerators;
        if (worker !== undefined && isUntouched(ledger, worker)) {
            broken += worker.capacity.accelerators - usedAccelerators;
        }
    }
    return broken;
};

/** Untouched racks are counted through the worker that a small gang would break into. */
const breaksRack = (ledger: Ledger, candidate: Candidate): boolean => {
    const first = ledger.fleet.workers.get(candidate.members[0].worker);
    if (first === undefined) {
        return false;
    }
    const rack = ledger.fleet.rackOf(first);
    return candidate.members.length < rack.workers.length && rack.workers.every(worker => isUntouched(ledger, worker));
};

/** Damage that a placement does to guarantees' cells and to larger free cells. */
export const damageOf = (ledger: Ledger, job: JobSpec, candidate: Candidate): number => {
    const perTask = resourcesPerTask(job.shape);
    return cellOverlapWeight * cellOverlap(ledger, candidate, perTask)
        + brokenWorkerWeight * brokenWorkers(ledger, candidate, perTask)
        + (breaksRack(ledger, candidate) ? brokenRackWeight : 0)
        + candidate.leftoverTasks;
};

const mayUse = (claim: Claim, job: JobSpec, endsAtMs: number): boolean =>
    claim.backfill && (job.checkpointable || endsAtMs <= claim.readyAtMs);

/** Adds back what claims reserve but allow this job to use until they are ready. */
const withBackfill = (ledger: Ledger, job: JobSpec, endsAtMs: number): (worker: Worker) => Resources => {
    const reserved = [...ledger.claims.values()].filter(claim => !mayUse(claim, job, endsAtMs));
    const byWorker = new Map<string, Resources>();
    for (const claim of reserved) {
        addMembers(byWorker, claim.members, resourcesPerTask(claim.shape));
    }
    return worker => addScaled(ledger.free(worker), byWorker.get(worker.name) ?? noResources(), -1);
};

const addMembers = (byWorker: Map<string, Resources>, members: readonly Member[], perTask: Resources): void => {
    for (const member of members) {
        const known = byWorker.get(member.worker) ?? noResources();
        byWorker.set(member.worker, addScaled(known, perTask, member.taskCount));
    }
};

/** Finds free resources for a job where it does the least damage. */
export const findBorrowedPlacement = (ledger: Ledger, job: JobSpec, endsAtMs: number): Member[] | undefined => {
    const available = avoidingFailures(job, withBackfill(ledger, job, endsAtMs));
    const costOf = (candidate: Candidate): number => damageOf(ledger, job, candidate);
    const whole = findPlacement(job.shape, ledger.fleet, available, costOf);
    if (job.shape.adjacency !== Adjacency.AvailabilityZone) {
        return whole?.members;
    }
    return (findInRack(ledger, job, available) ?? whole)?.members;
};

/** A gang that may spread over an availability zone still does the least damage inside one rack. */
const findInRack = (ledger: Ledger, job: JobSpec, available: (worker: Worker) => Resources): Candidate | undefined => {
    const shape = { ...job.shape, adjacency: Adjacency.Rack };
    return findPlacement(shape, ledger.fleet, available, candidate => damageOf(ledger, job, candidate));
};

/** Accelerators that no job uses on usable workers. */
export const freeAccelerators = (ledger: Ledger): number => {
    let total = 0;
    for (const worker of ledger.fleet.workers.values()) {
        total += worker.usable ? Math.max(0, ledger.free(worker).accelerators) : 0;
    }
    return total;
};

/** Whether a job is small beside another. */
export const isMuchSmaller = (small: JobSpec, large: JobSpec): boolean =>
    acceleratorsOf(small.shape) * 2 <= acceleratorsOf(large.shape);
