import type { Shape } from "../configuration/types.js";
import type { Fleet } from "./fleet.js";
import { addScaled, atMost, noResources, resourcesOn, resourcesPerTask } from "./resources.js";
import { AllocationClass } from "./types.js";
import type { JobSpec, Member, Resources, Worker } from "./types.js";

/** Resources that a placed job uses. */
export interface Allocation {
    job: JobSpec;
    attempt: number;
    members: Member[];
    class: AllocationClass;
    guaranteeUnit?: string;
    startedAtMs: number;
    /** Time of the last checkpoint, or of the start. */
    checkpointedAtMs: number;
    /** Set once it has been asked to make room. */
    leaving: boolean;
}

/** A location kept for one guaranteed gang; lent to borrowers while it is idle. */
export interface Cell {
    /** `customer/name#index`. */
    unit: string;
    customer: string;
    shape: Shape;
    /** Empty while no location could be found. */
    members: Member[];
    holdsWithZoneOut: boolean;
}

/** Accelerators promised to a waiting job while victims make room. */
export interface Claim {
    jobId: string;
    shape: Shape;
    members: Member[];
    class: AllocationClass;
    guaranteeUnit?: string;
    /** Estimated time at which its members are free. */
    readyAtMs: number;
    /** Time since which the same members are claimed. */
    madeAtMs: number;
    /** Whether jobs that end in time or can be moved may use it until then. */
    backfill: boolean;
}

/** Book of who uses what; pure bookkeeping without decisions. */
export interface Ledger {
    fleet: Fleet;
    allocations: Map<string, Allocation>;
    cells: Map<string, Cell>;
    claims: Map<string, Claim>;
    allocate(allocation: Allocation): void;
    deallocate(jobId: string): void;
    setCell(cell: Cell): void;
    setClaim(claim: Claim): void;
    dropClaim(jobId: string): void;
    /** What no job uses. */
    free(worker: Worker): Resources;
    /** What no job uses and no claim other than the job's own reserves. */
    unclaimed(worker: Worker, jobId: string): Resources;
    /** What no job uses and no other guaranteed job claims. */
    unclaimedByGuarantees(worker: Worker, jobId: string): Resources;
    /** What lies outside all cells other than the given unit's. */
    outsideCells(worker: Worker, exceptUnit?: string): Resources;
    /** What remains of the free resources if idle cells are left alone. */
    spare(worker: Worker): Resources;
    /** Borrowed allocations with tasks on a worker. */
    borrowersOn(workerName: string): Allocation[];
    /** Accelerators in use by a customer. */
    acceleratorsUsedBy(customer: string): number;
}

type Book = Map<string, Resources>;

const post = (book: Book, members: readonly Member[], perTask: Resources, sign: 1 | -1): void => {
    for (const member of members) {
        book.set(
            member.worker,
            addScaled(book.get(member.worker) ?? noResources(), perTask, sign * member.taskCount),
        );
    }
};

const subtract = (left: Resources, right: Resources | undefined): Resources =>
    right === undefined ? left : addScaled(left, right, -1);

/** Creates an empty ledger over a fleet. */
export const createLedger = (fleet: Fleet): Ledger => {
    const allocations = new Map<string, Allocation>();
    const cells = new Map<string, Cell>();
    const claims = new Map<string, Claim>();
    const used: Book = new Map();
    const borrowed: Book = new Map();
    const reserved: Book = new Map();
    const claimed: Book = new Map();
    const claimedByGuarantees: Book = new Map();
    const borrowers = new Map<string, Set<Allocation>>();
    const usedByCustomer = new Map<string, number>();

    const postAllocation = (allocation: Allocation, sign: 1 | -1): void => {
        const perTask = resourcesPerTask(allocation.job.shape);
        const { customer, shape } = allocation.job;
        post(used, allocation.members, perTask, sign);
        const accelerators = sign * shape.taskCount * shape.acceleratorsPerTask;
        usedByCustomer.set(customer, (usedByCustomer.get(customer) ?? 0) + accelerators);
        if (allocation.class === AllocationClass.Borrowed) {
            post(borrowed, allocation.members, perTask, sign);
            postBorrowers(allocation, sign);
        }
    };

    const postBorrowers = (allocation: Allocation, sign: 1 | -1): void => {
        for (const member of allocation.members) {
            const present = borrowers.get(member.worker) ?? new Set();
            borrowers.set(member.worker, present);
            if (sign === 1) {
                present.add(allocation);
            }
            else {
                present.delete(allocation);
            }
        }
    };

    const deallocate = (jobId: string): void => {
        const allocation = allocations.get(jobId);
        if (allocation !== undefined) {
            allocations.delete(jobId);
            postAllocation(allocation, -1);
        }
    };

    const postClaim = (claim: Claim, sign: 1 | -1): void => {
        const perTask = resourcesPerTask(claim.shape);
        post(claimed, claim.members, perTask, sign);
        if (claim.class === AllocationClass.Guaranteed) {
            post(claimedByGuarantees, claim.members, perTask, sign);
        }
    };

    const dropClaim = (jobId: string): void => {
        const claim = claims.get(jobId);
        if (claim !== undefined) {
            claims.delete(jobId);
            postClaim(claim, -1);
        }
    };

    const free = (worker: Worker): Resources => subtract(worker.capacity, used.get(worker.name));

    const cellPart = (unit: string | undefined, worker: Worker): Resources => {
        const cell = unit === undefined ? undefined : cells.get(unit);
        return cell === undefined
            ? noResources()
            : resourcesOn(cell.members, worker.name, resourcesPerTask(cell.shape));
    };

    const claimPart = (claim: Claim | undefined, worker: Worker): Resources =>
        claim === undefined ? noResources() : resourcesOn(claim.members, worker.name, resourcesPerTask(claim.shape));

    const othersIn = (book: Book, worker: Worker, own: Claim | undefined): Resources =>
        subtract(book.get(worker.name) ?? noResources(), claimPart(own, worker));

    const outsideCells = (worker: Worker, exceptUnit?: string): Resources =>
        addScaled(subtract(worker.capacity, reserved.get(worker.name)), cellPart(exceptUnit, worker), 1);

    return {
        fleet,
        allocations,
        cells,
        claims,
        allocate: allocation => {
            deallocate(allocation.job.id);
            allocations.set(allocation.job.id, allocation);
            postAllocation(allocation, 1);
        },
        deallocate,
        setCell: cell => {
            const previous = cells.get(cell.unit);
            if (previous !== undefined) {
                post(reserved, previous.members, resourcesPerTask(previous.shape), -1);
            }
            cells.set(cell.unit, cell);
            post(reserved, cell.members, resourcesPerTask(cell.shape), 1);
        },
        setClaim: claim => {
            dropClaim(claim.jobId);
            claims.set(claim.jobId, claim);
            postClaim(claim, 1);
        },
        dropClaim,
        free,
        unclaimed: (worker, jobId) => addScaled(free(worker), othersIn(claimed, worker, claims.get(jobId)), -1),
        unclaimedByGuarantees: (worker, jobId) => {
            const own = claims.get(jobId);
            const counted = own?.class === AllocationClass.Guaranteed ? own : undefined;
            return addScaled(free(worker), othersIn(claimedByGuarantees, worker, counted), -1);
        },
        outsideCells,
        spare: worker => atMost(free(worker), subtract(outsideCells(worker), borrowed.get(worker.name))),
        borrowersOn: workerName => [...borrowers.get(workerName) ?? []],
        acceleratorsUsedBy: customer => usedByCustomer.get(customer) ?? 0,
    };
};
