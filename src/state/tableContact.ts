import type { Result } from "../utils/result.js";
import type { TimerService } from "../utils/timer.js";
import { addOverdue, addUnanswered, createOutageEvidence } from "./outageEvidence.js";
import type { ObservedOperation, OutageEvidence } from "./outageEvidence.js";
import { isAnswered } from "./reachability.js";
import type { StateError, StateTable } from "./types.js";

/** Options of {@link createTableContact}. */
export interface TableContactOptions {
    /** Access to the table, directly or relayed. */
    state: StateTable;
    timer: TimerService;
    /** Called after every operation with what the operations show that ended since the latest answer. */
    onResult: (evidence: OutageEvidence) => void;
}

/** Observes whether the table answers the operations of this VM. */
export interface TableContact {
    /** The table; operations on it are observed. */
    table: StateTable;
    /** What the operations show, including those in progress that have been due for longer than `overdueMs`. */
    evidence(overdueMs: number): OutageEvidence;
}

/** Observes the operations on a table. */
export const createTableContact = ({ state, timer, onResult }: TableContactOptions): TableContact => {
    const inProgress = new Set<ObservedOperation>();
    let evidence = createOutageEvidence(Number.NEGATIVE_INFINITY);

    const observe = async <Value>(
        part: string | undefined,
        longPollMs: number,
        perform: () => Promise<Result<Value, StateError>>,
    ): Promise<Result<Value, StateError>> => {
        const operation: ObservedOperation = { part, dueAtMs: timer.nowMs() + longPollMs };
        inProgress.add(operation);
        try {
            const result = await perform();
            evidence = isAnswered(result)
                ? createOutageEvidence(timer.nowMs())
                : addUnanswered(evidence, operation, timer.nowMs());
            onResult(evidence);
            return result;
        }
        finally {
            inProgress.delete(operation);
        }
    };

    return {
        table: {
            commit: transaction => observe(transaction.part, 0, () => state.commit(transaction)),
            read: range => observe(range.part, 0, () => state.read(range)),
            changes: (table, afterVersion, waitMs) =>
                observe(undefined, waitMs, () => state.changes(table, afterVersion, waitMs)),
        },
        evidence: overdueMs => addOverdue(evidence, inProgress, overdueMs, timer.nowMs()),
    };
};
