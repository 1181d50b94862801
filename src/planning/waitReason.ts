import {
    adjacencyDomains,
    fitsBackfillWindow,
    fittingTasks,
    isNearData,
    isSuitable,
    mayColocate,
} from "./placement.js";
import type { Candidate, WorkerInfo } from "./types.js";

/** Why a candidate was not placed in a round. */
export enum WaitReason {
    /** Its customer's limit does not allow it to start beside what the customer runs. */
    CustomerLimit = "customerLimit",
    /** It needs more than its customer's limit by itself, which was lowered after it had been accepted. */
    ExceedsCustomerLimit = "exceedsCustomerLimit",
    /** No worker of its service that has the required label accepts work. */
    NoUsableWorker = "noUsableWorker",
    /** It does not fit into what is free on usable workers. */
    NoRoom = "noRoom",
    /** The workers that have room have a cooldown after failures. */
    Cooldown = "cooldown",
    /** Its tasks failed or stalled on the workers that have room. */
    AvoidedWorkers = "avoidedWorkers",
    /** The workers that have room are kept free for urgent work. */
    UrgentHeadroom = "urgentHeadroom",
    /** The workers that have room are kept free for a blocked gang. */
    BackfillWindow = "backfillWindow",
    /** On the workers that have room run tasks that must not share a worker with it. */
    Colocation = "colocation",
    /** The workers that have room are away from its data. */
    Locality = "locality",
    /** No single domain has room for the whole gang. */
    Adjacency = "adjacency",
    /** It waits for the runs that are preempted for it. */
    ClaimPending = "claimPending",
    /** It waits for the workers that are reserved for it. */
    Reservation = "reservation",
    /** An earlier run of its tasks, or of a member of its gang, is not known to have ended. */
    RunNotEnded = "runNotEnded",
    /** It would have fitted; the room was freed or the candidate was skipped in this round. */
    NotTried = "notTried",
}

/** A restriction on workers, and the reason that it amounts to. */
interface Restriction {
    reason: WaitReason;
    admits: (worker: WorkerInfo, candidate: Candidate) => boolean;
}

/** Restrictions beyond usable workers with the label, in the order in which they are tried. */
const restrictions: readonly Restriction[] = [
    { reason: WaitReason.Cooldown, admits: worker => worker.usable },
    {
        reason: WaitReason.AvoidedWorkers,
        admits: (worker, candidate) => !(candidate.mustAvoid && candidate.avoidedWorkers.has(worker.workerId)),
    },
    {
        reason: WaitReason.UrgentHeadroom,
        admits: (worker, candidate) => !(worker.isUrgentHeadroom && candidate.job.priority > 0),
    },
    { reason: WaitReason.BackfillWindow, admits: fitsBackfillWindow },
    { reason: WaitReason.Colocation, admits: mayColocate },
    { reason: WaitReason.Locality, admits: (worker, candidate) => isNearData(worker, candidate.step) },
];

const fits = (workers: readonly WorkerInfo[], candidate: Candidate): boolean => {
    let missingTasks = candidate.step.gang ? candidate.taskIndexes.length : 1;
    for (const worker of workers) {
        missingTasks -= fittingTasks(worker, candidate);
        if (missingTasks <= 0) {
            return true;
        }
    }
    return false;
};

/** Workers of the candidate's service that have the label it requires and accept work, cooldowns aside. */
const suitableWorkers = (workers: readonly WorkerInfo[], candidate: Candidate): WorkerInfo[] =>
    workers.filter(worker => (worker.usable || worker.coolingDown) && isSuitable(worker, candidate));

/** Number of tasks of a candidate's kind that fit into what is free on suitable workers, whatever it is kept for. */
export const countRoom = (workers: readonly WorkerInfo[], candidate: Candidate): number =>
    suitableWorkers(workers, candidate).reduce((sum, worker) => sum + fittingTasks(worker, candidate), 0);

/**
 * Names why a candidate was not placed, from the workers as the round left them: the first restriction, added one after
 * another, that leaves too little room.
 *
 * @param claimed keys of the candidates for which runs are being preempted
 * @param limited candidates that their customers' limits hold back, by key
 */
export const findWaitReason = (
    workers: readonly WorkerInfo[],
    candidate: Candidate,
    claimed: ReadonlySet<string>,
    limited: ReadonlyMap<string, WaitReason> = new Map(),
): WaitReason => {
    const limitReason = limited.get(candidate.key);
    if (limitReason !== undefined) {
        return limitReason;
    }
    if (claimed.has(candidate.key)) {
        return WaitReason.ClaimPending;
    }
    if (candidate.reservedWorkers !== undefined) {
        return WaitReason.Reservation;
    }
    let admitted = suitableWorkers(workers, candidate);
    if (admitted.length === 0) {
        return WaitReason.NoUsableWorker;
    }
    if (!fits(admitted, candidate)) {
        return WaitReason.NoRoom;
    }
    for (const { reason, admits } of restrictions) {
        admitted = admitted.filter(worker => admits(worker, candidate));
        if (!fits(admitted, candidate)) {
            return reason;
        }
    }
    const inOneDomain = !candidate.step.gang
        || adjacencyDomains(admitted, candidate).some(domain => fits(domain, candidate));
    return inOneDomain ? WaitReason.NotTried : WaitReason.Adjacency;
};
