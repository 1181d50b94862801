import { objectiveMs } from "../jobs/objective.js";
import { activeRuns, restoreJob } from "../jobs/progress.js";
import type { JobState } from "../jobs/progress.js";
import { createJobProjection } from "../jobs/projection.js";
import type { StoredJob } from "../jobs/projection.js";
import { countPendingJobs } from "../jobs/queries/pendingJobs.js";
import type { PendingCounts } from "../jobs/queries/pendingJobs.js";
import { jobParts, jobsTable } from "../jobs/rows.js";
import { isEnded, JobPhase } from "../jobs/types.js";
import type { EntryMetrics } from "../node/entryMetrics.js";
import type { Log } from "../node/logs.js";
import type { OperatorState } from "../queues/types.js";
import { createTableFollower } from "../state/follower.js";
import type { TableFollower } from "../state/follower.js";
import type { StateRow, StateTable } from "../state/types.js";
import type { TimerService } from "../utils/timer.js";
import { attempt } from "../utils/unexpected.js";
import { createRunTable } from "./context.js";
import type { PlannerContext } from "./context.js";
import { createEndedRunHandler } from "./endedRunHandler.js";
import { forgetEndedJobs } from "./forgetting.js";
import { createRecorder } from "./recorder.js";
import type { Recorder } from "./recorder.js";
import { createReportHandler } from "./reportHandler.js";
import { createRounds } from "./rounds.js";
import type { WorkerSession } from "./session.js";
import { createStarts } from "./starts.js";
import { createStops } from "./stops.js";
import { takeOver } from "./takeover.js";
import type { WorkerClient, WorkerDescriptor } from "./types.js";
import { createWatch } from "./watch.js";
import { createWorkerHealth } from "./workerHealth.js";
import { createWorkerSessions } from "./workerSessions.js";

/** Options of {@link startPlanner}. */
export interface PlannerOptions {
    state: StateTable;
    timer: TimerService;
    log: Log;
    metrics: EntryMetrics;
    term: number;
    operator: () => OperatorState;
    /** Workers as last listed. */
    workers: () => ReadonlyMap<string, WorkerDescriptor>;
    createClient: (descriptor: WorkerDescriptor) => WorkerClient;
    /** Longest lease that workers grant. */
    maxLeaseMs: number;
    /** Whether new orders may be sent. */
    mayOrder: () => boolean;
    /** Whether leases of what runs may be renewed. */
    mayRenew: () => boolean;
    /** Time for which an ended job is remembered. */
    retainMs: number;
    /** Called when the term turns out to be over. */
    onFenced: (reason: string) => void;
}

/** The planner of one term. */
export interface Planner {
    /** Jobs that wait for their first task to start; `undefined` until the records are taken over. */
    pendingCounts(): PendingCounts | undefined;
    /** Takes news of the workers or of the operator's wishes. */
    onSurroundings(): void;
    /** What it knows, for people. */
    dump(): unknown;
    stop(): void;
}

/** Time between looks for ended jobs to forget; each look removes at most one transaction's worth a part. */
const forgetEveryMs = 5_000;
/** Time that a request for new jobs and cancellations waits at the table. */
const jobsWaitMs = 500;
/** Pause between such requests, in which the changes of the same moment gather. */
const jobsPauseMs = 5;
/** Pause between looks whether they have. */
const clearLookMs = 4;
/** Longest wait for workers to tell what runs on them before the first round. */
const clearWaitMs = 250;

/** Starts to plan for a term: takes over the records, learns what runs, then decides and orders. */
export const startPlanner = (options: PlannerOptions): Planner => {
    const { timer, log, term } = options;
    let recorder: Recorder | undefined;
    let follower: TableFollower | undefined;
    let over = false;

    const context: PlannerContext = {
        timer,
        log,
        metrics: options.metrics,
        term,
        jobs: new Map(),
        openJobs: new Set(),
        sessions: new Map(),
        runs: createRunTable(),
        health: createWorkerHealth(timer),
        operator: options.operator,
        mayOrder: () => !over && options.mayOrder(),
        record: job => recorder?.record(job) ?? Promise.resolve(false),
        requestRound: () => rounds.request(),
        isOver: () => over,
    };
    const stops = createStops(context);
    const endedRuns = createEndedRunHandler(context, stops);
    const starts = createStarts(context, stops);
    const watch = createWatch(context, stops);
    const sessions = createWorkerSessions({
        context,
        reports: createReportHandler(context, stops, endedRuns),
        watch,
        workers: options.workers,
        createClient: options.createClient,
        maxLeaseMs: options.maxLeaseMs,
        mayRenew: () => !over && options.mayRenew(),
        onFenced: options.onFenced,
    });
    const rounds = createRounds(context, stops, starts, watch);

    const adopt = (jobId: string, entry: StoredJob): void => {
        if (entry.submission === undefined || context.jobs.has(jobId)) {
            return;
        }
        const { submission, record, recordVersion, cancelled } = entry;
        const job = restoreJob(submission, record, recordVersion, cancelled, sessions.findOrOpen, timer.nowMs());
        context.jobs.set(jobId, job);
        context.openJobs.add(job);
        for (const unit of job.units.values()) {
            unit.tasks.forEach(task => task.run !== undefined && context.runs.set(task, task.run));
        }
        if (isEnded(job.phase)) {
            activeRuns(job).forEach(({ task, run }) => stops.stop(task, run, `job ${job.phase}`));
        }
        log("info", "job adopted", describeAdopted(job, timer.wallClockMs()));
    };

    const cancel = (jobId: string): void => {
        const job = context.jobs.get(jobId);
        if (job !== undefined && !isEnded(job.phase)) {
            job.cancelled = true;
            endedRuns.endJob(job, JobPhase.Cancelled, "cancelled by its customer");
        }
    };

    /** A job that cannot be taken is left out, so that it holds up no other. */
    const takeNews = (entry: StoredJob, jobId: string): void =>
        attempt(
            () => {
                adopt(jobId, entry);
                if (entry.cancelled) {
                    cancel(jobId);
                }
            },
            detail => log("error", "a job could not be taken", { jobId, detail }),
        );

    const followJobs = (afterVersion: number): TableFollower =>
        createTableFollower({
            state: options.state,
            timer,
            log,
            table: jobsTable,
            parts: jobParts,
            afterVersion,
            waitMs: () => jobsWaitMs,
            pauseMs: () => jobsPauseMs,
            onRows: rows => {
                readJobNews(rows).forEach(takeNews);
                rounds.request();
            },
        });

    const begin = async (): Promise<void> => {
        const startedAtMs = timer.nowMs();
        const inherited = await takeOver({ ...options, isCurrent: () => !over && options.mayRenew() });
        if (inherited === undefined || over) {
            options.onFenced("the table names a later term or does not answer");
            return;
        }
        const { termVersions } = inherited;
        recorder = createRecorder({ state: options.state, timer, log, term, termVersions, onFenced: options.onFenced });
        sessions.reconcile();
        inherited.book.jobs.forEach(takeNews);
        follower = followJobs(inherited.version);
        await waitUntilCleared(context);
        log("info", "planning begins", {
            term,
            jobs: context.jobs.size,
            workers: context.sessions.size,
            afterMs: Math.round(timer.nowMs() - startedAtMs),
        });
        rounds.begin();
    };

    void begin();
    const stopForgetting = timer.every(forgetEveryMs, () => forgetEndedJobs(context, options.state, options.retainMs));

    return {
        pendingCounts: () => recorder === undefined ? undefined : countPendingJobs(context.openJobs),
        onSurroundings: () => {
            if (recorder !== undefined) {
                sessions.reconcile();
                rounds.request();
            }
        },
        dump: () => ({ ...dumpContext(context), unrecorded: recorder?.pendingCount() ?? 0, claims: rounds.claims() }),
        stop: () => {
            over = true;
            stopForgetting();
            follower?.stop();
            rounds.stop();
            recorder?.stop();
            sessions.closeAll();
        },
    };
};

/** What changed rows tell of each job; a whole read has a job's cancellation before its submission. */
const readJobNews = (rows: readonly StateRow[]): ReadonlyMap<string, StoredJob> => {
    const book = createJobProjection();
    rows.forEach(row => book.apply(row));
    return book.jobs;
};

const waitUntilCleared = async ({ timer, sessions }: PlannerContext): Promise<void> => {
    const giveUpAtMs = timer.nowMs() + clearWaitMs;
    const isOpen = (session: WorkerSession): boolean => !session.isSynced() && session.client !== undefined;
    while (timer.nowMs() < giveUpAtMs && [...sessions.values()].some(isOpen)) {
        await timer.sleep(clearLookMs);
    }
};

const describeAdopted = ({ submission, phase, recordVersion, cancelled }: JobState, wallMs: number) => ({
    jobId: submission.id,
    phase,
    version: recordVersion,
    cancelled,
    queue: submission.queue,
    priority: submission.priority,
    tasks: submission.steps.map(step => step.taskCount),
    accelerators: submission.steps.map(step => step.resources.accelerators),
    objectiveMs: Math.round(objectiveMs(submission)),
    ageMs: wallMs - submission.acceptedAtMs,
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
    })),
});
