import type { TimerService } from "../utils/timer.js";

/** Weight of the newest attempt in the moving average of an endpoint's failure share. */
const failureShareWeight = 0.2;
const minSamples = 5;
const minFailureShare = 0.5;
/** Required excess over the median failure share of the others: calls that fail everywhere eject no endpoint. */
const minFailureShareAboveOthers = 0.3;
const firstEjectionMs = 2_000;
const maxEjectionMs = 30_000;
const maxEjectedShare = 0.5;

interface Health {
    /** Exponential moving average, from 0 to 1. */
    failureShare: number;
    samples: number;
    ejectedUntilMs: number;
    /** Length of the next ejection; doubles with each one until an attempt succeeds. */
    ejectionMs: number;
}

/** Outlier detection: temporarily ejects endpoints that fail much more often than the others. */
export interface Ejection {
    /** Records the outcome of an attempt at an endpoint; may eject it. */
    record(endpoint: string, failed: boolean): void;
    isEjected(endpoint: string): boolean;
    /** Deletes the statistics of all endpoints except these. */
    retain(endpoints: ReadonlySet<string>): void;
    /** Names of the endpoints that are ejected now. */
    ejected(): string[];
}

/** Creates the outlier detection of a router, with no endpoint ejected. */
export const createEjection = (timer: TimerService): Ejection => {
    const healthByEndpoint = new Map<string, Health>();

    const healthOf = (endpoint: string): Health => {
        const known = healthByEndpoint.get(endpoint);
        if (known !== undefined) {
            return known;
        }
        const initial = { failureShare: 0, samples: 0, ejectedUntilMs: 0, ejectionMs: firstEjectionMs };
        healthByEndpoint.set(endpoint, initial);
        return initial;
    };

    const medianFailureShareOfOthers = (endpoint: string): number => {
        const sortedShares = [...healthByEndpoint].filter(([name, health]) => name !== endpoint && health.samples > 0)
            .map(([, health]) => health.failureShare)
            .sort((left, right) => left - right);
        return sortedShares.length === 0 ? 0 : sortedShares[Math.floor(sortedShares.length / 2)];
    };

    const isEjected = (endpoint: string): boolean =>
        (healthByEndpoint.get(endpoint)?.ejectedUntilMs ?? 0) > timer.nowMs();

    const ejected = (): string[] => [...healthByEndpoint.keys()].filter(isEjected);

    const shouldEject = (endpoint: string, health: Health): boolean =>
        health.samples >= minSamples
        && health.failureShare > minFailureShare
        && health.failureShare - medianFailureShareOfOthers(endpoint) > minFailureShareAboveOthers
        && ejected().length + 1 <= healthByEndpoint.size * maxEjectedShare;

    const record = (endpoint: string, failed: boolean): void => {
        const health = healthOf(endpoint);
        health.samples += 1;
        health.failureShare += failureShareWeight * ((failed ? 1 : 0) - health.failureShare);
        if (!failed) {
            health.ejectionMs = firstEjectionMs;
            return;
        }
        if (!isEjected(endpoint) && shouldEject(endpoint, health)) {
            health.ejectedUntilMs = timer.nowMs() + health.ejectionMs;
            health.ejectionMs = Math.min(maxEjectionMs, health.ejectionMs * 2);
        }
    };

    return {
        record,
        isEjected,
        retain: endpoints => {
            [...healthByEndpoint.keys()].filter(name => !endpoints.has(name)).forEach(name =>
                healthByEndpoint.delete(name)
            );
        },
        ejected,
    };
};
