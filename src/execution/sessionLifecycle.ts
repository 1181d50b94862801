import { createUnknownRun, RunPhase, taskIdOf, taskKey } from "../jobs/progress.js";
import type { Run, TaskState } from "../jobs/progress.js";
import { isEnded } from "../jobs/types.js";
import type { PlannerContext } from "./context.js";
import { createFencingTokens } from "./fencingTokens.js";
import { createGuardedClient } from "./guardedClient.js";
import type { InheritedLeases } from "./leaseBounds.js";
import type { ReportHandler } from "./reportHandler.js";
import type { RunMonitor } from "./runMonitor.js";
import { createWorkerSession } from "./session.js";
import type { WorkerSession } from "./session.js";
import type { WorkerClient, WorkerDescriptor } from "./types.js";
import { endsAfterMs } from "./workerLease.js";

/** Options of {@link createSessionLifecycle}. */
export interface SessionLifecycleOptions {
    context: PlannerContext;
    reports: ReportHandler;
    runMonitor: RunMonitor;
    createClient: (descriptor: WorkerDescriptor) => WorkerClient;
    /** Whether the planner may still renew leases. */
    mayRenew: () => boolean;
    /** Called when a worker has seen a later term. */
    onFenced: (reason: string) => void;
    /** Called when a later incarnation of a worker answers. */
    onRestarted: (session: WorkerSession, bornMs?: number) => void;
    /** Leases that earlier planners may have granted. */
    inheritedLeases: InheritedLeases;
    /** Whether successors were told that this planner does not extend the lease of a worker. */
    isLeaseWithheld: (workerId: string) => boolean;
    /** Publishes which leases the planner does not extend, since that has changed. */
    publishLeases: () => void;
    /** Longest lease that any poll grants. */
    maxLeaseMs: number;
    /** Longest lease that workers accept. */
    longestLeaseMs: number;
}

/** Opens and closes worker sessions, and hands over what a session's successor has to know. */
export interface SessionLifecycle {
    /** Opens the session of a listed worker. */
    openSession(descriptor: WorkerDescriptor): WorkerSession;
    /** Opens the session of a worker that is not listed; without an address it has no client. */
    openUnlisted(id: string, bornMs: number, address: string | undefined): WorkerSession;
    /**
     * Opens the session of the incarnation after that of another session, whose orders may have granted it the longest
     * lease.
     */
    openNextIncarnation(previous: WorkerSession, worker: OpenedWorker): WorkerSession;
    /** Closes the session of an incarnation that has ended, and abandons its runs. */
    closeSession(session: WorkerSession, reason: string): void;
    /**
     * Closes a session, and moves what the next incarnation may have received: the start orders of runs that were never
     * reported or were given up without an answer, and orders of fenced runs that may still be on their way.
     */
    replaceSession(session: WorkerSession, successor: WorkerSession): void;
}

/** A worker with which a session is opened. */
export interface OpenedWorker {
    id: string;
    bornMs: number;
    /** Absent for a worker that is not listed. */
    descriptor?: WorkerDescriptor;
    /** `host:port`, if it is known. */
    address?: string;
}

/** What has to be known of a worker that is not listed to call it; nothing is placed on it. */
const describeUnlisted = (id: string, bornMs: number, address: string): WorkerDescriptor => ({
    id,
    service: "",
    address,
    availabilityZone: "",
    labels: [],
    rack: "",
    capacity: { milliCores: 0, memoryMb: 0, accelerators: 0 },
    bornMs,
    draining: true,
});

/** Lease of a worker with long-running tasks, which are to be started elsewhere soon after it was lost. */
const longRunningLeaseMs = 5_000;

/** Whether the next incarnation of its worker may have carried out a run's start order, or still may. */
const isUnconfirmed = ({ phase, firstListedAtMs, startConfirmed }: Run): boolean =>
    phase !== RunPhase.Recording && firstListedAtMs === undefined && startConfirmed !== true;

const restartedReason = "the worker has started anew";

/** Creates the functions that open and close the worker sessions of a term. */
export const createSessionLifecycle = (options: SessionLifecycleOptions): SessionLifecycle => {
    const { context, reports, runMonitor } = options;
    const { sessions, runs, timer, health } = context;
    const fencingTokens = createFencingTokens(context.term);

    const leaseMsOf = (session: WorkerSession): number =>
        [...runs.tasksOn(session)].some(task => task.unit.step.longRunning)
            ? Math.min(longRunningLeaseMs, options.maxLeaseMs)
            : options.maxLeaseMs;

    const open = (worker: OpenedWorker, leasesExpireAtMs: number): WorkerSession => {
        const { id, bornMs, descriptor, address } = worker;
        const called = descriptor ?? (address === undefined ? undefined : describeUnlisted(id, bornMs, address));
        const session = createWorkerSession({
            id,
            bornMs,
            descriptor,
            address,
            client: called === undefined ? undefined : createGuardedClient(options.createClient(called)),
            timer,
            log: context.log,
            nextFencingToken: () => fencingTokens.next(id),
            mayRenew: options.mayRenew,
            isLeaseWithheld: () => options.isLeaseWithheld(id),
            leaseMs: leaseMsOf,
            maxLeaseMs: options.maxLeaseMs,
            longestLeaseMs: options.longestLeaseMs,
            earlierLeasesExpireAtMs: leasesExpireAtMs,
            listener: {
                // a restart has to be noticed before the next incarnation begins a run that was given up
                isBusy: busy => runs.tasksOn(busy).size > 0 || context.unansweredStarts.givenUpOn(id).length > 0,
                hasUnconfirmedStarts: active =>
                    [...runs.tasksOn(active)].some(({ run }) => run !== undefined && isUnconfirmed(run)),
                onReport: (reporting, report, sentAtMs) => {
                    if (options.isLeaseWithheld(id)) {
                        options.publishLeases();
                    }
                    reports.onReport(reporting, report, sentAtMs);
                    runMonitor.onReport(reporting);
                },
                onLeaseExpired: expired => reports.abandonRuns(expired, "its lease has lapsed", false),
                onRestarted: options.onRestarted,
                onContactLost: lost => {
                    // a session that was replaced says nothing about the incarnation that runs now
                    if (sessions.get(id) === lost) {
                        health.recordLostContact(id);
                    }
                },
                onFenced: fenced => options.onFenced(`worker ${fenced.id} has seen a later term`),
            },
        });
        sessions.set(id, session);
        health.beginSession(id, bornMs);
        // an incarnation that began since has not seen the stops that went to the one before
        context.unansweredStarts.givenUpOn(id).forEach(({ task, run }) => session.fenceRun(taskIdOf(task), run));
        return session;
    };

    const openSession = (descriptor: WorkerDescriptor): WorkerSession =>
        open({ ...descriptor, descriptor }, options.inheritedLeases.expiresAtMs(descriptor.id));

    const openUnlisted = (id: string, bornMs: number, address: string | undefined): WorkerSession =>
        open({ id, bornMs, address }, options.inheritedLeases.expiresAtMs(id));

    const openNextIncarnation = (previous: WorkerSession, worker: OpenedWorker): WorkerSession => {
        const lastOrderAtMs = Math.max(timer.nowMs(), previous.lease.lateOrdersUntilMs());
        const inheritedExpireAtMs = options.inheritedLeases.expiresAtMs(worker.id);
        const expireAtMs = Math.max(inheritedExpireAtMs, lastOrderAtMs + endsAfterMs(options.longestLeaseMs));
        return open(worker, expireAtMs);
    };

    const closeSession = (session: WorkerSession, reason: string): void => {
        if (session.closed) {
            return;
        }
        session.close();
        if (sessions.get(session.id) === session) {
            sessions.delete(session.id);
            health.endSession(session.id);
        }
        reports.abandonRuns(session, reason, true);
    };

    const replaceSession = (session: WorkerSession, successor: WorkerSession): void => {
        moveRuns(context, session, successor, run => run.firstListedAtMs === undefined);
        session.pendingFences().forEach(({ task, run }) => successor.fenceRun(task, run));
        closeSession(session, restartedReason);
        if (successor.bornMs !== session.bornMs && successor.client !== undefined) {
            restoreUnansweredStarts(context, successor);
        }
    };

    return { openSession, openUnlisted, openNextIncarnation, closeSession, replaceSession };
};

/**
 * Reassigns runs to another session of the same worker; whether a started run is alive there is then unknown. A run that
 * is still being recorded is withdrawn, as no order for it was sent.
 */
export const moveRuns = (
    context: PlannerContext,
    from: WorkerSession,
    to: WorkerSession,
    shouldMove: (run: Run) => boolean,
): void => {
    for (const task of [...context.runs.tasksOn(from)]) {
        const { run } = task;
        if (run === undefined || !shouldMove(run)) {
            continue;
        }
        logMovedRun(context, task, run);
        if (run.phase === RunPhase.Recording) {
            context.runs.clear(task);
        }
        else {
            context.runs.set(task, { ...run, phase: RunPhase.Unknown, worker: to, startConfirmed: false });
        }
    }
};

/**
 * Makes runs whose start got no answer the current ones of their tasks again, if these have no other run: the next
 * incarnation of the worker has not seen the stop after which they were given up.
 */
const restoreUnansweredStarts = (context: PlannerContext, worker: WorkerSession): void => {
    const starts = context.unansweredStarts.givenUpOn(worker.id).sort((left, right) => right.run - left.run);
    for (const { task, run, sentAtMs } of starts) {
        const isWaiting = task.run === undefined && !task.done && !isEnded(task.unit.job.phase);
        if (isWaiting) {
            context.runs.set(task, createUnknownRun(run, worker, sentAtMs));
            void context.record(task.unit.job);
        }
    }
};

const logMovedRun = ({ log }: PlannerContext, task: TaskState, { number, worker, phase }: Run): void =>
    log("info", "run moved to the worker's next session", {
        task: taskKey(taskIdOf(task)),
        run: number,
        worker: worker.id,
        phase,
    });
