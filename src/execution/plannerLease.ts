import type { PendingCounts } from "../jobs/queries/pendingJobs.js";
import { plannerLeaseKey, plannerPart, plannerTable } from "../jobs/rows.js";
import { StateErrorKind } from "../state/types.js";
import type { StateError, StateRow, StateTable } from "../state/types.js";
import { decodeLeaseBounds } from "./leaseBounds.js";
import type { LeaseBounds } from "./leaseBounds.js";

/** Row of the table that names the VM which is the planner. */
export interface PlannerLease {
    /** Name of the VM; empty after it released the term. */
    holder: string;
    /** Number of the term, which is the fencing token in orders to workers. */
    term: number;
    /** Number of renewals, so that every renewal changes the row. */
    beat: number;
    /** Name of the VM that planned last: the holder, or an earlier one while the holder takes over. @default unknown */
    lastPlanner?: string;
    /** Number of waiting jobs by queue, as of the renewal. @default unknown */
    pending?: PendingCounts;
    /** Time since a VM last handed the term over because it was overloaded. @default none did */
    overloadAgeMs?: number;
    /** Bounds on leases that the planner does not renew. @default it may renew all of them */
    leases?: LeaseBounds;
}

/** What the lease tells the other VMs besides who holds it. */
export type PublishedState = Pick<PlannerLease, "lastPlanner" | "pending" | "overloadAgeMs" | "leases">;

/** The term that this VM holds, as last written. */
export interface HeldTerm {
    term: number;
    /** Version of the lease row. */
    version: number;
    beat: number;
}

const isPendingCounts = (value: unknown): value is PendingCounts =>
    typeof value === "object" && value !== null && Object.values(value).every(Number.isSafeInteger);

/** Decodes the lease row; `undefined` if there is none, or another writer's value that is no lease. */
export const asLease = (row: StateRow | undefined): PlannerLease | undefined => {
    const { holder, term, beat, lastPlanner, pending, overloadAgeMs, leases } = (row?.value ?? {}) as Partial<
        Record<string, unknown>
    >;
    if (typeof holder !== "string" || !Number.isSafeInteger(term) || !Number.isSafeInteger(beat)) {
        return undefined;
    }
    return {
        holder,
        term: Number(term),
        beat: Number(beat),
        lastPlanner: typeof lastPlanner === "string" ? lastPlanner : undefined,
        pending: isPendingCounts(pending) ? pending : undefined,
        overloadAgeMs: typeof overloadAgeMs === "number" ? overloadAgeMs : undefined,
        leases: decodeLeaseBounds(leases),
    };
};

/** Whether a row is the planner's lease. */
export const isLeaseRow = (row: StateRow): boolean => row.key === plannerLeaseKey;

/** The lease row as returned by a conflicting write. */
export const leaseRowOf = (error: StateError): StateRow | undefined =>
    error.kind === StateErrorKind.Conflict ? error.rows.find(isLeaseRow) : undefined;

const isHeldBy = (row: StateRow, vm: string, term: number): boolean =>
    asLease(row)?.holder === vm && asLease(row)?.term === term;

/** Writes the lease if the row has a version. */
export const writeLease = (state: StateTable, version: number, lease: PlannerLease) =>
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
export const adoptRenewal = (error: StateError, vm: string, { term, beat }: HeldTerm): HeldTerm | undefined => {
    const found = leaseRowOf(error);
    return found === undefined || !isHeldBy(found, vm, term)
        ? undefined
        : { term, version: found.version, beat: asLease(found)?.beat ?? beat };
};

/** Releases the term, also if a renewal that got no answer yet has taken effect meanwhile. */
export const releaseLease = async (state: StateTable, vm: string, held: HeldTerm, publishedState: PublishedState) => {
    const written = await writeReleasedLease(state, held, publishedState);
    const renewed = written.ok ? undefined : adoptRenewal(written.error, vm, held);
    return renewed === undefined ? written : writeReleasedLease(state, renewed, publishedState);
};
