import type { Log } from "../node/logs.js";
import type { Result } from "../utils/result.js";
import type { TimerService } from "../utils/timer.js";
import { describeStateError, StateErrorKind } from "./types.js";
import type { StateError, StateTable } from "./types.js";

/** The part of a table that an operation accesses; reachability is tracked for each, as parts fail independently. */
export interface TablePart {
    table: string;
    part: string;
}

/** Options of {@link createReachability}. */
export interface ReachabilityOptions {
    /** Access to the table without a relay. */
    direct: StateTable;
    timer: TimerService;
    log: Log;
}

/** Tracks which parts of tables cannot be reached directly and probes them until they can. */
export interface Reachability {
    /** Records the result of a direct operation that was sent at the monotonic time `sentAtMs`. */
    recordResult(target: TablePart, result: Result<unknown, StateError>, sentAtMs: number): void;
    /** Records that a direct operation that was sent at the monotonic time `sentAtMs` has no answer, although others have. */
    recordOvertaken(target: TablePart, sentAtMs: number): void;
    isUnreachable(target: TablePart): boolean;
    /** Calls the listener once when the part becomes reachable; returns a function that removes it. */
    onceReachable(target: TablePart, listener: () => void): () => void;
    stop(): void;
}

/** Interval of probes of unreachable parts. */
const probeIntervalMs = 250;
/** Unreachable parts probed at a time, in turn, to limit the load during an outage of the whole table. */
const maxProbesAtOnce = 4;
/** Minimum time between rounds of probes that follow a part's recovery, of which an outage's end brings many. */
const minRecoveryProbeIntervalMs = 50;
/** Range of keys that holds no rows, read by probes. */
const probeRange = { from: "~", before: "~~" };

/** Whether the table itself answered; a failed condition and lost history are answers too. */
export const isAnswered = (result: Result<unknown, StateError>): boolean =>
    result.ok || result.error.kind === StateErrorKind.Conflict || result.error.kind === StateErrorKind.HistoryLost;

const keyOf = ({ table, part }: TablePart): string => `${table}/${part}`;

/** Creates a tracker that assumes every part to be reachable until an operation on it fails. */
export const createReachability = ({ direct, timer, log }: ReachabilityOptions): Reachability => {
    const unreachable = new Map<string, TablePart>();
    const listenersByPart = new Map<string, Set<() => void>>();
    /** Time at which the latest operation that was answered had been sent, by part. */
    const answeredSentAtMs = new Map<string, number>();
    let recoveryProbedAtMs = Number.NEGATIVE_INFINITY;

    const probe = async (target: TablePart): Promise<void> => {
        const sentAtMs = timer.nowMs();
        recordResult(target, await direct.read({ ...target, ...probeRange }), sentAtMs);
    };

    const probeAll = (): void => unreachable.forEach(target => void probe(target));

    const markReachable = (target: TablePart): void => {
        const key = keyOf(target);
        if (!unreachable.delete(key)) {
            return;
        }
        log("info", "table part reachable directly again", { table: target.table, part: target.part });
        const listeners = listenersByPart.get(key);
        listenersByPart.delete(key);
        listeners?.forEach(listener => listener());
        // the other parts have probably recovered with this one
        if (timer.nowMs() - recoveryProbedAtMs >= minRecoveryProbeIntervalMs) {
            recoveryProbedAtMs = timer.nowMs();
            probeAll();
        }
    };

    /** Marks a part, unless an operation that was sent later has been answered. */
    const markUnreachable = (target: TablePart, reason: string, sentAtMs: number): void => {
        const { table, part } = target;
        const isOutdated = sentAtMs < (answeredSentAtMs.get(keyOf(target)) ?? Number.NEGATIVE_INFINITY);
        if (!isOutdated && !unreachable.has(keyOf(target))) {
            log("warn", "table part not reachable directly, relaying through peers", { table, part, reason });
            unreachable.set(keyOf(target), { table, part });
        }
    };

    const recordResult: Reachability["recordResult"] = (target, result, sentAtMs) => {
        if (isAnswered(result)) {
            const key = keyOf(target);
            answeredSentAtMs.set(key, Math.max(sentAtMs, answeredSentAtMs.get(key) ?? sentAtMs));
            markReachable(target);
        }
        else if (!result.ok) {
            markUnreachable(target, describeStateError(result.error), sentAtMs);
        }
    };

    /** Probes the parts that were probed least recently. */
    const probeNext = (): void =>
        [...unreachable].slice(0, maxProbesAtOnce).forEach(([key, target]) => {
            unreachable.delete(key);
            unreachable.set(key, target);
            void probe(target);
        });

    const unsubscribe = timer.every(probeIntervalMs, probeNext);
    return {
        recordResult,
        recordOvertaken: (target, sentAtMs) => markUnreachable(target, "a peer was answered first", sentAtMs),
        isUnreachable: target => unreachable.has(keyOf(target)),
        onceReachable: (target, listener) => {
            const key = keyOf(target);
            const listeners = listenersByPart.get(key) ?? new Set();
            listeners.add(listener);
            listenersByPart.set(key, listeners);
            return () => listeners.delete(listener);
        },
        stop: unsubscribe,
    };
};
