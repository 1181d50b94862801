import { avoidingFailures, findPlacement } from "./fit.js";
import type { Available, Candidate } from "./fit.js";
import type { Allocation, Ledger } from "./ledger.js";
import { addScaled, resourcesOn, resourcesPerTask } from "./resources.js";
import type { JobSpec, Member, Resources, Worker } from "./types.js";
import { chooseVictims, totalLostWork } from "./victims.js";

/** A place for a job and the borrowers that have to leave it. */
export interface Displacement {
    members: Member[];
    victims: Allocation[];
}

/** Which borrowers may be asked to leave. */
export type IsAllowed = (allocation: Allocation) => boolean;

/** What a worker could offer if every allowed borrower left it. */
const availableIfLeft = (ledger: Ledger, job: JobSpec, isAllowed: IsAllowed): Available => worker => {
    let available = ledger.unclaimed(worker, job.id);
    for (const { members, job: borrower } of ledger.borrowersOn(worker.name).filter(isAllowed)) {
        available = addScaled(available, resourcesOn(members, worker.name, resourcesPerTask(borrower.shape)), 1);
    }
    return available;
};

/**
 * Finds the place where a job displaces the least work.
 *
 * @param maxLostWork accelerator time in milliseconds that may be thrown away
 */
export const findDisplacement = (
    ledger: Ledger,
    job: JobSpec,
    nowMs: number,
    isAllowed: IsAllowed,
    maxLostWork: number,
): Displacement | undefined => {
    const unclaimed = (worker: Worker): Resources => ledger.unclaimed(worker, job.id);
    const found = new Map<Candidate, Displacement>();
    const costOf = (candidate: Candidate): number | undefined => {
        const victims = chooseVictims(ledger, job.shape, candidate.members, unclaimed, nowMs, isAllowed);
        if (victims === undefined) {
            return undefined;
        }
        found.set(candidate, { members: candidate.members, victims });
        const lostWork = totalLostWork(victims, nowMs);
        return lostWork <= maxLostWork ? lostWork : undefined;
    };
    const available = avoidingFailures(job, availableIfLeft(ledger, job, isAllowed));
    const best = findPlacement(job.shape, ledger.fleet, available, costOf);
    return best === undefined ? undefined : found.get(best);
};
