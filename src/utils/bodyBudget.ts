import { chooseBodiesToRefuse } from "./shedding.js";
import type { BodyProgress } from "./shedding.js";

/** Why a body in progress is refused by the budget. */
export type BudgetCause = "budget" | "timeout";

/** Memory of one body. */
export interface BodyAccount extends BodyProgress {
    /** Notes that bytes have arrived. */
    recordProgress(): void;
    /**
     * Reserves further memory; refuses other bodies, or this one, where the budget does not allow it. Returns whether
     * the memory is reserved.
     */
    reserve(bytes: number): boolean;
    /** Notes that the body has arrived; it is not refused any more, and holds its memory until it is closed. */
    complete(): void;
    /** Returns the memory; further calls do nothing. */
    close(): void;
}

/** A decision of the budget. */
export interface BudgetDecision {
    cause: BudgetCause;
    /** Refused bodies, in the order of the decision. */
    refused: readonly BodyProgress[];
    /** Bodies in progress before the decision. */
    inProgress: number;
}

/** Options of {@link createBodyBudget}. */
export interface BodyBudgetOptions {
    /** Limit on the memory of all bodies in progress. */
    maxBytes: number;
    /** Limit on the time in which a body arrives. */
    timeoutMs: number;
    nowMs: () => number;
    /** Called for each decision, after the bodies were refused. */
    onDecision: (decision: BudgetDecision) => void;
}

/** Memory that the request bodies in progress share. */
export interface BodyBudget {
    /** Adds a body in progress; `refuse` is called at most once, and the body is closed then. */
    open(refuse: (cause: BudgetCause) => void): BodyAccount;
    /** Refuses the bodies that take too long. */
    refuseExpired(): void;
    /** Number of bodies that may still be refused. */
    receivingCount(): number;
    heldBytes(): number;
}

interface Entry extends BodyAccount {
    heldBytes: number;
    progressedAtMs: number;
    refuse: (cause: BudgetCause) => void;
}

/** Creates a budget without bodies. */
export const createBodyBudget = (options: BodyBudgetOptions): BodyBudget => {
    const { maxBytes, nowMs } = options;
    const receiving = new Set<Entry>();
    let heldBytes = 0;

    const refuseAll = (cause: BudgetCause, entries: readonly Entry[]): void => {
        const inProgress = receiving.size;
        const refused = entries.map(({ heldBytes: held, startedAtMs, progressedAtMs }) => ({
            heldBytes: held,
            startedAtMs,
            progressedAtMs,
        }));
        entries.forEach(entry => {
            entry.close();
            entry.refuse(cause);
        });
        options.onDecision({ cause, refused, inProgress });
    };

    const makeRoom = (entry: Entry, bytes: number): boolean => {
        const neededBytes = heldBytes + bytes - maxBytes;
        if (neededBytes <= 0) {
            return true;
        }
        const candidates = [...receiving];
        const freeableBytes = candidates.reduce((sum, candidate) => sum + candidate.heldBytes, 0);
        // bodies that have arrived may hold the rest; refusing all others would not help
        const chosen = freeableBytes < neededBytes
            ? [entry]
            : chooseBodiesToRefuse(candidates, neededBytes, maxBytes, nowMs());
        refuseAll("budget", chosen);
        return receiving.has(entry);
    };

    const open: BodyBudget["open"] = refuse => {
        const entry: Entry = {
            heldBytes: 0,
            startedAtMs: nowMs(),
            progressedAtMs: nowMs(),
            refuse,
            recordProgress: () => {
                entry.progressedAtMs = nowMs();
            },
            reserve: bytes => {
                if (!receiving.has(entry) || !makeRoom(entry, bytes)) {
                    return false;
                }
                entry.heldBytes += bytes;
                heldBytes += bytes;
                return true;
            },
            complete: () => void receiving.delete(entry),
            close: () => {
                receiving.delete(entry);
                heldBytes -= entry.heldBytes;
                entry.heldBytes = 0;
            },
        };
        receiving.add(entry);
        return entry;
    };

    return {
        open,
        refuseExpired: () => {
            const expired = [...receiving].filter(entry => nowMs() - entry.startedAtMs > options.timeoutMs);
            if (expired.length > 0) {
                refuseAll("timeout", expired);
            }
        },
        receivingCount: () => receiving.size,
        heldBytes: () => heldBytes,
    };
};
