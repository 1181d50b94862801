import type { PendingCounts } from "../jobs/queries/pendingJobs.js";
import { plannerPart, plannerTable } from "../jobs/rows.js";
import type { Log } from "../node/logs.js";
import { describeStateError, StateErrorKind } from "../state/types.js";
import type { StateRow, StateTable } from "../state/types.js";
import { createCoalescedTask } from "../utils/coalescedTask.js";
import { createConfirmationTracker } from "../utils/confirmation.js";
import { createCandidacy, HandoverReason } from "./candidacy.js";
import type { CandidacyOptions } from "./candidacy.js";
import type { InheritedLeases, LeaseBounds } from "./leaseBounds.js";
import { createLeaseObserver } from "./leaseObserver.js";
import type { LeaseObserver } from "./leaseObserver.js";
import { createLeasePublication } from "./leasePublication.js";
import { adoptRenewal, asLease, isLeaseRow, leaseRowOf, releaseLease, writeLease } from "./plannerLease.js";
import type { HeldTerm, PublishedState } from "./plannerLease.js";

/** Options of {@link createPlannerElection}. */
export interface PlannerElectionOptions extends CandidacyOptions {
    state: StateTable;
    log: Log;
    vm: string;
    /** Age of the local copy of the planner table, which holds the lease row. */
    followerAgeMs: () => number;
    /** Whether this VM may acquire the term. */
    isCandidate: () => boolean;
    /** Whether this VM has planned in its term. */
    hasPlanned: () => boolean;
    /** Number of waiting jobs by queue, published to the other VMs; `undefined` while it is unknown. */
    pendingCounts: () => PendingCounts | undefined;
    /** Bounds on the leases that the planner does not renew; `undefined` while it knows no more than it inherited. */
    leaseBounds: () => LeaseBounds | undefined;
    /** Called when such bounds are in force. */
    onLeasesPublished: () => void;
    /** Time after which a lease that a planner grants now has certainly expired. */
    longestGrantMs: number;
    /** Like `longestGrantMs`, for a lease that an order which is carried out late grants to a worker's next incarnation. */
    longestLateGrantMs: number;
    onGained: (term: number, inheritedLeases: InheritedLeases) => void;
    onLost: (term: number, reason: string) => void;
}

/** This VM's part in the election of the planner. */
export interface PlannerElection {
    /** Applies a change of the lease row. */
    observe(row: StateRow): void;
    /** Number of the term that this VM holds; `undefined` while it holds none. */
    currentTerm(): number | undefined;
    /** Whether new orders may be sent: the term was confirmed recently. */
    mayOrder(): boolean;
    /** Whether leases of running tasks may still be renewed. */
    mayRenew(): boolean;
    /** Whether successors were, or may have been, told that this planner does not extend the lease of a worker. */
    isLeaseWithheld(workerId: string): boolean;
    /** Renews the term now, which publishes the present lease bounds; resolves with whether these are in force. */
    renewNow(): Promise<boolean>;
    /** Ends this VM's term after it was found to be superseded. */
    markLost(reason: string): void;
    /** Releases the term, so that another VM can acquire it at once; this VM does not acquire it again. */
    release(): Promise<void>;
    stop(): void;
}

/** Interval between renewals; three fit into {@link orderWindowMs}. */
const renewalIntervalMs = 500;
/** Time since the last confirmation in which orders may be sent; shorter than the time before a takeover. */
const orderWindowMs = 1_500;
/**
 * Time since the last confirmation in which leases of running tasks are renewed; covers a usual table outage. With the
 * lease it bounds the time for which a successor waits for runs on a worker that is gone.
 */
export const leaseRenewalWindowMs = 4_500;
/** Age of the local copy above which no takeover is attempted; the copy of an unchanged table is up to 1.3 s old. */
const maxLeaseRowAgeMs = 1_700;
/** Interval at which renewals, handovers and takeovers are checked. */
const checkIntervalMs = 100;

/** Reads the lease row; `undefined` if that fails or the row has changed since this VM last observed it. */
const readUnchangedLease = async (
    state: StateTable,
    observed: LeaseObserver,
): Promise<{ row: StateRow | undefined; } | undefined> => {
    const decidedOnVersion = observed.version();
    const read = await state.read({ table: plannerTable, part: plannerPart });
    const row = read.ok ? read.value.rows.find(isLeaseRow) : undefined;
    if (!read.ok || (row?.version ?? 0) === decidedOnVersion) {
        return read.ok ? { row } : undefined;
    }
    if (row !== undefined) {
        observed.observe(row);
    }
    return undefined;
};

/** Takes part in the election of the planner, which is decided by compare-and-set on a lease row in the table. */
export const createPlannerElection = (options: PlannerElectionOptions): PlannerElection => {
    const { state, timer, log, vm } = options;
    const observed = createLeaseObserver(timer);
    const publication = createLeasePublication({ ...options, renewalWindowMs: leaseRenewalWindowMs });
    let heldTerm: HeldTerm | undefined;
    const confirmation = createConfirmationTracker(timer);
    let lastRenewalAtMs = Number.NEGATIVE_INFINITY;
    const candidacy = createCandidacy(options);

    const markLost = (reason: string): void => {
        if (heldTerm !== undefined) {
            const { term } = heldTerm;
            heldTerm = undefined;
            observed.restartSilence();
            log("warn", "term lost", { term, reason });
            options.onLost(term, reason);
        }
    };

    const published = (): PublishedState & { leases: LeaseBounds; } => ({
        lastPlanner: options.hasPlanned() ? vm : observed.lease()?.lastPlanner,
        pending: options.pendingCounts() ?? observed.lease()?.pending,
        overloadAgeMs: candidacy.overloadAgeMs(),
        leases: publication.present(),
    });

    /** Renews the term; resolves with whether the published state is in force. */
    const renew = async (held: HeldTerm): Promise<boolean> => {
        const request = confirmation.startRequest();
        const publishedState = { beat: held.beat + 1, ...published() };
        publication.recordSent(publishedState.leases);
        const written = await writeLease(state, held.version, { holder: vm, term: held.term, ...publishedState });
        if (heldTerm !== held) {
            return false;
        }
        if (written.ok) {
            heldTerm = { ...held, version: written.value.version, beat: publishedState.beat };
            request.confirm();
            publication.recordInForce(publishedState.leases);
            return true;
        }
        const adopted = adoptRenewal(written.error, vm, held);
        if (adopted !== undefined) {
            heldTerm = adopted;
            request.confirm();
            publication.recordInForce(asLease(leaseRowOf(written.error))?.leases ?? publishedState.leases);
        }
        else if (written.error.kind === StateErrorKind.Conflict) {
            markLost(`the lease names ${asLease(leaseRowOf(written.error))?.holder ?? "nobody"}`);
        }
        return false;
    };

    const mayAcquire = (): boolean => {
        if (options.followerAgeMs() > maxLeaseRowAgeMs) {
            observed.restartSilence();
            return false;
        }
        const lease = observed.lease();
        // a lease that names this VM was acquired by an earlier process on it, which has ended
        const released = lease === undefined || lease.holder === "" || lease.holder === vm;
        return candidacy.mayAcquire(observed.silentMs(), released);
    };

    /** Acquires the term unless the lease changes while it is read: another VM may have acquired it just now. */
    const acquire = async (): Promise<void> => {
        const read = await readUnchangedLease(state, observed);
        if (read === undefined) {
            return;
        }
        const request = confirmation.startRequest();
        const previous = asLease(read.row);
        const inherited = publication.inherit(read.row, observed.changedAtMs(), vm);
        // the row may have been overwritten by another writer, and workers refuse a term lower than they have seen
        const term = Math.max(previous?.term ?? 0, observed.highestTerm()) + 1;
        const lease = { ...previous, holder: vm, term, beat: 1, leases: inherited.remaining() };
        const written = await writeLease(state, read.row?.version ?? 0, lease);
        if (!written.ok) {
            log("info", "term not gained", { term, reason: describeStateError(written.error) });
            if (written.error.kind === StateErrorKind.Conflict) {
                observed.restartSilence();
            }
            return;
        }
        heldTerm = { term, version: written.value.version, beat: 1 };
        candidacy.recordAcquired(previous?.overloadAgeMs);
        request.confirm();
        log("info", "term gained", { term, previous: previous?.holder, silentMs: observed.silentMs() });
        publication.begin(inherited, lease.leases);
        options.onGained(term, inherited);
    };

    /** Stops the planner, then releases the term; the next planner finds all orders in the stored records. */
    const handOver = async (held: HeldTerm, reason: HandoverReason): Promise<void> => {
        heldTerm = undefined;
        const released = { ...published(), leases: publication.atRelease() };
        options.onLost(held.term, reason);
        const written = await releaseLease(state, vm, held, released);
        log("info", "term handed over", { term: held.term, reason, ok: written.ok });
    };

    /** A request during a renewal is followed by another one, as the published state has changed. */
    const renewNow = createCoalescedTask(async () => {
        lastRenewalAtMs = timer.nowMs();
        return heldTerm !== undefined && await renew(heldTerm);
    });

    const check = async (): Promise<void> => {
        const reason = heldTerm === undefined ? undefined : candidacy.handoverReason();
        if (heldTerm !== undefined && reason !== undefined) {
            candidacy.recordHandover(reason);
            await handOver(heldTerm, reason);
        }
        else if (heldTerm !== undefined && timer.nowMs() - lastRenewalAtMs >= renewalIntervalMs) {
            await renewNow();
        }
        else if (heldTerm === undefined && options.isCandidate() && mayAcquire()) {
            await acquire();
        }
    };

    const unsubscribe = timer.every(checkIntervalMs, check);

    return {
        observe: observed.observe,
        currentTerm: () => heldTerm?.term,
        mayOrder: () => heldTerm !== undefined && confirmation.ageMs() < orderWindowMs,
        mayRenew: () => heldTerm !== undefined && confirmation.ageMs() < leaseRenewalWindowMs,
        isLeaseWithheld: publication.isWithheld,
        renewNow,
        markLost,
        release: async () => {
            unsubscribe();
            if (heldTerm !== undefined) {
                await handOver(heldTerm, HandoverReason.Stopping);
            }
        },
        stop: unsubscribe,
    };
};
