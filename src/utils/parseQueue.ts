/** Bounds the memory that the values of large request bodies take while they are handled. */

/** A body that has arrived and is not parsed yet. */
export interface ParseTurn {
    /** Resolves when the body may be parsed. */
    ready: Promise<void>;
    /** Gives the turn back when the request is answered or its connection closed; further calls do nothing. */
    end(): void;
}

/** Lets bodies be parsed, in the order in which they arrived. */
export interface ParseQueue {
    add(sizeBytes: number): ParseTurn;
}

/** Options of {@link createParseQueue}. */
export interface ParseQueueOptions {
    /** Limit on the size of all large bodies that are handled at a time; a larger body is handled by itself. */
    maxParsedBytes: number;
}

/** Size up to which bodies do not wait: ordinary ones have a few KB, and are not to wait for a crowd's. */
const smallBytes = 8_192;

interface Waiter {
    sizeBytes: number;
    start: () => void;
}

/** Creates an empty queue. */
export const createParseQueue = ({ maxParsedBytes }: ParseQueueOptions): ParseQueue => {
    const waiting = new Set<Waiter>();
    let parsedBytes = 0;

    const startNext = (): void => {
        for (const waiter of waiting) {
            if (parsedBytes > 0 && parsedBytes + waiter.sizeBytes > maxParsedBytes) {
                return;
            }
            waiting.delete(waiter);
            parsedBytes += waiter.sizeBytes;
            waiter.start();
        }
    };

    return {
        add: sizeBytes => {
            if (sizeBytes <= smallBytes) {
                return { ready: Promise.resolve(), end: () => {} };
            }
            let start = (): void => {};
            const ready = new Promise<void>(resolve => {
                start = resolve;
            });
            const waiter = { sizeBytes, start };
            let hasEnded = false;
            waiting.add(waiter);
            startNext();
            return {
                ready,
                end: () => {
                    if (hasEnded) {
                        return;
                    }
                    hasEnded = true;
                    if (!waiting.delete(waiter)) {
                        parsedBytes -= sizeBytes;
                    }
                    start();
                    startNext();
                },
            };
        },
    };
};
