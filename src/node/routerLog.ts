import type { EndedAttempt } from "../routing/commands/runCall.js";
import { AttemptKind, Outcome } from "../routing/types.js";
import type { Call, CallAnswer } from "../routing/types.js";
import type { Log } from "./logs.js";

/** Ends of attempts that are usual under load and are logged only for debugging. */
const usualEnds: ReadonlySet<AttemptKind> = new Set([AttemptKind.Done, AttemptKind.Refused]);

/** Logs the end of an attempt, with what decided about it. */
export const logAttempt = (log: Log, ended: EndedAttempt): void => {
    const { attempt, ...fields } = ended;
    const reason = attempt.kind === AttemptKind.Done ? undefined : attempt.reason;
    log(usualEnds.has(attempt.kind) ? "debug" : "info", "attempt ended", { ...fields, kind: attempt.kind, reason });
};

/** State of the router when it answers a call. */
export interface RouterState {
    /** Time since the call was read. */
    ageMs: number;
    remainingMs: number;
    /** Calls that wait for an endpoint. */
    waiting: number;
    /** Names of the endpoints that are ejected. */
    ejected: string[];
    stopping: boolean;
}

/** Logs a call that is answered without its result. */
export const logUnfinishedCall = (log: Log, call: Call, answer: CallAnswer, state: RouterState): void => {
    if (answer.outcome !== Outcome.Done) {
        const { customer, service, key } = call;
        const { outcome, status, detail } = answer;
        log("info", "call not done", { customer, service, key, outcome, status, detail, ...state });
    }
};
