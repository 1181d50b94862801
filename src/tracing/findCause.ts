import { JobPhase } from "../jobs/types.js";
import { linesOfJob } from "./logLines.js";
import type { LogLine } from "./logLines.js";

/** Causes of the failure or delay of a request that the logs can show. */
export enum Cause {
    /** The configuration in force did not contain the caller's key or queue. */
    NotAllowed = "notAllowed",
    /** The VM could not confirm its configuration. */
    ConfigurationNotConfirmed = "configurationNotConfirmed",
    /** The table refused or did not answer the write of the submission. */
    TableUnavailable = "tableUnavailable",
    /** The request body was invalid. */
    BadRequest = "badRequest",
    CancelledByCustomer = "cancelledByCustomer",
    /** Its runs failed on several workers, or on one on which no other job failed. */
    FailsEverywhere = "failsEverywhere",
    /** Its runs failed on a worker: all on one on which other jobs failed too, or some before one succeeded. */
    WorkerFails = "workerFails",
    /** No planner adopted it for some time. */
    NoPlanner = "noPlanner",
    /** It waited for free capacity. */
    NoRoom = "noRoom",
    /** Its runs were preempted for other work. */
    TakenBack = "takenBack",
    /** The lease of a worker that it ran on expired, or the worker restarted. */
    WorkerLost = "workerLost",
    /** Its tasks stalled. */
    StoodStill = "stoodStill",
    /** The table did not store a planned start in time. */
    RecordingDelayed = "recordingDelayed",
    /** It missed its objective, and no delay by another cause was found. */
    LongerThanDeclared = "longerThanDeclared",
    /** It met its objective. */
    None = "none",
    /** The logs contain no line about it. */
    NotInTheseLogs = "notInTheseLogs",
}

/** Cause of a request's outcome and the log lines about it. */
export interface Explanation {
    cause: Cause;
    /** Text for people, with the figures that the cause was derived from. */
    detail: string;
    /** All lines about it, ordered by time. */
    timeline: LogLine[];
}

/** Minimum delay that counts as a cause. */
const minCauseDelayMs = 500;

const textOf = (line: LogLine, field: string): string => String(line.fields[field] ?? "");

const refusalOf = (line: LogLine): [Cause, string] | undefined => {
    const status = Number(line.fields.status);
    switch (line.message) {
        case "request refused: configuration not confirmed":
            return [Cause.ConfigurationNotConfirmed, `the configuration was ${textOf(line, "ageMs")} ms old`];
        case "job not accepted":
        case "job may have been accepted":
            return [Cause.TableUnavailable, textOf(line, "reason")];
        case "request refused":
            return [Cause.NotAllowed, `status ${status} under version ${textOf(line, "version")}`];
        case "request answered":
            return status === 400 ? [Cause.BadRequest, "status 400"] : undefined;
        default:
            return undefined;
    }
};

const failedWorkers = (timeline: readonly LogLine[]): string[] =>
    timeline.filter(line => line.message === "run ended" && line.fields.kind === "failed").map(line =>
        textOf(line, "worker")
    );

const explainFailure = (allLines: readonly LogLine[], timeline: readonly LogLine[], jobId: string): [Cause, string] => {
    const workers = new Set(failedWorkers(timeline));
    const failedOtherJobs = (worker: string): boolean =>
        allLines.some(line =>
            line.message === "run ended" && line.fields.kind === "failed" && line.fields.worker === worker
            && !textOf(line, "task").startsWith(jobId)
        );
    return workers.size === 1 && [...workers].every(failedOtherJobs)
        ? [Cause.WorkerFails, `all its runs failed on ${[...workers].join()}, where other jobs failed too`]
        : [Cause.FailsEverywhere, `its runs failed on ${[...workers].join(", ")}`];
};

/** Lists the delays of a job as cause, duration in ms and detail, longest first. */
const delaysOf = (timeline: readonly LogLine[]): [Cause, number, string][] => {
    const isLostStart = (line: LogLine): boolean => textOf(line, "outcome").startsWith("no answer");
    /** Time from the start order of a lost run to the next start order of its task; 0 if either is not logged. */
    const lostTimeMs = (lostRun: LogLine): number => {
        const starts = timeline.filter(line =>
            line.message === "start ordered" && line.fields.task === lostRun.fields.task
        );
        const lost = starts.find(line => line.fields.run === lostRun.fields.run);
        const next = starts.find(line => line.timeMs >= lostRun.timeMs);
        return lost === undefined || next === undefined ? 0 : next.timeMs - lost.timeMs;
    };
    const findFirst = (message: string): LogLine | undefined => timeline.find(line => line.message === message);
    const accepted = findFirst("job accepted");
    const adopted = findFirst("job adopted");
    const started = findFirst("start ordered");
    const timeToRestartMs = (line: LogLine): number => {
        const next = timeline.find(other => other.message === "start ordered" && other.timeMs >= line.timeMs);
        return next === undefined ? 0 : next.timeMs - line.timeMs;
    };
    const delays: [Cause, number, string][] = [];
    if (adopted !== undefined) {
        const ageMs = Number(adopted.fields.ageMs ?? 0);
        const gapMs = accepted === undefined ? ageMs : Math.max(ageMs, adopted.timeMs - accepted.timeMs);
        delays.push([Cause.NoPlanner, gapMs, `taken up ${gapMs} ms after its acceptance`]);
    }
    if (adopted !== undefined && started !== undefined) {
        const waitMs = isLostStart(started) ? 0 : started.timeMs - adopted.timeMs;
        delays.push([Cause.NoRoom, waitMs, `first started ${waitMs} ms after it was taken up`]);
    }
    for (const line of timeline.filter(other => other.message === "stopping a run")) {
        const reason = textOf(line, "reason");
        const cause = reason.startsWith("makes room")
            ? Cause.TakenBack
            : reason === "it stands still"
            ? Cause.StoodStill
            : undefined;
        if (cause !== undefined) {
            delays.push([cause, timeToRestartMs(line) + minCauseDelayMs, reason]);
        }
    }
    for (const line of timeline.filter(other => other.message === "run is over")) {
        const reason = textOf(line, "reason");
        if (reason.includes("lapsed") || reason.includes("anew")) {
            delays.push([
                Cause.WorkerLost,
                Math.max(lostTimeMs(line), timeToRestartMs(line) + minCauseDelayMs),
                `${textOf(line, "worker")}: ${reason}`,
            ]);
        }
    }
    for (const line of timeline.filter(other => other.message === "placement given up")) {
        if (textOf(line, "reason").includes("recording")) {
            delays.push([Cause.RecordingDelayed, timeToRestartMs(line) + minCauseDelayMs, textOf(line, "reason")]);
        }
    }
    return delays.sort((left, right) => right[1] - left[1]);
};

const explainDelay = (timeline: readonly LogLine[], tookMs: number, objectiveMs: number): [Cause, string] => {
    const [cause, delayMs, detail] = delaysOf(timeline)[0] ?? [Cause.None, 0, ""];
    const failed = failedWorkers(timeline);
    if (failed.length > 0 && delayMs < minCauseDelayMs) {
        return [Cause.WorkerFails, `runs failed on ${failed.join(", ")} before one succeeded`];
    }
    return delayMs >= minCauseDelayMs
        ? [cause, detail]
        : [Cause.LongerThanDeclared, `took ${tookMs} ms, with an objective of ${Math.round(objectiveMs)} ms`];
};

const explainEnded = (allLines: readonly LogLine[], timeline: readonly LogLine[], jobId: string): [Cause, string] => {
    const ended = timeline.find(line => line.message === "job ended");
    if (ended === undefined) {
        const [cause, delayMs, detail] = delaysOf(timeline)[0] ?? [Cause.NotInTheseLogs, 0, ""];
        const started = timeline.some(line => line.message === "start ordered");
        return started || delayMs >= minCauseDelayMs
            ? [cause, `not ended in these logs; ${detail}`]
            : [Cause.NoRoom, "accepted and never started in these logs"];
    }
    if (ended.fields.phase === JobPhase.Cancelled) {
        return [Cause.CancelledByCustomer, textOf(ended, "reason")];
    }
    if (ended.fields.phase === JobPhase.Failed) {
        return explainFailure(allLines, timeline, jobId);
    }
    const tookMs = Number(ended.fields.durationMs);
    const objectiveMs = Number(timeline.find(line => line.message === "job adopted")?.fields.objectiveMs);
    return tookMs > objectiveMs
        ? explainDelay(timeline, tookMs, objectiveMs)
        : [Cause.None, `done in ${tookMs} ms, objective ${Math.round(objectiveMs)} ms`];
};

/** Derives the cause of a request's outcome from logs alone. */
export const findCause = (lines: readonly LogLine[], jobId: string): Explanation => {
    const timeline = linesOfJob(lines, jobId);
    if (timeline.length === 0) {
        return { cause: Cause.NotInTheseLogs, detail: "no line names it", timeline };
    }
    const wasAccepted = timeline.some(line =>
        ["job accepted", "job adopted", "job is stored already"].includes(line.message)
    );
    const refusal = timeline.map(refusalOf).filter(found => found !== undefined).at(-1);
    const [cause, detail] = !wasAccepted && refusal !== undefined ? refusal : explainEnded(lines, timeline, jobId);
    return { cause, detail, timeline };
};
