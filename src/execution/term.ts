import type { PendingCounts } from "../jobs/queries/pendingJobs.js";
import { plannerLeaseKey, plannerPart, plannerTable } from "../jobs/rows.js";
import type { Log } from "../node/logs.js";
import { describeStateError, StateErrorKind } from "../state/types.js";
import type { StateError, StateRow, StateTable } from "../state/types.js";
import { createConfirmation } from "../utils/confirmation.js";
import { createCandidacy } from "./candidacy.js";
import type { CandidacyOptions } from "./candidacy.js";

/** Row that says which VM plans. */
export interface PlannerLease {
    /** Name of the VM; empty after it handed the term over. */
    holder: string;
    /** Number of the term, which is the fencing token towards workers. */
    term: number;
    /** Counts the renewals, so that the row changes with each. */
    beat: number;
    /** Jobs that wait, as counted at the renewal. @default nothing is known of them */
    pending?: PendingCounts;
}

/** Options of {@link createTerm}. */
export interface TermOptions extends CandidacyOptions {
    state: StateTable;
    log: Log;
    vm: string;
    /** Age of what is known of the jobs table, lease included. */
    followerAgeMs: () => number;
    /** Whether this VM may become the planner. */
    isCandidate: () => boolean;
    /** Jobs that wait, for the other VMs; `undefined` while it is not known. */
    pendingCounts: () => PendingCounts | undefined;
    onGained: (term: number) => void;
    onLost: (term: number, reason: string) => void;
}

/** This VM's part in choosing the planner. */
export interface Term {
    /** Takes a change of the lease row. */
    observe(row: StateRow): void;
    /** Number of the own term; `undefined` while another VM plans. */
    current(): number | undefined;
    /** Whether new orders may be sent: the term was confirmed a short time ago. */
    mayOrder(): boolean;
    /** Whether leases of running tasks may still be renewed. */
    mayRenew(): boolean;
    /** Gives the term up because it was found to be over. */
    lose(reason: string): void;
    /** Hands the term over, so that another VM takes it at once. */
    release(): Promise<void>;
    stop(): void;
}

/** Time between renewals; three fit into the time in which orders may be sent. */
const renewMs = 500;
/** Time since the last confirmation in which orders may be sent; shorter than the silence before a takeover. */
const orderMs = 1_500;
/** Time since the last confirmation in which leases of running tasks are renewed; covers a usual outage. */
export const renewLeasesMs = 8_000;
/** Age of the lease row above which its holder is not judged; a copy of a table without changes gets 1.3 s old. */
const maxViewAgeMs = 1_700;
const tickMs = 100;

/** The lease as this VM holds it. */
interface OwnTerm {
    term: number;
    /** Version of the lease row. */
    version: number;
    beat: number;
}

const asLease = (row: StateRow | undefined): PlannerLease | undefined => row?.value as PlannerLease | undefined;

const isLease = (row: StateRow): boolean => row.key === plannerLeaseKey;

/** The lease row in a refusal. */
const rowOf = (error: StateError): StateRow | undefined =>
    error.kind === StateErrorKind.Conflict ? error.rows.find(isLease) : undefined;

const isHeldBy = (row: StateRow, vm: string, term: number): boolean =>
    asLease(row)?.holder === vm && asLease(row)?.term === term;

const writeLease = (state: StateTable, version: number, lease: PlannerLease) =>
    state.commit({
        part: plannerPart,
        conditions: [{ table: plannerTable, key: plannerLeaseKey, version }],
        writes: [{ table: plannerTable, key: plannerLeaseKey, value: lease }],
    });

const emptyLease = (state: StateTable, { version, term, beat }: OwnTerm, pending: PendingCounts | undefined) =>
    writeLease(state, version, { holder: "", term, beat: beat + 1, pending });

/** Takes part in choosing the planner through a lease row in the table. */
export const createTerm = (options: TermOptions): Term => {
    const { state, timer, log, vm } = options;
    let row: StateRow | undefined;
    let changedAtMs = timer.nowMs();
    let own: OwnTerm | undefined;
    const confirmation = createConfirmation(timer);
    let busy = false;
    let renewedAtMs = Number.NEGATIVE_INFINITY;
    let stopped = false;
    const candidacy = createCandidacy(options);

    const observe = (changed: StateRow): void => {
        if (changed.version > (row?.version ?? -1)) {
            row = changed;
            changedAtMs = timer.nowMs();
        }
    };

    const lose = (reason: string): void => {
        if (own !== undefined) {
            const { term } = own;
            own = undefined;
            changedAtMs = timer.nowMs();
            log("warn", "term lost", { term, reason });
            options.onLost(term, reason);
        }
    };

    const renew = async (mine: OwnTerm): Promise<void> => {
        const asked = confirmation.ask();
        const beat = mine.beat + 1;
        const pending = options.pendingCounts() ?? asLease(row)?.pending;
        const written = await writeLease(state, mine.version, { holder: vm, term: mine.term, beat, pending });
        if (own !== mine) {
            return;
        }
        if (written.ok) {
            own = { ...mine, version: written.value.version, beat };
            asked.confirm();
            return;
        }
        const found = rowOf(written.error);
        if (found !== undefined && isHeldBy(found, vm, mine.term)) {
            // an earlier renewal without an answer has taken effect
            own = { term: mine.term, version: found.version, beat: asLease(found)?.beat ?? beat };
            asked.confirm();
        }
        else if (written.error.kind === StateErrorKind.Conflict) {
            lose(`the lease names ${asLease(found)?.holder ?? "nobody"}`);
        }
    };

    const isDue = (): boolean => {
        if (options.followerAgeMs() > maxViewAgeMs) {
            changedAtMs = timer.nowMs();
            return false;
        }
        const lease = asLease(row);
        // a lease in the own name is of an earlier process on this VM, which is gone
        const released = lease === undefined || lease.holder === "" || lease.holder === vm;
        return candidacy.isDue(timer.nowMs() - changedAtMs, released);
    };

    const take = async (): Promise<void> => {
        const read = await state.read({ table: plannerTable, part: plannerPart });
        if (!read.ok) {
            return;
        }
        const found = read.value.rows.find(isLease);
        if ((found?.version ?? 0) !== (row?.version ?? 0)) {
            if (found !== undefined) {
                observe(found);
            }
            return;
        }
        const asked = confirmation.ask();
        const { term: before = 0, pending } = asLease(found) ?? {};
        const term = before + 1;
        const written = await writeLease(state, found?.version ?? 0, { holder: vm, term, beat: 1, pending });
        if (!written.ok) {
            log("info", "term not gained", { term, reason: describeStateError(written.error) });
            changedAtMs = written.error.kind === StateErrorKind.Conflict ? timer.nowMs() : changedAtMs;
            return;
        }
        own = { term, version: written.value.version, beat: 1 };
        candidacy.noteGained();
        asked.confirm();
        log("info", "term gained", { term, previous: asLease(found)?.holder, silentMs: timer.nowMs() - changedAtMs });
        options.onGained(term);
    };

    /** Stops planning, then lets others have the term; what was ordered is in the records. */
    const handOver = async (mine: OwnTerm, reason: string): Promise<void> => {
        own = undefined;
        options.onLost(mine.term, reason);
        const written = await emptyLease(state, mine, asLease(row)?.pending);
        log("info", "term handed over", { term: mine.term, reason, ok: written.ok });
    };

    const tick = async (): Promise<void> => {
        if (busy || stopped) {
            return;
        }
        busy = true;
        const reason = own === undefined ? undefined : candidacy.reasonToYield();
        if (own !== undefined && reason !== undefined) {
            candidacy.noteYielded();
            await handOver(own, reason);
        }
        else if (own !== undefined && timer.nowMs() - renewedAtMs >= renewMs) {
            renewedAtMs = timer.nowMs();
            await renew(own);
        }
        else if (own === undefined && options.isCandidate() && isDue()) {
            await take();
        }
        busy = false;
    };

    const unsubscribe = timer.every(tickMs, tick);

    return {
        observe,
        current: () => own?.term,
        mayOrder: () => own !== undefined && confirmation.ageMs() < orderMs,
        mayRenew: () => own !== undefined && confirmation.ageMs() < renewLeasesMs,
        lose,
        release: async () => {
            stopped = true;
            if (own !== undefined) {
                await handOver(own, "this VM stops");
            }
        },
        stop: () => {
            stopped = true;
            unsubscribe();
        },
    };
};
