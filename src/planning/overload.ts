/**
 * Decides which waiting work is postponed. Answers a load in which a service cannot complete all waiting work in time: what
 * is delayed then is the work whose delay costs least for what it takes, instead of whatever is due last.
 */
import { objectiveMs } from "../jobs/objective.js";
import type { TaskResources } from "../jobs/types.js";
import { createCustomerBudgets } from "./customerBudgets.js";
import type { CustomerUses } from "./customerBudgets.js";
import { delayLoss, untilDropMs, workToEarn } from "./delayCost.js";
import { Tier, tierOf } from "./order.js";
import { addResources, fitCount, noResources, occupiedBy, resourceNames } from "./resources.js";
import { addPreemptible, addWorkers, createSupply } from "./supply.js";
import type { Supply } from "./supply.js";
import type { Candidate, Postponement, Postponements, WorkerInfo } from "./types.js";

/** Input of {@link findPostponements}. */
export interface OverloadInput {
    nowMs: number;
    /** Waiting work in the order in which it is placed without postponement. */
    ordered: readonly Candidate[];
    workers: readonly WorkerInfo[];
    /** Work with which customers would use more than their shares. */
    beyondShares: ReadonlySet<Candidate>;
    customerUses: CustomerUses;
    /** Result of the previous round. */
    previous: Postponements;
}

/** Work that must start before its job's value drops. */
interface Demand {
    candidate: Candidate;
    tier: Tier;
    /** Time until all of its tasks must have started. */
    latestStartMs: number;
    /** Position of its latest start among those of the service. */
    index: number;
}

/** Demand with the cost of its delay. */
interface PricedDemand extends Demand {
    /** Value lost by its delay; more if it is not postponed yet. */
    loss: number;
    isBeyondShare: boolean;
    /** It has been postponed for as long as it may be. */
    hasReturned: boolean;
}

/** Tiers in which work is postponed; guarantees and starved gangs have precedence, and expired work loses nothing. */
const postponableTiers: readonly Tier[] = [Tier.Urgent, Tier.OnTime, Tier.Late];
/** Share of the supply that the work must fall below until an overload ends, so that the order does not alternate. */
const recoveredShare = 0.9;
/** Factor by which work must be less worth than postponed work to be postponed in its place. */
const exchangeFactor = 1.25;

/** The part of the work that its customers' limits allow to start now; the rest competes for nothing. */
const withinLimits = (ordered: readonly Candidate[], uses: CustomerUses): readonly Candidate[] => {
    if (uses.size === 0) {
        return ordered;
    }
    const budgets = createCustomerBudgets(uses);
    return ordered.flatMap(candidate => {
        const allowed = budgets.limit(candidate);
        budgets.spend(candidate, allowed?.taskIndexes.length ?? 0);
        return allowed ?? [];
    });
};

/** Creates a check whether empty workers could run a candidate, adjacency aside. */
const createCapacityCheck = (workers: readonly WorkerInfo[]): (candidate: Candidate) => boolean => {
    const total = noResources();
    const largest = noResources();
    for (const { capacity } of workers) {
        addResources(total, capacity, 1);
        resourceNames.forEach(name => largest[name] = Math.max(largest[name], capacity[name]));
    }
    return ({ step, taskIndexes }) =>
        fitCount(largest, occupiedBy(step)) > 0
        && (!step.gang || fitCount(total, occupiedBy(step)) >= taskIndexes.length);
};

/** Whether what is free holds all waiting tasks at once. */
const fitsNow = (candidates: readonly Candidate[], workers: readonly WorkerInfo[]): boolean => {
    const missing = noResources();
    candidates.forEach(({ step, taskIndexes }) => addResources(missing, occupiedBy(step), taskIndexes.length));
    workers.forEach(({ free }) => addResources(missing, free, -1));
    return resourceNames.every(name => missing[name] <= 0);
};

/** Collects the work that can be postponed, in order of latest starts. */
const collectDemands = (candidates: readonly Candidate[], tiers: readonly Tier[]): Demand[] => {
    const demands: Demand[] = [];
    for (const [position, candidate] of candidates.entries()) {
        const tier = tiers[position];
        const latestStartMs = untilDropMs(candidate) - candidate.step.estimateMs;
        const mayExpire = !candidate.step.longRunning && Number.isFinite(latestStartMs);
        if (postponableTiers.includes(tier) && mayExpire) {
            demands.push({ candidate, tier, latestStartMs, index: 0 });
        }
    }
    demands.sort((left, right) => left.latestStartMs - right.latestStartMs);
    demands.forEach((demand, index) => demand.index = index);
    return demands;
};

/** Work of the tasks to place, by declared run times, as a resource times milliseconds. */
const workOn = ({ candidate: { step, taskIndexes } }: Demand, name: keyof TaskResources): number =>
    occupiedBy(step)[name] * taskIndexes.length * step.estimateMs;

/**
 * What is available to the work of a tier that must have started by each of the times: what is free until then, and what
 * is free at that time for as long as the longest of it runs.
 */
const availableTo = (
    demands: readonly Demand[],
    supply: ReturnType<Supply["read"]>,
    usableShare: number,
): Float64Array => {
    const { untilThen, atThatTime } = supply;
    const available = new Float64Array(untilThen.length);
    let longestMs = 0;
    for (const { candidate, index } of demands) {
        longestMs = Math.max(longestMs, candidate.step.estimateMs);
        const first = index * resourceNames.length;
        for (let at = first; at < first + resourceNames.length; at++) {
            available[at] = Math.max(0, (untilThen[at] + atThatTime[at] * longestMs) * usableShare);
        }
    }
    return available;
};

/** Whether all work can start before its job's value drops. */
const isFeasible = (demands: readonly Demand[], available: Float64Array): boolean =>
    resourceNames.every((name, resource) => {
        let total = 0;
        return demands.every(demand => {
            total += workOn(demand, name);
            return total <= available[demand.index * resourceNames.length + resource];
        });
    });

/** Whether a job has been postponed for its objective, the time within which its caller expected it; it returns then. */
const hasReturned = ({ job }: Candidate, sinceMs: number, nowMs: number): boolean => nowMs - sinceMs > objectiveMs(job);

/** Determines what the delay of work costs. */
const priceDemand = (
    { candidate, tier, latestStartMs, index }: Demand,
    { previous, nowMs }: OverloadInput,
    beyondShares: ReadonlySet<string>,
): PricedDemand => {
    const postponement = previous.get(candidate.key);
    return {
        candidate,
        tier,
        latestStartMs,
        index,
        loss: delayLoss(candidate) * (postponement?.active === true ? 1 : exchangeFactor),
        isBeyondShare: beyondShares.has(candidate.key),
        hasReturned: postponement !== undefined && hasReturned(candidate, postponement.sinceMs, nowMs),
    };
};

/** Work from which the one is taken that is postponed next. */
interface PostponementQueue {
    add(demand: PricedDemand): void;
    /** Takes what loses least for what it takes of the resource; work beyond its customer's share goes first. */
    takeCheapest(): PricedDemand | undefined;
}

/** Demand in a queue, with its loss for each unit that its job takes until its value is earned. */
interface Priced {
    demand: PricedDemand;
    lossPerUnit: number;
}

const createPostponementQueue = (resource: number, postponed: ReadonlySet<PricedDemand>): PostponementQueue => {
    const name = resourceNames[resource];
    /** The cheapest last. */
    const sorted: Priced[] = [];
    let added: PricedDemand[] = [];
    // of equal cost, what must start last is postponed, as without an overload
    const isCheaper = (left: Priced, right: Priced): boolean =>
        left.demand.isBeyondShare === right.demand.isBeyondShare
            ? left.lossPerUnit < right.lossPerUnit
                || (left.lossPerUnit === right.lossPerUnit && left.demand.index > right.demand.index)
            : left.demand.isBeyondShare;
    const insert = (demand: PricedDemand): void => {
        const priced = { demand, lossPerUnit: demand.loss / workToEarn(demand.candidate, name) };
        let low = 0;
        let high = sorted.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if (isCheaper(priced, sorted[middle])) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        sorted.splice(low, 0, priced);
    };
    return {
        add: demand => {
            added.push(demand);
        },
        takeCheapest: () => {
            // sorted only now, since most resources never run out
            added.filter(demand => !demand.hasReturned && !postponed.has(demand) && workOn(demand, name) > 0).forEach(
                insert,
            );
            added = [];
            let cheapest = sorted.pop()?.demand;
            // it may have been taken for another resource
            while (cheapest !== undefined && postponed.has(cheapest)) {
                cheapest = sorted.pop()?.demand;
            }
            return cheapest;
        },
    };
};

/**
 * Weighted Moore-Hodgson: adds work in order of latest starts, and whenever the total exceeds what is available to it,
 * postpones what loses least for what it takes.
 */
const postponeCheapest = (demands: readonly PricedDemand[], available: Float64Array): Set<PricedDemand> => {
    const postponed = new Set<PricedDemand>();
    const totals = resourceNames.map(() => 0);
    const queues = resourceNames.map((_, resource) => createPostponementQueue(resource, postponed));
    const addTotals = (demand: PricedDemand, sign: 1 | -1): void =>
        resourceNames.forEach((name, resource) => totals[resource] += sign * workOn(demand, name));
    for (const demand of demands) {
        addTotals(demand, 1);
        queues.forEach(queue => queue.add(demand));
        queues.forEach((queue, resource) => {
            const limit = available[demand.index * resourceNames.length + resource];
            let cheapest = totals[resource] > limit ? queue.takeCheapest() : undefined;
            while (cheapest !== undefined) {
                postponed.add(cheapest);
                addTotals(cheapest, -1);
                cheapest = totals[resource] > limit ? queue.takeCheapest() : undefined;
            }
        });
    }
    return postponed;
};

/** Work beyond its customer's share never goes before work within another's that is postponed. */
const addBeyondShares = (postponed: Set<PricedDemand>, demands: readonly PricedDemand[]): void => {
    if ([...postponed].some(({ isBeyondShare }) => !isBeyondShare)) {
        demands.filter(({ isBeyondShare }) => isBeyondShare).forEach(demand => postponed.add(demand));
    }
};

/** Finds the work of one tier and service to postpone. */
const findPostponedOfTier = (
    demands: readonly Demand[],
    supply: ReturnType<Supply["read"]>,
    input: OverloadInput,
): readonly Candidate[] => {
    const wasOverloaded = demands.some(({ candidate }) => input.previous.get(candidate.key)?.active === true);
    const available = availableTo(demands, supply, wasOverloaded ? recoveredShare : 1);
    if (isFeasible(demands, available)) {
        return [];
    }
    // a customer's limit may have left only part of a candidate, so that it is another object
    const beyondShares = new Set([...input.beyondShares].map(({ key }) => key));
    const priced = demands.map(demand => priceDemand(demand, input, beyondShares));
    const postponed = postponeCheapest(priced, available);
    addBeyondShares(postponed, priced);
    return [...postponed].map(({ candidate }) => candidate);
};

/** Takes what waiting work will use, since work of the tiers after it is placed later. */
const occupy = (supply: Supply, { step, taskIndexes }: Candidate): void => {
    supply.add(occupiedBy(step), -taskIndexes.length, 0);
    if (!step.longRunning) {
        supply.add(occupiedBy(step), taskIndexes.length, step.estimateMs);
    }
};

/** What is available to urgent work, which preempts other runs. */
const readWithPreemptible = (
    supply: Supply,
    workers: readonly WorkerInfo[],
    timesMs: Float64Array,
): ReturnType<Supply["read"]> => {
    const gained = createSupply(timesMs);
    addPreemptible(gained, workers);
    const [own, gains] = [supply.read(), gained.read()];
    return {
        untilThen: own.untilThen.map((amount, index) => amount + gains.untilThen[index]),
        atThatTime: own.atThatTime.map((amount, index) => amount + gains.atThatTime[index]),
    };
};

/** Finds the work to postpone in one service, tier by tier. */
const findPostponedOf = (
    candidates: readonly Candidate[],
    workers: readonly WorkerInfo[],
    input: OverloadInput,
): Candidate[] => {
    const tiers = candidates.map(tierOf);
    const demands = collectDemands(candidates, tiers);
    const timesMs = Float64Array.from(demands, ({ latestStartMs }) => latestStartMs);
    const supply = createSupply(timesMs);
    addWorkers(supply, workers);
    const postponed: Candidate[] = [];
    const lastTier = demands.reduce((last, { tier }) => Math.max(last, tier), Tier.Guaranteed);
    for (let tier = Tier.Guaranteed; tier <= lastTier; tier++) {
        const ofTier = demands.filter(demand => demand.tier === tier);
        if (ofTier.length > 0) {
            const available = tier === Tier.Urgent
                ? readWithPreemptible(supply, workers, timesMs)
                : supply.read();
            postponed.push(...findPostponedOfTier(ofTier, available, input));
        }
        if (tier < lastTier) {
            candidates.filter((_, position) => tiers[position] === tier).forEach(candidate =>
                occupy(supply, candidate)
            );
        }
    }
    return postponed;
};

const groupByService = <Item>(items: readonly Item[], serviceOf: (item: Item) => string): Map<string, Item[]> => {
    const groups = new Map<string, Item[]>();
    for (const item of items) {
        const group = groups.get(serviceOf(item));
        if (group === undefined) {
            groups.set(serviceOf(item), [item]);
        }
        else {
            group.push(item);
        }
    }
    return groups;
};

/**
 * Finds the work that is placed after the other work of its tier in this round, and what is known of earlier postponements.
 * Nothing is kept out: postponed work takes whatever room the other work leaves.
 */
export const findPostponements = (input: OverloadInput): Postponements => {
    const { nowMs, ordered, previous } = input;
    const accepting = input.workers.filter(({ usable, coolingDown }) => usable || coolingDown);
    const workersByService = groupByService(accepting, ({ service }) => service);
    const competing = groupByService(withinLimits(ordered, input.customerUses), ({ job }) => job.service);
    const allPostponed = [...competing].flatMap(([service, candidates]) => {
        const workers = workersByService.get(service) ?? [];
        const postponed = fitsNow(candidates, workers) ? [] : findPostponedOf(candidates, workers, input);
        const waiting = postponed.length === 0 ? candidates : candidates.filter(createCapacityCheck(workers));
        return waiting.length === candidates.length ? postponed : findPostponedOf(waiting, workers, input);
    });
    const postponedKeys = new Set(allPostponed.map(({ key }) => key));
    const postponements = new Map<string, Postponement>();
    for (const candidate of postponedKeys.size === 0 && previous.size === 0 ? [] : ordered) {
        const { key } = candidate;
        const sinceMs = previous.get(key)?.sinceMs ?? (postponedKeys.has(key) ? nowMs : undefined);
        if (sinceMs !== undefined) {
            postponements.set(key, {
                sinceMs,
                active: postponedKeys.has(key),
                returned: hasReturned(candidate, sinceMs, nowMs),
            });
        }
    }
    return postponements;
};
