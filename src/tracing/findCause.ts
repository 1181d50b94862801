import { JobPhase } from "../jobs/types.js";
import { linesOf } from "./logLines.js";
import type { LogLine } from "./logLines.js";

/** Causes that logs can show for a request that went wrong or took long. */
export enum Cause {
    /** The caller's key or queue is not in the configuration that was in force. */
    NotAllowed = "notAllowed",
    /** The VM could not confirm its configuration. */
    ConfigurationNotConfirmed = "configurationNotConfirmed",
    /** The table refused or did not answer the submission. */
    TableUnavailable = "tableUnavailable",
    /** The body was wrong. */
    BadRequest = "badRequest",
    CancelledByCustomer = "cancelledByCustomer",
    /** Its runs failed on different workers or where other work succeeds. */
    FailsEverywhere = "failsEverywhere",
    /** Its runs failed on one worker on which other jobs failed too. */
    WorkerFails = "workerFails",
    /** No planner took it up for a while. */
    NoPlanner = "noPlanner",
    /** It waited for a place. */
    NoRoom = "noRoom",
    /** It was stopped to make room for more important work. */
    TakenBack = "takenBack",
    /** A worker that it ran on fell silent or started anew. */
    WorkerLost = "workerLost",
    /** Its tasks stood still. */
    StoodStill = "stoodStill",
    /** Its progress could not be recorded in time. */
    RecordingDelayed = "recordingDelayed",
    /** It needed longer than it declared, and nothing disturbed it. */
    LongerThanDeclared = "longerThanDeclared",
    /** It went well. */
    None = "none",
    NotInTheseLogs = "notInTheseLogs",
}

/** What became of a request, and why. */
export interface Explanation {
    cause: Cause;
    /** For people, with the figures that decided. */
    detail: string;
    /** Every line about it, in time. */
    timeline: LogLine[];
}

/** Delay from which on a part of a job's time counts as a cause. */
const noticeableMs = 500;

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

const explainFailure = (all: readonly LogLine[], timeline: readonly LogLine[], jobId: string): [Cause, string] => {
    const workers = new Set(failedWorkers(timeline));
    const isBad = (worker: string): boolean =>
        all.some(line =>
            line.message === "run ended" && line.fields.kind === "failed" && line.fields.worker === worker
            && !textOf(line, "task").startsWith(jobId)
        );
    return workers.size === 1 && [...workers].every(isBad)
        ? [Cause.WorkerFails, `all its runs failed on ${[...workers].join()}, where other jobs failed too`]
        : [Cause.FailsEverywhere, `its runs failed on ${[...workers].join(", ")}`];
};

/** Spans of a job's time by what they were spent on. */
const delaysOf = (timeline: readonly LogLine[]): [Cause, number, string][] => {
    const isLostStart = (line: LogLine): boolean => textOf(line, "outcome").startsWith("no answer");
    /** Time from when a run was ordered to the next start of its task. */
    const lostWith = (over: LogLine): number => {
        const starts = timeline.filter(line =>
            line.message === "start ordered" && line.fields.task === over.fields.task
        );
        const lost = starts.find(line => line.fields.run === over.fields.run);
        const next = starts.find(line => line.timeMs >= over.timeMs);
        return lost === undefined || next === undefined ? 0 : next.timeMs - lost.timeMs;
    };
    const first = (message: string): LogLine | undefined => timeline.find(line => line.message === message);
    const accepted = first("job accepted");
    const adopted = first("job adopted");
    const started = first("start ordered");
    const restartAfter = (line: LogLine): number => {
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
            delays.push([cause, restartAfter(line) + noticeableMs, reason]);
        }
    }
    for (const line of timeline.filter(other => other.message === "run is over")) {
        const reason = textOf(line, "reason");
        if (reason.includes("lapsed") || reason.includes("anew")) {
            delays.push([
                Cause.WorkerLost,
                Math.max(lostWith(line), restartAfter(line) + noticeableMs),
                `${textOf(line, "worker")}: ${reason}`,
            ]);
        }
    }
    for (const line of timeline.filter(other => other.message === "placement given up")) {
        if (textOf(line, "reason").includes("recording")) {
            delays.push([Cause.RecordingDelayed, restartAfter(line) + noticeableMs, textOf(line, "reason")]);
        }
    }
    return delays.sort((left, right) => right[1] - left[1]);
};

const explainDelay = (timeline: readonly LogLine[], tookMs: number, objectiveMs: number): [Cause, string] => {
    const [cause, delayMs, detail] = delaysOf(timeline)[0] ?? [Cause.None, 0, ""];
    const failed = failedWorkers(timeline);
    if (failed.length > 0 && delayMs < noticeableMs) {
        return [Cause.WorkerFails, `runs failed on ${failed.join(", ")} before one succeeded`];
    }
    return delayMs >= noticeableMs
        ? [cause, detail]
        : [Cause.LongerThanDeclared, `took ${tookMs} ms, with an objective of ${Math.round(objectiveMs)} ms`];
};

const explainEnded = (all: readonly LogLine[], timeline: readonly LogLine[], jobId: string): [Cause, string] => {
    const ended = timeline.find(line => line.message === "job ended");
    if (ended === undefined) {
        const [cause, delayMs, detail] = delaysOf(timeline)[0] ?? [Cause.NotInTheseLogs, 0, ""];
        const started = timeline.some(line => line.message === "start ordered");
        return started || delayMs >= noticeableMs
            ? [cause, `not ended in these logs; ${detail}`]
            : [Cause.NoRoom, "accepted and never started in these logs"];
    }
    if (ended.fields.phase === JobPhase.Cancelled) {
        return [Cause.CancelledByCustomer, textOf(ended, "reason")];
    }
    if (ended.fields.phase === JobPhase.Failed) {
        return explainFailure(all, timeline, jobId);
    }
    const tookMs = Number(ended.fields.durationMs);
    const objectiveMs = Number(timeline.find(line => line.message === "job adopted")?.fields.objectiveMs);
    return tookMs > objectiveMs
        ? explainDelay(timeline, tookMs, objectiveMs)
        : [Cause.None, `done in ${tookMs} ms, objective ${Math.round(objectiveMs)} ms`];
};

/** Explains from logs alone what became of a request. */
export const findCause = (lines: readonly LogLine[], jobId: string): Explanation => {
    const timeline = linesOf(lines, jobId);
    if (timeline.length === 0) {
        return { cause: Cause.NotInTheseLogs, detail: "no line names it", timeline };
    }
    const isTakenUp = timeline.some(line =>
        ["job accepted", "job adopted", "job is stored already"].includes(line.message)
    );
    const refusal = timeline.map(refusalOf).filter(found => found !== undefined).at(-1);
    const [cause, detail] = !isTakenUp && refusal !== undefined ? refusal : explainEnded(lines, timeline, jobId);
    return { cause, detail, timeline };
};
