/** Checks what must always hold, from the stand-ins' records and what callers saw. */
import { Outcome } from "../../src/routing/types.js";
import type { WorkerEvent } from "../../standins/worker/types.js";
import { groupBy, partialMs, runsOf } from "./gangRuns.js";
import { wasDisturbed } from "./record.js";
import type { LeavingNote, SoakRecord } from "./record.js";

/** Findings about one point. */
export interface PointReport {
    point: string;
    checked: number;
    violations: string[];
}

const taskLeaseMs = 6_000;
const checkSlackMs = 1_000;
/** "A few seconds" of the brief. */
const fewSecondsMs = 5_000;
const configurationMs = 8_000;
/** Lag of the list, time between two reads and one read that times out. */
const readListMs = 3_000;

const checkAtMostOnce = (record: SoakRecord, events: readonly WorkerEvent[]): PointReport => {
    const starts = groupBy(events.filter(event => event.kind === "callStarted"), event => event.key ?? "");
    const keys = new Set(record.calls.filter(call => call.atMostOnce).map(call => call.key));
    const violations = [...keys].filter(key => (starts.get(key)?.length ?? 0) > 1);
    return {
        point: "a booking runs at most once",
        checked: keys.size,
        violations: violations.map(key => `${key} ran ${starts.get(key)?.length} times`),
    };
};

const checkNotRun = (record: SoakRecord, events: readonly WorkerEvent[]): PointReport => {
    const started = new Set(events.filter(event => event.kind === "callStarted").map(event => event.key));
    const byKey = groupBy(record.calls, call => call.key);
    const notRun = [...byKey].filter(([, calls]) => calls.every(call => call.outcome === Outcome.NotRun));
    return {
        point: "\"not run\" is true",
        checked: notRun.length,
        violations: notRun.filter(([key]) => started.has(key)).map(([key]) =>
            `${key} was said not to have run but ran`
        ),
    };
};

const checkOwnAnswer = (record: SoakRecord): PointReport => {
    const done = record.calls.filter(call => call.outcome === Outcome.Done);
    return {
        point: "the caller gets the whole answer to its own request",
        checked: done.length,
        violations: done.filter(call => call.echo !== call.key).map(call =>
            `${call.key} was answered with ${call.echo}`
        ),
    };
};

const checkGangs = (record: SoakRecord, events: readonly WorkerEvent[]): PointReport => {
    const sizes = new Map(record.jobs.map(job => [job.id, job.taskCount]));
    const gangs = groupBy(
        events.filter(event => event.jobId !== undefined),
        event => `${event.jobId}#${event.run}`,
    );
    const violations: string[] = [];
    for (const [gang, own] of gangs) {
        const runs = runsOf(own);
        const members = sizes.get(own[0].jobId ?? "") ?? 0;
        const longest = runs.length === 0 ? 0 : partialMs(runs, members);
        if (longest > taskLeaseMs + checkSlackMs) {
            violations.push(`${gang}: ${runs.length} of ${members} members ran; partial for ${longest} ms`);
        }
    }
    return { point: "no gang runs partially (longer than a lease)", checked: gangs.size, violations };
};

const checkOneAttempt = (events: readonly WorkerEvent[]): PointReport => {
    const jobs = groupBy(events.filter(event => event.jobId !== undefined), event => event.jobId ?? "");
    const violations: string[] = [];
    for (const [job, own] of jobs) {
        const attempts = [...groupBy(own, event => String(event.run)).values()]
            .map(runsOf)
            .filter(runs => runs.length > 0)
            .map(runs => ({
                fromMs: Math.min(...runs.map(run => run.fromMs)),
                untilMs: Math.max(...runs.map(run => run.untilMs)),
            }))
            .sort((left, right) => left.fromMs - right.fromMs);
        attempts.slice(1).forEach((attempt, index) => {
            if (attempt.fromMs < attempts[index].untilMs) {
                violations.push(
                    `${job}: an attempt started ${attempts[index].untilMs - attempt.fromMs} ms before the last ended`,
                );
            }
        });
    }
    return { point: "one attempt of a job at a time", checked: jobs.size, violations };
};

const checkZonesOut = (record: SoakRecord, events: readonly WorkerEvent[]): PointReport => {
    const late = record.zonesOut.flatMap(note =>
        events.filter(event =>
            event.availabilityZone === note.zone
            && event.kind === "taskRunning"
            && event.atMs > note.acceptedAtMs + fewSecondsMs
            && event.atMs < note.returnedAtMs
        )
    );
    return {
        point: "no task starts in a zone that is out",
        checked: record.zonesOut.length,
        violations: late.map(event => `${event.jobId} ${event.kind} on ${event.worker}`),
    };
};

/** Longest time, between two times, in which a process was neither frozen nor cut off nor without the platform. */
const longestUndisturbedMs = (record: SoakRecord, process: string, fromMs: number, untilMs: number): number => {
    const notes = record.disturbed
        .filter(note => note.process === process && note.fromMs < untilMs && note.untilMs > fromMs)
        .sort((left, right) => left.fromMs - right.fromMs);
    let longestMs = 0;
    let freeFromMs = fromMs;
    for (const note of notes) {
        longestMs = Math.max(longestMs, note.fromMs - freeFromMs);
        freeFromMs = Math.max(freeFromMs, note.untilMs);
    }
    return Math.max(longestMs, untilMs - freeFromMs);
};

const routerOf = (record: SoakRecord, event: WorkerEvent): string =>
    record.calls.find(call => call.key === event.key)?.router ?? "a scheduler";

/** Whether the sender could know: the endpoint said so, or the list could be read for long enough. */
const couldKnow = (record: SoakRecord, note: LeavingNote, event: WorkerEvent): boolean =>
    note.told || longestUndisturbedMs(record, routerOf(record, event), note.fromMs, event.atMs) >= readListMs;

const describeLate = (record: SoakRecord, note: LeavingNote, event: WorkerEvent): string => {
    const router = routerOf(record, event);
    const undisturbedMs = longestUndisturbedMs(record, router, note.fromMs, event.atMs);
    return `${event.kind} on ${event.worker} by ${router}, ${event.atMs - note.fromMs} ms after it began to leave; `
        + `undisturbed for at most ${undisturbedMs} ms of these`;
};

const checkLeaving = (record: SoakRecord, events: readonly WorkerEvent[]): PointReport => {
    const isLate = (note: LeavingNote, event: WorkerEvent): boolean =>
        event.worker === note.worker
        && ["taskRunning", "callStarted"].includes(event.kind)
        && event.atMs > note.fromMs + fewSecondsMs
        && event.atMs < note.untilMs;
    const violations = record.leaving.flatMap(note =>
        events
            .filter(event => isLate(note, event) && couldKnow(record, note, event))
            .map(event => describeLate(record, note, event))
    );
    return { point: "a leaving endpoint gets no new work", checked: record.leaving.length, violations };
};

const checkGraceful = (record: SoakRecord): PointReport => {
    const cutOff = record.calls.filter(call => call.outcome === "cutOff" && !call.routerDisturbed);
    const badExits = record.gracefulExits.filter(exit => exit.code !== 0);
    return {
        point: "a planned stop cuts off no request",
        checked: record.gracefulExits.length,
        violations: [
            ...cutOff.map(call => `${call.key} was cut off by ${call.router}`),
            ...badExits.map(exit => `${exit.process} ended with ${exit.code}`),
        ],
    };
};

const isSlow = (record: SoakRecord, note: { process: string; atMs: number; version: number; }): boolean => {
    const due = record.accepted.filter(entry => entry.atMs + configurationMs < note.atMs).map(entry => entry.version);
    const [vm, role] = note.process.split("/");
    return note.version < Math.max(0, ...due)
        && !wasDisturbed(record, `${vm}/${role}`, note.atMs - configurationMs, note.atMs);
};

const checkConfiguration = (record: SoakRecord): PointReport => {
    const violations: string[] = [];
    for (const [process, notes] of groupBy(record.versions, note => note.process)) {
        notes.slice(1).forEach((note, index) => {
            if (note.version < notes[index].version) {
                violations.push(`${process} went back from ${notes[index].version} to ${note.version}`);
            }
        });
    }
    violations.push(
        ...record.versions.filter(note => isSlow(record, note)).map(note =>
            `${note.process} still had version ${note.version}`
        ),
    );
    return {
        point: "an accepted configuration is in force within 8 s and never reverts",
        checked: record.versions.length,
        violations,
    };
};

const checkJobsEnd = (record: SoakRecord, ended: ReadonlySet<string>): PointReport => ({
    point: "every accepted job ends; guaranteed ones are not held up for good",
    checked: record.jobs.length,
    violations: record.jobs.filter(job => !ended.has(job.id)).map(job =>
        `${job.id}${job.guaranteed ? " (guaranteed)" : ""}`
    ),
});

/** Checks every point. */
export const checkAll = (
    record: SoakRecord,
    events: readonly WorkerEvent[],
    ended: ReadonlySet<string>,
): PointReport[] => [
    checkJobsEnd(record, ended),
    checkGangs(record, events),
    checkOneAttempt(events),
    checkZonesOut(record, events),
    checkOwnAnswer(record),
    checkNotRun(record, events),
    checkAtMostOnce(record, events),
    checkLeaving(record, events),
    checkGraceful(record),
    checkConfiguration(record),
];
