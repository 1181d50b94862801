import type { Log } from "../node/logs.js";
import { fail } from "../utils/result.js";
import type { Result } from "../utils/result.js";
import type { TimerService } from "../utils/timer.js";
import { describeStateError, StateErrorKind } from "./types.js";
import type { ReadRange, RowsAt, StateError, StateTable, StateTransaction } from "./types.js";

/** Operation on the table that one VM performs for another. */
export type RelayRequest =
    | { operation: "commit"; transaction: StateTransaction; }
    | { operation: "read"; range: ReadRange; }
    | { operation: "changes"; table: string; afterVersion: number; waitMs: number; };

/** What came of a relayed operation. */
export type RelayReply = Result<RowsAt | { version: number; }, StateError>;

/** Another VM that may reach the table. */
export interface RelayPeer {
    name: string;
    perform(request: RelayRequest): Promise<RelayReply>;
}

/** Options of {@link createRelayedTable}. */
export interface RelayedTableOptions {
    direct: StateTable;
    timer: TimerService;
    log: Log;
    /** Other VMs, in the order in which they are to be asked. */
    peers: () => readonly RelayPeer[];
}

/** A table that is reached through other VMs where the own way is closed. */
export interface RelayedTable extends StateTable {
    /** Performs an operation for another VM, never through a third one. */
    performFor(request: RelayRequest): Promise<RelayReply>;
    stop(): void;
}

/** What an operation needs of the platform; a part can be out of reach while others are not. */
interface Way {
    table: string;
    part: string;
}

/** Peers asked for one operation: enough to pass one that is cut off too, few enough for an outage of the table. */
const maxPeersAsked = 2;
/** Time between looks whether a closed way is open again. */
const probeMs = 500;
/** Time for which a peer that could not help is not asked again. */
const setBackMs = 1_500;
/** Range of keys that holds no rows, for looks. */
const emptyRange = { from: "~", before: "~~" };

const isAnswered = (result: Result<unknown, StateError>): boolean =>
    result.ok || result.error.kind === StateErrorKind.Conflict || result.error.kind === StateErrorKind.HistoryLost;

const wayOf = (request: RelayRequest): Way => {
    switch (request.operation) {
        case "commit":
            return { table: request.transaction.writes[0]?.table ?? "", part: request.transaction.part };
        case "read":
            return request.range;
        case "changes":
            return { table: request.table, part: "" };
    }
};

const keyOf = ({ table, part }: Way): string => `${table}/${part}`;

const performDirectly = (direct: StateTable, request: RelayRequest): Promise<RelayReply> => {
    switch (request.operation) {
        case "commit":
            return direct.commit(request.transaction);
        case "read":
            return direct.read(request.range);
        case "changes":
            return direct.changes(request.table, request.afterVersion, request.waitMs);
    }
};

/** Knows which ways are closed and looks whether they are open again. */
const createWays = ({ direct, timer, log }: RelayedTableOptions) => {
    const closed = new Map<string, Way>();
    const note = (way: Way, result: Result<unknown, StateError>): void => {
        const key = keyOf(way);
        const open = isAnswered(result);
        if (open && closed.delete(key)) {
            log("info", "own way to the table is open", { table: way.table, part: way.part });
        }
        else if (!open && !closed.has(key)) {
            const reason = result.ok ? "" : describeStateError(result.error);
            log("warn", "own way to the table is closed", { table: way.table, part: way.part, reason });
            closed.set(key, { table: way.table, part: way.part });
        }
    };
    const probe = async (way: Way): Promise<void> => note(way, await direct.read({ ...way, ...emptyRange }));
    const unsubscribe = timer.every(probeMs, async () => {
        await Promise.all([...closed.values()].map(probe));
    });
    return { note, isClosed: (way: Way): boolean => closed.has(keyOf(way)), stop: unsubscribe };
};

/**
 * Creates a table that falls back to other VMs. A write may be sent both ways: every write of the product is
 * conditional on what it replaces or sets the same value again.
 */
export const createRelayedTable = (options: RelayedTableOptions): RelayedTable => {
    const { direct, timer } = options;
    const ways = createWays(options);
    const setBackUntilMs = new Map<string, number>();

    const askPeers = async (request: RelayRequest, before: StateError): Promise<RelayReply> => {
        let error = before;
        const isAsked = (peer: RelayPeer): boolean => (setBackUntilMs.get(peer.name) ?? 0) <= timer.nowMs();
        for (const peer of options.peers().filter(isAsked).slice(0, maxPeersAsked)) {
            const reply = await peer.perform(request);
            if (isAnswered(reply)) {
                return reply;
            }
            setBackUntilMs.set(peer.name, timer.nowMs() + setBackMs);
            // one try without an answer is enough for a write to be in doubt
            error = !reply.ok && error.kind !== StateErrorKind.NoAnswer ? reply.error : error;
        }
        return fail(error);
    };

    const perform = async (request: RelayRequest): Promise<RelayReply> => {
        const way = wayOf(request);
        if (ways.isClosed(way)) {
            return askPeers(request, { kind: StateErrorKind.Unavailable, detail: "the own way is closed" });
        }
        const result = await performDirectly(direct, request);
        ways.note(way, result);
        return result.ok || isAnswered(result) ? result : askPeers(request, result.error);
    };

    return {
        commit: transaction =>
            perform({ operation: "commit", transaction }) as Promise<Result<{ version: number; }, StateError>>,
        read: range => perform({ operation: "read", range }) as Promise<Result<RowsAt, StateError>>,
        changes: (table, afterVersion, waitMs) =>
            perform({ operation: "changes", table, afterVersion, waitMs }) as Promise<Result<RowsAt, StateError>>,
        performFor: async request => {
            const way = wayOf(request);
            if (ways.isClosed(way)) {
                return fail({ kind: StateErrorKind.Unavailable, detail: "the relaying VM has no way either" });
            }
            const result = await performDirectly(direct, request);
            ways.note(way, result);
            return result;
        },
        stop: ways.stop,
    };
};
