import { JobPhase } from "../jobs/types.js";
import { createDisturbances } from "./disturbances.js";
import type { Disturbance } from "./disturbances.js";
import { addToHistory, delaysOf, isLate, jobIdOfLine, mainDelayOf, stopReasonOf } from "./jobHistory.js";
import type { DelayKind, JobHistory, StopReason } from "./jobHistory.js";
import type { LogLine } from "./logLines.js";

/** Counts of a queue's jobs, by outcome and by where late ones lost most of their time. */
export interface QueueReport {
    queue: string;
    /** 0 is the most important. */
    priority: number;
    accepted: number;
    inTime: number;
    late: number;
    failed: number;
    cancelled: number;
    /** Accepted and without an end in these logs. */
    unfinished: number;
    /** Late jobs by the kind of their longest delay. */
    lateBy: Partial<Record<DelayKind, number>>;
    /** Time lost by late jobs in milliseconds, by kind. */
    lostMs: Partial<Record<DelayKind, number>>;
    /** Late jobs by the reason why their runs ended early; a job counts once for each reason. */
    lateAfter: Partial<Record<StopReason, number>>;
    /** Late jobs by a disturbance that overlaps the time before their last start; a job counts once for each. */
    lateDuring: Partial<Record<Disturbance, number>>;
}

/** Work thrown away by runs that ended without completing, for one reason. */
export interface WasteReport {
    reason: StopReason;
    runs: number;
    runSeconds: number;
    /** An accelerator counts as several cores; work that a checkpoint has saved does not count. */
    coreSeconds: number;
}

/** A span of {@link spanMs} with the outcome of the jobs that were first named in it. */
export interface SpanReport {
    /** Start, since the earliest line. */
    fromS: number;
    jobs: number;
    late: number;
    failed: number;
}

/** What the logs of all processes say about the jobs. */
export interface LoadReport {
    queues: QueueReport[];
    /** Jobs that were refused and accepted by no process. */
    refused: number;
    waste: WasteReport[];
    /** Spans with the most late and failed jobs. */
    worstSpans: SpanReport[];
    /** Disturbances by kind: their number and total length in seconds. */
    disturbances: { kind: Disturbance; count: number; seconds: number; }[];
}

/** Collects a report line by line; its memory grows with the number of jobs, not of lines. */
export interface ReportCollector {
    add(line: LogLine): void;
    report(): LoadReport;
}

/** Length of the spans of {@link SpanReport}. */
export const spanMs = 2_000;
const spansListed = 8;
const msPerSecond = 1_000;

const increment = <Key extends string>(counts: Partial<Record<Key, number>>, key: Key, by = 1): void => {
    counts[key] = ((counts as Record<string, number | undefined>)[key] ?? 0) + by;
};

const createQueueReport = (queue: string, priority: number): QueueReport => ({
    queue,
    priority,
    accepted: 0,
    inTime: 0,
    late: 0,
    failed: 0,
    cancelled: 0,
    unfinished: 0,
    lateBy: {},
    lostMs: {},
    lateAfter: {},
    lateDuring: {},
});

const countOutcome = (report: QueueReport, job: JobHistory): void => {
    report.accepted += 1;
    switch (job.phase) {
        case JobPhase.Succeeded:
            report[isLate(job) ? "late" : "inTime"] += 1;
            break;
        case JobPhase.Failed:
            report.failed += 1;
            break;
        case JobPhase.Cancelled:
            report.cancelled += 1;
            break;
        default:
            report.unfinished += 1;
    }
};

/** Creates a collector without lines. */
export const createReportCollector = (): ReportCollector => {
    const jobs = new Map<string, JobHistory>();
    const waste = new Map<StopReason, WasteReport>();
    const disturbances = createDisturbances();

    const addWaste = (line: LogLine): void => {
        const reason = stopReasonOf(line);
        const { ranMs, unsavedMs, cores } = line.fields;
        if (reason === undefined || ranMs === undefined) {
            return;
        }
        const entry = waste.get(reason) ?? { reason, runs: 0, runSeconds: 0, coreSeconds: 0 };
        entry.runs += 1;
        entry.runSeconds += Number(ranMs) / msPerSecond;
        entry.coreSeconds += Number(unsavedMs) * Number(cores) / msPerSecond;
        waste.set(reason, entry);
    };

    const add = (line: LogLine): void => {
        disturbances.add(line);
        if (["stopping a run", "run is over", "run ended"].includes(line.message)) {
            addWaste(line);
        }
        const jobId = jobIdOfLine(line);
        if (jobId !== undefined) {
            const job = jobs.get(jobId) ?? { stops: [], wasRefused: false };
            jobs.set(jobId, job);
            addToHistory(job, line);
        }
    };

    const countLate = (report: QueueReport, job: JobHistory): void => {
        increment(report.lateBy, mainDelayOf(job));
        Object.entries(delaysOf(job)).forEach(([kind, ms]) => increment(report.lostMs, kind as DelayKind, ms));
        new Set(job.stops).forEach(reason => increment(report.lateAfter, reason));
        const { firstSeenMs = 0, lastStartMs = firstSeenMs } = job;
        disturbances.overlapping(firstSeenMs, lastStartMs).forEach(kind => increment(report.lateDuring, kind));
    };

    const reportQueues = (): QueueReport[] => {
        const queues = new Map<string, QueueReport>();
        for (const job of jobs.values()) {
            if (job.queue === undefined || job.priority === undefined) {
                continue;
            }
            const report = queues.get(job.queue) ?? createQueueReport(job.queue, job.priority);
            queues.set(job.queue, report);
            countOutcome(report, job);
            if (isLate(job)) {
                countLate(report, job);
            }
        }
        return [...queues.values()].sort((left, right) => left.priority - right.priority);
    };

    const reportSpans = (): SpanReport[] => {
        const seen = [...jobs.values()].filter(job => job.queue !== undefined && job.firstSeenMs !== undefined);
        const originMs = seen.reduce((first, job) => Math.min(first, job.firstSeenMs ?? first), Infinity);
        const spans = new Map<number, SpanReport>();
        for (const job of seen) {
            const index = Math.floor(((job.firstSeenMs ?? 0) - originMs) / spanMs);
            const span = spans.get(index) ?? { fromS: index * spanMs / msPerSecond, jobs: 0, late: 0, failed: 0 };
            spans.set(index, span);
            span.jobs += 1;
            span.late += Number(isLate(job));
            span.failed += Number(job.phase === JobPhase.Failed);
        }
        return [...spans.values()]
            .filter(span => span.late + span.failed > 0)
            .sort((left, right) => right.late + right.failed - left.late - left.failed)
            .slice(0, spansListed);
    };

    return {
        add,
        report: () => ({
            queues: reportQueues(),
            refused: [...jobs.values()].filter(job => job.wasRefused && job.acceptedMs === undefined).length,
            waste: [...waste.values()].sort((left, right) => right.coreSeconds - left.coreSeconds),
            worstSpans: reportSpans(),
            disturbances: disturbances.totals(),
        }),
    };
};
