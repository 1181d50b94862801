/** An operation on the table, as far as it matters for judging whether the table answers. */
export interface ObservedOperation {
    /** Part that it addresses; `undefined` for changes, which concern all parts. */
    part?: string;
    /** Time from which an answer can be expected; for a long poll the end of its wait. */
    dueAtMs: number;
}

/** What the operations of a VM show that got no answer since the latest answer of the table. */
export interface OutageEvidence {
    /** Time of the latest answer; negative infinity before the first. */
    answeredAtMs: number;
    /** Time from which the first of them was due, at the earliest the time of the latest answer. */
    firstDueAtMs: number;
    /** Time at which the latest of them was found to have no answer. */
    unansweredAtMs: number;
    /** Number of them. */
    unanswered: number;
    /** Parts that they addressed. */
    parts: ReadonlySet<string>;
}

/** Evidence right after an answer, or before the first operation. */
export const createOutageEvidence = (answeredAtMs: number): OutageEvidence => ({
    answeredAtMs,
    firstDueAtMs: Number.POSITIVE_INFINITY,
    unansweredAtMs: Number.NEGATIVE_INFINITY,
    unanswered: 0,
    parts: new Set(),
});

/** Adds an operation that ended without an answer, or has none yet. */
export const addUnanswered = (
    evidence: OutageEvidence,
    { part, dueAtMs }: ObservedOperation,
    nowMs: number,
): OutageEvidence => ({
    ...evidence,
    // it may have been sent long before the latest answer, which says that the table was available until then
    firstDueAtMs: Math.min(evidence.firstDueAtMs, Math.max(dueAtMs, evidence.answeredAtMs)),
    unansweredAtMs: nowMs,
    unanswered: evidence.unanswered + 1,
    parts: part === undefined || evidence.parts.has(part) ? evidence.parts : new Set([...evidence.parts, part]),
});

/**
 * Time for which operations were due and none was answered. It ends with the latest finding rather than now, so that
 * a VM that sends nothing for a while collects no evidence.
 */
export const unansweredMs = ({ firstDueAtMs, unansweredAtMs }: OutageEvidence): number =>
    Math.max(0, unansweredAtMs - firstDueAtMs);

/** Adds the operations in progress that have been due for longer than `overdueMs`. */
export const addOverdue = (
    evidence: OutageEvidence,
    inProgress: Iterable<ObservedOperation>,
    overdueMs: number,
    nowMs: number,
): OutageEvidence =>
    [...inProgress]
        .filter(({ dueAtMs }) => nowMs - Math.max(dueAtMs, evidence.answeredAtMs) > overdueMs)
        .reduce((extended, operation) => addUnanswered(extended, operation, nowMs), evidence);
