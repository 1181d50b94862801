import type { Log } from "../../node/logs.js";
import type { StateTable } from "../../state/types.js";
import { resolveWithin } from "../../utils/resolveWithin.js";
import type { TimerService } from "../../utils/timer.js";
import { mayAccess } from "../jobAccess.js";
import type { JobAccess } from "../jobAccess.js";
import type { PhaseCache } from "../phaseCache.js";
import { phaseOf } from "../projection.js";
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
    /** Whether the table answers no operation of this VM; a read is not attempted then. */
    isOutage: () => boolean;
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

/** Time in which the table is read: half of what is left beside the caller's pause, so that another VM can read, too. */
const readMsOf = ({ deadlineMs, retryAfterMs = Number.POSITIVE_INFINITY }: JobPhaseOptions): number | undefined => {
    if (deadlineMs === undefined) {
        return undefined;
    }
    const readMs = (deadlineMs - retryAfterMs) / 2;
    return readMs >= minReadMs ? readMs : deadlineMs * readShareOfDeadline;
};

interface PhaseReading {
    phase: JobPhase | "unavailable" | undefined;
    source: PhaseSource;
}

const readPhase = async (
    { state, timer, cache, isOutage }: JobPhaseContext,
    jobId: string,
    options: JobPhaseOptions,
): Promise<PhaseReading> => {
    const { access } = options;
    const readMs = readMsOf(options);
    const job = isOutage()
        ? "unavailable"
        : await resolveWithin(timer, readMs, readJob(state, jobId, readMs), "unavailable" as const);
    if (job === "unavailable") {
        const cached = cache.get(jobId);
        const isReadable = cached !== undefined && mayAccess(cached.owner, access);
        return { phase: isReadable ? cached.phase : "unavailable", source: PhaseSource.Cache };
    }
    const phase = phaseOf(job);
    if (job?.submission === undefined || phase === undefined) {
        return { phase: undefined, source: PhaseSource.Table };
    }
    cache.set(jobId, { phase, owner: job.submission });
    return { phase: mayAccess(job.submission, access) ? phase : undefined, source: PhaseSource.Table };
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
    const { phase, source } = await readPhase(context, jobId, options);
    log("info", "job phase read", {
        jobId,
        phase,
        source,
        tookMs: Math.round(timer.nowMs() - startedAtMs),
        deadlineMs: options.deadlineMs,
    });
    return phase;
};
