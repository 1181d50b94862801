/** Requests that a client sends on a connection without waiting for the answers to earlier ones. */

/** A request that is not answered. */
export interface QueuedRequest {
    /** Resolves when the request may be handled, with `false` if its connection was closed before that. */
    turn(): Promise<boolean>;
    /** Notes that the request is answered or its connection closed; returns `false` on further calls. */
    end(): boolean;
}

/** The unanswered requests of one connection. */
export interface RequestQueue {
    size(): number;
    add(): QueuedRequest;
    /** Ends the queue when the connection is closed; requests that have no turn yet are not handled. */
    close(): void;
}

/** Creates the queues of one server. */
export interface RequestQueues {
    create(): RequestQueue;
    /** Requests beyond the first one of each queue. */
    pipelinedCount(): number;
}

/** Requests of one connection that are handled at a time; their answers are sent in order, so more gain little. */
const maxTurns = 8;

/** Waiting requests of a server that are handled in a turn of the event loop; one read may contain hundreds. */
const maxStartsInTurn = 32;

/** Creates a function that runs tasks, a few in each turn of the event loop. */
const createTurnSpreader = (): (task: () => void) => void => {
    const tasks: (() => void)[] = [];
    let isScheduled = false;

    const schedule = (): void => {
        if (!isScheduled && tasks.length > 0) {
            isScheduled = true;
            setImmediate(run);
        }
    };

    const run = (): void => {
        isScheduled = false;
        tasks.splice(0, maxStartsInTurn).forEach(task => task());
        schedule();
    };

    return task => {
        tasks.push(task);
        schedule();
    };
};

/** Creates a server's queues. */
export const createRequestQueues = (): RequestQueues => {
    let pipelinedCount = 0;
    const startInLaterTurn = createTurnSpreader();

    const create = (): RequestQueue => {
        const requests = new Set<QueuedRequest>();
        let waiting: ((mayRun: boolean) => void)[] = [];
        let turnCount = 0;

        const passTurn = (): void => {
            const next = waiting.shift();
            if (next === undefined) {
                turnCount -= 1;
            }
            else {
                startInLaterTurn(() => next(true));
            }
        };

        const add = (): QueuedRequest => {
            let hasTurn = false;
            const request: QueuedRequest = {
                turn: async () => {
                    if (turnCount < maxTurns) {
                        turnCount += 1;
                        hasTurn = true;
                        return true;
                    }
                    const mayRun = await new Promise<boolean>(resolve => waiting.push(resolve));
                    if (mayRun && !requests.has(request)) {
                        // answered meanwhile, by a stop of the process
                        passTurn();
                        return false;
                    }
                    hasTurn = mayRun;
                    return mayRun;
                },
                end: () => {
                    if (!requests.delete(request)) {
                        return false;
                    }
                    pipelinedCount -= requests.size > 0 ? 1 : 0;
                    if (hasTurn) {
                        passTurn();
                    }
                    return true;
                },
            };
            pipelinedCount += requests.size > 0 ? 1 : 0;
            requests.add(request);
            return request;
        };

        return {
            size: () => requests.size,
            add,
            close: () => {
                waiting.forEach(resolve => resolve(false));
                waiting = [];
            },
        };
    };

    return { create, pipelinedCount: () => pipelinedCount };
};
