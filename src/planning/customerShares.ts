/**
 * Shares of the customers in a service. Answers a load in which one customer sends many times its usual while the work of
 * others has to wait.
 */
import type { TaskResources } from "../jobs/types.js";
import { addResources, noResources, resourceNames } from "./resources.js";
import type { Candidate, WorkerInfo } from "./types.js";

/** What a customer that has a share uses. */
export interface ShareUse {
    weight: number;
    /** By name of the service. */
    used: ReadonlyMap<string, TaskResources>;
}

/** Weight and use of the customers that have a share, by name. */
export type ShareUses = ReadonlyMap<string, ShareUse>;

const sumCapacity = (workers: readonly WorkerInfo[], service: string): TaskResources => {
    const sum = noResources();
    workers.filter(worker => worker.usable && worker.service === service).forEach(({ capacity }) =>
        addResources(sum, capacity, 1)
    );
    return sum;
};

/** Largest share of any resource, as in dominant resource fairness; infinite if there is no capacity. */
const dominantShare = (used: TaskResources, capacity: TaskResources): number =>
    Math.max(
        ...resourceNames.map(name => used[name] <= 0 ? 0 : used[name] / capacity[name]),
    );

/** Sum of the weights of the customers that use a service or wait for it; the others leave their shares to these. */
const sumActiveWeights = (service: string, shares: ShareUses, waiting: readonly Candidate[]): number => {
    const waitingCustomers = new Set(waiting.map(({ job }) => job.customer ?? ""));
    const active = [...shares].filter(([name, { used }]) => used.has(service) || waitingCustomers.has(name));
    return active.reduce((sum, [, { weight }]) => sum + weight, 0);
};

/** Finds the work of one service with which customers would use more than their shares. */
const findBeyondSharesOf = (
    service: string,
    waiting: readonly Candidate[],
    capacity: TaskResources,
    shares: ShareUses,
): Candidate[] => {
    const totalWeight = sumActiveWeights(service, shares, waiting);
    const used = new Map([...shares].map(([name, share]) => [name, { ...share.used.get(service) ?? noResources() }]));
    return waiting.filter(({ job: { customer = "" }, step, taskIndexes }) => {
        const share = shares.get(customer);
        const customerUsed = used.get(customer);
        if (share === undefined || customerUsed === undefined) {
            return false;
        }
        const isBeyond = dominantShare(customerUsed, capacity) * totalWeight >= share.weight;
        addResources(customerUsed, step.resources, taskIndexes.length);
        return isBeyond;
    });
};

/**
 * Finds the work with which customers would use more than their shares, given the order in which it is to be placed. It is
 * placed after other work of the same tier and priority, and takes whatever that leaves.
 */
export const findBeyondShares = (
    ordered: readonly Candidate[],
    workers: readonly WorkerInfo[],
    shares: ShareUses,
): ReadonlySet<Candidate> => {
    const services = shares.size === 0 ? [] : [...new Set(ordered.map(({ job }) => job.service))];
    return new Set(services.flatMap(service => {
        const waiting = ordered.filter(({ job }) => job.service === service);
        return findBeyondSharesOf(service, waiting, sumCapacity(workers, service), shares);
    }));
};
