import type { ContactTracker } from "./contactTracker.js";
import type { WorkerSessionOptions } from "./session.js";
import { createWorkerLease, lateOrderMs } from "./workerLease.js";
import type { WorkerLease } from "./workerLease.js";

/** Callbacks of {@link createSessionKnowledge}. */
export interface SessionKnowledgeListener {
    /** Called when an answer shows that the worker may have restarted. */
    onPossibleRestart(): void;
    /** Called once when the lease of the worker's runs has certainly expired while the worker did not answer. */
    onLeaseExpired(): void;
}

/** What a session knows about its worker from answers and their absence: its clock, its lease, whether it is in sync. */
export interface SessionKnowledge {
    readonly lease: WorkerLease;
    /** Whether the worker's runs are known. */
    isSynced(): boolean;
    isLeaseExpired(): boolean;
    /** Records an answer to an order that was sent at the monotonic time `sentAtMs`, with its reading of the clock. */
    recordAnswer(clockMs: number | undefined, sentAtMs: number): void;
    /** Records a report of this incarnation of the worker, which was requested at the monotonic time `sentAtMs`. */
    recordReport(clockMs: number, sentAtMs: number): void;
    /** Whether a reading of the clock in an answer that has just arrived certainly comes from this incarnation of the worker. */
    isOwnClock(clockMs: number): boolean;
    /** Checks whether the lease has expired without an answer. */
    checkLeaseExpiry(): void;
}

/** Creates the knowledge of a session that has got no answer yet. */
export const createSessionKnowledge = (
    options: WorkerSessionOptions,
    contact: ContactTracker,
    listener: SessionKnowledgeListener,
): SessionKnowledge => {
    const { timer, log } = options;
    const lease = createWorkerLease({ ...options, leaseMs: options.maxLeaseMs });
    let synced = false;
    let leaseExpired = false;
    let reportSentAtMs = Number.NEGATIVE_INFINITY;

    const recordContact = (): void => {
        contact.recordAnswer();
        leaseExpired = false;
    };

    return {
        lease,
        isSynced: () => synced,
        isLeaseExpired: () => leaseExpired,
        recordAnswer: (clockMs, sentAtMs) => {
            recordContact();
            if (clockMs === undefined) {
                return;
            }
            if (lease.isPossibleClock(clockMs, sentAtMs)) {
                lease.recordClock(clockMs);
                return;
            }
            log("info", "worker may have restarted", { worker: options.id, bornMs: options.bornMs, clockMs });
            // the next poll shows which incarnation answers, and carries nothing of this one
            synced = false;
            lease.recordNextIncarnation();
            listener.onPossibleRestart();
        },
        recordReport: (clockMs, sentAtMs) => {
            recordContact();
            lease.recordClock(clockMs);
            lease.boundEarlierLeases();
            synced = true;
            reportSentAtMs = Math.max(reportSentAtMs, sentAtMs);
        },
        // The next incarnation began after the last report was requested. This VM's clock does not count the time for which
        // it was suspended; a planner that was suspended for longer has lost its term.
        isOwnClock: clockMs => clockMs > timer.nowMs() - reportSentAtMs + lateOrderMs,
        checkLeaseExpiry: () => {
            const outOfContact = contact.silentMs() > 0 || options.client === undefined;
            if (!leaseExpired && outOfContact && timer.nowMs() > lease.expiresAtMs()) {
                leaseExpired = true;
                synced = false;
                listener.onLeaseExpired();
            }
        },
    };
};
