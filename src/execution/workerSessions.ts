import { RunPhase, taskIdOf, taskKey } from "../jobs/progress.js";
import type { Run, TaskState } from "../jobs/progress.js";
import type { PlannerContext } from "./context.js";
import { createGuardedClient } from "./guardedClient.js";
import { leaseRenewalWindowMs } from "./plannerElection.js";
import type { ReportHandler } from "./reportHandler.js";
import type { RunMonitor } from "./runMonitor.js";
import { createWorkerSession } from "./session.js";
import type { WorkerSession } from "./session.js";
import type { WorkerClient, WorkerDescriptor } from "./types.js";
import { slowClockFactor } from "./workerLease.js";

/** Options of {@link createWorkerSessions}. */
export interface WorkerSessionsOptions {
    context: PlannerContext;
    reports: ReportHandler;
    runMonitor: RunMonitor;
    /** Workers as last listed. */
    workers: () => ReadonlyMap<string, WorkerDescriptor>;
    /** Creates the client of a listed worker. */
    createClient: (descriptor: WorkerDescriptor) => WorkerClient;
    /** Maximum duration of a lease that workers accept. */
    maxLeaseMs: number;
    /** Whether the planner may still renew leases. */
    mayRenew: () => boolean;
    /** Called when a worker has seen a later term. */
    onFenced: (reason: string) => void;
}

/** The worker sessions of a term, one for the newest incarnation of each worker. */
export interface WorkerSessions {
    /** Opens, updates and closes sessions to match the list of workers. */
    reconcile(): void;
    /**
     * Finds the session of a recorded run's worker. Opens one without a client for an incarnation that is not, or no
     * longer, listed; returns the session of a newer incarnation where there is one.
     */
    findOrOpen(workerId: string, bornMs: number): WorkerSession;
    closeAll(): void;
}

/** Lease of a worker's runs: outlasts a change of planner and a network partition of some seconds. */
const leaseMs = 8_000;
/** Lease of a worker with long-running tasks, which are to be started elsewhere soon after it was lost. */
const longRunningLeaseMs = 5_000;
/** Number of the first term, before which no planner granted leases. */
const firstTerm = 1;
/** Time without an answer after which an unlisted worker is presumed gone; orders may take effect up to 12 s late. */
const maxFenceWaitMs = 15_000;
/** Maximum number of unknown services that a term logs. */
const maxLoggedServices = 100;
const restartedReason = "the worker has started anew";

/** Creates a filter of listed workers by the services that the configuration names: other writers use the list, too. */
const createServiceFilter = ({ operator, log }: PlannerContext) => {
    const loggedServices = new Set<string>();
    const isUsable = ({ id, service }: WorkerDescriptor): boolean => {
        const services = operator().configuration?.services;
        const known = services === undefined || services.includes(service);
        if (!known && !loggedServices.has(service) && loggedServices.size < maxLoggedServices) {
            loggedServices.add(service);
            log("warn", "worker of an unknown service is not used", { worker: id, service });
        }
        return known;
    };
    return (listed: ReadonlyMap<string, WorkerDescriptor>): ReadonlyMap<string, WorkerDescriptor> =>
        new Map([...listed].filter(([, descriptor]) => isUsable(descriptor)));
};

/** Creates the worker sessions of a term. */
export const createWorkerSessions = (options: WorkerSessionsOptions): WorkerSessions => {
    const { context, reports, runMonitor } = options;
    const { sessions, runs, timer } = context;
    const listUsable = createServiceFilter(context);
    const maxLeaseMs = Math.min(leaseMs, options.maxLeaseMs);
    const earlierLeasesExpireAtMs = context.term === firstTerm
        ? Number.NEGATIVE_INFINITY
        : timer.nowMs() + (leaseRenewalWindowMs + maxLeaseMs) * slowClockFactor;

    const leaseMsOf = (session: WorkerSession): number =>
        [...runs.tasksOn(session)].some(task => task.unit.step.longRunning)
            ? Math.min(longRunningLeaseMs, maxLeaseMs)
            : maxLeaseMs;

    const openSession = (id: string, bornMs: number, descriptor: WorkerDescriptor | undefined): WorkerSession => {
        const session = createWorkerSession({
            id,
            bornMs,
            descriptor,
            client: descriptor === undefined ? undefined : createGuardedClient(options.createClient(descriptor)),
            timer,
            log: context.log,
            fencingToken: context.term,
            mayRenew: options.mayRenew,
            leaseMs: leaseMsOf,
            maxLeaseMs,
            earlierLeasesExpireAtMs,
            listener: {
                isBusy: busy => runs.tasksOn(busy).size > 0,
                onReport: (reporting, report, sentAtMs) => {
                    reports.onReport(reporting, report, sentAtMs);
                    runMonitor.onReport(reporting);
                },
                onLeaseExpired: expired => reports.abandonRuns(expired, "its lease has lapsed", false),
                onRestarted,
                onFenced: fenced => options.onFenced(`worker ${fenced.id} has seen a later term`),
            },
        });
        sessions.set(id, session);
        return session;
    };

    /** Closes the session of an incarnation that has ended, and abandons its runs. */
    const closeSession = (session: WorkerSession, reason: string): void => {
        if (session.closed) {
            return;
        }
        session.close();
        if (sessions.get(session.id) === session) {
            sessions.delete(session.id);
        }
        context.health.reset(session.id);
        reports.abandonRuns(session, reason, true);
    };

    /** Moves the runs that were never reported, since the next incarnation may have received their start orders. */
    const replaceSession = (session: WorkerSession, successor: WorkerSession): void => {
        moveRuns(context, session, successor, run => run.firstListedAtMs === undefined);
        closeSession(session, restartedReason);
    };

    /** Opens or updates the session of a listed worker; ignores an entry that is older than the session. */
    const openOrUpdate = (descriptor: WorkerDescriptor): void => {
        const existing = sessions.get(descriptor.id);
        if (existing !== undefined && existing.bornMs > descriptor.bornMs) {
            return;
        }
        if (existing !== undefined && existing.bornMs === descriptor.bornMs && existing.client !== undefined) {
            existing.descriptor = descriptor;
            return;
        }
        const opened = openSession(descriptor.id, descriptor.bornMs, descriptor);
        if (existing?.bornMs === descriptor.bornMs) {
            moveRuns(context, existing, opened, () => true);
        }
        if (existing !== undefined) {
            replaceSession(existing, opened);
        }
    };

    /** Replaces the session after a restart; the list of workers may not show the new incarnation yet. */
    const onRestarted = (session: WorkerSession): void => {
        const listed = options.workers().get(session.id);
        if (session.closed) {
            return;
        }
        if (listed !== undefined && listed.bornMs > session.bornMs) {
            openOrUpdate(listed);
        }
        else {
            replaceSession(session, openSession(session.id, session.bornMs + 1, undefined));
        }
    };

    /** Keeps the session of an unlisted worker, without new runs, until it has no runs and none are left to fence. */
    const drainUnlisted = (session: WorkerSession): void => {
        if (session.descriptor === undefined) {
            return;
        }
        session.descriptor = { ...session.descriptor, draining: true };
        const idle = runs.tasksOn(session).size === 0;
        if (idle && (session.pendingFenceCount() === 0 || session.silentMs() > maxFenceWaitMs)) {
            closeSession(session, "the worker is not listed any more");
        }
    };

    return {
        reconcile: () => {
            const listed = listUsable(options.workers());
            listed.forEach(openOrUpdate);
            [...sessions.values()].filter(session => !listed.has(session.id)).forEach(drainUnlisted);
        },
        findOrOpen: (workerId, bornMs) => {
            const existing = sessions.get(workerId);
            if (existing !== undefined && existing.bornMs >= bornMs) {
                return existing;
            }
            const unlisted = openSession(workerId, bornMs, undefined);
            if (existing !== undefined) {
                replaceSession(existing, unlisted);
            }
            return unlisted;
        },
        closeAll: () => sessions.forEach(session => session.close()),
    };
};

/**
 * Reassigns runs to another session of the same worker; whether a started run is alive there is then unknown. A run that
 * is still being recorded is withdrawn, as no order for it was sent.
 */
const moveRuns = (
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
            context.runs.set(task, { ...run, phase: RunPhase.Unknown, worker: to });
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
