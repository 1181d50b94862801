/**
 * Bounds on the leases of workers that a planner does not renew. They are published with the planner's own lease, so that
 * its successor waits only for what is left of them, however often the planner changes.
 */
export interface LeaseBounds {
    /** Remaining time in milliseconds, by worker id, as of the writing of the row. */
    byWorker: Record<string, number>;
    /** Remaining time for all other workers. @default the planner renews their leases */
    othersMs?: number;
}

/** Leases that earlier planners may have granted, from a successor's point of view. */
export interface InheritedLeases {
    /** Monotonic time by which the lease of a worker's runs has expired unless this planner has renewed it. */
    expiresAtMs(workerId: string): number;
    /**
     * Monotonic time by which the longest lease has expired that an order to an earlier incarnation of a worker may have
     * granted to the next one.
     */
    nextIncarnationExpiresAtMs(): number;
    /** What is left of them, to be published until this planner knows more. */
    remaining(): LeaseBounds;
}

/** Whether this planner may extend the lease of a worker, or has told its successors that it does not. */
export interface WithheldLeases {
    isWithheld(workerId: string): boolean;
    /** Whether any lease is withheld. */
    isAnyWithheld(): boolean;
    /** Records bounds that are being written; without an answer they may take effect later. */
    recordSent(bounds: LeaseBounds): void;
    /** Records the bounds that are in force; those sent before cannot take effect any more. */
    recordInForce(bounds: LeaseBounds): void;
}

const isDuration = (value: unknown): value is number => typeof value === "number" && value >= 0 && value < Infinity;

/** Decodes bounds from the planner's lease row; `undefined` if they are missing or malformed. */
export const decodeLeaseBounds = (value: unknown): LeaseBounds | undefined => {
    const { byWorker, othersMs } = (value ?? {}) as Partial<Record<string, unknown>>;
    const isValid = typeof byWorker === "object" && byWorker !== null && Object.values(byWorker).every(isDuration)
        && (othersMs === undefined || isDuration(othersMs));
    return isValid ? { byWorker: byWorker as Record<string, number>, othersMs } : undefined;
};

/** Options of {@link createInheritedLeases}. */
export interface InheritedLeasesOptions {
    nowMs: () => number;
    /** Monotonic time at which this VM first saw the row with the bounds. */
    observedAtMs: number;
    bounds: LeaseBounds | undefined;
    /** Time from then on for which leases that the row does not bound may go on. */
    unboundedMs: number;
    /** Time from then on for which leases may go on that orders to an earlier incarnation of a worker granted to the next. */
    nextIncarnationMs: number;
    /** Longest bound that a planner publishes. */
    maxMs: number;
}

/** Converts the bounds in an earlier planner's lease row to times on this VM's clock. */
export const createInheritedLeases = (options: InheritedLeasesOptions): InheritedLeases => {
    const { observedAtMs, bounds, maxMs } = options;
    const othersMs = Math.min(bounds?.othersMs ?? options.unboundedMs, maxMs);
    const byWorker = new Map(Object.entries(bounds?.byWorker ?? {}));
    const expiresAtMs = (id: string): number => observedAtMs + Math.min(byWorker.get(id) ?? othersMs, maxMs);
    const remainingMs = (atMs: number): number => Math.max(0, Math.ceil(atMs - options.nowMs()));
    return {
        expiresAtMs,
        nextIncarnationExpiresAtMs: () => observedAtMs + options.nextIncarnationMs,
        remaining: () => ({
            byWorker: Object.fromEntries([...byWorker.keys()].map(id => [id, remainingMs(expiresAtMs(id))])),
            othersMs: remainingMs(observedAtMs + othersMs),
        }),
    };
};

/** Leases before the first planner: there are none. */
export const noInheritedLeases: InheritedLeases = {
    expiresAtMs: () => Number.NEGATIVE_INFINITY,
    nextIncarnationExpiresAtMs: () => Number.NEGATIVE_INFINITY,
    remaining: () => ({ byWorker: {}, othersMs: 0 }),
};

/** Creates the record of a planner that has published nothing yet. */
export const createWithheldLeases = (): WithheldLeases => {
    let published: LeaseBounds[] = [];
    const covers = ({ byWorker, othersMs }: LeaseBounds, id: string): boolean =>
        othersMs !== undefined || Object.hasOwn(byWorker, id);
    return {
        isWithheld: id => published.some(bounds => covers(bounds, id)),
        isAnyWithheld: () =>
            published.some(({ byWorker, othersMs }) => othersMs !== undefined || Object.keys(byWorker).length > 0),
        recordSent: bounds => {
            published.push(bounds);
        },
        recordInForce: bounds => {
            published = [bounds];
        },
    };
};
