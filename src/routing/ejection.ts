import type { TimerService } from "../utils/timer.js";

/** Weight of the newest sample in an endpoint's failure share. */
const sampleWeight = 0.2;
const minSamples = 5;
const ejectAboveShare = 0.5;
/** An endpoint must fail this much more often than the others, or the work itself is to blame. */
const minExcessOverOthers = 0.3;
const firstEjectionMs = 2_000;
const maxEjectionMs = 30_000;
const maxEjectedShare = 0.5;

interface Health {
    failureShare: number;
    samples: number;
    ejectedUntilMs: number;
    ejectionMs: number;
}

/** Leaves out endpoints that fail much more often than the others. */
export interface Ejection {
    record(endpoint: string, failed: boolean): void;
    isEjected(endpoint: string): boolean;
    /** Drops endpoints that no longer exist. */
    retain(endpoints: ReadonlySet<string>): void;
    ejected(): string[];
}

/** Creates the failure record of a router's endpoints. */
export const createEjection = (timer: TimerService): Ejection => {
    const records = new Map<string, Health>();

    const healthOf = (endpoint: string): Health => {
        const known = records.get(endpoint);
        if (known !== undefined) {
            return known;
        }
        const created = { failureShare: 0, samples: 0, ejectedUntilMs: 0, ejectionMs: firstEjectionMs };
        records.set(endpoint, created);
        return created;
    };

    const othersShare = (endpoint: string): number => {
        const shares = [...records].filter(([name, health]) => name !== endpoint && health.samples > 0)
            .map(([, health]) => health.failureShare)
            .sort((left, right) => left - right);
        return shares.length === 0 ? 0 : shares[Math.floor(shares.length / 2)];
    };

    const isEjected = (endpoint: string): boolean => (records.get(endpoint)?.ejectedUntilMs ?? 0) > timer.nowMs();

    const ejected = (): string[] => [...records.keys()].filter(isEjected);

    const shouldEject = (endpoint: string, health: Health): boolean =>
        health.samples >= minSamples
        && health.failureShare > ejectAboveShare
        && health.failureShare - othersShare(endpoint) > minExcessOverOthers
        && ejected().length + 1 <= records.size * maxEjectedShare;

    const record = (endpoint: string, failed: boolean): void => {
        const health = healthOf(endpoint);
        health.samples += 1;
        health.failureShare += sampleWeight * ((failed ? 1 : 0) - health.failureShare);
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
            [...records.keys()].filter(name => !endpoints.has(name)).forEach(name => records.delete(name));
        },
        ejected,
    };
};
