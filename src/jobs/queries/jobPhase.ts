import type { Log } from "../../node/logs.js";
import type { TablePart } from "../../state/reachability.js";
import type { StateTable } from "../../state/types.js";
import { firstDefined } from "../../utils/firstDefined.js";
import { resolveWithin } from "../../utils/resolveWithin.js";
import type { TimerService } from "../../utils/timer.js";
import { mayAccess } from "../jobAccess.js";
import type { JobAccess } from "../jobAccess.js";
import { toCachedPhase } from "../phaseCache.js";
import type { CachedPhase } from "../phaseCache.js";
import { jobsTable, partOfJob, progressTable } from "../rows.js";
import type { JobPhase } from "../types.js";
import { readJob } from "./readJob.js";
import { recallPhase } from "./recallPhase.js";
import type { PhaseRecall } from "./recallPhase.js";

/** Where the phase of a job was read. */
export enum PhaseSource {
    Table = "table",
    /** What this VM remembers, or was told by one that plans or did so before. */
    Memory = "memory",
}

/** Dependencies of {@link queryJobPhase}. */
export interface JobPhaseContext extends PhaseRecall {
    state: StateTable;
    timer: TimerService;
    log: Log;
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
/** Time after which a read of the table is in doubt: a table 60 times slower than usual answers within it ... */
const doubtAfterMs = 300;
/** ... and another VM, where this one does not reach the part directly. */
const relayedDoubtAfterMs = 100;
/** Share of a read's time after which it is in doubt at the latest. */
const doubtShareOfRead = 0.3;
/** Time for which other VMs are asked if the caller's time is unlimited. */
const maxRecallMs = 900;
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

/** A phase that was found; `undefined` if there is no such job that the caller may read. */
interface PhaseReading {
    phase: JobPhase | undefined;
    source: PhaseSource;
}

/** Reads a job and remembers its phase, also when its caller has been refused meanwhile. */
const readAndRemember = async (
    { state, cache }: JobPhaseContext,
    jobId: string,
    { access }: JobPhaseOptions,
    readMs: number | undefined,
): Promise<PhaseReading | undefined> => {
    const job = await readJob(state, jobId, readMs);
    if (job === "unavailable") {
        return undefined;
    }
    const stored = toCachedPhase(job);
    if (stored === undefined) {
        cache.forget(jobId);
        return { phase: undefined, source: PhaseSource.Table };
    }
    cache.set(jobId, stored);
    return { phase: mayAccess(stored.owner, access) ? stored.phase : undefined, source: PhaseSource.Table };
};

/** Repeats a read that cannot be performed for as long as its caller waits and can ask no other VM. */
const readRepeatedly = async (
    context: JobPhaseContext,
    jobId: string,
    options: JobPhaseOptions,
    { readMs, isRetryPossible }: ReadTime,
): Promise<PhaseReading | undefined> => {
    const { timer } = context;
    const endsAtMs = timer.nowMs() + (readMs ?? 0);
    for (;;) {
        const reading = await readAndRemember(context, jobId, options, readMs);
        if (reading !== undefined || isRetryPossible || timer.nowMs() + repeatPauseMs >= endsAtMs) {
            return reading;
        }
        await timer.sleep(repeatPauseMs);
    }
};

const toReading = (known: CachedPhase | undefined, { access }: JobPhaseOptions): PhaseReading | undefined =>
    known !== undefined && mayAccess(known.owner, access)
        ? { phase: known.phase, source: PhaseSource.Memory }
        : undefined;

/** Finds a final phase without the table; one that is not final is remembered for a read that the table does not answer. */
const recallFinal = async (
    context: JobPhaseContext,
    jobId: string,
    options: JobPhaseOptions,
    timeoutMs: number,
): Promise<PhaseReading | undefined> => {
    const known = await recallPhase(context, jobId, timeoutMs);
    return known !== undefined && context.isFinal(known) ? toReading(known, options) : undefined;
};

/** Time after which a read of the table is in doubt, so that the phase is looked for elsewhere beside it. */
const chooseDoubtAfterMs = (
    { isUnreachable }: JobPhaseContext,
    jobId: string,
    { readMs = Number.POSITIVE_INFINITY }: ReadTime,
): number => {
    const part = partOfJob(jobId);
    const isRelayed = [jobsTable, progressTable].some(table => isUnreachable({ table, part }));
    return Math.min(isRelayed ? relayedDoubtAfterMs : doubtAfterMs, readMs * doubtShareOfRead);
};

const readPhase = async (
    context: JobPhaseContext,
    jobId: string,
    options: JobPhaseOptions,
): Promise<PhaseReading | undefined> => {
    const { timer, isOutage } = context;
    const time = planRead(options);
    if (isOutage() && time.isRetryPossible) {
        return resolveWithin(timer, minReadMs, recallFinal(context, jobId, options, minReadMs), undefined);
    }
    const doubtMs = chooseDoubtAfterMs(context, jobId, time);
    const fromTable = readRepeatedly(context, jobId, options, time);
    const early = await resolveWithin(timer, doubtMs, fromTable, undefined);
    if (early !== undefined) {
        return early;
    }
    const restMs = time.readMs === undefined ? undefined : time.readMs - doubtMs;
    const elsewhere = recallFinal(context, jobId, options, restMs ?? maxRecallMs);
    return resolveWithin(timer, restMs, firstDefined([fromTable, elsewhere]), undefined);
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
 * Reads a job's phase before its caller's deadline, from what VMs remember while the table does not answer; `undefined`
 * if there is no such job that `access` may read.
 */
export const queryJobPhase = async (
    context: JobPhaseContext,
    jobId: string,
    options: JobPhaseOptions = {},
): Promise<JobPhase | "unavailable" | undefined> => {
    const { timer, log } = context;
    const startedAtMs = timer.nowMs();
    const knownBefore = describeWays(context, jobId);
    const reading = await readPhase(context, jobId, options)
        ?? toReading(context.tell(jobId) ?? context.cache.get(jobId), options);
    const phase = reading === undefined ? "unavailable" : reading.phase;
    log("info", "job phase read", {
        jobId,
        ...knownBefore,
        phase,
        source: reading?.source,
        tookMs: Math.round(timer.nowMs() - startedAtMs),
        deadlineMs: options.deadlineMs,
    });
    return phase;
};
