import type { Log } from "../node/logs.js";
import { fail } from "../utils/result.js";
import type { Result } from "../utils/result.js";
import type { TimerService } from "../utils/timer.js";
import { createHedgeDelay } from "./hedgeDelay.js";
import { createHedgeSlots } from "./hedgeSlots.js";
import { onAnsweredLater } from "./laterAnswer.js";
import type { DirectAttempts } from "./laterAnswer.js";
import { race } from "./race.js";
import type { Attempt, FurtherAttempts } from "./race.js";
import { createReachability, isAnswered } from "./reachability.js";
import type { TableProbes } from "./reachability.js";
import type { TablePart } from "./tablePart.js";
import { StateErrorKind } from "./types.js";
import type { ReadRange, RowsAt, SendObserver, StateError, StateTable, StateTransaction } from "./types.js";

/** Table operation that one VM performs on behalf of another. */
export type RelayRequest =
    | { operation: "commit"; transaction: StateTransaction; }
    | { operation: "read"; range: ReadRange; }
    | { operation: "changes"; table: string; afterVersion: number; waitMs: number; };

/** Value of a relayed operation that succeeded. */
type RelayValue = RowsAt | { version: number; };

/** Result of a relayed operation. */
export type RelayReply = Result<RelayValue, StateError>;

/** Another VM that may be able to reach the table. */
export interface RelayPeer {
    name: string;
    perform(request: RelayRequest): Promise<RelayReply>;
}

/** Options of {@link createRelayedTable}. */
export interface RelayedTableOptions {
    /** Access to the table without a relay. */
    direct: StateTable;
    /** The same over connections that no lost operation holds. @default `direct` */
    probes?: TableProbes;
    timer: TimerService;
    log: Log;
    /** Other VMs, in the order in which they are tried. */
    peers: () => readonly RelayPeer[];
}

/** A table that is accessed through other VMs while its parts cannot be reached directly. */
export interface RelayedTable extends StateTable {
    /** Performs an operation for another VM, directly only: a relayed operation is never relayed again. */
    performForPeer(request: RelayRequest): Promise<RelayReply>;
    /** Whether a part is known not to be reachable directly. */
    isUnreachable(part: TablePart): boolean;
    stop(): void;
}

/** Peers tried for one operation: two in case one cannot reach the table either, no more to limit load in an outage. */
const maxPeersPerOperation = 2;
/** Peers tried for a read whose caller waits; a third of the VMs may have lost their way to the table at the same time. */
const maxPeersPerRead = 4;
/** Time for which a peer that could not perform an operation is not tried again. */
const peerCooldownMs = 1_500;

const tablePartOf = (request: RelayRequest): TablePart => {
    switch (request.operation) {
        case "commit":
            return { table: request.transaction.writes[0]?.table ?? "", part: request.transaction.part };
        case "read":
            return request.range;
        case "changes":
            return { table: request.table, part: "" };
    }
};

const performDirectly = (table: StateTable, request: RelayRequest, observer?: SendObserver): Promise<RelayReply> => {
    switch (request.operation) {
        case "commit":
            return table.commit(request.transaction, observer);
        case "read":
            return table.read(request.range, observer);
        case "changes":
            return table.changes(request.table, request.afterVersion, request.waitMs);
    }
};

/** Time that the table itself may wait before it answers an operation. */
const longPollMsOf = (request: RelayRequest): number => request.operation === "changes" ? request.waitMs : 0;

/** The only attempt of an operation for which there is no way. */
const closedWay: Attempt<RelayValue> = {
    perform: async () => fail({ kind: StateErrorKind.Unavailable, detail: "the own way is closed" }),
    onOvertaken: () => {},
};

/** Time in which the result of an operation is needed; `undefined` if nobody waits for it. */
const deadlineMsOf = (request: RelayRequest): number | undefined =>
    request.operation === "read" ? request.range.deadlineMs : undefined;

/**
 * Creates a table that falls back to relaying through other VMs. A write may be sent both directly and through peers;
 * this is safe because every write is idempotent: it is conditional on the version it replaces or sets the same value.
 */
export const createRelayedTable = (options: RelayedTableOptions): RelayedTable => {
    const { direct: table, timer } = options;
    const reachability = createReachability({ ...options, probes: options.probes ?? table });
    const hedgeDelay = createHedgeDelay();
    const hedgeSlots = createHedgeSlots();
    const cooldownUntilMs = new Map<string, number>();

    /** Performs an operation; `onSendTime` is called with when it is sent, infinity while it is held back. */
    const performAndRecord = async (
        request: RelayRequest,
        onSendTime: (sentAtMs: number) => void = () => {},
    ): Promise<RelayReply> => {
        let sentAtMs = timer.nowMs();
        const setSentAtMs = (atMs: number): void => {
            sentAtMs = atMs;
            onSendTime(atMs);
        };
        onSendTime(sentAtMs);
        const result = await performDirectly(table, request, {
            onHeldBack: () => setSentAtMs(Number.POSITIVE_INFINITY),
            onSent: () => setSentAtMs(timer.nowMs()),
        });
        reachability.recordResult(tablePartOf(request), result, sentAtMs);
        if (request.operation !== "changes" && isAnswered(result)) {
            hedgeDelay.recordAnswer(timer.nowMs() - sentAtMs);
        }
        return result;
    };

    const createDirectAttempts = (request: RelayRequest): DirectAttempts<RelayValue> => {
        let latestSentAtMs = Number.NEGATIVE_INFINITY;
        return {
            create: () => {
                let sentAtMs = timer.nowMs();
                return {
                    perform: () =>
                        performAndRecord(request, atMs => {
                            sentAtMs = atMs;
                            latestSentAtMs = atMs;
                        }),
                    onOvertaken: () => {
                        if (Number.isFinite(sentAtMs)) {
                            reachability.recordOvertaken(tablePartOf(request), sentAtMs);
                        }
                    },
                };
            },
            latestSentAtMs: () => latestSentAtMs,
        };
    };

    const createPeerAttempt = (peer: RelayPeer, request: RelayRequest): Attempt<RelayValue> => {
        const startCooldown = (): void => void cooldownUntilMs.set(peer.name, timer.nowMs() + peerCooldownMs);
        return {
            perform: async () => {
                const reply = await peer.perform(request);
                if (!isAnswered(reply)) {
                    startCooldown();
                }
                return reply;
            },
            onOvertaken: startCooldown,
        };
    };

    /** Attempts through peers, each through the first one that has not failed lately. */
    const createPeerAttempts = (request: RelayRequest, maxPeers: number): FurtherAttempts<RelayValue> => {
        const tried = new Set<string>();
        const findPeer = (): RelayPeer | undefined =>
            tried.size < maxPeers
                ? options.peers().find(({ name }) =>
                    !tried.has(name) && (cooldownUntilMs.get(name) ?? 0) <= timer.nowMs()
                )
                : undefined;
        return {
            isPossible: () => findPeer() !== undefined,
            take: () => {
                const peer = findPeer();
                if (peer === undefined) {
                    return undefined;
                }
                tried.add(peer.name);
                return createPeerAttempt(peer, request);
            },
        };
    };

    const perform = async (request: RelayRequest): Promise<RelayReply> => {
        const target = tablePartOf(request);
        const deadlineMs = deadlineMsOf(request);
        const maxPeers = deadlineMs === undefined ? maxPeersPerOperation : maxPeersPerRead;
        const viaPeers = createPeerAttempts(request, maxPeers);
        const direct = createDirectAttempts(request);
        const first = reachability.isUnreachable(target) ? viaPeers.take() ?? closedWay : direct.create();
        // all ways are tried before the deadline
        const latestMs = deadlineMs === undefined ? undefined : deadlineMs / (maxPeers + 1);
        const delayMs = longPollMsOf(request) + hedgeDelay.delayMs(latestMs);
        return race({
            first,
            further: viaPeers,
            timer,
            hedgeDelayMs: delayMs,
            hedgeForMs: deadlineMs ?? Number.POSITIVE_INFINITY,
            hedgeSlots,
            waitForMs: deadlineMs ?? 0,
            // a VM that reaches nothing refuses: another one can serve the caller
            isWaitOfUse: () => reachability.isInContactBeside(target),
            onFurtherAttempt: listener =>
                deadlineMs === undefined
                    ? reachability.onceReachable(target, () => listener(direct.create()))
                    : onAnsweredLater({ target, direct, delayMs, deadlineMs, timer, reachability }, listener),
        });
    };

    return {
        commit: transaction =>
            perform({ operation: "commit", transaction }) as Promise<Result<{ version: number; }, StateError>>,
        read: range => perform({ operation: "read", range }) as Promise<Result<RowsAt, StateError>>,
        changes: (table, afterVersion, waitMs) =>
            perform({ operation: "changes", table, afterVersion, waitMs }) as Promise<Result<RowsAt, StateError>>,
        performForPeer: request =>
            reachability.isUnreachable(tablePartOf(request))
                ? Promise.resolve(
                    fail({ kind: StateErrorKind.Unavailable, detail: "the relaying VM has no way either" }),
                )
                : performAndRecord(request),
        isUnreachable: reachability.isUnreachable,
        stop: reachability.stop,
    };
};
