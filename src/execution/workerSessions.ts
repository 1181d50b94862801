import { RunPhase } from "../jobs/progress.js";
import type { Run } from "../jobs/progress.js";
import type { PlannerContext } from "./context.js";
import type { Reports } from "./reports.js";
import { createWorkerSession } from "./session.js";
import type { WorkerSession } from "./session.js";
import { renewLeasesMs } from "./term.js";
import type { WorkerClient, WorkerView } from "./types.js";
import type { Watch } from "./watch.js";
import { slowClockFactor } from "./workerLease.js";

/** Options of {@link createWorkerSessions}. */
export interface WorkerSessionsOptions {
    context: PlannerContext;
    reports: Reports;
    watch: Watch;
    /** Workers as last listed. */
    workers: () => ReadonlyMap<string, WorkerView>;
    clientOf: (view: WorkerView) => WorkerClient;
    /** Longest lease that workers grant. */
    maxLeaseMs: number;
    mayRenew: () => boolean;
    onFenced: (reason: string) => void;
}

/** The sessions of a term, one for the newest incarnation of each worker. */
export interface WorkerSessions {
    /** Follows the list of workers. */
    sync(): void;
    /** Session of a recorded run; the recorded incarnation may not be listed yet or any more. */
    find(workerId: string, bornMs: number): WorkerSession;
    closeAll(): void;
}

/** Lease of what runs on a worker: outlasts a change of planner, and bounds the wait for a worker that fell silent. */
const leaseMs = 5_000;
/** Silence after which an unlisted worker is not expected back: orders are carried out up to 12 s late. */
const maxFenceMs = 15_000;
const restarted = "the worker has started anew";

/** Creates the sessions of a term. */
export const createWorkerSessions = (options: WorkerSessionsOptions): WorkerSessions => {
    const { context, reports, watch } = options;
    const { sessions, runs, timer } = context;
    const ownLeaseMs = Math.min(leaseMs, options.maxLeaseMs);
    const inheritedLapseAtMs = timer.nowMs() + (renewLeasesMs + ownLeaseMs) * slowClockFactor;

    const open = (id: string, bornMs: number, view: WorkerView | undefined): WorkerSession => {
        const session = createWorkerSession({
            id,
            bornMs,
            view,
            client: view === undefined ? undefined : options.clientOf(view),
            timer,
            log: context.log,
            fencingToken: context.term,
            mayRenew: options.mayRenew,
            leaseMs: ownLeaseMs,
            inheritedLapseAtMs,
            listener: {
                isBusy: busy => runs.on(busy).size > 0,
                onReport: (reporting, report, sentAtMs) => {
                    reports.onReport(reporting, report, sentAtMs);
                    watch.onReport(reporting);
                },
                onLapsed: silent => reports.onRunsLost(silent, "its lease has lapsed", false),
                onReborn,
                onFenced: fenced => options.onFenced(`worker ${fenced.id} has seen a later term`),
            },
        });
        sessions.set(id, session);
        return session;
    };

    const moveRuns = (from: WorkerSession, to: WorkerSession, isMoved: (run: Run) => boolean): void => {
        for (const task of [...runs.on(from)]) {
            if (task.run !== undefined && isMoved(task.run)) {
                const phase = task.run.phase === RunPhase.Recording ? RunPhase.Recording : RunPhase.Unknown;
                runs.set(task, { ...task.run, phase, worker: to });
            }
        }
    };

    const end = (session: WorkerSession, reason: string): void => {
        if (session.closed) {
            return;
        }
        session.close();
        if (sessions.get(session.id) === session) {
            sessions.delete(session.id);
        }
        context.health.forget(session.id);
        reports.onRunsLost(session, reason, true);
    };

    /** A start that was never seen to run may have reached the next incarnation, so it is looked for there. */
    const replace = (session: WorkerSession, successor: WorkerSession): void => {
        moveRuns(session, successor, run => run.firstListedAtMs === undefined);
        end(session, restarted);
    };

    const openListed = (view: WorkerView): void => {
        const known = sessions.get(view.id);
        if (known !== undefined && known.bornMs > view.bornMs) {
            return;
        }
        if (known !== undefined && known.bornMs === view.bornMs && known.client !== undefined) {
            known.view = view;
            return;
        }
        const opened = open(view.id, view.bornMs, view);
        if (known?.bornMs === view.bornMs) {
            moveRuns(known, opened, () => true);
        }
        if (known !== undefined) {
            replace(known, opened);
        }
    };

    /** The incarnation at the address is another one; its entry in the list tells which. */
    const onReborn = (session: WorkerSession): void => {
        const listed = options.workers().get(session.id);
        if (session.closed) {
            return;
        }
        if (listed !== undefined && listed.bornMs > session.bornMs) {
            openListed(listed);
        }
        else {
            replace(session, open(session.id, session.bornMs + 1, undefined));
        }
    };

    const closeUnlisted = (session: WorkerSession): void => {
        if (session.view === undefined) {
            return;
        }
        session.view = { ...session.view, draining: true };
        const idle = runs.on(session).size === 0;
        if (idle && (session.fenceCount() === 0 || session.silentMs() > maxFenceMs)) {
            end(session, "the worker is not listed any more");
        }
    };

    return {
        sync: () => {
            const listed = options.workers();
            listed.forEach(openListed);
            [...sessions.values()].filter(session => !listed.has(session.id)).forEach(closeUnlisted);
        },
        find: (workerId, bornMs) => {
            const known = sessions.get(workerId);
            if (known !== undefined && known.bornMs >= bornMs) {
                return known;
            }
            const unlisted = open(workerId, bornMs, undefined);
            if (known !== undefined) {
                replace(known, unlisted);
            }
            return unlisted;
        },
        closeAll: () => sessions.forEach(session => session.close()),
    };
};
