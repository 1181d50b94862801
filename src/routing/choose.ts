import { pickOne } from "../utils/random.js";
import type { Random } from "../utils/random.js";
import type { Endpoint } from "./endpoints.js";

/** Input of the choice of an endpoint. */
export interface ChoiceInput {
    endpoints: readonly Endpoint[];
    /** Availability zone of the router. */
    availabilityZone: string;
    nowMs: number;
    random: Random;
    /** Maximum number of calls of this router in progress at one endpoint. */
    maxOutstanding: number;
    /** Names of endpoints at which an earlier attempt of the call failed. */
    excluded: ReadonlySet<string>;
}

/** Chooses an endpoint for a call; `undefined` if none has free capacity. */
export type ChooseEndpoint = (input: ChoiceInput) => Endpoint | undefined;

const slotsPerEndpoint = 8;
/** Age from which a reported load is ignored as outdated. */
const maxLoadReportAgeMs = 500;
const choiceCount = 2;

/** Load of an endpoint: this router's calls in progress or, if greater, a load that it reported recently. */
export const loadOf = (endpoint: Endpoint, nowMs: number): number => {
    const isReportFresh = nowMs - endpoint.slotsBusyAtMs < maxLoadReportAgeMs;
    return isReportFresh ? Math.max(endpoint.outstanding, endpoint.slotsBusy) : endpoint.outstanding;
};

const hasFreeCapacity = (endpoint: Endpoint, input: ChoiceInput): boolean =>
    endpoint.outstanding < Math.min(input.maxOutstanding, slotsPerEndpoint)
    && endpoint.backoffUntilMs <= input.nowMs
    && !input.excluded.has(endpoint.name);

const leastLoadedOf = (candidates: readonly Endpoint[], input: ChoiceInput): Endpoint => {
    let best = pickOne(input.random, candidates);
    for (let drawn = 1; drawn < choiceCount; drawn++) {
        const other = pickOne(input.random, candidates);
        if (loadOf(other, input.nowMs) < loadOf(best, input.nowMs)) {
            best = other;
        }
    }
    return best;
};

/**
 * Power of two choices: the less loaded of two random endpoints with free capacity, from the router's availability zone
 * if it has one.
 */
export const choosePowerOfTwo: ChooseEndpoint = input => {
    const available = input.endpoints.filter(endpoint => hasFreeCapacity(endpoint, input));
    if (available.length === 0) {
        return undefined;
    }
    const local = available.filter(endpoint => endpoint.availabilityZone === input.availabilityZone);
    return leastLoadedOf(local.length > 0 ? local : available, input);
};
