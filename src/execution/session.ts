import type { TaskId } from "../jobs/types.js";
import type { Log } from "../node/logs.js";
import { createUnexpectedErrorLog } from "../node/unexpectedErrors.js";
import { runGuarded } from "../utils/runGuarded.js";
import type { TimerService } from "../utils/timer.js";
import { createContactTracker } from "./contactTracker.js";
import { createEndCursor } from "./endCursor.js";
import { createFenceQueue } from "./fenceQueue.js";
import { createPollPause, pollRetryMs, runPollLoop } from "./pollLoop.js";
import { Refusal } from "./types.js";
import type { OrderError, WorkerClient, WorkerDescriptor, WorkerReport } from "./types.js";
import { createWorkerLease } from "./workerLease.js";

/** Callbacks of a worker session. */
export interface SessionListener {
    /** Whether the worker has runs, started or ordered, so that it has to be polled. */
    isBusy(session: WorkerSession): boolean;
    /** Called with each report; `sentAtMs` is the monotonic time at which it was requested. */
    onReport(session: WorkerSession, report: WorkerReport, sentAtMs: number): void;
    /** Called once when the lease of the worker's runs has certainly expired while the worker did not answer. */
    onLeaseExpired(session: WorkerSession): void;
    /** Called when another incarnation of the worker answers at its address. */
    onRestarted(session: WorkerSession): void;
    /** Called when the worker has seen a higher fencing token. */
    onFenced(session: WorkerSession): void;
}

/** Options of {@link createWorkerSession}. */
export interface WorkerSessionOptions {
    id: string;
    bornMs: number;
    /** Absent for a worker that is not listed and known only from recorded runs. */
    descriptor?: WorkerDescriptor;
    /** Absent together with the descriptor. */
    client?: WorkerClient;
    timer: TimerService;
    log: Log;
    /** Number of the planner's term. */
    fencingToken: number;
    /** Whether the planner may still renew leases. */
    mayRenew: () => boolean;
    /** Length of the lease that the next poll grants. */
    leaseMs: (session: WorkerSession) => number;
    /** Longest lease that any poll grants. */
    maxLeaseMs: number;
    /** Monotonic time by which every lease granted by earlier planners has expired, if it is not renewed. */
    earlierLeasesExpireAtMs: number;
    listener: SessionListener;
}

/** Session of one planner term with one incarnation of a worker; polls the worker and renews the lease of its runs. */
export interface WorkerSession {
    readonly id: string;
    readonly bornMs: number;
    /** The worker as last listed; `undefined` for one that is not listed. */
    descriptor: WorkerDescriptor | undefined;
    readonly client: WorkerClient | undefined;
    /** Whether the worker has answered under this term, and its lease has not expired since: its runs are known. */
    isSynced(): boolean;
    /** Time since the last answer; 0 while the worker answers. */
    silentMs(): number;
    /** End of a lease of at most `maxMs` for an order sent now, on the worker's clock; 0 before the first answer. */
    untilClockMs(maxMs?: number): number;
    /** Records the end of a lease that an order is about to carry. */
    recordLease(untilClockMs: number): void;
    /** Records an answer with its reading of the worker's clock. */
    recordAnswer(clockMs: number | undefined): void;
    /** Records that an order got no answer. */
    recordNoAnswer(reason: string): void;
    /** Stops a run on the worker, or prevents it from starting there, before the lease is renewed again. */
    fenceRun(task: TaskId, run: number): void;
    /** Number of runs that are still to be fenced. */
    pendingFenceCount(): number;
    /** Acknowledges ended runs up to a number with the next poll; they must be recorded by then. */
    acknowledge(number: number): void;
    /** Ends a pause between polls; with `skipLongPoll` the next poll does not wait for a run to end. */
    resumePolling(skipLongPoll?: boolean): void;
    /** Stops polling and closes the client. */
    close(): void;
    readonly closed: boolean;
}

/** Time for which a poll waits for a run to end; short enough to renew the lease several times before it expires. */
const longPollMs = 1_000;
/** Opens a session: polls the worker for its runs, renews their lease and passes on the reports. */
export const createWorkerSession = (options: WorkerSessionOptions): WorkerSession => {
    const { timer, log, client, fencingToken, listener } = options;
    const lease = createWorkerLease(timer, options.maxLeaseMs, options.earlierLeasesExpireAtMs);
    const contact = createContactTracker(timer, log, options.id);
    const ends = createEndCursor();
    const pollPause = createPollPause(timer);
    const logPollError = createUnexpectedErrorLog(log, "a worker could not be polled");
    let synced = false;
    let closed = false;
    let leaseExpired = false;

    const recordAnswer = (clockMs: number | undefined): void => {
        if (clockMs !== undefined) {
            lease.recordClock(clockMs);
        }
        contact.recordAnswer();
        leaseExpired = false;
    };

    const handleOrderError = (error: OrderError): void => {
        if (error.kind === "noAnswer") {
            contact.recordNoAnswer(error.detail);
            return;
        }
        if (error.clockMs !== undefined) {
            recordAnswer(error.clockMs);
        }
        if (error.refusal === Refusal.Fenced) {
            listener.onFenced(session);
        }
        if (error.refusal === Refusal.OtherIncarnation) {
            listener.onRestarted(session);
        }
    };

    const fences = createFenceQueue(fencingToken, handleOrderError);

    const checkLeaseExpiry = (): void => {
        const outOfContact = contact.silentMs() > 0 || client === undefined;
        if (!leaseExpired && outOfContact && timer.nowMs() > lease.expiresAtMs()) {
            leaseExpired = true;
            synced = false;
            listener.onLeaseExpired(session);
        }
    };

    /** Polls the worker once; the first poll renews no lease, since the runs on the worker are not known yet. */
    const poll = async (active: WorkerClient): Promise<boolean> => {
        const sentAtMs = timer.nowMs();
        // a renewal without an answer may have extended the lease, so none is sent until the worker answers again
        const mayRenew = synced && contact.silentMs() === 0 && options.mayRenew();
        const untilClockMs = mayRenew ? lease.untilClockMs(options.leaseMs(session)) : undefined;
        lease.recordLease(untilClockMs ?? 0);
        const skipLongPoll = pollPause.consumeSkipLongPoll();
        const mayLongPoll = synced && ends.areRecorded() && listener.isBusy(session) && !skipLongPoll;
        const acknowledged = ends.acknowledged();
        const waitMs = mayLongPoll ? longPollMs : undefined;
        const answer = await active.hold({ fencingToken, acknowledged, untilClockMs, waitMs });
        if (closed) {
            return true;
        }
        if (!answer.ok) {
            handleOrderError(answer.error);
            return false;
        }
        if (answer.value.bornMs !== options.bornMs) {
            listener.onRestarted(session);
            return true;
        }
        recordAnswer(answer.value.clockMs);
        lease.boundEarlierLeases();
        ends.recordAnswer(acknowledged, answer.value);
        synced = true;
        runGuarded(() => listener.onReport(session, answer.value, sentAtMs), logUnexpectedError(log, options.id));
        return true;
    };

    const handleUnexpected = (detail: string): void => {
        logPollError(detail);
        contact.recordNoAnswer("unexpected error");
    };

    const startPolling = (active: WorkerClient): void =>
        void runPollLoop({
            pause: pollPause,
            isClosed: () => closed,
            // a silent worker is polled until it answers, since it is sent no order that would show it
            isIdle: () =>
                synced && fences.count() === 0 && ends.isConfirmed() && !listener.isBusy(session)
                && contact.silentMs() === 0,
            poll: async () => await fences.send(active) && await poll(active),
            hasUnrecordedEnds: () => !ends.areRecorded(),
            onPolled: checkLeaseExpiry,
            onUnexpected: handleUnexpected,
        });

    const session: WorkerSession = {
        id: options.id,
        bornMs: options.bornMs,
        descriptor: options.descriptor,
        client,
        isSynced: () => synced,
        silentMs: contact.silentMs,
        untilClockMs: lease.untilClockMs,
        recordLease: lease.recordLease,
        recordAnswer,
        recordNoAnswer: contact.recordNoAnswer,
        fenceRun: (task, number) => {
            fences.add(task, number);
            pollPause.interrupt(false);
        },
        pendingFenceCount: fences.count,
        acknowledge: number => {
            if (ends.acknowledge(number)) {
                pollPause.interrupt(false);
            }
        },
        resumePolling: skipLongPoll => pollPause.interrupt(skipLongPoll === true),
        close: () => {
            closed = true;
            pollPause.interrupt(false);
            client?.close();
        },
        get closed() {
            return closed;
        },
    };
    if (client === undefined) {
        const unsubscribe = timer.every(pollRetryMs, () => closed || leaseExpired ? unsubscribe() : checkLeaseExpiry());
    }
    else {
        startPolling(client);
    }
    return session;
};

const logUnexpectedError = (log: Log, worker: string) => (detail: string): void =>
    log("error", "a report could not be taken", { worker, detail });
