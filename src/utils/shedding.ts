/** Decides which clients a server refuses when bodies take too much memory, or connections too many descriptors. */

/** A request body that is being received. */
export interface BodyProgress {
    /** Memory reserved for the part that has arrived. */
    readonly heldBytes: number;
    readonly startedAtMs: number;
    /** Time at which bytes arrived last. */
    readonly progressedAtMs: number;
}

/** Time without progress after which a client counts as stalled; packets that were lost once arrive sooner. */
export const stalledAfterMs = 1_000;
/** Share of the budget that one decision may free beyond what is needed, so that a flood does not cause one a chunk. */
const spareShare = 1 / 8;

const stalledMsOf = (body: BodyProgress, nowMs: number): number => Math.max(0, nowMs - body.progressedAtMs);

/** Memory that a body holds and the time without progress for which it holds it; the age decides between equals. */
const compareCosts = (nowMs: number) => (left: BodyProgress, right: BodyProgress): number =>
    right.heldBytes * (1 + stalledMsOf(right, nowMs)) - left.heldBytes * (1 + stalledMsOf(left, nowMs))
    || left.startedAtMs - right.startedAtMs;

/**
 * Chooses the bodies that are refused to free `neededBytes`: those that hold most for the longest time without progress.
 * Stalled ones are refused beyond that up to a share of the budget; bodies that make progress are not.
 */
export const chooseBodiesToRefuse = <Body extends BodyProgress>(
    bodies: readonly Body[],
    neededBytes: number,
    budgetBytes: number,
    nowMs: number,
): Body[] => {
    const chosen: Body[] = [];
    let freedBytes = 0;
    for (const body of [...bodies].sort(compareCosts(nowMs))) {
        const isStalled = stalledMsOf(body, nowMs) >= stalledAfterMs;
        const wantedBytes = neededBytes + (isStalled ? budgetBytes * spareShare : 0);
        if (freedBytes >= wantedBytes) {
            break;
        }
        chosen.push(body);
        freedBytes += body.heldBytes;
    }
    return chosen;
};

/** What a connection is used for. */
export enum ConnectionUse {
    /** A request was refused; the connection is open only until its client has read the answer. */
    Refused = "refused",
    /** No request has been received on it. */
    Unused = "unused",
    /** A request's body is being received. */
    Receiving = "receiving",
    /** All its requests are answered. */
    Idle = "idle",
    /** A complete request has no answer yet. */
    Handling = "handling",
}

/** A connection among which one is chosen. */
export interface ConnectionState {
    readonly use: ConnectionUse;
    /** Time of the last progress: of the connection, a request, an answer or a body. */
    readonly progressedAtMs: number;
    /** Memory reserved for a body. */
    readonly heldBytes: number;
}

/** Position in the order in which connections are closed; `undefined` for one that is never closed for others. */
const rankOf = ({ use }: ConnectionState, isStalled: boolean): number | undefined => {
    switch (use) {
        case ConnectionUse.Refused:
            return 0;
        case ConnectionUse.Unused:
            return isStalled ? 1 : 4;
        case ConnectionUse.Receiving:
            return isStalled ? 2 : 5;
        case ConnectionUse.Idle:
            return 3;
        case ConnectionUse.Handling:
            return undefined;
    }
};

/** Chooses the connection that gives way to a new one; `undefined` when a complete request waits on each of them. */
export const chooseConnectionToClose = <Connection extends ConnectionState>(
    connections: Iterable<Connection>,
    nowMs: number,
): Connection | undefined => {
    let chosen: { connection: Connection; rank: number; cost: number; } | undefined;
    for (const connection of connections) {
        const waitedMs = nowMs - connection.progressedAtMs;
        const rank = rankOf(connection, waitedMs >= stalledAfterMs);
        const cost = connection.use === ConnectionUse.Receiving ? connection.heldBytes * (1 + waitedMs) : waitedMs;
        if (
            rank !== undefined
            && (chosen === undefined || rank < chosen.rank || (rank === chosen.rank && cost > chosen.cost))
        ) {
            chosen = { connection, rank, cost };
        }
    }
    return chosen?.connection;
};
