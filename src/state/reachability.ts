import type { Log } from "../node/logs.js";
import type { Result } from "../utils/result.js";
import type { TimerService } from "../utils/timer.js";
import { createAnswerWaits } from "./answerWaits.js";
import type { AnswerWait } from "./answerWaits.js";
import { keyOfPart } from "./tablePart.js";
import type { TablePart } from "./tablePart.js";
import { describeStateError, StateErrorKind } from "./types.js";
import type { StateError, StateTable } from "./types.js";

export type { TablePart } from "./tablePart.js";

/** Reads parts of tables to find out whether they answer. */
export type TableProbes = Pick<StateTable, "read">;

/** Options of {@link createReachability}. */
export interface ReachabilityOptions {
    /** Reads the table without a relay, for probes. */
    probes: TableProbes;
    timer: TimerService;
    log: Log;
}

/**
 * Tracks which parts of tables cannot be reached directly, each for itself as parts fail independently, and probes them
 * until they can.
 */
export interface Reachability {
    /** Records the result of a direct operation that was sent at the monotonic time `sentAtMs`. */
    recordResult(target: TablePart, result: Result<unknown, StateError>, sentAtMs: number): void;
    /** Records that a direct operation that was sent at the monotonic time `sentAtMs` has no answer, although others have. */
    recordOvertaken(target: TablePart, sentAtMs: number): void;
    isUnreachable(target: TablePart): boolean;
    /** Whether another part than this one has lately answered this VM directly. */
    isInContactBeside(target: TablePart): boolean;
    /** Calls the listener once when the part becomes reachable; returns a function that removes it. */
    onceReachable(target: TablePart, listener: () => void): () => void;
    /** Probes a part for an operation that waits for its answer, reachable or not; returns a function that ends this. */
    awaitAnswer(target: TablePart, wait: AnswerWait): () => void;
    stop(): void;
}

/** Interval of probes of unreachable parts. */
const probeIntervalMs = 250;
/**
 * Parts probed in an interval, in turn, to limit the load during an outage of the whole table. Parts for which operations
 * wait come first: a lost probe holds a connection until its timeout.
 */
const maxProbesAtOnce = 4;
/** Minimum time between rounds of probes that follow a part's recovery, of which an outage's end brings many. */
const minRecoveryProbeIntervalMs = 50;
/** Time within which an operation that was answered was sent, while this VM is in contact: the timeout of a call. */
const contactMs = 1_200;
/** Range of keys that holds no rows, read by probes. */
const probeRange = { from: "~", before: "~~" };

/** Whether the table itself answered; a failed condition and lost history are answers too. */
export const isAnswered = (result: Result<unknown, StateError>): boolean =>
    result.ok || result.error.kind === StateErrorKind.Conflict || result.error.kind === StateErrorKind.HistoryLost;

/** Whether this VM did not send the operation, as others of its part had no answer yet. */
export const isHeldBack = (error: StateError): boolean =>
    error.kind === StateErrorKind.Unavailable && error.isHeldBack === true;

/** Creates a tracker that assumes every part to be reachable until an operation on it fails. */
export const createReachability = ({ probes, timer, log }: ReachabilityOptions): Reachability => {
    const unreachable = new Map<string, TablePart>();
    const listenersByPart = new Map<string, Set<() => void>>();
    /** Time at which the latest operation that was answered had been sent, by part. */
    const answeredSentAtMs = new Map<string, number>();
    let recoveryProbedAtMs = Number.NEGATIVE_INFINITY;

    const probe = async (target: TablePart): Promise<void> => {
        const sentAtMs = timer.nowMs();
        const key = keyOfPart(target);
        if (unreachable.delete(key)) {
            // the next round begins with the parts that were probed least recently
            unreachable.set(key, target);
        }
        recordResult(target, await probes.read({ ...target, ...probeRange }), sentAtMs);
    };

    const answerWaits = createAnswerWaits({
        timer,
        probe: target => void probe(target),
        maxProbesPerRound: maxProbesAtOnce,
    });

    /** Probes all parts without an answer: they have probably recovered with another one. */
    const probeAll = (): void => {
        if (timer.nowMs() - recoveryProbedAtMs < minRecoveryProbeIntervalMs) {
            return;
        }
        recoveryProbedAtMs = timer.nowMs();
        const targets = [...unreachable.values(), ...answerWaits.targets()];
        new Map(targets.map(target => [keyOfPart(target), target])).forEach(target => void probe(target));
    };

    /** Marks a part; returns whether it was unreachable. */
    const markReachable = (target: TablePart): boolean => {
        const key = keyOfPart(target);
        if (!unreachable.delete(key)) {
            return false;
        }
        log("info", "table part reachable directly again", { table: target.table, part: target.part });
        const listeners = listenersByPart.get(key);
        listenersByPart.delete(key);
        listeners?.forEach(listener => listener());
        return true;
    };

    /** Marks a part, unless an operation that was sent later has been answered. */
    const markUnreachable = (target: TablePart, reason: string, sentAtMs: number): void => {
        const { table, part } = target;
        const isOutdated = sentAtMs < (answeredSentAtMs.get(keyOfPart(target)) ?? Number.NEGATIVE_INFINITY);
        if (!isOutdated && !unreachable.has(keyOfPart(target))) {
            log("warn", "table part not reachable directly, relaying through peers", { table, part, reason });
            unreachable.set(keyOfPart(target), { table, part });
        }
    };

    const recordResult: Reachability["recordResult"] = (target, result, sentAtMs) => {
        if (isAnswered(result)) {
            const key = keyOfPart(target);
            answeredSentAtMs.set(key, Math.max(sentAtMs, answeredSentAtMs.get(key) ?? sentAtMs));
            const hasRecovered = markReachable(target);
            const isSentAgain = answerWaits.recordAnswer(target, sentAtMs);
            if (hasRecovered || isSentAgain) {
                probeAll();
            }
        }
        else if (!result.ok && !isHeldBack(result.error)) {
            markUnreachable(target, describeStateError(result.error), sentAtMs);
        }
    };

    /** Probes the parts that were probed least recently, fewer where operations wait. */
    const probeNext = (): void => {
        const maxProbes = maxProbesAtOnce - answerWaits.startRound();
        [...unreachable.values()].slice(0, maxProbes).forEach(target => void probe(target));
    };

    const unsubscribe = timer.every(probeIntervalMs, probeNext);
    return {
        recordResult,
        recordOvertaken: (target, sentAtMs) => markUnreachable(target, "a peer was answered first", sentAtMs),
        isUnreachable: target => unreachable.has(keyOfPart(target)),
        isInContactBeside: target =>
            [...answeredSentAtMs].some(([key, sentAtMs]) =>
                key !== keyOfPart(target) && timer.nowMs() - sentAtMs <= contactMs
            ),
        onceReachable: (target, listener) => {
            const key = keyOfPart(target);
            const listeners = listenersByPart.get(key) ?? new Set();
            listeners.add(listener);
            listenersByPart.set(key, listeners);
            return () => listeners.delete(listener);
        },
        awaitAnswer: answerWaits.add,
        stop: unsubscribe,
    };
};
