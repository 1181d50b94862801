import type { TaskId } from "../jobs/types.js";
import type { Log } from "../node/logs.js";
import { createUnexpectedErrorLog } from "../node/unexpectedErrors.js";
import { runGuarded } from "../utils/runGuarded.js";
import type { TimerService } from "../utils/timer.js";
import { createAcknowledgements } from "./acknowledgements.js";
import { createContactTracker } from "./contactTracker.js";
import type { ContactTracker } from "./contactTracker.js";
import { createFenceQueue } from "./fenceQueue.js";
import type { FencedRun } from "./fenceQueue.js";
import { createPollPause, pollRetryMs, runPollLoop } from "./pollLoop.js";
import { createSessionKnowledge } from "./sessionKnowledge.js";
import type { SessionKnowledge } from "./sessionKnowledge.js";
import { Refusal } from "./types.js";
import type { HoldOrder, OrderError, WorkerClient, WorkerDescriptor, WorkerReport } from "./types.js";
import type { WorkerLease } from "./workerLease.js";

/** Callbacks of a worker session. */
export interface SessionListener {
    /** Whether the worker has runs, started or ordered, or may begin one, so that it has to be polled. */
    isBusy(session: WorkerSession): boolean;
    /** Whether a start order that was sent under the session may reach the worker's next incarnation, or has. */
    hasUnconfirmedStarts(session: WorkerSession): boolean;
    /** Called with each report; `sentAtMs` is the monotonic time at which it was requested. */
    onReport(session: WorkerSession, report: WorkerReport, sentAtMs: number): void;
    /** Called once when the lease of the worker's runs has certainly expired while the worker did not answer. */
    onLeaseExpired(session: WorkerSession): void;
    /** Called when a later incarnation of the worker answers; `bornMs` is its start, unless it refuses to be called. */
    onRestarted(session: WorkerSession, bornMs?: number): void;
    /** Called when the worker does not answer any more. */
    onContactLost(session: WorkerSession): void;
    /** Called when the worker has seen a higher fencing token. */
    onFenced(session: WorkerSession): void;
}

/** Options of {@link createWorkerSession}. */
export interface WorkerSessionOptions {
    id: string;
    bornMs: number;
    /** Absent for a worker that is not listed and known only from recorded runs. */
    descriptor?: WorkerDescriptor;
    /** Address of a worker that is not listed, if it is recorded. */
    address?: string;
    /** Absent for a worker whose address is not known. */
    client?: WorkerClient;
    timer: TimerService;
    log: Log;
    /** Draws a token that is higher than all that orders to the worker have carried. */
    nextFencingToken: () => number;
    /** Whether the planner may still renew leases. */
    mayRenew: () => boolean;
    /** Whether successors were told that the planner does not extend this worker's lease. */
    isLeaseWithheld: () => boolean;
    /** Length of the lease that the next poll grants. */
    leaseMs: (session: WorkerSession) => number;
    /** Longest lease that any poll grants. */
    maxLeaseMs: number;
    /** Longest lease that the worker accepts. */
    longestLeaseMs: number;
    /** Monotonic time by which every lease granted by earlier sessions has expired, if it is not renewed. */
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
    /** Token in the orders of the session; rises when an acknowledgement gets no answer. */
    readonly fencingToken: number;
    /** Address of the worker; `undefined` if it is not known. */
    readonly address: string | undefined;
    /** Whether the worker has answered under this term, and its lease has not expired since: its runs are known. */
    isSynced(): boolean;
    /** Whether an order may extend the worker's lease. */
    mayExtendLease(): boolean;
    /** Lease of the worker's runs. */
    readonly lease: WorkerLease;
    /** Time since the last answer; 0 while the worker answers. */
    silentMs(): number;
    /**
     * Records an answer with its reading of the worker's clock, and polls for the worker's incarnation if the reading is too
     * low for this one; `sentAtMs` is the monotonic time at which the order was sent.
     */
    recordAnswer(clockMs: number | undefined, sentAtMs: number): void;
    /** Whether a reading of the worker's clock in an answer that has just arrived certainly comes from this incarnation. */
    isOwnClock(clockMs: number): boolean;
    /** Records a start order without an outcome, which keeps acknowledgements back; the returned function records the outcome. */
    recordStart(): () => void;
    /** Settles with the outcome of the acknowledgement that is on its way; no start may be sent before. */
    pendingAcknowledgement(): Promise<void> | undefined;
    /** Records that an order got no answer. */
    recordNoAnswer(reason: string): void;
    /** Stops a run on the worker, or prevents it from starting there, before the lease is renewed again. */
    fenceRun(task: TaskId, run: number): void;
    /** Number of runs that are still to be fenced. */
    pendingFenceCount(): number;
    /** Runs that are still to be fenced. */
    pendingFences(): readonly FencedRun[];
    /** Start of the earlier incarnation that answers in place of this one; `undefined` if none has answered. */
    earlierBornMs(): number | undefined;
    /** Acknowledges ended runs up to a number with the next poll; they must be recorded by then. */
    acknowledge(number: number): void;
    /** Ends a pause between polls; with `skipLongPoll` a poll follows that does not wait for a run to end. */
    resumePolling(skipLongPoll?: boolean): void;
    /** Stops polling and closes the client. */
    close(): void;
    readonly closed: boolean;
}

/** Time for which a poll waits for a run to end; short enough to renew the lease several times before it expires. */
const longPollMs = 1_000;
/** Delay between polls while ended runs are not recorded or acknowledged yet. */
const unrecordedPauseMs = 300;
/** Delay between polls until the lease may be extended again, which takes a write to the table. */
const withheldPauseMs = 50;

/** Opens a session: polls the worker for its runs, renews their lease and passes on the reports. */
export const createWorkerSession = (options: WorkerSessionOptions): WorkerSession => {
    const { timer, log, client, listener } = options;
    let fencingToken = options.nextFencingToken();
    const contact = createContactTracker(timer, log, options.id, () => listener.onContactLost(session));
    const pollPause = createPollPause(timer);
    const logPollError = createUnexpectedErrorLog(log, "a worker could not be polled");
    const knowledge = createSessionKnowledge(options, contact, {
        onPossibleRestart: () => pollPause.interrupt(true),
        onLeaseExpired: () => listener.onLeaseExpired(session),
    });
    const { lease, recordAnswer } = knowledge;
    const isInContact = (): boolean => knowledge.isSynced() && contact.silentMs() === 0;
    const acknowledgements = createAcknowledgements({
        isInContact,
        hasUnconfirmedStarts: () => listener.hasUnconfirmedStarts(session),
        onSendable: () => pollPause.interrupt(false),
        onUnanswered: acknowledged => {
            // the worker refuses the acknowledgement after an order with a higher token
            fencingToken = options.nextFencingToken();
            log("info", "an acknowledgement got no answer", { worker: options.id, acknowledged, fencingToken });
        },
    });
    let closed = false;
    let earlierBornMs: number | undefined;

    const handleOrderError = createOrderErrorHandler(() => session, contact, listener);
    const fences = createFenceQueue(timer, () => fencingToken, handleOrderError);

    /** Polls the worker once; the first poll renews no lease, since the runs on the worker are not known yet. */
    const poll = async (active: WorkerClient): Promise<boolean> => {
        const sentAtMs = timer.nowMs();
        // a renewal without an answer may have extended the lease, so none is sent until the worker answers again
        const inContact = isInContact();
        const isWithheld = options.isLeaseWithheld();
        const mayRenew = inContact && options.mayRenew() && !isWithheld;
        const untilClockMs = mayRenew ? lease.untilClockMs(options.leaseMs(session)) : undefined;
        const recordOutcome = lease.recordLease(untilClockMs ?? 0);
        const skipLongPoll = pollPause.consumeSkipLongPoll();
        const mayLongPoll = inContact && acknowledgements.areSettled() && listener.isBusy(session) && !skipLongPoll
            && !isWithheld;
        const acknowledged = acknowledgements.toSend();
        const waitMs = mayLongPoll ? longPollMs : undefined;
        const order: HoldOrder = { fencingToken, acknowledged, untilClockMs, waitMs };
        const answer = await (acknowledged > 0 ? acknowledgements.hold(active, order) : active.hold(order));
        recordOutcome(answer);
        if (closed) {
            return true;
        }
        if (!answer.ok) {
            handleOrderError(answer.error, sentAtMs);
            return false;
        }
        if (answer.value.bornMs < options.bornMs) {
            earlierBornMs = answer.value.bornMs;
            contact.recordNoAnswer("an earlier incarnation of the worker answers than the one that is listed");
            return false;
        }
        if (answer.value.bornMs > options.bornMs) {
            const { bornMs, clockMs } = answer.value;
            log("info", "a later incarnation answers", { worker: options.id, bornMs, clockMs, acknowledged });
            listener.onRestarted(session, bornMs);
            return true;
        }
        knowledge.recordReport(answer.value.clockMs, sentAtMs);
        acknowledgements.recordAnswer(acknowledged, answer.value);
        runGuarded(() => listener.onReport(session, answer.value, sentAtMs), logUnexpectedError(log, options.id));
        return true;
    };

    const startPolling = (active: WorkerClient): void =>
        void runPollLoop({
            pause: pollPause,
            isClosed: () => closed,
            // a silent worker is polled until it answers, since it is sent no order that would show it
            isIdle: () =>
                !pollPause.isPollRequested() && knowledge.isSynced() && fences.count() === 0
                && acknowledgements.isConfirmed()
                && !listener.isBusy(session)
                && contact.silentMs() === 0,
            poll: async () => await fences.send(active) && await poll(active),
            pauseMs: () =>
                acknowledgements.isWaiting() ? unrecordedPauseMs : options.isLeaseWithheld() ? withheldPauseMs : 0,
            onPolled: knowledge.checkLeaseExpiry,
            onUnexpected: detail => {
                logPollError(detail);
                contact.recordNoAnswer("unexpected error");
            },
        });

    const session: WorkerSession = {
        id: options.id,
        bornMs: options.bornMs,
        descriptor: options.descriptor,
        client,
        get fencingToken() {
            return fencingToken;
        },
        address: options.descriptor?.address ?? options.address,
        isSynced: knowledge.isSynced,
        lease,
        mayExtendLease: () => options.mayRenew() && !options.isLeaseWithheld(),
        silentMs: contact.silentMs,
        recordAnswer,
        isOwnClock: knowledge.isOwnClock,
        recordStart: acknowledgements.recordStart,
        pendingAcknowledgement: acknowledgements.pending,
        recordNoAnswer: contact.recordNoAnswer,
        fenceRun: (task, number) => {
            fences.add(task, number);
            pollPause.interrupt(false);
        },
        pendingFenceCount: fences.count,
        pendingFences: fences.list,
        earlierBornMs: () => earlierBornMs,
        acknowledge: acknowledgements.acknowledge,
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
    if (options.descriptor === undefined) {
        checkUntilLeaseExpired(timer, knowledge, () => closed);
    }
    if (client !== undefined) {
        startPolling(client);
    }
    return session;
};

/** Checks whether the lease has expired without polls, which a worker that is not listed may not get. */
const checkUntilLeaseExpired = (timer: TimerService, knowledge: SessionKnowledge, isClosed: () => boolean): void => {
    const unsubscribe = timer.every(
        pollRetryMs,
        () => isClosed() || knowledge.isLeaseExpired() ? unsubscribe() : knowledge.checkLeaseExpiry(),
    );
};

/** Creates the function that applies the outcome of a poll or a fence that failed. */
const createOrderErrorHandler =
    (session: () => WorkerSession, contact: ContactTracker, listener: SessionListener) =>
    (error: OrderError, sentAtMs: number): void => {
        const { closed, recordAnswer } = session();
        if (closed) {
            return;
        }
        if (error.kind === "noAnswer") {
            contact.recordNoAnswer(error.detail);
            return;
        }
        if (error.clockMs !== undefined) {
            recordAnswer(error.clockMs, sentAtMs);
        }
        if (error.refusal === Refusal.Fenced) {
            listener.onFenced(session());
        }
        if (error.refusal === Refusal.OtherIncarnation) {
            listener.onRestarted(session());
        }
    };

const logUnexpectedError = (log: Log, worker: string) => (detail: string): void =>
    log("error", "a report could not be taken", { worker, detail });
