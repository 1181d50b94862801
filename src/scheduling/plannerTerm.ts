import type { ConfigurationFollower } from "../configuration/follower.js";
import type { GangReport } from "../peers/types.js";
import type { PlatformClient } from "../platform/types.js";
import type { TimerService } from "../utils/timer.js";
import { TaskState } from "../workers/types.js";
import { stopGang } from "./gang.js";
import type { FindWorker } from "./gang.js";
import type { JobExecutor } from "./jobExecutor.js";
import { hasEnded, readJob } from "./jobTable.js";
import type { StoredJob } from "./jobTable.js";
import type { PlanningState, TrackedJob } from "./planningState.js";
import type { RunTimeModel } from "./runTimes.js";
import { JobState } from "./types.js";
import type { WorkerHealth } from "./workerHealth.js";
import type { ZoneViews } from "./zoneViews.js";

/** What one term of a planner, from a takeover to the next, works on. */
export interface PlannerTerm {
    platform: PlatformClient;
    timer: TimerService;
    follower: ConfigurationFollower;
    state: PlanningState;
    executor: JobExecutor;
    health: WorkerHealth;
    runTimes: RunTimeModel;
    views: ZoneViews;
    findWorker: FindWorker;
}

/** Time without a report of a placed job's tasks after which they count as gone. */
const missingAfterMs = 4_000;
/** Placements that may fail before the job itself is to blame. */
const maxFailures = 3;

/** Takes a job's row in, unless a change of the job is under way. */
export const takeInJob = (term: PlannerTerm, stored: StoredJob): void => {
    const known = term.state.jobs.get(stored.record.spec.id);
    if (known === undefined || (!known.busy && known.stored.rowVersion < stored.rowVersion)) {
        term.state.track(stored);
    }
    else if (known.busy && stored.record.cancelRequested) {
        // the change under way will conflict with the caller's and read the row again
        known.stored = { ...known.stored, record: { ...known.stored.record, cancelRequested: true } };
    }
};

/** Ends the jobs whose submitters asked for it. */
export const cancelRequested = (term: PlannerTerm): void => {
    for (const tracked of [...term.state.jobs.values()]) {
        if (tracked.stored.record.cancelRequested && !tracked.busy) {
            void term.executor.end(tracked, JobState.Cancelled, "cancelled by its submitter");
        }
    }
};

const isOnLeavingWorker = (term: PlannerTerm, tracked: TrackedJob): boolean =>
    (tracked.stored.record.placement?.members ?? []).some(member => {
        const worker = term.state.ledger().fleet.workers.get(member.worker);
        return worker !== undefined && term.views.isLeaving(worker, term.follower.current());
    });

/** Moves jobs that can save their progress away from leaving workers; others run to their end there. */
export const evictFromLeavingWorkers = (term: PlannerTerm): void => {
    for (const tracked of [...term.state.jobs.values()]) {
        const { record } = tracked.stored;
        const movable = record.state === JobState.Placed && record.spec.checkpointable && !tracked.busy;
        if (movable && isOnLeavingWorker(term, tracked)) {
            void term.executor.evict(tracked, "its workers are leaving", true);
        }
    }
};

/** Puts jobs back into the queue whose tasks are on none of their workers. */
export const requeueMissing = (term: PlannerTerm): void => {
    const nowMs = term.timer.wallClockMs();
    for (const tracked of [...term.state.jobs.values()]) {
        const { record } = tracked.stored;
        const { placement } = record;
        if (record.state !== JobState.Placed || tracked.busy || placement === undefined) {
            continue;
        }
        const members = placement.members.map(member => member.worker);
        const gang = term.views.findGang(placement.availabilityZone, record.spec.id, placement.attempt, members);
        if (gang !== undefined) {
            tracked.missingSinceMs = undefined;
            continue;
        }
        tracked.missingSinceMs ??= nowMs;
        if (nowMs - tracked.missingSinceMs >= missingAfterMs) {
            void term.executor.requeue(tracked, "its tasks are gone");
        }
    }
};

const afterFailure = (term: PlannerTerm, tracked: TrackedJob, gang: GangReport): void => {
    const { spec, failures, failedOn } = tracked.stored.record;
    term.health.recordFailure(spec.id, gang.workers, term.timer.wallClockMs());
    if (failures + 1 < maxFailures) {
        const change = { failures: failures + 1, failedOn: [...failedOn, ...gang.workers] };
        void term.executor.requeue(tracked, "its tasks failed", change);
        return;
    }
    term.health.clearBlame(spec.id);
    void term.executor.end(tracked, JobState.Failed, `its tasks failed in ${failures + 1} places`);
};

const afterSuccess = (term: PlannerTerm, tracked: TrackedJob, gang: GangReport): void => {
    term.runTimes.observe(tracked.stored.record.spec, gang.progressMs);
    term.health.recordSuccess(gang.workers);
    void term.executor.end(tracked, JobState.Done, "finished");
};

/** Stops tasks of jobs that have ended or moved on, after a look at the table. */
const stopOrphan = async (term: PlannerTerm, gang: GangReport): Promise<void> => {
    const read = await readJob(term.platform, gang.jobId);
    if (!read.ok) {
        return;
    }
    const current = read.value?.record;
    const orphaned = current === undefined
        || hasEnded(current.state)
        || (current.placement?.attempt ?? current.attempts + 1) > gang.attempt;
    if (orphaned) {
        await stopGang(gang, gang.workers.map(worker => ({ worker, taskCount: 0 })), term.findWorker);
    }
};

/** Takes in the state of one gang as its lease manager saw it. */
export const takeInGang = (term: PlannerTerm, gang: GangReport): void => {
    const tracked = term.state.jobs.get(gang.jobId);
    const attempt = tracked?.stored.record.placement?.attempt;
    if (tracked?.busy === true) {
        return;
    }
    if (tracked === undefined || attempt === undefined || attempt > gang.attempt) {
        void stopOrphan(term, gang);
        return;
    }
    if (attempt < gang.attempt) {
        return;
    }
    if (gang.broken) {
        void term.executor.requeue(tracked, "a member was lost", { progressMs: gang.checkpointedMs });
    }
    else if (gang.state === TaskState.Finished) {
        afterSuccess(term, tracked, gang);
    }
    else if (gang.state === TaskState.Failed) {
        afterFailure(term, tracked, gang);
    }
};
