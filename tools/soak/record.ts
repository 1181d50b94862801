/** Record that a soak run collects and that its invariants are checked against at the end. */
import type { Outcome } from "../../src/routing/types.js";

/** One call as observed by its caller. */
export interface CallRecord {
    /** Unique to the request; the endpoint echoes it. */
    key: string;
    atMostOnce: boolean;
    sentAtMs: number;
    answeredAtMs: number;
    /** `cutOff` if the connection failed before an answer arrived. */
    outcome: Outcome | "cutOff";
    /** Key that the answer echoed. */
    echo?: string;
    /** Router that the call was sent to, as `vm/role`. */
    router: string;
    /** Whether its router was killed, paused, partitioned or without the platform while the call was in progress. */
    routerDisrupted: boolean;
}

/** A period during which a published statement took a zone out of service. */
export interface ZoneOutage {
    zone: string;
    acceptedAtMs: number;
    /** Time of the first attempt to publish statements with the zone in service; `Infinity` until then. */
    restoreRequestedAtMs: number;
}

/** A period during which the platform listed an endpoint as leaving. */
export interface LeavingPeriod {
    worker: string;
    /** Whether the endpoint's replies say so too; otherwise only the list does. */
    saysLeaving: boolean;
    fromMs: number;
    untilMs: number;
}

/** The configuration version in force in a process at a point in time. */
export interface VersionSample {
    /** `vm/role/processId`. */
    process: string;
    atMs: number;
    version: number;
}

/** Everything recorded during a soak run. */
export interface SoakRecord {
    calls: CallRecord[];
    zonesOut: ZoneOutage[];
    leaving: LeavingPeriod[];
    versions: VersionSample[];
    /** Versions that were accepted, with the time. */
    accepted: { version: number; atMs: number; }[];
    jobs: { id: string; guaranteed: boolean; taskCount: number; }[];
    /** Number of injected faults by name. */
    faults: Record<string, number>;
    /** Disruptions of processes (`vm/role`); `untilMs` includes the time in which effects may still be observed. */
    disruptions: { process: string; fromMs: number; untilMs: number; }[];
    gracefulExits: { process: string; code: number | undefined; }[];
}

/** Creates an empty record. */
export const createSoakRecord = (): SoakRecord => ({
    calls: [],
    zonesOut: [],
    leaving: [],
    versions: [],
    accepted: [],
    jobs: [],
    faults: {},
    disruptions: [],
    gracefulExits: [],
});

/** Whether a process was disrupted at any time in an interval. */
export const wasDisrupted = (record: SoakRecord, process: string, fromMs: number, untilMs: number): boolean =>
    record.disruptions.some(disruption =>
        disruption.process === process && disruption.fromMs <= untilMs && disruption.untilMs >= fromMs
    );
