import { objectiveMs } from "../jobs/objective.js";
import { toCachedPhase } from "../jobs/phaseCache.js";
import type { CachedPhase } from "../jobs/phaseCache.js";
import { activeRuns } from "../jobs/progress.js";
import type { JobState } from "../jobs/progress.js";
import { createJobProjection } from "../jobs/projection.js";
import type { StoredJob } from "../jobs/projection.js";
import { countPendingJobs } from "../jobs/queries/pendingJobs.js";
import type { PendingCounts } from "../jobs/queries/pendingJobs.js";
import { jobParts, jobsTable } from "../jobs/rows.js";
import { isEnded, JobPhase } from "../jobs/types.js";
import type { JobSubmission } from "../jobs/types.js";
import type { EntryMetrics } from "../node/entryMetrics.js";
import type { Log } from "../node/logs.js";
import type { OperatorState } from "../queues/types.js";
import { createTableFollower } from "../state/follower.js";
import type { TableFollower } from "../state/follower.js";
import type { StateRow, StateTable } from "../state/types.js";
import { awaitGuarded, runGuarded } from "../utils/runGuarded.js";
import type { TimerService, Unsubscribe } from "../utils/timer.js";
import { createRunTable } from "./context.js";
import type { PlannerContext } from "./context.js";
import { createEndedRunHandler } from "./endedRunHandler.js";
import { deleteExpiredJobs } from "./jobRetention.js";
import type { InheritedLeases, LeaseBounds } from "./leaseBounds.js";
import { createOverdueRunMonitor } from "./overdueRuns.js";
import { createRecorder } from "./recorder.js";
import type { Recorder } from "./recorder.js";
import { createReportHandler } from "./reportHandler.js";
import { restoreWaitingJob } from "./restoreWaitingJob.js";
import { createRoundScheduler } from "./rounds.js";
import { createRunMonitor } from "./runMonitor.js";
import { createRunStarter } from "./runStarter.js";
import { createRunStopper } from "./runStopper.js";
import type { WorkerSession } from "./session.js";
import { createSpeedHistory, speedRefreshIntervalMs } from "./speedHistory.js";
import { withSpeedRecording } from "./speedRecorder.js";
import { takeOver } from "./takeover.js";
import type { WorkerClient, WorkerDescriptor } from "./types.js";
import { createUnansweredStarts } from "./unansweredStarts.js";
import { createWorkerHealth } from "./workerHealth.js";
import { createWorkerSessions } from "./workerSessions.js";

/** Options of {@link startPlanner}. */
export interface PlannerOptions {
    state: StateTable;
    timer: TimerService;
    log: Log;
    metrics: EntryMetrics;
    /** Number of the term; fencing tokens in orders to workers begin with it. */
    term: number;
    /** Configuration in force and availability zones out of service. */
    operator: () => OperatorState;
    /** Workers by id, as last listed by the platform. */
    workers: () => ReadonlyMap<string, WorkerDescriptor>;
    createClient: (descriptor: WorkerDescriptor) => WorkerClient;
    /** Maximum duration of a lease that workers accept. */
    maxLeaseMs: number;
    /** Whether new orders may be sent. */
    mayOrder: () => boolean;
    /** Whether leases of running tasks may be renewed. */
    mayRenew: () => boolean;
    /** Leases that earlier planners may have granted. */
    inheritedLeases: InheritedLeases;
    /** Whether successors were told that this planner does not extend the lease of a worker. */
    isLeaseWithheld: (workerId: string) => boolean;
    /** Publishes which leases the planner does not extend; resolves with whether that is in force. */
    publishLeases: () => Promise<boolean>;
    /** Called with the phase of each job that the table holds, when it was read or written. */
    onPhaseStored: (jobId: string, phase: CachedPhase) => void;
    /** Time after its end for which a job stays stored. */
    retainMs: number;
    /** Called when the term is found to have ended. */
    onFenced: (reason: string) => void;
}

/** Planner of one term: places tasks on workers and follows their runs. */
export interface Planner {
    /** Jobs whose first task has not started, by queue; `undefined` until the stored jobs have been read. */
    pendingCounts(): PendingCounts | undefined;
    /** Bounds on the leases that this planner does not renew; `undefined` until the workers have been polled. */
    leaseBounds(): LeaseBounds | undefined;
    /** Called when the bounds that {@link leaseBounds} returned are in force. */
    onLeasesPublished(): void;
    /** Called when the list of workers or the operator state has changed. */
    onInputsChanged(): void;
    /** Time since planning began; 0 before. */
    planningMs(): number;
    /** Time from the start of the term until planning began. */
    takeoverMs(): number;
    /** State for the state dump. */
    dump(): unknown;
    stop(): void;
}

/** Interval between deletions of expired jobs; each deletes at most one transaction of jobs from a part. */
const deletionIntervalMs = 5_000;
/** Interval between checks for runs that are neither started nor ended. */
const overdueCheckIntervalMs = 1_000;
/** Time for which a request for new jobs and cancellations waits at the table for a change. */
const jobsLongPollMs = 500;
/** Pause between these requests, so that changes of the same moment arrive in one answer. */
const jobsPollPauseMs = 5;
/** Interval at which the sessions are checked for synchronization before the first round. */
const syncPollMs = 4;
/** Maximum wait before the first round for workers to report their runs. */
const maxSyncWaitMs = 250;

/** Delay before the publication of lease bounds is retried. */
const publishRetryMs = 100;

/** Whether a job is known from the same row, or a later one: a job may be submitted again once it has been deleted. */
const isSameSubmission = (known: JobState | undefined, { submissionVersion }: StoredJob): boolean =>
    known !== undefined && known.submissionVersion >= submissionVersion;

const reportStoredPhase = ({ onPhaseStored }: PlannerOptions, jobId: string, stored: StoredJob): void => {
    const phase = toCachedPhase(stored);
    if (phase !== undefined) {
        onPhaseStored(jobId, phase);
    }
};

/**
 * Estimates the time since a job was accepted, by a VM whose wall clock may differ. A job that the follower found was
 * stored after the follower's previous request.
 */
const estimateAgeMs = (
    { acceptedAtMs }: JobSubmission,
    wallMs: number,
    followerAgeMs = Number.POSITIVE_INFINITY,
): number => Math.min(Math.max(0, wallMs - acceptedAtMs), followerAgeMs);

/** Starts the planner of a term: fences earlier planners, reads stored jobs and workers' reports, then plans. */
export const startPlanner = (options: PlannerOptions): Planner => {
    const { timer, log, term } = options;
    let recorder: Recorder | undefined;
    let follower: TableFollower | undefined;
    let termOver = false;
    let isSynced = false;
    const startedAtMs = timer.nowMs();

    const context: PlannerContext = {
        timer,
        log,
        metrics: options.metrics,
        term,
        jobs: new Map(),
        openJobs: new Set(),
        sessions: new Map(),
        runs: createRunTable(),
        unansweredStarts: createUnansweredStarts(timer),
        health: createWorkerHealth(timer),
        speeds: createSpeedHistory(timer, log, options.metrics),
        operator: options.operator,
        mayOrder: () => !termOver && options.mayOrder(),
        record: job => recorder?.record(job) ?? Promise.resolve(false),
        requestRound: () => rounds.request(),
        isTermOver: () => termOver,
    };
    const runStopper = createRunStopper(context);
    const endedRuns = createEndedRunHandler(context, runStopper);
    const runStarter = createRunStarter(context, runStopper);
    const runMonitor = createRunMonitor(context, runStopper);
    const sessions = createWorkerSessions({
        context,
        reports: withSpeedRecording(context, createReportHandler(context, runStopper, endedRuns)),
        runMonitor,
        workers: options.workers,
        createClient: options.createClient,
        maxLeaseMs: options.maxLeaseMs,
        mayRenew: () => !termOver && options.mayRenew(),
        inheritedLeases: options.inheritedLeases,
        isLeaseWithheld: options.isLeaseWithheld,
        publishLeases: () => void (isSynced && options.publishLeases()),
        onFenced: options.onFenced,
    });
    const rounds = createRoundScheduler(context, runStopper, runStarter, runMonitor);

    const adoptJob = (jobId: string, stored: StoredJob): void => {
        const { submission } = stored;
        if (submission === undefined || isSameSubmission(context.jobs.get(jobId), stored)) {
            return;
        }
        const ageMs = estimateAgeMs(submission, timer.wallClockMs(), follower?.ageMs());
        const job = restoreWaitingJob(submission, stored, { findSession: sessions.findOrOpen, timer, ageMs });
        context.jobs.set(jobId, job);
        reportStoredPhase(options, jobId, stored);
        context.openJobs.add(job);
        activeRuns(job).forEach(({ task, run }) => context.runs.set(task, run));
        if (isEnded(job.phase)) {
            activeRuns(job).forEach(({ task, run }) => runStopper.stop(task, run, `job ${job.phase}`));
        }
        log("info", "job adopted", describeAdopted(job, ageMs));
    };

    const cancelJob = (job: JobState | undefined): void => {
        if (job !== undefined && !isEnded(job.phase)) {
            job.cancelled = true;
            endedRuns.endJob(job, JobPhase.Cancelled, "cancelled by its customer");
        }
    };

    /** Applies the rows of one job; a job that causes an error is skipped, so that it does not block the others. */
    const applyStoredJob = (stored: StoredJob, jobId: string): void =>
        runGuarded(
            () => {
                adoptJob(jobId, stored);
                if (stored.cancelled) {
                    cancelJob(context.jobs.get(jobId));
                }
            },
            detail => log("error", "a job could not be taken", { jobId, detail }),
        );

    const takeOverAndPlan = async (): Promise<void> => {
        const takeover = await takeOver({ ...options, isCurrent: () => !termOver && options.mayRenew() });
        if (takeover === undefined || termOver) {
            options.onFenced("the table names a later term or does not answer");
            return;
        }
        const { termVersions } = takeover;
        recorder = createRecorder({ ...options, termVersions });
        sessions.reconcile();
        takeover.projection.jobs.forEach(applyStoredJob);
        follower = followJobs(options, takeover.version, stored => {
            stored.forEach(applyStoredJob);
            rounds.request();
        });
        await waitUntilSynced(context);
        log("info", "planning begins", {
            term,
            jobs: context.jobs.size,
            workers: context.sessions.size,
            afterMs: Math.round(timer.nowMs() - startedAtMs),
        });
        isSynced = true;
        await publishUntilInForce(options, () => termOver);
        rounds.start();
    };

    void awaitGuarded(takeOverAndPlan, detail => {
        log("error", "the takeover failed unexpectedly", { term, detail });
        options.onFenced("the takeover failed");
    });
    const subscriptions = subscribe(context, options);

    return {
        pendingCounts: () => recorder === undefined ? undefined : countPendingJobs(context.openJobs),
        leaseBounds: () => isSynced ? sessions.leaseBounds() : undefined,
        onLeasesPublished: () => rounds.request(),
        onInputsChanged: () => {
            if (recorder !== undefined) {
                sessions.reconcile();
                rounds.request();
            }
        },
        planningMs: rounds.runningMs,
        takeoverMs: () => timer.nowMs() - startedAtMs - rounds.runningMs(),
        dump: () => ({ ...dumpContext(context), unrecorded: recorder?.pendingCount() ?? 0, claims: rounds.claims() }),
        stop: () => {
            termOver = true;
            subscriptions.forEach(unsubscribe => unsubscribe());
            follower?.stop();
            rounds.stop();
            recorder?.stop();
            sessions.closeAll();
        },
    };
};

/** Subscribes what a planner does at intervals besides its rounds, and returns what is to be called when it stops. */
const subscribe = (context: PlannerContext, { timer, state, metrics, retainMs }: PlannerOptions): Unsubscribe[] => [
    timer.every(deletionIntervalMs, () => deleteExpiredJobs(context, state, retainMs)),
    timer.every(overdueCheckIntervalMs, createOverdueRunMonitor(context).check),
    timer.every(speedRefreshIntervalMs, context.speeds.refresh),
    () => metrics.setSlowWorkers(0),
];

/**
 * Groups changed rows by job. They cannot be applied one by one: a full read may return a job's cancellation before its
 * submission.
 */
const groupRowsByJob = (rows: readonly StateRow[]): ReadonlyMap<string, StoredJob> => {
    const projection = createJobProjection();
    rows.forEach(row => projection.apply(row));
    return projection.jobs;
};

/** Follows submissions and cancellations after a version of the table. */
const followJobs = (
    { state, timer, log }: PlannerOptions,
    afterVersion: number,
    onJobs: (stored: ReadonlyMap<string, StoredJob>) => void,
): TableFollower =>
    createTableFollower({
        state,
        timer,
        log,
        table: jobsTable,
        parts: jobParts,
        afterVersion,
        waitMs: () => jobsLongPollMs,
        pauseMs: () => jobsPollPauseMs,
        onRows: rows => onJobs(groupRowsByJob(rows)),
    });

const waitUntilSynced = async ({ timer, sessions }: PlannerContext): Promise<void> => {
    const deadlineMs = timer.nowMs() + maxSyncWaitMs;
    const isUnsynced = (session: WorkerSession): boolean => !session.isSynced() && session.client !== undefined;
    while (timer.nowMs() < deadlineMs && [...sessions.values()].some(isUnsynced)) {
        await timer.sleep(syncPollMs);
    }
};

/** Publishes the lease bounds: until then the planner may extend no lease, and a round would find no worker to use. */
const publishUntilInForce = async (
    { publishLeases, timer }: PlannerOptions,
    isTermOver: () => boolean,
): Promise<void> => {
    while (!await publishLeases() && !isTermOver()) {
        await timer.sleep(publishRetryMs);
    }
};

const describeAdopted = ({ submission, phase, recordVersion, cancelled }: JobState, ageMs: number) => ({
    jobId: submission.id,
    phase,
    version: recordVersion,
    cancelled,
    queue: submission.queue,
    priority: submission.priority,
    tasks: submission.steps.map(step => step.taskCount),
    accelerators: submission.steps.map(step => step.resources.accelerators),
    customer: submission.customer,
    objectiveMs: Math.round(objectiveMs(submission)),
    ageMs: Math.round(ageMs),
});

const dumpContext = (context: PlannerContext) => ({
    term: context.term,
    jobs: [...context.jobs.values()].map(job => ({
        id: job.submission.id,
        phase: job.phase,
        runs: activeRuns(job).map(({ task, run }) => ({
            unit: task.unit.key,
            index: task.index,
            run: run.number,
            worker: run.worker.id,
            phase: run.phase,
        })),
    })),
    workers: [...context.sessions.values()].map(session => ({
        id: session.id,
        cleared: session.isSynced(),
        silentMs: session.silentMs(),
        suspicion: context.health.suspicionOf(session.id),
        risk: context.health.riskOf(session.id),
        relativeSpeed: context.speeds.speedOf(session),
    })),
});
