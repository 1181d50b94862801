import type { Condition, PlatformClient, PlatformError } from "../platform/types.js";
import { PlatformErrorKind } from "../platform/types.js";
import { fail, succeed } from "../utils/result.js";
import type { Result } from "../utils/result.js";
import type { TimerService } from "../utils/timer.js";
import { checkpointGang, placeGang, stopGang } from "./gang.js";
import type { FindWorker, GangTimes } from "./gang.js";
import { changeJob, hasEnded, readJob } from "./jobTable.js";
import type { JobChange, StoredJob } from "./jobTable.js";
import type { PlanningState, TrackedJob } from "./planningState.js";
import { JobState } from "./types.js";
import type { JobSpec, Placement } from "./types.js";

/** Options of {@link createJobExecutor}. */
export interface JobExecutorOptions {
    state: PlanningState;
    platform: PlatformClient;
    timer: TimerService;
    times: GangTimes;
    findWorker: FindWorker;
    plannerId: () => string;
    /** Rows that must be unchanged when a decision is recorded. */
    guards: () => Condition[];
    /** Called with what happened, for logs and metrics. */
    onEvent: (event: JobEvent) => void;
}

/** Time before a placement that was refused is tried again. */
const retryDelayMs = 300;

/** What can happen to a job. */
export enum JobEventKind {
    Placed = "placed",
    NotPlaced = "notPlaced",
    Requeued = "requeued",
    Ended = "ended",
    /** Its row was changed by somebody else. */
    Conflict = "conflict",
}

/** Something that happened to a job. */
export interface JobEvent {
    jobId: string;
    kind: JobEventKind;
    detail: string;
}

/** Carries decisions out; every change of a job goes through its row in the table. */
export interface JobExecutor {
    /** Places a job whose allocation the ledger already holds. */
    place(tracked: TrackedJob, placement: Omit<Placement, "placedAtMs" | "planner">): Promise<void>;
    /**
     * Saves the job's progress if it can, stops it and puts it back into the queue.
     *
     * A job that does not save its progress goes on unless the eviction is mandatory.
     */
    evict(tracked: TrackedJob, reason: string, mandatory: boolean): Promise<void>;
    /** Stops whatever is left of the job's tasks and puts it back into the queue. */
    requeue(tracked: TrackedJob, reason: string, change?: JobChange): Promise<void>;
    /** Ends the job and stops whatever is left of its tasks. */
    end(tracked: TrackedJob, state: JobState, reason: string): Promise<void>;
}

const describePlatformError = (error: PlatformError): string =>
    error.kind === PlatformErrorKind.Conflict ? `changed meanwhile: ${error.keys.join(", ")}` : error.detail;

/** Runs one change of a job at a time; further ones are left out. */
const exclusively = async (tracked: TrackedJob, task: () => Promise<void>): Promise<void> => {
    if (tracked.busy) {
        return;
    }
    tracked.busy = true;
    try {
        await task();
    }
    finally {
        tracked.busy = false;
    }
};

/** Creates the executor of decisions. */
export const createJobExecutor = (options: JobExecutorOptions): JobExecutor => {
    const { state, platform, timer, times, findWorker, onEvent } = options;

    const idOf = (tracked: TrackedJob): string => tracked.stored.record.spec.id;

    const refresh = async (tracked: TrackedJob): Promise<void> => {
        const read = await readJob(platform, idOf(tracked));
        if (!read.ok) {
            return;
        }
        if (read.value === undefined || hasEnded(read.value.record.state)) {
            state.forget(idOf(tracked));
        }
        else {
            state.track(read.value);
        }
    };

    const change = async (
        tracked: TrackedJob,
        changes: JobChange,
        guards: Condition[],
    ): Promise<Result<StoredJob, string>> => {
        const changed = await changeJob(platform, tracked.stored, changes, guards);
        if (changed.ok) {
            tracked.stored = changed.value;
            return succeed(changed.value);
        }
        const detail = describePlatformError(changed.error);
        onEvent({ jobId: idOf(tracked), kind: JobEventKind.Conflict, detail });
        await refresh(tracked);
        return fail(detail);
    };

    const giveUpPlacement = (spec: JobSpec, detail: string): void => {
        state.ledger().deallocate(spec.id);
        onEvent({ jobId: spec.id, kind: JobEventKind.NotPlaced, detail });
    };

    const placeNow = async (tracked: TrackedJob, planned: Omit<Placement, "placedAtMs" | "planner">): Promise<void> => {
        const { record } = tracked.stored;
        const { spec } = record;
        const placement: Placement = { ...planned, placedAtMs: timer.wallClockMs(), planner: options.plannerId() };
        const guards = options.guards();
        const plan = {
            jobId: spec.id,
            attempt: placement.attempt,
            planner: placement.planner,
            spec,
            members: placement.members,
            resumeFromMs: record.progressMs,
        };
        const changes = { state: JobState.Placed, attempts: placement.attempt, placement, reason: "placed" };
        const placed = await placeGang(plan, findWorker, times, () => change(tracked, changes, guards));
        if (placed.ok) {
            onEvent({
                jobId: spec.id,
                kind: JobEventKind.Placed,
                detail: placement.members.map(member => member.worker).join(","),
            });
            return;
        }
        if (placed.error.decided === undefined) {
            // a lost answer may hide a recorded decision; the row read by change() tells
            if (tracked.stored.record.state !== JobState.Placed) {
                giveUpPlacement(spec, placed.error.error.detail);
                tracked.notBeforeMs = timer.wallClockMs() + retryDelayMs;
            }
            return;
        }
        await requeueNow(tracked, `start failed: ${placed.error.error.detail}`, {});
    };

    const requeueNow = async (tracked: TrackedJob, reason: string, changes: JobChange): Promise<void> => {
        const { placement, spec } = tracked.stored.record;
        const unconfirmed = placement === undefined
            ? []
            : await stopGang({ jobId: spec.id, attempt: placement.attempt }, placement.members, findWorker);
        const requeued = await change(
            tracked,
            { ...changes, state: JobState.Queued, placement: undefined, reason },
            [],
        );
        if (!requeued.ok) {
            return;
        }
        state.ledger().deallocate(spec.id);
        // tasks on workers that did not confirm may run until their lease ends
        tracked.notBeforeMs = unconfirmed.length > 0 ? timer.wallClockMs() + times.leaseMs + times.holdMs : 0;
        onEvent({ jobId: spec.id, kind: JobEventKind.Requeued, detail: reason });
    };

    const evictNow = async (tracked: TrackedJob, reason: string, mandatory: boolean): Promise<void> => {
        const { placement, spec, progressMs } = tracked.stored.record;
        if (placement === undefined) {
            return;
        }
        const gang = { jobId: spec.id, attempt: placement.attempt };
        const savedMs = spec.checkpointable
            ? await checkpointGang(gang, placement.members, findWorker, times.checkpointGraceMs, timer)
            : undefined;
        if (savedMs === undefined) {
            tracked.ignoresCheckpoint = true;
        }
        if (savedMs !== undefined || mandatory) {
            await requeueNow(tracked, reason, { progressMs: savedMs ?? progressMs });
        }
    };

    const endNow = async (tracked: TrackedJob, ended: JobState, reason: string): Promise<void> => {
        const { placement, spec } = tracked.stored.record;
        const changed = await change(tracked, { state: ended, reason, endedAtMs: timer.wallClockMs() }, []);
        if (!changed.ok) {
            return;
        }
        if (placement !== undefined) {
            await stopGang({ jobId: spec.id, attempt: placement.attempt }, placement.members, findWorker);
        }
        state.forget(spec.id);
        onEvent({ jobId: spec.id, kind: JobEventKind.Ended, detail: `${ended}: ${reason}` });
    };

    return {
        place: (tracked, placement) => exclusively(tracked, () => placeNow(tracked, placement)),
        evict: (tracked, reason, mandatory) => exclusively(tracked, () => evictNow(tracked, reason, mandatory)),
        requeue: (tracked, reason, changes = {}) => exclusively(tracked, () => requeueNow(tracked, reason, changes)),
        end: (tracked, ended, reason) => exclusively(tracked, () => endNow(tracked, ended, reason)),
    };
};
