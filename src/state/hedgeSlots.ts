/** A request for a slot. */
export interface HedgeTicket {
    /** Asks again; does nothing once the slot was granted. */
    retry(): void;
    /** Gives the slot back, or withdraws the request; `won` says that a further attempt got the first answer. */
    release(won: boolean): void;
}

/** Limits the number of operations of one VM that are attempted several ways at the same time. */
export interface HedgeSlots {
    /** Calls `start` once, as soon as a slot is granted. */
    request(start: () => void): HedgeTicket;
}

/**
 * Number of slots. When the way to the table is cut, a peer answers within milliseconds and each slot serves many
 * operations; when the table is slow for every VM, slots stay taken and few operations are repeated.
 */
const slotCount = 4;

/** Creates free slots. */
export const createHedgeSlots = (): HedgeSlots => {
    let freeSlots = slotCount;
    const waiting = new Set<() => void>();
    const grant = (start: () => void): void => {
        freeSlots -= 1;
        waiting.delete(start);
        start();
    };
    return {
        request: start => {
            let released = false;
            const retry = (): void => {
                if (freeSlots > 0 && waiting.has(start)) {
                    grant(start);
                }
            };
            waiting.add(start);
            retry();
            return {
                retry,
                release: won => {
                    if (released) {
                        return;
                    }
                    released = true;
                    if (waiting.delete(start)) {
                        return;
                    }
                    freeSlots += 1;
                    // the others will probably gain as well; where the first attempt was answered first, they will not
                    const [next] = won ? waiting : [];
                    if (next !== undefined) {
                        grant(next);
                    }
                },
            };
        },
    };
};
