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
}

/** Options of {@link queryJobPhase}. */
export interface JobPhaseOptions {
    /** Who asks. @default anyone */
    access?: JobAccess;
    /** Time that the caller waits, from now. @default unlimited */
    deadlineMs?: number;
}

/** Share of the caller's deadline in which the table is read; the answer still has to reach the caller. */
const readShareOfDeadline = 0.75;

interface PhaseReading {
    phase: JobPhase | "unavailable" | undefined;
    source: PhaseSource;
}

const readPhase = async (
    { state, timer, cache }: JobPhaseContext,
    jobId: string,
    { access, deadlineMs }: JobPhaseOptions,
): Promise<PhaseReading> => {
    const readMs = deadlineMs === undefined ? undefined : deadlineMs * readShareOfDeadline;
    const job = await resolveWithin(timer, readMs, readJob(state, jobId, readMs), "unavailable" as const);
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
