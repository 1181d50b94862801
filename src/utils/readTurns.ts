import type { TimerService, Unsubscribe } from "./timer.js";

/** Bounds what is read from all connections of a process in one turn of the event loop. */
export interface ReadTurns<Connection> {
    /** Adds a connection of a server; it is not read while the others rest. */
    add(connection: Connection, server: string): void;
    remove(connection: Connection): void;
    /** Pauses a connection, whatever the others do. */
    pause(connection: Connection): void;
    /** Reads a connection on as soon as the others are. */
    resume(connection: Connection): void;
    /** Counts chunks of a connection's body, and pauses all connections when the turn has read too many. */
    recordChunks(connection: Connection, count: number): void;
    /** Notes that a request is answered. */
    recordAnswer(connection: Connection): void;
    /** Reads what has arrived without rests, for a limited number of turns. */
    readArrived(): Promise<void>;
}

/** Options of {@link createReadTurns}. */
export interface ReadTurnsOptions<Connection> {
    timer: TimerService;
    /** Chunks after which no further connection is read in a turn. */
    maxChunksPerTurn: number;
    pause: (connection: Connection) => void;
    resume: (connection: Connection) => void;
    /** Calls a function when the event loop has read the connections that are ready. @default setImmediate */
    afterReads?: (task: () => void) => void;
}

interface Entry<Connection> {
    connection: Connection;
    server: string;
    /** Whether it is read while the connections do not rest. */
    isRead: boolean;
    /** Chunks of the request in progress. */
    chunkCount: number;
    isAnswered: boolean;
}

/** Time in which timers, answers and new connections get their turns. */
const restMs = 50;
/** Chunks of a request up to which its connection counts as an ordinary one. */
const ordinaryChunkCount = 256;
/** Turns in which a stop reads what has arrived. */
const maxArrivedTurns = 8;

/** Takes items of lists in turn, beginning with the list at `first`. */
const alternate = <Item>(lists: readonly Item[][], first: number): Item[] => {
    const start = first % Math.max(1, lists.length);
    const rotated = [...lists.slice(start), ...lists.slice(0, start)];
    const length = Math.max(0, ...lists.map(list => list.length));
    return Array.from({ length }, (_, index) => rotated.flatMap(list => list.slice(index, index + 1))).flat();
};

/** Groups connections by their server and whether a request of them was answered. */
const groupEntries = <Connection>(entries: readonly Entry<Connection>[]): Entry<Connection>[][] => {
    const groups = new Map<string, Entry<Connection>[]>();
    for (const entry of entries) {
        const name = `${entry.server} ${entry.isAnswered}`;
        const group = groups.get(name) ?? [];
        groups.set(name, group);
        group.push(entry);
    }
    return [...groups.values()];
};

/**
 * Creates a bound on turns. The event loop reads connections in the order in which they were resumed: ordinary ones go
 * first, those of each server and answered and new ones in turn, the newest at their head; then those that have taken
 * least.
 */
export const createReadTurns = <Connection>(options: ReadTurnsOptions<Connection>): ReadTurns<Connection> => {
    const { timer, maxChunksPerTurn, pause, resume, afterReads = setImmediate } = options;
    /** In the order in which they were opened or answered. */
    const entries = new Map<Connection, Entry<Connection>>();
    let endRest: Unsubscribe | undefined;
    let chunksInTurn = 0;
    let restCount = 0;

    const inOrder = (): Entry<Connection>[] => {
        const read = [...entries.values()].filter(entry => entry.isRead).reverse();
        const larger = read.filter(entry => entry.chunkCount > ordinaryChunkCount);
        const ordinary = read.filter(entry => entry.chunkCount <= ordinaryChunkCount);
        return [
            // a single connection may use up the turn, so another group begins after each rest
            ...alternate(groupEntries(ordinary), restCount),
            ...larger.sort((left, right) => left.chunkCount - right.chunkCount),
        ];
    };

    const readOn = (): void => {
        if (endRest !== undefined) {
            endRest();
            endRest = undefined;
            inOrder().forEach(entry => resume(entry.connection));
        }
    };

    const rest = (): void => {
        endRest = timer.after(restMs, readOn);
        restCount += 1;
        for (const { connection, isRead } of entries.values()) {
            if (isRead) {
                pause(connection);
            }
        }
    };

    const setRead = (connection: Connection, isRead: boolean): void => {
        const entry = entries.get(connection);
        if (entry !== undefined) {
            entry.isRead = isRead;
        }
    };

    const finishTurn = (): Promise<void> => new Promise(resolve => afterReads(() => afterReads(resolve)));

    return {
        add: (connection, server) => {
            entries.set(connection, { connection, server, isRead: true, chunkCount: 0, isAnswered: false });
            if (endRest !== undefined) {
                pause(connection);
            }
        },
        remove: connection => void entries.delete(connection),
        pause: connection => {
            setRead(connection, false);
            pause(connection);
        },
        resume: connection => {
            setRead(connection, true);
            if (endRest === undefined) {
                resume(connection);
            }
        },
        recordChunks: (connection, count) => {
            const entry = entries.get(connection);
            if (entry !== undefined) {
                entry.chunkCount += count;
            }
            if (chunksInTurn === 0) {
                afterReads(() => {
                    chunksInTurn = 0;
                });
            }
            chunksInTurn += count;
            if (chunksInTurn > maxChunksPerTurn && endRest === undefined) {
                rest();
            }
        },
        recordAnswer: connection => {
            const entry = entries.get(connection);
            if (entry !== undefined) {
                entries.delete(connection);
                entries.set(connection, { ...entry, chunkCount: 0, isAnswered: true });
            }
        },
        readArrived: async () => {
            for (let turn = 0; turn < maxArrivedTurns && (turn === 0 || endRest !== undefined); turn++) {
                readOn();
                await finishTurn();
            }
        },
    };
};
