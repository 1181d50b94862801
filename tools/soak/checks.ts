/** Checks the invariants of a soak run against the workers' events and the callers' observations. */
import { Outcome } from "../../src/routing/types.js";
import type { WorkerEvent } from "../../standins/worker/types.js";
import { groupBy, longestPartialMs, toRunIntervals } from "./gangRuns.js";
import { wasDisrupted } from "./record.js";
import type { LeavingPeriod, SoakRecord } from "./record.js";

/** Result of checking one invariant. */
export interface InvariantResult {
    invariant: string;
    /** Number of items (calls, gangs, jobs, samples) that were checked. */
    checked: number;
    violations: string[];
}

const taskLeaseMs = 6_000;
const checkSlackMs = 1_000;
/** Time after which leaving endpoints and zones out of service get no new work; the requirement is "a few seconds". */
const reactionLimitMs = 5_000;
/** Time after which an accepted configuration must be in force everywhere. */
const configurationLimitMs = 8_000;
/** Lag of the VM list, plus the time between two polls, plus one poll that times out. */
const listReadMs = 3_000;

const checkAtMostOnce = (record: SoakRecord, events: readonly WorkerEvent[]): InvariantResult => {
    const starts = groupBy(events.filter(event => event.kind === "callStarted"), event => event.key ?? "");
    const keys = new Set(record.calls.filter(call => call.atMostOnce).map(call => call.key));
    const violations = [...keys].filter(key => (starts.get(key)?.length ?? 0) > 1);
    return {
        invariant: "a booking runs at most once",
        checked: keys.size,
        violations: violations.map(key => `${key} ran ${starts.get(key)?.length} times`),
    };
};

const checkNotRun = (record: SoakRecord, events: readonly WorkerEvent[]): InvariantResult => {
    const started = new Set(events.filter(event => event.kind === "callStarted").map(event => event.key));
    const byKey = groupBy(record.calls, call => call.key);
    const notRun = [...byKey].filter(([, calls]) => calls.every(call => call.outcome === Outcome.NotRun));
    return {
        invariant: "a call reported as not run did not run",
        checked: notRun.length,
        violations: notRun.filter(([key]) => started.has(key)).map(([key]) => `${key} was reported as not run but ran`),
    };
};

const checkAnswerIdentity = (record: SoakRecord): InvariantResult => {
    const done = record.calls.filter(call => call.outcome === Outcome.Done);
    return {
        invariant: "every caller gets the complete answer to its own request",
        checked: done.length,
        violations: done.filter(call => call.echo !== call.key).map(call =>
            `${call.key} was answered with ${call.echo}`
        ),
    };
};

const checkPartialGangs = (record: SoakRecord, events: readonly WorkerEvent[]): InvariantResult => {
    const sizes = new Map(record.jobs.map(job => [job.id, job.taskCount]));
    const gangs = groupBy(
        events.filter(event => event.jobId !== undefined),
        event => `${event.jobId}#${event.run}`,
    );
    const violations: string[] = [];
    for (const [gang, gangEvents] of gangs) {
        const runs = toRunIntervals(gangEvents);
        const members = sizes.get(gangEvents[0].jobId ?? "") ?? 0;
        const partialForMs = runs.length === 0 ? 0 : longestPartialMs(runs, members);
        if (partialForMs > taskLeaseMs + checkSlackMs) {
            violations.push(`${gang}: ${runs.length} of ${members} members ran; partial for ${partialForMs} ms`);
        }
    }
    return { invariant: "no gang runs partially for longer than a lease", checked: gangs.size, violations };
};

const checkSingleAttempt = (events: readonly WorkerEvent[]): InvariantResult => {
    const jobs = groupBy(events.filter(event => event.jobId !== undefined), event => event.jobId ?? "");
    const violations: string[] = [];
    for (const [job, jobEvents] of jobs) {
        const attempts = [...groupBy(jobEvents, event => String(event.run)).values()]
            .map(toRunIntervals)
            .filter(runs => runs.length > 0)
            .map(runs => ({
                fromMs: Math.min(...runs.map(run => run.fromMs)),
                untilMs: Math.max(...runs.map(run => run.untilMs)),
            }))
            .sort((left, right) => left.fromMs - right.fromMs);
        attempts.slice(1).forEach((attempt, index) => {
            if (attempt.fromMs < attempts[index].untilMs) {
                violations.push(
                    `${job}: an attempt overlaps the previous one by ${attempts[index].untilMs - attempt.fromMs} ms`,
                );
            }
        });
    }
    return { invariant: "attempts of a job do not overlap", checked: jobs.size, violations };
};

const checkZonesOut = (record: SoakRecord, events: readonly WorkerEvent[]): InvariantResult => {
    const late = record.zonesOut.flatMap(outage =>
        events.filter(event =>
            event.availabilityZone === outage.zone
            && event.kind === "taskRunning"
            && event.atMs > outage.acceptedAtMs + reactionLimitMs
            && event.atMs < outage.restoreRequestedAtMs
        )
    );
    return {
        invariant: "no task starts in an availability zone that is out of service",
        checked: record.zonesOut.length,
        violations: late.map(event => `${event.jobId} ${event.kind} on ${event.worker}`),
    };
};

/** Longest uninterrupted time in an interval in which a process was not paused, partitioned or without the platform. */
const longestUndisruptedMs = (record: SoakRecord, process: string, fromMs: number, untilMs: number): number => {
    const disruptions = record.disruptions
        .filter(disruption =>
            disruption.process === process && disruption.fromMs < untilMs && disruption.untilMs > fromMs
        )
        .sort((left, right) => left.fromMs - right.fromMs);
    let longestMs = 0;
    let undisruptedFromMs = fromMs;
    for (const disruption of disruptions) {
        longestMs = Math.max(longestMs, disruption.fromMs - undisruptedFromMs);
        undisruptedFromMs = Math.max(undisruptedFromMs, disruption.untilMs);
    }
    return Math.max(longestMs, untilMs - undisruptedFromMs);
};

const routerOf = (record: SoakRecord, event: WorkerEvent): string =>
    record.calls.find(call => call.key === event.key)?.router ?? "a scheduler";

/** Whether the sender could know that the endpoint was leaving: by its replies, or by enough time to read the list. */
const couldSenderKnow = (record: SoakRecord, period: LeavingPeriod, event: WorkerEvent): boolean =>
    period.saysLeaving
    || longestUndisruptedMs(record, routerOf(record, event), period.fromMs, event.atMs) >= listReadMs;

const describeLateStart = (record: SoakRecord, period: LeavingPeriod, event: WorkerEvent): string => {
    const router = routerOf(record, event);
    const undisruptedMs = longestUndisruptedMs(record, router, period.fromMs, event.atMs);
    return `${event.kind} on ${event.worker} by ${router}, ${event.atMs - period.fromMs} ms after it started leaving; `
        + `undisrupted for at most ${undisruptedMs} ms of that time`;
};

const checkLeavingEndpoints = (record: SoakRecord, events: readonly WorkerEvent[]): InvariantResult => {
    const isLate = (period: LeavingPeriod, event: WorkerEvent): boolean =>
        event.worker === period.worker
        && ["taskRunning", "callStarted"].includes(event.kind)
        && event.atMs > period.fromMs + reactionLimitMs
        && event.atMs < period.untilMs;
    const violations = record.leaving.flatMap(period =>
        events
            .filter(event => isLate(period, event) && couldSenderKnow(record, period, event))
            .map(event => describeLateStart(record, period, event))
    );
    return { invariant: "a leaving endpoint gets no new work", checked: record.leaving.length, violations };
};

const checkPlannedStops = (record: SoakRecord): InvariantResult => {
    const brokenCalls = record.calls.filter(call => call.outcome === "cutOff" && !call.routerDisrupted);
    const badExits = record.gracefulExits.filter(exit => exit.code !== 0);
    return {
        invariant: "a planned stop interrupts no request",
        checked: record.gracefulExits.length,
        violations: [
            ...brokenCalls.map(call => `${call.key} got no answer from ${call.router}`),
            ...badExits.map(exit => `${exit.process} exited with code ${exit.code}, expected 0`),
        ],
    };
};

const isOverdue = (record: SoakRecord, sample: { process: string; atMs: number; version: number; }): boolean => {
    const dueVersions = record.accepted.filter(entry => entry.atMs + configurationLimitMs < sample.atMs).map(entry =>
        entry.version
    );
    const [vm, role] = sample.process.split("/");
    return sample.version < Math.max(0, ...dueVersions)
        && !wasDisrupted(record, `${vm}/${role}`, sample.atMs - configurationLimitMs, sample.atMs);
};

const checkConfiguration = (record: SoakRecord): InvariantResult => {
    const violations: string[] = [];
    for (const [process, samples] of groupBy(record.versions, sample => sample.process)) {
        samples.slice(1).forEach((sample, index) => {
            if (sample.version < samples[index].version) {
                violations.push(`${process} reverted from version ${samples[index].version} to ${sample.version}`);
            }
        });
    }
    violations.push(
        ...record.versions.filter(sample => isOverdue(record, sample)).map(sample =>
            `${sample.process} still had version ${sample.version}`
        ),
    );
    return {
        invariant: "an accepted configuration is in force within 8 s and never reverts",
        checked: record.versions.length,
        violations,
    };
};

const checkJobsEnd = (record: SoakRecord, ended: ReadonlySet<string>): InvariantResult => ({
    invariant: "every accepted job ends, guaranteed or not",
    checked: record.jobs.length,
    violations: record.jobs.filter(job => !ended.has(job.id)).map(job =>
        `${job.id}${job.guaranteed ? " (guaranteed)" : ""}`
    ),
});

/** Checks every invariant; `ended` holds the ids of the jobs that ended. */
export const checkInvariants = (
    record: SoakRecord,
    events: readonly WorkerEvent[],
    ended: ReadonlySet<string>,
): InvariantResult[] => [
    checkJobsEnd(record, ended),
    checkPartialGangs(record, events),
    checkSingleAttempt(events),
    checkZonesOut(record, events),
    checkAnswerIdentity(record),
    checkNotRun(record, events),
    checkAtMostOnce(record, events),
    checkLeavingEndpoints(record, events),
    checkPlannedStops(record),
    checkConfiguration(record),
];
