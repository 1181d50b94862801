import { fail } from "../utils/result.js";
import type { Result } from "../utils/result.js";
import type { TimerService } from "../utils/timer.js";
import { isAnswered } from "./reachability.js";
import type { TableProbes } from "./reachability.js";
import { keyOfPart } from "./tablePart.js";
import type { TablePart } from "./tablePart.js";
import { StateErrorKind } from "./types.js";
import type { SendObserver, StateError, StateTable } from "./types.js";

/** An operation that was sent and has no result yet. */
interface SentOperation {
    sentAtMs: number;
}

/** Operations on one part of one table. */
interface PartOperations {
    inProgress: Set<SentOperation>;
    /** Starts of operations that are not sent yet, in order; the planner's writes do not wait for reads. */
    waitingWrites: Set<() => void>;
    waitingReads: Set<() => void>;
    /** Time at which the latest operation that was answered had been sent. */
    answeredSentAtMs: number;
}

/**
 * Operations of a part in progress at a time. With a third of the 18 parts of tables silent, operations and long polls hold
 * 28 of the 32 connections to the table at most; the 4 that are left serve 1,000 operations a second at 4 ms each.
 */
const maxInProgress = 3;
/** Operations on all parts below which none is held back: there are connections enough for a part that is slow. */
const minSent = 10;
/** Limit of a part including operations that are known to be lost, because the part has answered a later one. */
const maxWithLost = minSent + maxInProgress;
/** Time for which an operation waits to be sent, on top of the 1.2 s of its call; a slow table answers in 0.5 s. */
const maxWaitMs = 600;

/** A table with limited operations on its parts. */
export interface PartLimitedTable extends StateTable {
    /** Creates probes that are not limited; what they show of a part makes room for its operations. */
    observeProbes(probes: TableProbes): TableProbes;
}

/** Limits how many connections to the table the operations on one part hold while it does not answer. */
export const createPartLimitedTable = (table: StateTable, timer: TimerService): PartLimitedTable => {
    const parts = new Map<string, PartOperations>();

    let sentCount = 0;

    const mayStart = ({ inProgress, answeredSentAtMs }: PartOperations): boolean => {
        if (sentCount < minSent) {
            return true;
        }
        const current = [...inProgress].filter(({ sentAtMs }) => sentAtMs >= answeredSentAtMs);
        return current.length < maxInProgress && inProgress.size < maxWithLost;
    };

    const begin = (part: PartOperations): SentOperation => {
        const operation = { sentAtMs: timer.nowMs() };
        part.inProgress.add(operation);
        sentCount += 1;
        return operation;
    };

    const startWaiting = (part: PartOperations): void => {
        // not copied: thousands may wait, and each operation that ends comes here
        for (const waiting of [part.waitingWrites, part.waitingReads]) {
            for (const start of waiting) {
                if (!mayStart(part)) {
                    return;
                }
                start();
            }
        }
    };

    /** Resolves when the operation is to be sent; `undefined` if its time is over before. */
    const enter = (
        part: PartOperations,
        isWrite: boolean,
        observer: SendObserver | undefined,
    ): Promise<SentOperation | undefined> =>
        new Promise(resolve => {
            if (mayStart(part)) {
                resolve(begin(part));
                return;
            }
            const waiting = isWrite ? part.waitingWrites : part.waitingReads;
            const start = (): void => {
                cancelExpiry();
                waiting.delete(start);
                observer?.onSent();
                resolve(begin(part));
            };
            const cancelExpiry = timer.after(maxWaitMs, () => {
                waiting.delete(start);
                resolve(undefined);
            });
            waiting.add(start);
            observer?.onHeldBack();
        });

    const openPart = (key: string): PartOperations => {
        const part = parts.get(key) ?? {
            inProgress: new Set(),
            waitingWrites: new Set(),
            waitingReads: new Set(),
            answeredSentAtMs: Number.NEGATIVE_INFINITY,
        };
        parts.set(key, part);
        return part;
    };

    const recordResult = (part: PartOperations, result: Result<unknown, StateError>, sentAtMs: number): void => {
        if (isAnswered(result)) {
            part.answeredSentAtMs = Math.max(part.answeredSentAtMs, sentAtMs);
        }
    };

    const perform = async <Value>(
        target: TablePart,
        isWrite: boolean,
        observer: SendObserver | undefined,
        send: () => Promise<Result<Value, StateError>>,
    ): Promise<Result<Value, StateError>> => {
        const key = keyOfPart(target);
        const part = openPart(key);
        const operation = await enter(part, isWrite, observer);
        if (operation === undefined) {
            const detail = "not sent: operations on the part have no answer";
            return fail({ kind: StateErrorKind.Unavailable, detail, isHeldBack: true });
        }
        try {
            const result = await send();
            recordResult(part, result, operation.sentAtMs);
            return result;
        }
        finally {
            part.inProgress.delete(operation);
            sentCount -= 1;
            parts.forEach(startWaiting);
            if (part.inProgress.size === 0) {
                parts.delete(key);
            }
        }
    };

    return {
        commit: (transaction, observer) => {
            const target = { table: transaction.writes[0]?.table ?? "", part: transaction.part };
            return perform(target, true, observer, () => table.commit(transaction));
        },
        read: (range, observer) => perform(range, false, observer, () => table.read(range)),
        // concerns all parts
        changes: table.changes,
        observeProbes: probes => ({
            read: async range => {
                const sentAtMs = timer.nowMs();
                const result = await probes.read(range);
                const part = parts.get(keyOfPart(range));
                if (part !== undefined) {
                    recordResult(part, result, sentAtMs);
                    startWaiting(part);
                }
                return result;
            },
        }),
    };
};
