import { pickOne } from "../utils/random.js";
import type { Random } from "../utils/random.js";
import type { Endpoint } from "./endpoints.js";

/** What an endpoint choice can see. */
export interface ChoiceInput {
    endpoints: readonly Endpoint[];
    availabilityZone: string;
    nowMs: number;
    random: Random;
    /** Calls of this router to one endpoint at the same time. */
    maxOutstanding: number;
    /** Endpoints that this call was already refused by. */
    avoid: ReadonlySet<string>;
}

/** Chooses an endpoint for a call; `undefined` while none has room. */
export type ChooseEndpoint = (input: ChoiceInput) => Endpoint | undefined;

const slotsPerEndpoint = 8;
/** Age after which a reported load says nothing any more. */
const loadMaxAgeMs = 500;
const candidateCount = 2;

/** Load of an endpoint: own calls in progress, or its reported load while that is fresh. */
export const loadOf = (endpoint: Endpoint, nowMs: number): number => {
    const fresh = nowMs - endpoint.slotsBusyAtMs < loadMaxAgeMs;
    return fresh ? Math.max(endpoint.outstanding, endpoint.slotsBusy) : endpoint.outstanding;
};

const hasRoom = (endpoint: Endpoint, input: ChoiceInput): boolean =>
    endpoint.outstanding < Math.min(input.maxOutstanding, slotsPerEndpoint)
    && endpoint.busyUntilMs <= input.nowMs
    && !input.avoid.has(endpoint.name);

const leastLoadedOf = (candidates: readonly Endpoint[], input: ChoiceInput): Endpoint => {
    let best = pickOne(input.random, candidates);
    for (let drawn = 1; drawn < candidateCount; drawn++) {
        const other = pickOne(input.random, candidates);
        if (loadOf(other, input.nowMs) < loadOf(best, input.nowMs)) {
            best = other;
        }
    }
    return best;
};

/** Takes the less loaded of two random endpoints, in the own availability zone if one has room there. */
export const chooseOfTwo: ChooseEndpoint = input => {
    const free = input.endpoints.filter(endpoint => hasRoom(endpoint, input));
    if (free.length === 0) {
        return undefined;
    }
    const local = free.filter(endpoint => endpoint.availabilityZone === input.availabilityZone);
    return leastLoadedOf(local.length > 0 ? local : free, input);
};
