import type { TimerService } from "../utils/timer.js";

/** What makes it likely that a worker loses the runs on it again. */
export enum RiskEvent {
    /** It did not answer, after it had. */
    LostContact = "lostContact",
    /** It entered a cooldown. */
    Cooldown = "cooldown",
    /** A run failed on it, for which the job may be to blame. */
    Failure = "failure",
}

/** Recent events of a worker's incarnation. */
export interface RiskHistory {
    record(event: RiskEvent): void;
    /** Weighted number of recent events; 0 without any. */
    score(): number;
}

const weightOf: Record<RiskEvent, number> = {
    [RiskEvent.LostContact]: 1,
    [RiskEvent.Cooldown]: 1,
    [RiskEvent.Failure]: 0.5,
};

/** Time for which an event counts: workers that flap do so again within seconds, and gangs run for some 10 s. */
export const riskExpiryMs = 30_000;
/** Number of events that are kept of a worker. */
const maxEvents = 8;

/** Weight of the events of the other workers in a worker's rack, which share its switch and power. */
const rackWeight = 0.1;

/** Creates a history without events. */
export const createRiskHistory = (timer: TimerService): RiskHistory => {
    let events: { event: RiskEvent; atMs: number; }[] = [];
    return {
        record: event => {
            events = [...events, { event, atMs: timer.nowMs() }].slice(-maxEvents);
        },
        score: () => {
            if (events.length > 0) {
                events = events.filter(({ atMs }) => timer.nowMs() - atMs < riskExpiryMs);
            }
            return events.reduce((sum, { event }) => sum + weightOf[event], 0);
        },
    };
};

/** A worker whose risk is its own until that of its rack is added. */
interface RackMember {
    rack: string;
    risk: number;
}

/** Adds the risk of the other workers in its rack to that of each worker, with less weight. */
export const addRackRisk = (workers: readonly RackMember[]): void => {
    const sums = new Map<string, number>();
    for (const { rack, risk } of workers) {
        if (risk > 0) {
            sums.set(rack, (sums.get(rack) ?? 0) + risk);
        }
    }
    if (sums.size === 0) {
        return;
    }
    for (const worker of workers) {
        worker.risk += rackWeight * ((sums.get(worker.rack) ?? 0) - worker.risk);
    }
};
