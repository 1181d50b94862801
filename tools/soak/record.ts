/** What the driver of a soak run notes, for the checks at the end. */
import type { Outcome } from "../../src/routing/types.js";

/** One call as its caller saw it. */
export interface CallNote {
    /** Unique to the request; the endpoint echoes it. */
    key: string;
    atMostOnce: boolean;
    sentAtMs: number;
    answeredAtMs: number;
    outcome: Outcome | "cutOff";
    /** Key that the answer echoed. */
    echo?: string;
    router: string;
    /** Whether its router was killed, frozen or cut while the call was in progress. */
    routerDisturbed: boolean;
}

/** A time during which a zone was out by publishing. */
export interface ZoneOutNote {
    zone: string;
    acceptedAtMs: number;
    /** Time at which its return was offered. */
    returnedAtMs: number;
}

/** A time during which the platform listed an endpoint as leaving. */
export interface LeavingNote {
    worker: string;
    /** Whether the endpoint itself says so; otherwise only the list does. */
    told: boolean;
    fromMs: number;
    untilMs: number;
}

/** A configuration version seen in a process. */
export interface VersionNote {
    process: string;
    atMs: number;
    version: number;
}

/** Everything noted during a run. */
export interface SoakRecord {
    calls: CallNote[];
    zonesOut: ZoneOutNote[];
    leaving: LeavingNote[];
    versions: VersionNote[];
    /** Times at which versions were accepted. */
    accepted: { version: number; atMs: number; }[];
    jobs: { id: string; guaranteed: boolean; taskCount: number; }[];
    faults: Record<string, number>;
    /** Processes that were disturbed, with the time until which that may show. */
    disturbed: { process: string; fromMs: number; untilMs: number; }[];
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
    disturbed: [],
    gracefulExits: [],
});

/** Whether a process was disturbed at any time of an interval. */
export const wasDisturbed = (record: SoakRecord, process: string, fromMs: number, untilMs: number): boolean =>
    record.disturbed.some(note => note.process === process && note.fromMs <= untilMs && note.untilMs >= fromMs);
