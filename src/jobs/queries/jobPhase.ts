import type { Log } from "../../node/logs.js";
import type { TablePart } from "../../state/reachability.js";
import type { StateTable } from "../../state/types.js";
import { resolveWithin } from "../../utils/resolveWithin.js";
import type { TimerService } from "../../utils/timer.js";
import { mayAccess } from "../jobAccess.js";
import type { JobAccess } from "../jobAccess.js";
import type { PhaseCache } from "../phaseCache.js";
import { phaseOf } from "../projection.js";
import { jobsTable, partOfJob, progressTable } from "../rows.js";
import type { JobPhase } from "../types.js";
import { readJob } from "./readJob.js";

/** Where the phase of a job was read. */
export enum PhaseSource {
    Table = "table",
    Cache = "cache",
}

/** Dependencies of {@link queryJobPhase}. */
export interface JobPhaseContext {
    state: StateTable;
    timer: TimerService;
    log: Log;
    cache: PhaseCache;
    /** Whether the table answers no operation of this VM; callers that can ask another VM are refused at once then. */
    isOutage: () => boolean;
    /** Whether this VM knows that it cannot reach a part of a table directly. */
    isUnreachable: (part: TablePart) => boolean;
}

/** Options of {@link queryJobPhase}. */
export interface JobPhaseOptions {
    /** Who asks. @default anyone */
    access?: JobAccess;
    /** Time that the caller waits, from now. @default unlimited */
    deadlineMs?: number;
    /** Time after which a caller without an answer asks another VM. @default it does not */
    retryAfterMs?: number;
}

/** Share of the caller's deadline in which the table is read; the answer still has to reach the caller. */
const readShareOfDeadline = 0.75;
/** Time in which another VM can read a job, on the slowest machines. */
const minReadMs = 300;
/** Pause before a read is repeated that could not be performed. */
const repeatPauseMs = 100;

interface ReadTime {
    /** @default unlimited */
    readMs?: number;
    /** Whether a caller that is refused can ask another VM in time. */
    isRetryPossible: boolean;
}

/** Plans half of what is left beside the caller's pause, so that another VM can read, too; otherwise most of its time. */
const planRead = ({ deadlineMs, retryAfterMs = Number.POSITIVE_INFINITY }: JobPhaseOptions): ReadTime => {
    if (deadlineMs === undefined) {
        return { isRetryPossible: false };
    }
    const readMs = (deadlineMs - retryAfterMs) / 2;
    return readMs >= minReadMs
        ? { readMs, isRetryPossible: true }
        : { readMs: deadlineMs * readShareOfDeadline, isRetryPossible: false };
};

interface PhaseReading {
    phase: JobPhase | "unavailable" | undefined;
    source: PhaseSource;
}

/** Reads a job and remembers its phase, also when its caller has been refused meanwhile. */
const readAndRemember = async (
    { state, cache }: JobPhaseContext,
    jobId: string,
    { access }: JobPhaseOptions,
    readMs: number | undefined,
): Promise<JobPhase | "unavailable" | undefined> => {
    const job = await readJob(state, jobId, readMs);
    if (job === "unavailable") {
        return "unavailable";
    }
    const phase = phaseOf(job);
    if (job?.submission === undefined || phase === undefined) {
        return undefined;
    }
    const { submission: owner, submissionVersion, recordVersion } = job;
    cache.set(jobId, { phase, owner, submissionVersion, recordVersion });
    return mayAccess(owner, access) ? phase : undefined;
};

/** Repeats a read that cannot be performed for as long as its caller waits and can ask no other VM. */
const readRepeatedly = async (
    context: JobPhaseContext,
    jobId: string,
    options: JobPhaseOptions,
    { readMs, isRetryPossible }: ReadTime,
): Promise<JobPhase | "unavailable" | undefined> => {
    const { timer } = context;
    const endsAtMs = timer.nowMs() + (readMs ?? 0);
    for (;;) {
        const phase = await readAndRemember(context, jobId, options, readMs);
        if (phase !== "unavailable" || isRetryPossible || timer.nowMs() + repeatPauseMs >= endsAtMs) {
            return phase;
        }
        await timer.sleep(repeatPauseMs);
    }
};

const readPhase = async (
    context: JobPhaseContext,
    jobId: string,
    options: JobPhaseOptions,
): Promise<PhaseReading> => {
    const { timer, cache, isOutage } = context;
    const time = planRead(options);
    const phase = isOutage() && time.isRetryPossible
        ? "unavailable"
        : await resolveWithin(
            timer,
            time.readMs,
            readRepeatedly(context, jobId, options, time),
            "unavailable" as const,
        );
    if (phase !== "unavailable") {
        return { phase, source: PhaseSource.Table };
    }
    const cached = cache.get(jobId);
    const isReadable = cached !== undefined && mayAccess(cached.owner, options.access);
    return { phase: isReadable ? cached.phase : "unavailable", source: PhaseSource.Cache };
};

/** Fields of the log line that say what this VM knew of the job's part of the tables when the read began. */
const describeWays = ({ isOutage, isUnreachable }: JobPhaseContext, jobId: string) => {
    const part = partOfJob(jobId);
    return {
        part,
        unreachable: [jobsTable, progressTable].filter(table => isUnreachable({ table, part })),
        isOutage: isOutage(),
    };
};

/**
 * Reads a job's phase before its caller's deadline, from the cache while the table does not answer; `undefined` if there
 * is no such job that `access` may read.
 */
export const queryJobPhase = async (
    context: JobPhaseContext,
    jobId: string,
    options: JobPhaseOptions = {},
): Promise<JobPhase | "unavailable" | undefined> => {
    const { timer, log } = context;
    const startedAtMs = timer.nowMs();
    const knownBefore = describeWays(context, jobId);
    const { phase, source } = await readPhase(context, jobId, options);
    log("info", "job phase read", {
        jobId,
        ...knownBefore,
        phase,
        source,
        tookMs: Math.round(timer.nowMs() - startedAtMs),
        deadlineMs: options.deadlineMs,
    });
    return phase;
};
