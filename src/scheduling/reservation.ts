import { freeAccelerators, isMuchSmaller } from "./borrowed.js";
import { findDisplacement } from "./displacement.js";
import type { Displacement } from "./displacement.js";
import { avoidingFailures, fitIntoDomain } from "./fit.js";
import type { Candidate } from "./fit.js";
import type { Domain } from "./fleet.js";
import type { Allocation, Ledger } from "./ledger.js";
import { rankOf } from "./order.js";
import { acceleratorsOf, addScaled, noResources, resourcesPerTask } from "./resources.js";
import type { RunTimeModel } from "./runTimes.js";
import { AllocationClass } from "./types.js";
import type { JobSpec, Member, Resources, Worker } from "./types.js";

/** Where and when a blocked job can start if nothing new is placed there. */
export interface Reservation {
    members: Member[];
    readyAtMs: number;
}

/** Time that a job must have run before it can be moved for a larger one. */
const minRunBeforeMoveMs = 60_000;
/** A move must gain this many times the accelerator time that it loses. */
const moveGainFactor = 2;

/** Share of its running time so far that an overdue job is expected to need in addition. */
const overdueShare = 0.3;

/** Expected end of an allocation; the longer a job is overdue, the longer it is expected to go on. */
const endOf = (allocation: Allocation, runTimes: RunTimeModel, nowMs: number): number =>
    Math.max(
        nowMs + overdueShare * (nowMs - allocation.startedAtMs),
        allocation.startedAtMs + runTimes.estimateMs(allocation.job),
    );

const freeWith = (ledger: Ledger, job: JobSpec, gone: readonly Allocation[]): (worker: Worker) => Resources => {
    const freed = new Map<string, Resources>();
    for (const allocation of gone) {
        for (const member of allocation.members) {
            const known = freed.get(member.worker) ?? noResources();
            freed.set(member.worker, addScaled(known, resourcesPerTask(allocation.job.shape), member.taskCount));
        }
    }
    return worker => addScaled(ledger.unclaimed(worker, job.id), freed.get(worker.name) ?? noResources(), 1);
};

const reserveIn = (
    ledger: Ledger,
    job: JobSpec,
    domain: Domain,
    ends: readonly { allocation: Allocation; endsAtMs: number; }[],
    nowMs: number,
): Reservation | undefined => {
    const names = new Set(domain.workers.map(worker => worker.name));
    const local = ends.filter(entry => entry.allocation.members.some(member => names.has(member.worker)));
    // binary search, since every further end only adds room
    let low = 0;
    let high = local.length;
    let found: { candidate: Candidate; endings: number; } | undefined;
    while (low <= high) {
        const endings = Math.floor((low + high) / 2);
        const gone = local.slice(0, endings).map(entry => entry.allocation);
        const candidate = fitIntoDomain(job.shape, domain, avoidingFailures(job, freeWith(ledger, job, gone)));
        if (candidate === undefined) {
            low = endings + 1;
        }
        else {
            found = { candidate, endings };
            high = endings - 1;
        }
    }
    if (found === undefined) {
        return undefined;
    }
    const readyAtMs = found.endings === 0 ? nowMs : local[found.endings - 1].endsAtMs;
    return { members: found.candidate.members, readyAtMs };
};

/** Finds the domain that will have room for a blocked job first, by estimated run times. */
export const findReservation = (
    ledger: Ledger,
    job: JobSpec,
    runTimes: RunTimeModel,
    nowMs: number,
): Reservation | undefined => {
    const ends = [...ledger.allocations.values()].map(allocation => ({
        allocation,
        endsAtMs: endOf(allocation, runTimes, nowMs),
    }));
    ends.sort((left, right) => left.endsAtMs - right.endsAtMs);
    let best: Reservation | undefined;
    for (const domain of ledger.fleet.domains(job.shape.adjacency)) {
        const reservation = reserveIn(ledger, job, domain, ends, nowMs);
        if (reservation !== undefined && (best === undefined || reservation.readyAtMs < best.readyAtMs)) {
            best = reservation;
        }
    }
    return best;
};

const isMovable = (job: JobSpec, allocation: Allocation, runTimes: RunTimeModel, nowMs: number): boolean =>
    allocation.class === AllocationClass.Borrowed
    && allocation.job.checkpointable
    && rankOf(allocation.job, runTimes, nowMs) >= rankOf(job, runTimes, nowMs)
    && isMuchSmaller(allocation.job, job)
    && nowMs - allocation.startedAtMs >= minRunBeforeMoveMs;

/**
 * Finds checkpointable borrowers whose move joins free accelerators for a blocked job.
 *
 * They move only if there is room for them elsewhere and the wait saved is worth more than the work lost.
 */
export const findMove = (
    ledger: Ledger,
    job: JobSpec,
    runTimes: RunTimeModel,
    waitMs: number,
    nowMs: number,
): Displacement | undefined => {
    const spareAccelerators = freeAccelerators(ledger) - acceleratorsOf(job.shape);
    if (spareAccelerators < 0) {
        return undefined;
    }
    const isAllowed = (allocation: Allocation): boolean => isMovable(job, allocation, runTimes, nowMs);
    const gain = waitMs * acceleratorsOf(job.shape);
    return findDisplacement(ledger, job, nowMs, isAllowed, gain / moveGainFactor);
};
