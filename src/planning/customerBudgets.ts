/**
 * Limits on what the runs of a customer may occupy at a time. Answers a load in which one customer sends more than its
 * limit allows, with work of several steps, gangs and claimed guarantees at once.
 */
import type { JobSubmission, Step, TaskResources } from "../jobs/types.js";
import { fitCount, noResources, resourceNames, subtractResources } from "./resources.js";
import type { Candidate } from "./types.js";
import { WaitReason } from "./waitReason.js";

/** Resources without any limit. */
export const unlimited: Readonly<TaskResources> = {
    milliCores: Number.POSITIVE_INFINITY,
    memoryMb: Number.POSITIVE_INFINITY,
    accelerators: Number.POSITIVE_INFINITY,
};

/** What a customer with a limit uses. */
export interface CustomerUse {
    /** Most that its runs may occupy at a time. */
    maximum: TaskResources;
    /** What every run of it that may still be active occupies. */
    used: TaskResources;
    /** The part of it that is being stopped. */
    stopping: TaskResources;
}

/** Use of the customers that have a limit, by name. */
export type CustomerUses = ReadonlyMap<string, CustomerUse>;

/** Budgets of the customers with a limit, reduced as a round places their work. */
export interface CustomerBudgets {
    /**
     * The part of a candidate that its customer's limit allows to start: independent tasks as many as fit, a gang all or
     * none; `undefined` if nothing may start.
     */
    limit(candidate: Candidate): Candidate | undefined;
    /** Deducts the given number of a candidate's tasks; a negative number returns them. */
    spend(candidate: Candidate, taskCount: number): void;
    /** What has to end, beyond what is being stopped, before the candidate may start; `undefined` if nothing. */
    shortfall(candidate: Candidate): TaskResources | undefined;
    /** Why the limits held candidates back, in whole or in part; by key. */
    limited: ReadonlyMap<string, WaitReason>;
}

/** Waiting time after which a gang that its customer's limit holds back goes before the customer's other work. */
const holdAfterMs = 1_500;
/** Share of the limit below which other work of the customer starts although one of its gangs is held back. */
const holdAboveShare = 0.5;

const sizeOf = ({ gang, taskCount }: Step): number => gang ? taskCount : 1;

/** Whether a limit allows the smallest part of a step that can start: one task, or all tasks of a gang. */
export const isWithinMaximum = (step: Step, maximum: TaskResources): boolean =>
    fitCount(maximum, step.resources) >= sizeOf(step);

/** Whether a limit allows every step of a job to start. @param maximum if not given, there is no limit */
export const canEverStart = ({ steps }: JobSubmission, maximum: TaskResources = unlimited): boolean =>
    steps.every(step => isWithinMaximum(step, maximum));

/** Creates the budgets of a round from what the customers use. */
export const createCustomerBudgets = (uses: CustomerUses): CustomerBudgets => {
    const remainingByCustomer = new Map([...uses].map(([customer, { maximum, used }]) => {
        const remaining = { ...maximum };
        subtractResources(remaining, used, 1);
        return [customer, remaining];
    }));
    /** Customers whose remaining budget is kept for one of their gangs. */
    const held = new Set<string>();
    const limited = new Map<string, WaitReason>();

    const allowedCount = ({ step, taskIndexes }: Candidate, remaining: TaskResources): number => {
        const fitting = Math.min(taskIndexes.length, fitCount(remaining, step.resources));
        return step.gang && fitting < taskIndexes.length ? 0 : fitting;
    };

    const exceedsMaximum = ({ job: { customer = "" }, step }: Candidate): boolean => {
        const use = uses.get(customer);
        return use !== undefined && !isWithinMaximum(step, use.maximum);
    };

    const usesMost = (customer: string): boolean => {
        const use = uses.get(customer);
        return use !== undefined
            && resourceNames.some(name => use.used[name] >= use.maximum[name] * holdAboveShare);
    };

    const limit = (candidate: Candidate): Candidate | undefined => {
        const { key, job: { customer = "" }, step, taskIndexes, waitingMs } = candidate;
        const remaining = remainingByCustomer.get(customer);
        if (remaining === undefined) {
            return candidate;
        }
        const count = held.has(customer) && !candidate.guaranteed ? 0 : allowedCount(candidate, remaining);
        if (count === taskIndexes.length) {
            return candidate;
        }
        limited.set(key, exceedsMaximum(candidate) ? WaitReason.ExceedsCustomerLimit : WaitReason.CustomerLimit);
        if (step.gang && waitingMs > holdAfterMs && usesMost(customer) && !exceedsMaximum(candidate)) {
            held.add(customer);
        }
        return count === 0 ? undefined : { ...candidate, taskIndexes: taskIndexes.slice(0, count) };
    };

    const shortfall = (candidate: Candidate): TaskResources | undefined => {
        const { job: { customer = "" }, step, taskIndexes } = candidate;
        const use = uses.get(customer);
        const remaining = remainingByCustomer.get(customer);
        if (use === undefined || remaining === undefined || exceedsMaximum(candidate)) {
            return undefined;
        }
        const missing = noResources();
        for (const name of resourceNames) {
            const expected = remaining[name] + use.stopping[name];
            missing[name] = Math.max(0, step.resources[name] * taskIndexes.length - expected);
        }
        return resourceNames.some(name => missing[name] > 0) ? missing : undefined;
    };

    return {
        limit,
        spend: ({ job: { customer = "" }, step }, taskCount) => {
            const remaining = remainingByCustomer.get(customer);
            if (remaining !== undefined) {
                subtractResources(remaining, step.resources, taskCount);
            }
        },
        shortfall,
        limited,
    };
};
