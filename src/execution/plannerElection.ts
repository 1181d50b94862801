import type { PendingCounts } from "../jobs/queries/pendingJobs.js";
import { plannerLeaseKey, plannerPart, plannerTable } from "../jobs/rows.js";
import type { Log } from "../node/logs.js";
import { describeStateError, StateErrorKind } from "../state/types.js";
import type { StateError, StateRow, StateTable } from "../state/types.js";
import { createConfirmationTracker } from "../utils/confirmation.js";
import { createCandidacy, HandoverReason } from "./candidacy.js";
import type { CandidacyOptions } from "./candidacy.js";

/** Row of the table that names the VM which is the planner. */
export interface PlannerLease {
    /** Name of the VM; empty after it released the term. */
    holder: string;
    /** Number of the term, which is the fencing token in orders to workers. */
    term: number;
    /** Number of renewals, so that every renewal changes the row. */
    beat: number;
    /** Number of waiting jobs by queue, as of the renewal. @default unknown */
    pending?: PendingCounts;
    /** Time since a VM last handed the term over because it was overloaded. @default none did */
    overloadAgeMs?: number;
}

/** What the lease tells the other VMs besides who holds it. */
type PublishedState = Pick<PlannerLease, "pending" | "overloadAgeMs">;

/** Options of {@link createPlannerElection}. */
export interface PlannerElectionOptions extends CandidacyOptions {
    state: StateTable;
    log: Log;
    vm: string;
    /** Age of the local copy of the planner table, which holds the lease row. */
    followerAgeMs: () => number;
    /** Whether this VM may acquire the term. */
    isCandidate: () => boolean;
    /** Number of waiting jobs by queue, published to the other VMs; `undefined` while it is unknown. */
    pendingCounts: () => PendingCounts | undefined;
    onGained: (term: number) => void;
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
/** Time since the last confirmation in which leases of running tasks are renewed; covers a usual table outage. */
export const leaseRenewalWindowMs = 8_000;
/** Age of the local copy above which no takeover is attempted; the copy of an unchanged table is up to 1.3 s old. */
const maxLeaseRowAgeMs = 1_700;
/** Interval at which renewals, handovers and takeovers are checked. */
const checkIntervalMs = 100;

/** The term that this VM holds, as last written. */
interface HeldTerm {
    term: number;
    /** Version of the lease row. */
    version: number;
    beat: number;
}

const isPendingCounts = (value: unknown): value is PendingCounts =>
    typeof value === "object" && value !== null && Object.values(value).every(Number.isSafeInteger);

/** Decodes the lease row; `undefined` if there is none, or another writer's value that is no lease. */
export const asLease = (row: StateRow | undefined): PlannerLease | undefined => {
    const { holder, term, beat, pending, overloadAgeMs } = (row?.value ?? {}) as Partial<Record<string, unknown>>;
    if (typeof holder !== "string" || !Number.isSafeInteger(term) || !Number.isSafeInteger(beat)) {
        return undefined;
    }
    return {
        holder,
        term: Number(term),
        beat: Number(beat),
        pending: isPendingCounts(pending) ? pending : undefined,
        overloadAgeMs: typeof overloadAgeMs === "number" ? overloadAgeMs : undefined,
    };
};

const isLeaseRow = (row: StateRow): boolean => row.key === plannerLeaseKey;

/** The lease row as returned by a conflicting write. */
const leaseRowOf = (error: StateError): StateRow | undefined =>
    error.kind === StateErrorKind.Conflict ? error.rows.find(isLeaseRow) : undefined;

const isHeldBy = (row: StateRow, vm: string, term: number): boolean =>
    asLease(row)?.holder === vm && asLease(row)?.term === term;

const writeLease = (state: StateTable, version: number, lease: PlannerLease) =>
    state.commit({
        part: plannerPart,
        conditions: [{ table: plannerTable, key: plannerLeaseKey, version }],
        writes: [{ table: plannerTable, key: plannerLeaseKey, value: lease }],
    });

/** Writes the lease without a holder, which releases the term. */
const writeReleasedLease = (
    state: StateTable,
    { version, term, beat }: HeldTerm,
    published: PublishedState,
) => writeLease(state, version, { holder: "", term, beat: beat + 1, ...published });

/** The term after a renewal that was refused because an earlier one took effect although its answer was lost. */
const adoptRenewal = (error: StateError, vm: string, { term, beat }: HeldTerm): HeldTerm | undefined => {
    const found = leaseRowOf(error);
    return found === undefined || !isHeldBy(found, vm, term)
        ? undefined
        : { term, version: found.version, beat: asLease(found)?.beat ?? beat };
};

/** Releases the term, also if a renewal that got no answer yet has taken effect meanwhile. */
const releaseLease = async (state: StateTable, vm: string, held: HeldTerm, publishedState: PublishedState) => {
    const written = await writeReleasedLease(state, held, publishedState);
    const renewed = written.ok ? undefined : adoptRenewal(written.error, vm, held);
    return renewed === undefined ? written : writeReleasedLease(state, renewed, publishedState);
};

/** Takes part in the election of the planner, which is decided by compare-and-set on a lease row in the table. */
export const createPlannerElection = (options: PlannerElectionOptions): PlannerElection => {
    const { state, timer, log, vm } = options;
    let leaseRow: StateRow | undefined;
    let highestTerm = 0;
    let silentSinceMs = timer.nowMs();
    let heldTerm: HeldTerm | undefined;
    const confirmation = createConfirmationTracker(timer);
    let lastRenewalAtMs = Number.NEGATIVE_INFINITY;
    const candidacy = createCandidacy(options);

    const observe = (changed: StateRow): void => {
        if (changed.version > (leaseRow?.version ?? -1)) {
            leaseRow = changed;
            highestTerm = Math.max(highestTerm, asLease(changed)?.term ?? 0);
            silentSinceMs = timer.nowMs();
        }
    };

    const markLost = (reason: string): void => {
        if (heldTerm !== undefined) {
            const { term } = heldTerm;
            heldTerm = undefined;
            silentSinceMs = timer.nowMs();
            log("warn", "term lost", { term, reason });
            options.onLost(term, reason);
        }
    };

    const published = (): PublishedState => ({
        pending: options.pendingCounts() ?? asLease(leaseRow)?.pending,
        overloadAgeMs: candidacy.overloadAgeMs(),
    });

    const renew = async (held: HeldTerm): Promise<void> => {
        const request = confirmation.startRequest();
        const beat = held.beat + 1;
        const written = await writeLease(state, held.version, { holder: vm, term: held.term, beat, ...published() });
        if (heldTerm !== held) {
            return;
        }
        if (written.ok) {
            heldTerm = { ...held, version: written.value.version, beat };
            request.confirm();
            return;
        }
        const adopted = adoptRenewal(written.error, vm, held);
        if (adopted !== undefined) {
            heldTerm = adopted;
            request.confirm();
        }
        else if (written.error.kind === StateErrorKind.Conflict) {
            markLost(`the lease names ${asLease(leaseRowOf(written.error))?.holder ?? "nobody"}`);
        }
    };

    const mayAcquire = (): boolean => {
        if (options.followerAgeMs() > maxLeaseRowAgeMs) {
            silentSinceMs = timer.nowMs();
            return false;
        }
        const lease = asLease(leaseRow);
        // a lease that names this VM was acquired by an earlier process on it, which has ended
        const released = lease === undefined || lease.holder === "" || lease.holder === vm;
        return candidacy.mayAcquire(timer.nowMs() - silentSinceMs, released);
    };

    /** Acquires the term unless the lease changes while it is read: another VM may have acquired it just now. */
    const acquire = async (): Promise<void> => {
        const decidedOnVersion = leaseRow?.version ?? 0;
        const read = await state.read({ table: plannerTable, part: plannerPart });
        if (!read.ok) {
            return;
        }
        const found = read.value.rows.find(isLeaseRow);
        if ((found?.version ?? 0) !== decidedOnVersion) {
            if (found !== undefined) {
                observe(found);
            }
            return;
        }
        const request = confirmation.startRequest();
        const { term: previousTerm = 0, pending, overloadAgeMs } = asLease(found) ?? {};
        // the row may have been overwritten by another writer, and workers refuse a term lower than they have seen
        const term = Math.max(previousTerm, highestTerm) + 1;
        const lease = { holder: vm, term, beat: 1, pending, overloadAgeMs };
        const written = await writeLease(state, found?.version ?? 0, lease);
        if (!written.ok) {
            log("info", "term not gained", { term, reason: describeStateError(written.error) });
            silentSinceMs = written.error.kind === StateErrorKind.Conflict ? timer.nowMs() : silentSinceMs;
            return;
        }
        heldTerm = { term, version: written.value.version, beat: 1 };
        candidacy.recordAcquired(overloadAgeMs);
        request.confirm();
        log("info", "term gained", { term, previous: asLease(found)?.holder, silentMs: timer.nowMs() - silentSinceMs });
        options.onGained(term);
    };

    /** Stops the planner, then releases the term; the next planner finds all orders in the stored records. */
    const handOver = async (held: HeldTerm, reason: HandoverReason): Promise<void> => {
        heldTerm = undefined;
        options.onLost(held.term, reason);
        const written = await releaseLease(state, vm, held, published());
        log("info", "term handed over", { term: held.term, reason, ok: written.ok });
    };

    const check = async (): Promise<void> => {
        const reason = heldTerm === undefined ? undefined : candidacy.handoverReason();
        if (heldTerm !== undefined && reason !== undefined) {
            candidacy.recordHandover(reason);
            await handOver(heldTerm, reason);
        }
        else if (heldTerm !== undefined && timer.nowMs() - lastRenewalAtMs >= renewalIntervalMs) {
            lastRenewalAtMs = timer.nowMs();
            await renew(heldTerm);
        }
        else if (heldTerm === undefined && options.isCandidate() && mayAcquire()) {
            await acquire();
        }
    };

    const unsubscribe = timer.every(checkIntervalMs, check);

    return {
        observe,
        currentTerm: () => heldTerm?.term,
        mayOrder: () => heldTerm !== undefined && confirmation.ageMs() < orderWindowMs,
        mayRenew: () => heldTerm !== undefined && confirmation.ageMs() < leaseRenewalWindowMs,
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
