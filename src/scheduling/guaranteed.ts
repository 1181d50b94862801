import { avoidingFailures, findPlacement, fitIntoDomain } from "./fit.js";
import type { Candidate } from "./fit.js";
import type { Domain } from "./fleet.js";
import type { Allocation, Home, Ledger } from "./ledger.js";
import { acceleratorsOf, addScaled, atMost, noResources, resourcesOn, resourcesPerTask } from "./resources.js";
import { AllocationClass } from "./types.js";
import type { JobSpec, Member, Resources, Worker } from "./types.js";
import { chooseVictims, totalLostWork } from "./victims.js";

/** A way to run a job inside its customer's guarantee. */
export interface GuaranteedOption {
    unit: string;
    /** Location that the unit's home moves to; undefined when it stays. */
    home: Member[] | undefined;
    members: Member[];
    /** Borrowers that have to make room first. */
    victims: Allocation[];
}

const jobsIn = (ledger: Ledger, unit: string): Allocation[] =>
    [...ledger.allocations.values()].filter(allocation => allocation.guaranteeUnit === unit);

const claimsIn = (ledger: Ledger, unit: string): boolean =>
    [...ledger.claims.values()].some(claim => claim.guaranteeUnit === unit);

/** Places the job inside a home, on free resources if possible. */
const fitIntoHome = (
    ledger: Ledger,
    job: JobSpec,
    home: readonly Member[],
    perTask: Resources,
    occupied: (worker: Worker) => Resources,
): Member[] | undefined => {
    const workers = home.flatMap(member => ledger.fleet.workers.get(member.worker) ?? []);
    const domain: Domain = { name: "home", workers };
    const room = avoidingFailures(
        job,
        worker => addScaled(resourcesOn(home, worker.name, perTask), occupied(worker), -1),
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

const optionInHome = (
    ledger: Ledger,
    job: JobSpec,
    home: Home,
    location: readonly Member[],
    nowMs: number,
): GuaranteedOption | undefined => {
    const jobs = jobsIn(ledger, home.unit);
    const members = fitIntoHome(
        ledger,
        job,
        location,
        resourcesPerTask(home.shape),
        worker => occupiedBy(jobs, worker),
    );
    if (members === undefined) {
        return undefined;
    }
    const available = (worker: Worker): Resources => ledger.unclaimedByGuarantees(worker, job.id);
    const isBorrower = (allocation: Allocation): boolean => allocation.class === AllocationClass.Borrowed;
    const victims = chooseVictims(ledger, job.shape, members, available, nowMs, isBorrower);
    return victims === undefined ? undefined : { unit: home.unit, home: undefined, members, victims };
};

/** Moves an idle home to where the job disturbs borrowers least. */
const optionInMovedHome = (ledger: Ledger, job: JobSpec, home: Home, nowMs: number): GuaranteedOption | undefined => {
    const options = new Map<Candidate, GuaranteedOption>();
    const costOf = (candidate: Candidate): number | undefined => {
        const option = optionInHome(ledger, job, home, candidate.members, nowMs);
        if (option === undefined) {
            return undefined;
        }
        options.set(candidate, { ...option, home: candidate.members });
        return totalLostWork(option.victims, nowMs) + candidate.leftoverTasks;
    };
    const available = avoidingFailures(job, worker => ledger.outsideHomes(worker, home.unit));
    const found = findPlacement(home.shape, ledger.fleet, available, costOf);
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
    const homes = [...ledger.homes.values()].filter(home =>
        home.customer === job.customer
        && home.members.length > 0
        && acceleratorsOf(home.shape) >= acceleratorsOf(job.shape)
    );
    homes.sort((left, right) => acceleratorsOf(left.shape) - acceleratorsOf(right.shape));
    for (const home of homes) {
        if (claimsIn(ledger, home.unit)) {
            continue;
        }
        best = cheaper(best, optionInHome(ledger, job, home, home.members, nowMs), nowMs);
        const idle = jobsIn(ledger, home.unit).length === 0;
        if (idle && best?.victims.length !== 0) {
            best = cheaper(best, optionInMovedHome(ledger, job, home, nowMs), nowMs);
        }
        if (best?.victims.length === 0) {
            return best;
        }
    }
    return best;
};
