import type { Result } from "../utils/result.js";
import { createEndCursor } from "./endCursor.js";
import { isAnswered } from "./types.js";
import type { HoldOrder, OrderError, WorkerClient, WorkerReport } from "./types.js";

/** Options of {@link createAcknowledgements}. */
export interface AcknowledgementsOptions {
    /** Whether the worker's incarnation is known and answers. */
    isInContact: () => boolean;
    /** Whether a start order that had an outcome, or was sent by an earlier planner, may have reached the next incarnation. */
    hasUnconfirmedStarts: () => boolean;
    /** Called when an acknowledgement may be sent that could not be before. */
    onSendable: () => void;
    /** Called when an acknowledgement got no answer, so that it may be carried out late. */
    onUnanswered: (acknowledged: number) => void;
}

/**
 * Acknowledgements of the ended runs of one incarnation of a worker. The next one numbers its ended runs anew and takes an
 * acknowledgement for its own, so none is on its way to the worker together with a start order: while no run has begun on
 * the next incarnation, there is nothing that it could forget.
 */
export interface Acknowledgements {
    /** Number up to which the next poll acknowledges ended runs; 0 for none. */
    toSend(): number;
    /** Whether all ended runs that were listed are recorded, and the worker has answered their acknowledgement. */
    areSettled(): boolean;
    /** Whether the worker has answered the latest acknowledgement. */
    isConfirmed(): boolean;
    /** Whether ended runs are still to be recorded, or their acknowledgement is held back. */
    isWaiting(): boolean;
    /** Records that ended runs up to a number are recorded. */
    acknowledge(number: number): void;
    /** Sends a poll that acknowledges ended runs. */
    hold(client: WorkerClient, order: HoldOrder): Promise<Result<WorkerReport, OrderError>>;
    /** Records the answer to a poll that acknowledged ended runs up to a number. */
    recordAnswer(acknowledged: number, report: WorkerReport): void;
    /** Holds acknowledgements back for a start order; the returned function records the order's outcome. */
    recordStart(): () => void;
    /** Settles with the outcome of the acknowledgement that is on its way; `undefined` if none is. */
    pending(): Promise<void> | undefined;
}

/** Creates the acknowledgements to an incarnation that has listed no ended runs yet. */
export const createAcknowledgements = (options: AcknowledgementsOptions): Acknowledgements => {
    const ends = createEndCursor();
    let pendingStarts = 0;
    let pending: Promise<void> | undefined;

    // a full list may hide what has become of started runs, and goes on only once it is acknowledged
    const areStartsConfirmed = (): boolean => !ends.listsAll() || !options.hasUnconfirmedStarts();

    const isSendable = (): boolean =>
        ends.toSend() > 0 && pendingStarts === 0 && options.isInContact() && areStartsConfirmed();

    return {
        toSend: () => isSendable() ? ends.toSend() : 0,
        areSettled: () => ends.areRecorded() && ends.isConfirmed(),
        isConfirmed: ends.isConfirmed,
        isWaiting: () => !ends.areRecorded() || (!ends.isConfirmed() && !isSendable()),
        acknowledge: number => {
            if (ends.acknowledge(number) && pendingStarts === 0) {
                options.onSendable();
            }
        },
        hold: async (client, order) => {
            let settle = (): void => {};
            pending = new Promise(resolve => {
                settle = resolve;
            });
            const answer = await client.hold(order);
            if (!isAnswered(answer)) {
                options.onUnanswered(order.acknowledged);
            }
            pending = undefined;
            settle();
            return answer;
        },
        recordAnswer: ends.recordAnswer,
        recordStart: () => {
            pendingStarts += 1;
            return () => {
                pendingStarts -= 1;
                if (pendingStarts === 0 && ends.toSend() > 0) {
                    options.onSendable();
                }
            };
        },
        pending: () => pending,
    };
};
