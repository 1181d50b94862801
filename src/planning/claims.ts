import type { CustomerBudgets } from "./customerBudgets.js";
import { fitCount, subtractResources } from "./resources.js";
import type { Candidate, PreemptionClaim, WorkerInfo } from "./types.js";

/** Options of {@link createClaims}. */
export interface ClaimsOptions {
    nowMs: number;
    workersById: ReadonlyMap<string, WorkerInfo>;
    candidates: readonly Candidate[];
    /** Claims made in earlier rounds. */
    previous: readonly PreemptionClaim[];
    budgets: CustomerBudgets;
}

/** Claims of a round, whose resources and customers' budgets no other work gets. */
export interface Claims {
    get(key: string): PreemptionClaim | undefined;
    /** Adds a claim and allocates what it takes. */
    add(claim: PreemptionClaim): void;
    /** Removes a claim and releases what it takes. */
    remove(claim: PreemptionClaim): void;
    /** Allocates the workers' resources of the claims of earlier rounds that are not for claimed guarantees. */
    allocateOthers(): void;
    list(): PreemptionClaim[];
}

/** Age at which a claim is dropped if its resources are not free yet: a stop takes 0.2 s, its answer up to 1 s. */
const claimTimeoutMs = 1_500;
/** Allocates the resources of a claim, or releases them if `sign` is -1. */
const allocateClaim = (workersById: ReadonlyMap<string, WorkerInfo>, claim: PreemptionClaim, sign: 1 | -1): void => {
    for (const assignment of claim.assignments) {
        const worker = workersById.get(assignment.workerId);
        if (worker !== undefined) {
            subtractResources(worker.free, claim.resources, sign);
        }
    }
};

const isClaimValid = (
    claim: PreemptionClaim,
    { nowMs, workersById }: ClaimsOptions,
    candidatesByKey: ReadonlyMap<string, Candidate>,
): boolean =>
    nowMs - claim.madeAtMs <= claimTimeoutMs && candidatesByKey.has(claim.key)
    && claim.assignments.every(assignment => workersById.get(assignment.workerId)?.usable === true);

/** Whether all claimed tasks fit on the claimed workers at once. */
export const isClaimSatisfied = (workersById: ReadonlyMap<string, WorkerInfo>, claim: PreemptionClaim): boolean => {
    const needed = new Map<string, number>();
    claim.assignments.forEach(({ workerId }) => needed.set(workerId, (needed.get(workerId) ?? 0) + 1));
    return [...needed].every(([workerId, count]) => {
        const worker = workersById.get(workerId);
        return worker !== undefined && fitCount(worker.free, claim.resources) >= count;
    });
};

/** Takes over the claims of earlier rounds that are still valid, and allocates those of claimed guarantees. */
export const createClaims = (options: ClaimsOptions): Claims => {
    const { workersById, budgets } = options;
    const candidatesByKey = new Map(options.candidates.map(candidate => [candidate.key, candidate]));
    const valid = options.previous.filter(claim => isClaimValid(claim, options, candidatesByKey));
    const claims = new Map(valid.map(claim => [claim.key, claim]));

    const spend = (claim: PreemptionClaim, sign: 1 | -1): void => {
        const candidate = candidatesByKey.get(claim.key);
        if (candidate !== undefined) {
            budgets.spend(candidate, claim.assignments.length * sign);
        }
    };

    const allocateAll = (ofGuarantees: boolean): void =>
        claims.forEach(claim =>
            (candidatesByKey.get(claim.key)?.guaranteed === true) === ofGuarantees
            && allocateClaim(workersById, claim, 1)
        );

    claims.forEach(claim => spend(claim, 1));
    allocateAll(true);
    return {
        get: key => claims.get(key),
        add: claim => {
            claims.set(claim.key, claim);
            allocateClaim(workersById, claim, 1);
            spend(claim, 1);
        },
        remove: claim => {
            claims.delete(claim.key);
            allocateClaim(workersById, claim, -1);
            spend(claim, -1);
        },
        allocateOthers: () => allocateAll(false),
        list: () => [...claims.values()],
    };
};
