import { Adjacency, Urgency } from "../configuration/types.js";
import { findBorrowedPlacement } from "./borrowed.js";
import { findDisplacement } from "./displacement.js";
import { fitsEmptyFleet } from "./fit.js";
import { findGuaranteedOption } from "./guaranteed.js";
import type { Allocation, Claim, Ledger } from "./ledger.js";
import { orderQueue, rankOf } from "./order.js";
import type { QueuedJob } from "./order.js";
import { findMove, findReservation } from "./reservation.js";
import { acceleratorsOf, resourcesPerTask, tasksThatFit } from "./resources.js";
import type { RunTimeModel } from "./runTimes.js";
import { AllocationClass } from "./types.js";
import type { JobSpec, Member, Resources, Worker } from "./types.js";
import { chooseVictims } from "./victims.js";

/** Kinds of decisions of one planning round. */
export enum DecisionKind {
    Place = "place",
    /** Borrowers have to make room for a job. */
    Reclaim = "reclaim",
    /** The job can never run. */
    Reject = "reject",
}

/** One decision; the ledger already reflects it. */
export type Decision =
    | { kind: DecisionKind.Place; job: QueuedJob; members: Member[]; class: AllocationClass; guaranteeUnit?: string; }
    | {
        kind: DecisionKind.Reclaim;
        job: QueuedJob;
        victims: Allocation[];
        /** Whether victims are stopped even if they cannot save their progress. */
        mandatory: boolean;
    }
    | { kind: DecisionKind.Reject; job: QueuedJob; reason: string; };

/** What a planning round works on. */
export interface PlanInput {
    ledger: Ledger;
    queue: readonly QueuedJob[];
    runTimes: RunTimeModel;
    nowMs: number;
    /** Accelerators that a customer may use at most. @default no limit */
    maxAcceleratorsOf?: (customer: string) => number;
}

/** Decides what to place, whom to ask for room and what can never run. */
export type PlanRound = (input: PlanInput) => Decision[];

/** Blocked jobs for which room is kept at the same time. */
const maxReservations = 3;
/** Accelerators from which on a job on one worker gets a reservation. */
const minReservedAccelerators = 8;

const place = (
    input: PlanInput,
    job: QueuedJob,
    members: Member[],
    allocationClass: AllocationClass,
    guaranteeUnit?: string,
): Decision => {
    const { ledger, nowMs } = input;
    ledger.dropClaim(job.spec.id);
    ledger.allocate({
        job: job.spec,
        attempt: job.attempts + 1,
        members,
        class: allocationClass,
        guaranteeUnit,
        startedAtMs: nowMs,
        checkpointedAtMs: nowMs,
        leaving: false,
    });
    return { kind: DecisionKind.Place, job, members, class: allocationClass, guaranteeUnit };
};

/** A guarantee goes before what borrowers have claimed in the same place. */
const dropOverlappingClaims = (ledger: Ledger, claim: Claim): void => {
    const workers = new Set(claim.members.map(member => member.worker));
    for (const other of [...ledger.claims.values()]) {
        if (other.class === AllocationClass.Borrowed && other.members.some(member => workers.has(member.worker))) {
            ledger.dropClaim(other.jobId);
        }
    }
};

const reclaim = (
    input: PlanInput,
    job: QueuedJob,
    victims: Allocation[],
    claim: Claim,
    mandatory: boolean,
): Decision[] => {
    if (claim.class === AllocationClass.Guaranteed) {
        dropOverlappingClaims(input.ledger, claim);
    }
    input.ledger.setClaim(claim);
    const asked = victims.filter(victim => !victim.leaving);
    asked.forEach(victim => {
        victim.leaving = true;
    });
    return asked.length === 0 ? [] : [{ kind: DecisionKind.Reclaim, job, victims: asked, mandatory }];
};

const hasRoom = (ledger: Ledger, claim: Claim): boolean => {
    const perTask = resourcesPerTask(claim.shape);
    return claim.members.every(member => {
        const worker = ledger.fleet.workers.get(member.worker);
        return worker !== undefined && tasksThatFit(perTask, ledger.free(worker)) >= member.taskCount;
    });
};

const isUsable = (ledger: Ledger, claim: Claim): boolean =>
    claim.members.every(member => ledger.fleet.workers.get(member.worker)?.usable === true);

const planGuaranteed = (input: PlanInput, job: QueuedJob): Decision[] | undefined => {
    const { ledger, nowMs } = input;
    const option = findGuaranteedOption(ledger, job.spec, nowMs);
    if (option === undefined) {
        return undefined;
    }
    if (option.victims.length > 0 && mayBorrowInstead(job.spec)) {
        const members = findBorrowedPlacement(ledger, job.spec, nowMs + input.runTimes.estimateMs(job.spec));
        if (members !== undefined) {
            return [place(input, job, members, AllocationClass.Borrowed)];
        }
    }
    const cell = ledger.cells.get(option.unit);
    if (cell !== undefined && option.cell !== undefined) {
        ledger.setCell({ ...cell, members: option.cell });
    }
    if (option.victims.length === 0) {
        return [place(input, job, option.members, AllocationClass.Guaranteed, option.unit)];
    }
    const claim = {
        jobId: job.spec.id,
        shape: job.spec.shape,
        members: option.members,
        class: AllocationClass.Guaranteed,
        guaranteeUnit: option.unit,
        readyAtMs: nowMs,
        madeAtMs: nowMs,
        backfill: false,
    };
    return reclaim(input, job, option.victims, claim, true);
};

const mayBorrowInstead = (job: JobSpec): boolean => job.checkpointable && job.urgency !== Urgency.Urgent;

/** Jobs that need the same place: within a round, where one finds none, the others find none either. */
const placeKey = (job: JobSpec): string => JSON.stringify([job.shape, job.avoid, job.checkpointable]);

const planBorrowed = (input: PlanInput, job: QueuedJob, full: Set<string>): Decision[] | undefined => {
    const key = placeKey(job.spec);
    const mayEndInTime = !job.spec.checkpointable;
    if (full.has(key) && !mayEndInTime) {
        return undefined;
    }
    const decided = findAndPlace(input, job);
    if (decided === undefined) {
        full.add(key);
    }
    return decided;
};

const findAndPlace = (input: PlanInput, job: QueuedJob): Decision[] | undefined => {
    const endsAtMs = input.nowMs + input.runTimes.estimateMs(job.spec);
    const members = findBorrowedPlacement(input.ledger, job.spec, endsAtMs);
    return members === undefined ? undefined : [place(input, job, members, AllocationClass.Borrowed)];
};

const isSamePlace = (claim: Claim | undefined, members: readonly Member[]): boolean =>
    claim !== undefined && JSON.stringify(claim.members) === JSON.stringify(members);

const claimFor = (input: PlanInput, job: JobSpec, members: Member[], readyAtMs: number, backfill: boolean): Claim => ({
    jobId: job.id,
    shape: job.shape,
    members,
    class: AllocationClass.Borrowed,
    readyAtMs,
    madeAtMs: input.nowMs,
    backfill,
});

/** Urgent work takes over from borrowers that are less urgent and lose little. */
const planUrgent = (input: PlanInput, job: QueuedJob): Decision[] | undefined => {
    const { ledger, nowMs, runTimes } = input;
    const rank = rankOf(job.spec, runTimes, nowMs);
    const isAllowed = (allocation: Allocation): boolean =>
        allocation.class === AllocationClass.Borrowed
        && allocation.job.checkpointable
        && allocation.job.urgency !== Urgency.Urgent
        && rankOf(allocation.job, runTimes, nowMs) > rank;
    const displacement = findDisplacement(ledger, job.spec, nowMs, isAllowed, Infinity);
    if (displacement === undefined) {
        return undefined;
    }
    const claim = claimFor(input, job.spec, displacement.members, nowMs, false);
    return reclaim(input, job, displacement.victims, claim, true);
};

/** Keeps room for a blocked job and moves small borrowers out of its way where that pays. */
const planReservation = (input: PlanInput, job: QueuedJob, previous: Claim | undefined): Decision[] => {
    const { ledger, nowMs, runTimes } = input;
    const reservation = findReservation(ledger, job.spec, runTimes, nowMs);
    const waitMs = reservation === undefined ? runTimes.estimateMs(job.spec) : reservation.readyAtMs - nowMs;
    const move = findMove(ledger, job.spec, runTimes, waitMs, nowMs);
    if (move !== undefined) {
        return reclaim(input, job, move.victims, claimFor(input, job.spec, move.members, nowMs, false), false);
    }
    if (reservation !== undefined) {
        const claim = claimFor(input, job.spec, reservation.members, reservation.readyAtMs, true);
        const madeAtMs = isSamePlace(previous, reservation.members) ? previous?.madeAtMs : undefined;
        ledger.setClaim({ ...claim, madeAtMs: madeAtMs ?? nowMs });
    }
    return [];
};

/** Waits for victims on their way out; evicts backfilled borrowers once nothing else stands in the way. */
const planClaimed = (input: PlanInput, job: QueuedJob, claim: Claim): Decision[] | undefined => {
    const { ledger, nowMs } = input;
    const available = (worker: Worker): Resources =>
        claim.class === AllocationClass.Guaranteed
            ? ledger.unclaimedByGuarantees(worker, claim.jobId)
            : ledger.unclaimed(worker, claim.jobId);
    if (hasRoom(ledger, claim)) {
        return [place(input, job, claim.members, claim.class, claim.guaranteeUnit)];
    }
    if (!claim.backfill) {
        const onTheirWay = chooseVictims(
            ledger,
            claim.shape,
            claim.members,
            available,
            nowMs,
            other => other.leaving,
        );
        return onTheirWay === undefined ? undefined : [];
    }
    const isAllowed = (allocation: Allocation): boolean =>
        allocation.class === AllocationClass.Borrowed
        && allocation.job.checkpointable
        && allocation.startedAtMs >= claim.madeAtMs;
    const victims = chooseVictims(ledger, claim.shape, claim.members, available, nowMs, isAllowed);
    return victims === undefined ? undefined : reclaim(input, job, victims, { ...claim, backfill: false }, false);
};

const exceedsLimit = (input: PlanInput, job: JobSpec): boolean => {
    const limit = input.maxAcceleratorsOf?.(job.customer) ?? Number.POSITIVE_INFINITY;
    return input.ledger.acceleratorsUsedBy(job.customer) + acceleratorsOf(job.shape) > limit;
};

const planWaiting = (input: PlanInput, job: QueuedJob, full: Set<string>): Decision[] | undefined => {
    const claim = input.ledger.claims.get(job.spec.id);
    if (claim !== undefined && isUsable(input.ledger, claim)) {
        const decided = planClaimed(input, job, claim);
        if (decided !== undefined) {
            return decided;
        }
    }
    if (claim !== undefined) {
        input.ledger.dropClaim(job.spec.id);
    }
    const urgent = rankOf(job.spec, input.runTimes, input.nowMs) === 0;
    return planGuaranteed(input, job)
        ?? planBorrowed(input, job, full)
        ?? (urgent ? planUrgent(input, job) : undefined);
};

const dropStaleClaims = (input: PlanInput): void => {
    const waiting = new Set(input.queue.map(job => job.spec.id));
    for (const jobId of [...input.ledger.claims.keys()]) {
        if (!waiting.has(jobId)) {
            input.ledger.dropClaim(jobId);
        }
    }
};

const rejectionOf = (input: PlanInput, job: JobSpec): string | undefined => {
    if (!fitsEmptyFleet(job.shape, input.ledger.fleet)) {
        return "the shape is larger than any place with its adjacency";
    }
    const limit = input.maxAcceleratorsOf?.(job.customer) ?? Number.POSITIVE_INFINITY;
    return acceleratorsOf(job.shape) > limit ? "the shape is larger than the customer's limit" : undefined;
};

/** Small jobs find a place as soon as anything ends; only larger ones can be starved by them. */
const needsReservation = (job: JobSpec): boolean =>
    acceleratorsOf(job.shape) >= minReservedAccelerators || job.shape.adjacency !== Adjacency.Worker;

/** A job that could run nowhere else may go back to where it failed. */
const forgive = (ledger: Ledger, job: QueuedJob): QueuedJob => {
    const { avoid, shape } = job.spec;
    return avoid === undefined || fitsEmptyFleet(shape, ledger.fleet, new Set(avoid))
        ? job
        : { ...job, spec: { ...job.spec, avoid: undefined } };
};

/** Plans one round over the whole queue. */
export const planRound: PlanRound = input => {
    dropStaleClaims(input);
    const decisions: Decision[] = [];
    let reservations = 0;
    const full = new Set<string>();
    for (
        const job of orderQueue(input.queue, input.runTimes, input.nowMs).map(queued => forgive(input.ledger, queued))
    ) {
        const reason = rejectionOf(input, job.spec);
        if (reason !== undefined) {
            decisions.push({ kind: DecisionKind.Reject, job, reason });
            continue;
        }
        if (job.notBeforeMs > input.nowMs || exceedsLimit(input, job.spec)) {
            continue;
        }
        const previous = input.ledger.claims.get(job.spec.id);
        const decided = planWaiting(input, job, full);
        if (decided !== undefined) {
            decisions.push(...decided);
            continue;
        }
        if (reservations < maxReservations && needsReservation(job.spec)) {
            reservations += 1;
            decisions.push(...planReservation(input, job, previous));
        }
    }
    return decisions;
};
