import type { RelayedTable, RelayReply, RelayRequest } from "../state/relay.js";
import { StateErrorKind } from "../state/types.js";
import type { StateError } from "../state/types.js";
import type { TimerService } from "../utils/timer.js";
import { JobRowKind, jobsTable, parseJobRowKey } from "./rows.js";

/** What the writes of a submission have shown so far. */
export enum WriteOutcome {
    /** It is stored. */
    Stored = "stored",
    /** An earlier write stored it; its rows may soon be deleted. */
    StoredEarlier = "storedEarlier",
    /** Nothing was written and nothing will be. */
    NotStored = "notStored",
    /** A write got no answer. */
    Unknown = "unknown",
}

/** The submissions that this VM sent to the table, for its own callers or for other VMs. */
export interface SentSubmissions {
    /** Records that a write of a submission is sent; the returned function, called once, records how it ended. */
    begin(jobId: string): (outcome: WriteOutcome) => void;
    /** `Stored` if its rows are certainly there, `Unknown` if they may be, `NotStored` if this VM sent none or in vain. */
    outcomeOf(jobId: string): WriteOutcome;
}

interface SentSubmission {
    writesInProgress: number;
    mayBeStored: boolean;
    storedAtMs?: number;
}

/** Capacity, about 1 MB; the submission that was sent first is evicted first. Callers repeat one for some 15 s. */
const maxSubmissions = 8_192;

/**
 * Creates an empty memory.
 *
 * @param retainMs time for which the rows of an ended job are kept: within it a stored submission is certainly there
 */
export const createSentSubmissions = ({ nowMs }: Pick<TimerService, "nowMs">, retainMs: number): SentSubmissions => {
    const submissions = new Map<string, SentSubmission>();

    const add = (jobId: string): SentSubmission => {
        const sent = submissions.get(jobId) ?? { writesInProgress: 0, mayBeStored: false };
        submissions.set(jobId, sent);
        if (submissions.size > maxSubmissions) {
            submissions.delete(submissions.keys().next().value ?? "");
        }
        return sent;
    };

    return {
        begin: jobId => {
            const sent = add(jobId);
            sent.writesInProgress += 1;
            return outcome => {
                sent.writesInProgress -= 1;
                sent.mayBeStored ||= outcome !== WriteOutcome.NotStored;
                sent.storedAtMs = outcome === WriteOutcome.Stored ? nowMs() : sent.storedAtMs;
                if (sent.writesInProgress === 0 && !sent.mayBeStored && submissions.get(jobId) === sent) {
                    submissions.delete(jobId);
                }
            };
        },
        outcomeOf: jobId => {
            const sent = submissions.get(jobId);
            if (sent === undefined) {
                return WriteOutcome.NotStored;
            }
            return nowMs() - (sent.storedAtMs ?? Number.NEGATIVE_INFINITY) < retainMs
                ? WriteOutcome.Stored
                : WriteOutcome.Unknown;
        },
    };
};

/** What the result of writing a submission, if it is not stored yet, says of it. */
export const toWriteOutcome = (result: { ok: true; } | { ok: false; error: StateError; }): WriteOutcome => {
    if (result.ok) {
        return WriteOutcome.Stored;
    }
    switch (result.error.kind) {
        case StateErrorKind.Conflict:
            return WriteOutcome.StoredEarlier;
        case StateErrorKind.NoAnswer:
            return WriteOutcome.Unknown;
        default:
            return WriteOutcome.NotStored;
    }
};

const submissionIdOf = (request: RelayRequest): string | undefined =>
    request.operation === "commit"
        ? request.transaction.writes
            .filter(({ table, value }) => table === jobsTable && value !== undefined)
            .map(({ key }) => parseJobRowKey(key))
            .find(key => key?.kind === JobRowKind.Submission)?.jobId
        : undefined;

/** Records the submissions that this VM sends for others: their callers may repeat them here. */
export const recordRelayedSubmissions = (table: RelayedTable, sent: SentSubmissions): RelayedTable => ({
    ...table,
    performForPeer: async (request): Promise<RelayReply> => {
        const jobId = submissionIdOf(request);
        if (jobId === undefined) {
            return table.performForPeer(request);
        }
        const finish = sent.begin(jobId);
        const reply = await table.performForPeer(request);
        finish(toWriteOutcome(reply));
        return reply;
    },
});
