import type { Log } from "../node/logs.js";
import { fail } from "../utils/result.js";
import type { Result } from "../utils/result.js";
import type { TimerService } from "../utils/timer.js";
import { describeStateError, StateErrorKind } from "./types.js";
import type { ReadRange, RowsAt, StateError, StateTable, StateTransaction } from "./types.js";

/** Table operation that one VM performs on behalf of another. */
export type RelayRequest =
    | { operation: "commit"; transaction: StateTransaction; }
    | { operation: "read"; range: ReadRange; }
    | { operation: "changes"; table: string; afterVersion: number; waitMs: number; };

/** Result of a relayed operation. */
export type RelayReply = Result<RowsAt | { version: number; }, StateError>;

/** Another VM that may be able to reach the table. */
export interface RelayPeer {
    name: string;
    perform(request: RelayRequest): Promise<RelayReply>;
}

/** Options of {@link createRelayedTable}. */
export interface RelayedTableOptions {
    /** Access to the table without a relay. */
    direct: StateTable;
    timer: TimerService;
    log: Log;
    /** Other VMs, in the order in which they are tried. */
    peers: () => readonly RelayPeer[];
}

/** A table that is accessed through other VMs while its parts cannot be reached directly. */
export interface RelayedTable extends StateTable {
    /** Performs an operation for another VM, directly only: a relayed operation is never relayed again. */
    performForPeer(request: RelayRequest): Promise<RelayReply>;
    stop(): void;
}

/** The part of a table that an operation accesses; reachability is tracked for each, as parts fail independently. */
interface TablePart {
    table: string;
    part: string;
}

/** Peers tried for one operation: two in case one cannot reach the table either, no more to limit load in an outage. */
const maxPeersPerOperation = 2;
/** Time between probes of unreachable parts. */
const probeIntervalMs = 500;
/** Time for which a peer that could not perform an operation is not tried again. */
const peerCooldownMs = 1_500;
/** Range of keys that holds no rows, read by probes. */
const probeRange = { from: "~", before: "~~" };

/** Whether the table itself answered; a failed condition and lost history are answers too. */
const isAnswered = (result: Result<unknown, StateError>): boolean =>
    result.ok || result.error.kind === StateErrorKind.Conflict || result.error.kind === StateErrorKind.HistoryLost;

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

const keyOf = ({ table, part }: TablePart): string => `${table}/${part}`;

const performDirectly = (table: StateTable, request: RelayRequest): Promise<RelayReply> => {
    switch (request.operation) {
        case "commit":
            return table.commit(request.transaction);
        case "read":
            return table.read(request.range);
        case "changes":
            return table.changes(request.table, request.afterVersion, request.waitMs);
    }
};

/** Tracks which parts of tables cannot be reached directly and probes them until they can. */
const createReachability = ({ direct, timer, log }: RelayedTableOptions) => {
    const unreachable = new Map<string, TablePart>();
    const recordResult = (target: TablePart, result: Result<unknown, StateError>): void => {
        const key = keyOf(target);
        const reachable = isAnswered(result);
        if (reachable && unreachable.delete(key)) {
            log("info", "table part reachable directly again", { table: target.table, part: target.part });
        }
        else if (!reachable && !unreachable.has(key)) {
            const reason = result.ok ? "" : describeStateError(result.error);
            log("warn", "table part not reachable directly, relaying through peers", {
                table: target.table,
                part: target.part,
                reason,
            });
            unreachable.set(key, { table: target.table, part: target.part });
        }
    };
    const probe = async (target: TablePart): Promise<void> =>
        recordResult(target, await direct.read({ ...target, ...probeRange }));
    const unsubscribe = timer.every(probeIntervalMs, async () => {
        await Promise.all([...unreachable.values()].map(probe));
    });
    return {
        recordResult,
        isUnreachable: (target: TablePart): boolean => unreachable.has(keyOf(target)),
        stop: unsubscribe,
    };
};

/**
 * Creates a table that falls back to relaying through other VMs. A write may be sent both directly and through peers;
 * this is safe because every write is idempotent: it is conditional on the version it replaces or sets the same value.
 */
export const createRelayedTable = (options: RelayedTableOptions): RelayedTable => {
    const { direct, timer } = options;
    const reachability = createReachability(options);
    const cooldownUntilMs = new Map<string, number>();

    const performViaPeers = async (request: RelayRequest, directError: StateError): Promise<RelayReply> => {
        let error = directError;
        const isAvailable = (peer: RelayPeer): boolean => (cooldownUntilMs.get(peer.name) ?? 0) <= timer.nowMs();
        for (const peer of options.peers().filter(isAvailable).slice(0, maxPeersPerOperation)) {
            const reply = await peer.perform(request);
            if (isAnswered(reply)) {
                return reply;
            }
            cooldownUntilMs.set(peer.name, timer.nowMs() + peerCooldownMs);
            // once one attempt got no answer, the write may have taken effect whatever later attempts return
            error = !reply.ok && error.kind !== StateErrorKind.NoAnswer ? reply.error : error;
        }
        return fail(error);
    };

    const perform = async (request: RelayRequest): Promise<RelayReply> => {
        const target = tablePartOf(request);
        if (reachability.isUnreachable(target)) {
            return performViaPeers(request, { kind: StateErrorKind.Unavailable, detail: "the own way is closed" });
        }
        const result = await performDirectly(direct, request);
        reachability.recordResult(target, result);
        return result.ok || isAnswered(result) ? result : performViaPeers(request, result.error);
    };

    return {
        commit: transaction =>
            perform({ operation: "commit", transaction }) as Promise<Result<{ version: number; }, StateError>>,
        read: range => perform({ operation: "read", range }) as Promise<Result<RowsAt, StateError>>,
        changes: (table, afterVersion, waitMs) =>
            perform({ operation: "changes", table, afterVersion, waitMs }) as Promise<Result<RowsAt, StateError>>,
        performForPeer: async request => {
            const target = tablePartOf(request);
            if (reachability.isUnreachable(target)) {
                return fail({ kind: StateErrorKind.Unavailable, detail: "the relaying VM has no way either" });
            }
            const result = await performDirectly(direct, request);
            reachability.recordResult(target, result);
            return result;
        },
        stop: reachability.stop,
    };
};
