import { JobPhase } from "../jobs/types.js";
import type { LogLine } from "./logLines.js";

/** Why a run ended without completing, or was stopped. */
export enum StopReason {
    MakingRoom = "makingRoom",
    MemberEnded = "memberEnded",
    RunFailed = "runFailed",
    Stalled = "stalled",
    JobEnded = "jobEnded",
    UnknownStart = "unknownStart",
    WorkerLost = "workerLost",
    Evacuated = "evacuated",
    Other = "other",
}

/** Where a job lost time. */
export enum DelayKind {
    /** Between the first request that named it and its acceptance. */
    BeforeAcceptance = "beforeAcceptance",
    /** Between its acceptance and the planner's first knowledge of it. */
    BeforeAdoption = "beforeAdoption",
    /** Between the planner's first knowledge of it and the order to start its first task. */
    BeforeFirstStart = "beforeFirstStart",
    /** In runs that ended without completing and the wait for the next start. */
    Restarts = "restarts",
    /** In its last runs, beyond what its objective allows. */
    Running = "running",
}

/** What the log lines of all processes say about one job; kept small, since there is one for every job. */
export interface JobHistory {
    queue?: string;
    priority?: number;
    /** Wall-clock times in milliseconds since the epoch. */
    firstSeenMs?: number;
    acceptedMs?: number;
    adoptedMs?: number;
    firstStartMs?: number;
    lastStartMs?: number;
    /** Time from its acceptance to its end. */
    durationMs?: number;
    objectiveMs?: number;
    phase?: JobPhase;
    /** Why its runs ended early, in order, without repetitions for the members of a gang. */
    stops: StopReason[];
    wasRefused: boolean;
}

const stopReasonsByText: readonly [string, StopReason][] = [
    ["makes room", StopReason.MakingRoom],
    ["it stands still", StopReason.Stalled],
    ["another member", StopReason.MemberEnded],
    ["job ", StopReason.JobEnded],
    ["it is not known whether it started", StopReason.UnknownStart],
    ["lapsed", StopReason.WorkerLost],
    ["anew", StopReason.WorkerLost],
    ["not listed", StopReason.WorkerLost],
    ["does not list it", StopReason.WorkerLost],
    ["leaving", StopReason.Evacuated],
    ["zone is out", StopReason.Evacuated],
];

/** Reason of a line `stopping a run`, `run is over` or `run ended`; `undefined` for a run that completed or was ordered to stop. */
export const stopReasonOf = ({ message, fields }: LogLine): StopReason | undefined => {
    if (message === "run ended") {
        const { kind } = fields;
        const reasons: Record<string, StopReason> = {
            failed: StopReason.RunFailed,
            broken: StopReason.MemberEnded,
            alone: StopReason.MemberEnded,
            lapsed: StopReason.WorkerLost,
        };
        return reasons[String(kind)];
    }
    const reason = String(fields.reason ?? "");
    if (message === "run is over" && reason === "stopped") {
        return undefined;
    }
    return stopReasonsByText.find(([text]) => reason.includes(text))?.[1] ?? StopReason.Other;
};

const jobIdPattern = /^[^/]*\/(?:.*\/)?([^/]+)$/;

/** Id of the job that a line is about. */
export const jobIdOfLine = ({ fields }: LogLine): string | undefined => {
    if (typeof fields.jobId === "string") {
        return fields.jobId;
    }
    const key = fields.task ?? fields.unit;
    if (typeof key === "string") {
        // a job id may contain dots; a task adds three parts, a unit two
        return key.split(".").slice(0, fields.task === undefined ? -2 : -3).join(".");
    }
    return typeof fields.path === "string" ? jobIdPattern.exec(fields.path)?.[1] : undefined;
};

const earliest = (left: number | undefined, right: number): number => Math.min(left ?? right, right);

/** Adds a line about a job to its history; lines may come in any order of processes. */
export const addToHistory = (history: JobHistory, line: LogLine): void => {
    const { fields, message, timeMs } = line;
    history.firstSeenMs = earliest(history.firstSeenMs, timeMs);
    switch (message) {
        case "job accepted":
        case "job is stored already":
            history.acceptedMs = earliest(history.acceptedMs, timeMs);
            break;
        case "job adopted":
            history.adoptedMs = earliest(history.adoptedMs, timeMs);
            history.queue = String(fields.queue);
            history.priority = Number(fields.priority);
            history.objectiveMs = Number(fields.objectiveMs);
            history.acceptedMs = earliest(history.acceptedMs, timeMs - Number(fields.ageMs));
            break;
        case "start ordered":
            history.firstStartMs = earliest(history.firstStartMs, timeMs);
            history.lastStartMs = Math.max(history.lastStartMs ?? 0, timeMs);
            break;
        case "job ended":
            history.phase = fields.phase as JobPhase;
            history.durationMs = Number(fields.durationMs);
            break;
        case "job not accepted":
        case "request refused: configuration not confirmed":
            history.wasRefused = true;
            break;
        case "stopping a run":
        case "run is over":
        case "run ended": {
            const reason = stopReasonOf(line);
            if (reason !== undefined && reason !== StopReason.JobEnded && history.stops.at(-1) !== reason) {
                history.stops.push(reason);
            }
            break;
        }
    }
};

/** Whether the job missed its objective, counted from the first request that named it. */
export const isLate = (job: JobHistory): boolean =>
    job.phase === JobPhase.Succeeded && job.durationMs !== undefined && job.objectiveMs !== undefined
    && job.durationMs + beforeAcceptanceMs(job) > job.objectiveMs;

const beforeAcceptanceMs = ({ firstSeenMs = 0, acceptedMs = firstSeenMs }: JobHistory): number =>
    Math.max(0, acceptedMs - firstSeenMs);

/** Time that a job lost, by kind, in milliseconds. */
export const delaysOf = (job: JobHistory): Record<DelayKind, number> => {
    const { acceptedMs = 0, adoptedMs = acceptedMs, firstStartMs = adoptedMs, lastStartMs = firstStartMs } = job;
    const endedMs = acceptedMs + (job.durationMs ?? 0);
    return {
        [DelayKind.BeforeAcceptance]: beforeAcceptanceMs(job),
        [DelayKind.BeforeAdoption]: Math.max(0, adoptedMs - acceptedMs),
        [DelayKind.BeforeFirstStart]: Math.max(0, firstStartMs - adoptedMs),
        // without stops, later starts are those of further tasks or steps
        [DelayKind.Restarts]: job.stops.length === 0 ? 0 : lastStartMs - firstStartMs,
        [DelayKind.Running]: Math.max(0, endedMs - lastStartMs - (job.objectiveMs ?? 0)),
    };
};

/** Kind of the longest delay. */
export const mainDelayOf = (job: JobHistory): DelayKind =>
    (Object.entries(delaysOf(job)) as [DelayKind, number][]).reduce((most, entry) =>
        entry[1] > most[1] ? entry : most
    )[0];
