import type { WorkerReport } from "./types.js";

/** Tracks which ended runs a worker has listed, which of them are recorded, and which acknowledgement it has answered. */
export const createEndCursor = () => {
    let listed = 0;
    let acknowledged = 0;
    let confirmed = 0;
    let listsAll = true;
    return {
        /**
         * Number up to which ended runs are recorded, so that the worker may forget them; 0 once the worker has answered
         * that, since a later poll may reach its next incarnation, which numbers its ended runs anew.
         */
        toSend: (): number => acknowledged > confirmed ? acknowledged : 0,
        areRecorded: (): boolean => listed === acknowledged,
        isConfirmed: (): boolean => confirmed === acknowledged,
        /** Whether the last answer listed all ended runs; the others are listed once these are acknowledged. */
        listsAll: (): boolean => listsAll,
        /** Records that runs are recorded; returns whether these are more than before. */
        acknowledge: (number: number): boolean => {
            const isMore = number > acknowledged;
            acknowledged = Math.max(acknowledged, number);
            return isMore;
        },
        /** Records the answer to a poll that acknowledged ended runs up to a number. */
        recordAnswer: (sentNumber: number, report: WorkerReport): void => {
            confirmed = Math.max(confirmed, sentNumber);
            listsAll = report.endsComplete;
            listed = report.ended.reduce((highest, end) => Math.max(highest, end.number), Math.max(listed, sentNumber));
        },
    };
};
