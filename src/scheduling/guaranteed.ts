import { avoidingFailures, findPlacement, fitIntoDomain } from "./fit.js";
import type { Candidate } from "./fit.js";
import type { Domain } from "./fleet.js";
import type { Allocation, Cell, Ledger } from "./ledger.js";
import { acceleratorsOf, addScaled, atMost, noResources, resourcesOn, resourcesPerTask } from "./resources.js";
import { AllocationClass } from "./types.js";
import type { JobSpec, Member, Resources, Worker } from "./types.js";
import { chooseVictims, totalLostWork } from "./victims.js";

/** A way to run a job inside its customer's guarantee. */
export interface GuaranteedOption {
    unit: string;
    /** Location that the unit's cell moves to; undefined when it stays. */
    cell: Member[] | undefined;
    members: Member[];
    /** Borrowers that have to make room first. */
    victims: Allocation[];
}

const jobsIn = (ledger: Ledger, unit: string): Allocation[] =>
    [...ledger.allocations.values()].filter(allocation => allocation.guaranteeUnit === unit);

const claimsIn = (ledger: Ledger, unit: string): boolean =>
    [...ledger.claims.values()].some(claim => claim.guaranteeUnit === unit);

/** Places the job inside a cell, on free resources if possible. */
const fitIntoCell = (
    ledger: Ledger,
    job: JobSpec,
    cell: readonly Member[],
    perTask: Resources,
    occupied: (worker: Worker) => Resources,
): Member[] | undefined => {
    const workers = cell.flatMap(member => ledger.fleet.workers.get(member.worker) ?? []);
    const domain: Domain = { name: "cell", workers };
    const room = avoidingFailures(
        job,
        worker => addScaled(resourcesOn(cell, worker.name, perTask), occupied(worker), -1),
    );
    const onFree = fitIntoDomain(
        job.shape,
        domain,
        worker => atMost(room(worker), ledger.unclaimedByGuarantees(worker, job.id)),
    );
    return (onFree ?? fitIntoDomain(job.shape, domain, room))?.members;
};

const occupiedBy = (jobs: readonly Allocation[], worker: Worker): Resources =>
    jobs.reduce(
        (sum, { members, job }) => addScaled(sum, resourcesOn(members, worker.name, resourcesPerTask(job.shape)), 1),
        noResources(),
    );

const optionInCell = (
    ledger: Ledger,
    job: JobSpec,
    cell: Cell,
    location: readonly Member[],
    nowMs: number,
): GuaranteedOption | undefined => {
    const jobs = jobsIn(ledger, cell.unit);
    const members = fitIntoCell(
        ledger,
        job,
        location,
        resourcesPerTask(cell.shape),
        worker => occupiedBy(jobs, worker),
    );
    if (members === undefined) {
        return undefined;
    }
    const available = (worker: Worker): Resources => ledger.unclaimedByGuarantees(worker, job.id);
    const isBorrower = (allocation: Allocation): boolean => allocation.class === AllocationClass.Borrowed;
    const victims = chooseVictims(ledger, job.shape, members, available, nowMs, isBorrower);
    return victims === undefined ? undefined : { unit: cell.unit, cell: undefined, members, victims };
};

/** Moves an idle cell to where the job disturbs borrowers least. */
const optionInMovedCell = (ledger: Ledger, job: JobSpec, cell: Cell, nowMs: number): GuaranteedOption | undefined => {
    const options = new Map<Candidate, GuaranteedOption>();
    const costOf = (candidate: Candidate): number | undefined => {
        const option = optionInCell(ledger, job, cell, candidate.members, nowMs);
        if (option === undefined) {
            return undefined;
        }
        options.set(candidate, { ...option, cell: candidate.members });
        return totalLostWork(option.victims, nowMs) + candidate.leftoverTasks;
    };
    const available = avoidingFailures(job, worker => ledger.outsideCells(worker, cell.unit));
    const found = findPlacement(cell.shape, ledger.fleet, available, costOf);
    return found === undefined ? undefined : options.get(found);
};

const cheaper = (
    left: GuaranteedOption | undefined,
    right: GuaranteedOption | undefined,
    nowMs: number,
): GuaranteedOption | undefined => {
    if (left === undefined || right === undefined) {
        return left ?? right;
    }
    return totalLostWork(left.victims, nowMs) <= totalLostWork(right.victims, nowMs) ? left : right;
};

/** Finds the least disturbing way to run a job inside its customer's guarantee, if a unit is unused. */
export const findGuaranteedOption = (ledger: Ledger, job: JobSpec, nowMs: number): GuaranteedOption | undefined => {
    let best: GuaranteedOption | undefined;
    const cells = [...ledger.cells.values()].filter(cell =>
        cell.customer === job.customer
        && cell.members.length > 0
        && acceleratorsOf(cell.shape) >= acceleratorsOf(job.shape)
    );
    cells.sort((left, right) => acceleratorsOf(left.shape) - acceleratorsOf(right.shape));
    for (const cell of cells) {
        if (claimsIn(ledger, cell.unit)) {
            continue;
        }
        best = cheaper(best, optionInCell(ledger, job, cell, cell.members, nowMs), nowMs);
        const idle = jobsIn(ledger, cell.unit).length === 0;
        if (idle && best?.victims.length !== 0) {
            best = cheaper(best, optionInMovedCell(ledger, job, cell, nowMs), nowMs);
        }
        if (best?.victims.length === 0) {
            return best;
        }
    }
    return best;
};
