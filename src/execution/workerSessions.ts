import type { PlannerContext } from "./context.js";
import type { InheritedLeases, LeaseBounds } from "./leaseBounds.js";
import type { ReportHandler } from "./reportHandler.js";
import type { RunMonitor } from "./runMonitor.js";
import type { WorkerSession } from "./session.js";
import { createSessionLifecycle, moveRuns } from "./sessionLifecycle.js";
import type { WorkerClient, WorkerDescriptor } from "./types.js";
import { grantedLeaseMs, lateOrderMs } from "./workerLease.js";

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
    /** Leases that earlier planners may have granted. */
    inheritedLeases: InheritedLeases;
    /** Whether successors were told that this planner does not extend the lease of a worker. */
    isLeaseWithheld: (workerId: string) => boolean;
    /** Publishes which leases the planner does not extend, since that has changed. */
    publishLeases: () => void;
    /** Called when a worker has seen a later term. */
    onFenced: (reason: string) => void;
}

/** The worker sessions of a term, one for the newest incarnation of each worker. */
export interface WorkerSessions {
    /** Opens, updates and closes sessions to match the list of workers. */
    reconcile(): void;
    /**
     * Finds the session of a recorded run's worker. Opens one at the recorded address, if there is one, for an incarnation
     * that is not, or no longer, listed; returns the session of a newer incarnation where there is one.
     */
    findOrOpen(workerId: string, bornMs: number, address?: string): WorkerSession;
    /** Bounds on the leases of the workers that the planner does not renew. */
    leaseBounds(): LeaseBounds;
    closeAll(): void;
}

/** Maximum number of unknown services that a term logs. */
const maxLoggedServices = 100;

/** Creates the check whether the configuration names a listed worker's service: other writers use the list, too. */
const createServiceCheck = ({ operator, log }: PlannerContext) => {
    const loggedServices = new Set<string>();
    return ({ id, service }: WorkerDescriptor): boolean => {
        const services = operator().configuration?.services;
        const known = services === undefined || services.includes(service);
        if (!known && !loggedServices.has(service) && loggedServices.size < maxLoggedServices) {
            loggedServices.add(service);
            log("warn", "worker of an unknown service is not used", { worker: id, service });
        }
        return known;
    };
};

/** Time without an answer after which a planner's successors are told of a worker; single lost answers are not worth it. */
const publishedSilenceMs = 1_500;

/** Bounds on the leases of the workers that do not answer, by which a successor knows when their runs have ended. */
const boundLeases = (sessions: Iterable<WorkerSession>, nowMs: number): LeaseBounds => {
    const unanswered = [...sessions].filter(session => !session.isSynced() || session.silentMs() > publishedSilenceMs);
    const remainingMs = (session: WorkerSession): number => Math.max(0, Math.ceil(session.lease.expiresAtMs() - nowMs));
    return { byWorker: Object.fromEntries(unanswered.map(session => [session.id, remainingMs(session)])) };
};

/** Creates the worker sessions of a term. */
export const createWorkerSessions = (options: WorkerSessionsOptions): WorkerSessions => {
    const { context } = options;
    const { sessions, runs, timer } = context;
    const isOfKnownService = createServiceCheck(context);

    /** A listed worker; it gets no new work once its service has left the configuration. */
    const findListed = (id: string): WorkerDescriptor | undefined => {
        const listed = options.workers().get(id);
        return listed === undefined || isOfKnownService(listed) ? listed : { ...listed, draining: true };
    };
    const { openSession, openUnlisted, openNextIncarnation, closeSession, replaceSession } = createSessionLifecycle({
        ...options,
        maxLeaseMs: grantedLeaseMs(options.maxLeaseMs),
        longestLeaseMs: options.maxLeaseMs,
        onRestarted: (session, bornMs) => onRestarted(session, bornMs),
    });

    /** Opens or updates the session of a listed worker; ignores an entry that is older than the session. */
    const openOrUpdate = (descriptor: WorkerDescriptor): void => {
        const existing = sessions.get(descriptor.id);
        const isOutdated = existing !== undefined && existing.bornMs > descriptor.bornMs
            && existing.earlierBornMs() !== descriptor.bornMs;
        if (isOutdated) {
            return;
        }
        if (existing !== undefined && existing.bornMs === descriptor.bornMs && existing.client !== undefined) {
            existing.descriptor = descriptor;
            return;
        }
        const isNextIncarnation = existing !== undefined && existing.bornMs < descriptor.bornMs;
        const opened = isNextIncarnation
            ? openNextIncarnation(existing, { ...descriptor, descriptor })
            : openSession(descriptor);
        if (existing?.bornMs === descriptor.bornMs) {
            moveRuns(context, existing, opened, () => true);
        }
        if (existing !== undefined) {
            replaceSession(existing, opened);
        }
    };

    /**
     * Replaces the session after a restart. The list of workers may not show the new incarnation yet; if that answers,
     * its runs are learned from its reports, and it gets no others until it is listed, as it may be of another kind.
     */
    const onRestarted = (session: WorkerSession, bornMs?: number): void => {
        const { id, descriptor, address } = session;
        const listed = findListed(id);
        if (session.closed) {
            return;
        }
        if (listed !== undefined && listed.bornMs > session.bornMs && listed.bornMs >= (bornMs ?? 0)) {
            openOrUpdate(listed);
        }
        else if (bornMs !== undefined) {
            const unlisted = descriptor && { ...descriptor, bornMs, draining: true, leavesAtMs: undefined };
            replaceSession(session, openNextIncarnation(session, { id, bornMs, address, descriptor: unlisted }));
        }
        else {
            // whoever answers refuses the orders to this incarnation, also late ones; the runs of this one have ended
            openUnlisted(id, session.bornMs + 1, undefined);
            closeSession(session, "another worker answers at its address");
        }
    };

    /** Keeps the session of an unlisted worker, without new runs, until it has no runs and none are left to fence. */
    const drainUnlisted = (session: WorkerSession): void => {
        if (session.client === undefined) {
            return;
        }
        if (session.descriptor !== undefined) {
            session.descriptor = { ...session.descriptor, draining: true };
        }
        const idle = runs.tasksOn(session).size === 0;
        if (idle && (session.pendingFenceCount() === 0 || session.silentMs() > lateOrderMs)) {
            closeSession(session, "the worker is not listed any more");
        }
    };

    return {
        reconcile: () => {
            const listed = options.workers();
            const usable = new Set([...listed.values()].filter(isOfKnownService).map(({ id }) => id));
            [...listed.keys()].filter(id => usable.has(id) || sessions.has(id))
                .flatMap(id => findListed(id) ?? []).forEach(openOrUpdate);
            [...sessions.values()].filter(session => !usable.has(session.id)).forEach(drainUnlisted);
        },
        findOrOpen: (workerId, bornMs, address) => {
            const existing = sessions.get(workerId);
            if (existing !== undefined && existing.bornMs >= bornMs) {
                if (existing.bornMs > bornMs) {
                    existing.lease.extendEarlierLeases(options.inheritedLeases.nextIncarnationExpiresAtMs());
                }
                return existing;
            }
            const listed = findListed(workerId);
            const isListed = listed !== undefined && listed.bornMs >= bornMs;
            const opened = isListed ? openSession(listed) : openUnlisted(workerId, bornMs, address);
            if (existing !== undefined) {
                replaceSession(existing, opened);
            }
            return opened;
        },
        leaseBounds: () => boundLeases(sessions.values(), timer.nowMs()),
        closeAll: () => sessions.forEach(session => session.close()),
    };
};
