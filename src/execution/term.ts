import { jobsTable, plannerLeaseKey, plannerPart } from "../jobs/rows.js";
import type { Log } from "../node/logs.js";
import { describeStateError, StateErrorKind } from "../state/types.js";
import type { StateError, StateRow, StateTable } from "../state/types.js";
import { createConfirmation } from "../utils/confirmation.js";
import type { Random } from "../utils/random.js";
import type { TimerService } from "../utils/timer.js";

/** Row that says which VM plans. */
export interface PlannerLease {
    /** Name of the VM; empty after it handed the term over. */
    holder: string;
    /** Number of the term, which is the fencing token towards workers. */
    term: number;
    /** Counts the renewals, so that the row changes with each. */
    beat: number;
}

/** Options of {@link createTerm}. */
export interface TermOptions {
    state: StateTable;
    timer: TimerService;
    log: Log;
    vm: string;
    /** Age of what is known of the jobs table, lease included. */
    followerAgeMs: () => number;
    /** Whether this VM may become the planner. */
    isCandidate: () => boolean;
    /** Processing power of this VM as a share of the strongest one's, 0 to 1. */
    relativePower: () => number;
    /** Spreads the tries of several VMs. */
    random: Random;
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
/** Time since the last confirmation in which orders may be sent; shorter than {@link takeOverMs}. */
const orderMs = 1_500;
/** Time without a renewal after which another VM takes over; with its reads it stays under 3 s. */
const takeOverMs = 2_000;
/** Time since the last confirmation in which leases of running tasks are renewed; covers a usual outage. */
export const renewLeasesMs = 8_000;
/** Age of the lease row above which its holder is not judged; a copy of a table without changes gets 1.3 s old. */
const maxViewAgeMs = 1_700;
const tickMs = 100;
/** Delay of a VM without any power, so that a strong one takes the term first; with it a gap stays under 3 s. */
const weakDelayMs = 600;
/** Random delay that keeps VMs from trying at the same moment. */
const spreadMs = 150;

const asLease = (row: StateRow | undefined): PlannerLease | undefined => row?.value as PlannerLease | undefined;

/** The lease row in a refusal. */
const rowOf = (error: StateError): StateRow | undefined =>
    error.kind === StateErrorKind.Conflict ? error.rows.find(row => row.key === plannerLeaseKey) : undefined;

const isHeldBy = (row: StateRow, vm: string, term: number): boolean =>
    asLease(row)?.holder === vm && asLease(row)?.term === term;

/** Takes part in choosing the planner through a lease row in the table. */
export const createTerm = (options: TermOptions): Term => {
    const { state, timer, log, vm } = options;
    let row: StateRow | undefined;
    let changedAtMs = timer.nowMs();
    let own: { term: number; version: number; beat: number; } | undefined;
    const confirmation = createConfirmation(timer);
    let busy = false;
    let renewedAtMs = Number.NEGATIVE_INFINITY;
    let stopped = false;
    const delayMs = options.random() * spreadMs;

    const observe = (changed: StateRow): void => {
        if (changed.version > (row?.version ?? -1)) {
            row = changed;
            changedAtMs = timer.nowMs();
        }
    };

    const lose = (reason: string): void => {
        const lost = own;
        if (lost !== undefined) {
            own = undefined;
            changedAtMs = timer.nowMs();
            log("warn", "term lost", { term: lost.term, reason });
            options.onLost(lost.term, reason);
        }
    };

    const write = (version: number, lease: PlannerLease) =>
        state.commit({
            part: plannerPart,
            conditions: [{ table: jobsTable, key: plannerLeaseKey, version }],
            writes: [{ table: jobsTable, key: plannerLeaseKey, value: lease }],
        });

    const renew = async (mine: { term: number; version: number; beat: number; }): Promise<void> => {
        const asked = confirmation.ask();
        const beat = mine.beat + 1;
        const written = await write(mine.version, { holder: vm, term: mine.term, beat });
        if (own !== mine) {
            return;
        }
        if (written.ok) {
            own = { term: mine.term, version: written.value.version, beat };
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

    const isHolderSilent = (): boolean => {
        if (options.followerAgeMs() > maxViewAgeMs) {
            changedAtMs = timer.nowMs();
            return false;
        }
        const lease = asLease(row);
        // a lease in the own name is of an earlier process on this VM, which is gone
        const released = lease === undefined || lease.holder === "" || lease.holder === vm;
        const silentMs = timer.nowMs() - changedAtMs;
        const handicapMs = (1 - options.relativePower()) * weakDelayMs;
        return silentMs > (released ? 0 : takeOverMs + delayMs) + handicapMs;
    };

    const take = async (): Promise<void> => {
        const read = await state.read({ table: jobsTable, part: plannerPart });
        if (!read.ok) {
            return;
        }
        const found = read.value.rows.find(candidate => candidate.key === plannerLeaseKey);
        if ((found?.version ?? 0) !== (row?.version ?? 0)) {
            if (found !== undefined) {
                observe(found);
            }
            return;
        }
        const asked = confirmation.ask();
        const term = (asLease(found)?.term ?? 0) + 1;
        const written = await write(found?.version ?? 0, { holder: vm, term, beat: 1 });
        if (!written.ok) {
            const isConflict = written.error.kind === StateErrorKind.Conflict;
            log("info", "term not gained", { term, reason: describeStateError(written.error) });
            changedAtMs = isConflict ? timer.nowMs() : changedAtMs;
            return;
        }
        own = { term, version: written.value.version, beat: 1 };
        asked.confirm();
        log("info", "term gained", { term, previous: asLease(found)?.holder, silentMs: timer.nowMs() - changedAtMs });
        options.onGained(term);
    };

    const tick = async (): Promise<void> => {
        if (busy || stopped) {
            return;
        }
        busy = true;
        if (own !== undefined && timer.nowMs() - renewedAtMs >= renewMs) {
            renewedAtMs = timer.nowMs();
            await renew(own);
        }
        else if (own === undefined && options.isCandidate() && isHolderSilent()) {
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
            const mine = own;
            stopped = true;
            if (mine === undefined) {
                return;
            }
            own = undefined;
            options.onLost(mine.term, "handed over");
            const written = await write(mine.version, { holder: "", term: mine.term, beat: mine.beat + 1 });
            log("info", "term handed over", { term: mine.term, ok: written.ok });
        },
        stop: () => {
            stopped = true;
            unsubscribe();
        },
    };
};
