/**
 * Decides which submissions are refused without being sent. Load: submissions during an outage of the table, which
 * would each wait for an answer until half of their callers' time is over and end as unknown.
 */
import { unansweredMs } from "../state/outageEvidence.js";
import type { OutageEvidence } from "../state/outageEvidence.js";
import type { Random } from "../utils/random.js";
import { jobParts } from "./rows.js";

/** State of the gate. */
export interface SubmissionGate {
    /** Time since which the table has answered nothing; `undefined` while the gate is open. */
    outageSinceMs?: number;
    /** Time of the answer that opened the gate last; `undefined` if it was never closed. */
    openedAtMs?: number;
    /** Durations of the latest outages, in their order. */
    pastOutagesMs: readonly number[];
}

/** What happens to a submission. */
export enum GateDecisionKind {
    Send = "send",
    /** Decide again after `waitMs`; nothing is sent before. */
    Wait = "wait",
    /** It is not sent; its caller may come back after `retryAfterMs`. `outageMs` is the length of the outage so far. */
    Refuse = "refuse",
}

/** Decision on a submission. */
export type GateDecision =
    | { kind: GateDecisionKind.Send; }
    | { kind: GateDecisionKind.Wait; waitMs: number; }
    | { kind: GateDecisionKind.Refuse; retryAfterMs: number; outageMs: number; };

/**
 * Time without an answer above which the gate closes: after the 1.2 s of the table's timeout a write is not stored in
 * time any more, while one on a table that is 60 times slower than usual takes 0.25 to 0.5 s.
 */
export const maxUnansweredMs = 1_200;
/** Parts of jobs that must have given no answer, so that a part that is unavailable alone does not close the gate. */
const minUnansweredJobParts = 2;
/** Time by which each priority is sent later than the one above it once the gate opens. */
const openingStepMs = 250;
const lowestPriority = 2;
/** Outages from which the length of the present one is estimated. */
const maxPastOutages = 8;
/** Bounds of the time after which callers come back: whole seconds on the wire, and callers wait for about 3 s. */
const minRetryAfterMs = 1_000;
const maxRetryAfterMs = 3_000;
/** Share of the estimate before which no caller is asked to come back; the callers spread over the rest of it. */
const minShareOfEstimate = 0.5;

/** Creates a gate that is open and has seen no outage. */
export const createSubmissionGate = (): SubmissionGate => ({ pastOutagesMs: [] });

const isOutage = (evidence: OutageEvidence): boolean =>
    unansweredMs(evidence) > maxUnansweredMs
    && jobParts.filter(part => evidence.parts.has(part)).length >= minUnansweredJobParts;

/** Returns the gate under new evidence; only an answer opens it. */
export const updateSubmissionGate = (gate: SubmissionGate, evidence: OutageEvidence): SubmissionGate => {
    const { outageSinceMs, pastOutagesMs } = gate;
    if (outageSinceMs === undefined) {
        return isOutage(evidence) ? { ...gate, outageSinceMs: evidence.firstDueAtMs } : gate;
    }
    if (evidence.answeredAtMs <= outageSinceMs) {
        return gate;
    }
    const outageMs = evidence.answeredAtMs - outageSinceMs;
    return {
        openedAtMs: evidence.answeredAtMs,
        pastOutagesMs: [...pastOutagesMs, outageMs].slice(-maxPastOutages),
    };
};

/**
 * Time that an outage will probably last on: the median of what the past outages that were longer had left at this
 * age; without one as long again as it has lasted.
 */
const estimateRemainingMs = (outageMs: number, pastOutagesMs: readonly number[]): number => {
    const remaining = pastOutagesMs.filter(pastMs => pastMs > outageMs).map(pastMs => pastMs - outageMs);
    remaining.sort((left, right) => left - right);
    return remaining.at(Math.floor(remaining.length / 2)) ?? outageMs;
};

/** Time after which the caller of a refused submission may come back; it differs between callers. */
export const chooseRetryAfterMs = (
    outageMs: number,
    pastOutagesMs: readonly number[],
    random: Random,
): number => {
    const estimateMs = Math.min(estimateRemainingMs(outageMs, pastOutagesMs), maxRetryAfterMs);
    const spreadMs = estimateMs * (minShareOfEstimate + (1 - minShareOfEstimate) * random());
    return Math.max(minRetryAfterMs, Math.round(spreadMs));
};

/** Inputs of {@link decideSubmission}. */
export interface SubmissionInput {
    priority: number;
    nowMs: number;
    /** Longest time that the submission may wait unsent. */
    mayWaitMs: number;
    random: Random;
}

/** Decides whether a submission is sent. */
export const decideSubmission = (gate: SubmissionGate, input: SubmissionInput): GateDecision => {
    const { priority, nowMs, mayWaitMs, random } = input;
    const { outageSinceMs, openedAtMs = Number.NEGATIVE_INFINITY, pastOutagesMs } = gate;
    if (outageSinceMs !== undefined) {
        const outageMs = nowMs - outageSinceMs;
        const retryAfterMs = chooseRetryAfterMs(outageMs, pastOutagesMs, random);
        return { kind: GateDecisionKind.Refuse, retryAfterMs, outageMs };
    }
    const waitMs = openedAtMs + Math.min(priority, lowestPriority) * openingStepMs - nowMs;
    if (waitMs <= 0) {
        return { kind: GateDecisionKind.Send };
    }
    return waitMs <= mayWaitMs
        ? { kind: GateDecisionKind.Wait, waitMs }
        : { kind: GateDecisionKind.Refuse, retryAfterMs: minRetryAfterMs, outageMs: 0 };
};
