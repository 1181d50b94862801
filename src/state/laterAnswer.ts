import type { TimerService } from "../utils/timer.js";
import type { Attempt } from "./race.js";
import type { Reachability } from "./reachability.js";
import type { TablePart } from "./tablePart.js";

/** Direct attempts of one operation. */
export interface DirectAttempts<Value> {
    create(): Attempt<Value>;
    /** Monotonic time at which the latest one was sent; negative infinity before the first, infinity if it is held back. */
    latestSentAtMs(): number;
}

/** A read whose caller waits. */
export interface ReadInProgress<Value> {
    target: TablePart;
    direct: DirectAttempts<Value>;
    /** Time without an answer after which an attempt is in doubt. */
    delayMs: number;
    /** Time in which the rows are needed, from now. */
    deadlineMs: number;
    timer: TimerService;
    reachability: Pick<Reachability, "awaitAnswer">;
}

/** Limits of the time between two probes of parts for which reads wait; a read is sent again after a probe's answer. */
const minProbeIntervalMs = 20;
const maxProbeIntervalMs = 150;
/** Share of a read's time between two probes. */
const probeIntervalShare = 0.2;

/**
 * Calls the listener with a new direct attempt whenever the part has answered an operation that was sent after the latest
 * one, which is in doubt: it was lost in a silence that has ended. Returns a function that ends this.
 */
export const onAnsweredLater = <Value>(
    { target, direct, delayMs, deadlineMs, timer, reachability }: ReadInProgress<Value>,
    listener: (attempt: Attempt<Value>) => void,
): () => void => {
    const onAnswer = (sentAtMs: number): boolean => {
        const isInDoubt = timer.nowMs() - direct.latestSentAtMs() >= delayMs;
        const isLost = isInDoubt && sentAtMs > direct.latestSentAtMs();
        if (isLost) {
            listener(direct.create());
        }
        return isLost;
    };
    const shareMs = deadlineMs * probeIntervalShare;
    const probeIntervalMs = Math.min(Math.max(shareMs, minProbeIntervalMs), maxProbeIntervalMs);
    let endWait = (): void => {};
    const cancelWait = timer.after(delayMs, () => {
        endWait = reachability.awaitAnswer(target, { probeIntervalMs, onAnswer });
    });
    const end = (): void => {
        cancelWait();
        endWait();
    };
    const cancelEnd = timer.after(deadlineMs, end);
    return () => {
        cancelEnd();
        end();
    };
};
