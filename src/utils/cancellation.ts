/** Ends operations whose result is no longer needed; lighter than an `AbortController`, of which each call needed one. */
export interface Cancellation {
    isCancelled(): boolean;
    /** Calls the listener when it is cancelled, at once if it was. */
    subscribe(listener: () => void): void;
    /** Further calls do nothing. */
    cancel(): void;
}

/** Creates a cancellation that is not cancelled yet. */
export const createCancellation = (): Cancellation => {
    let cancelled = false;
    let listeners: (() => void)[] = [];
    return {
        isCancelled: () => cancelled,
        subscribe: listener => {
            if (cancelled) {
                listener();
            }
            else {
                listeners.push(listener);
            }
        },
        cancel: () => {
            cancelled = true;
            const ending = listeners;
            listeners = [];
            ending.forEach(listener => listener());
        },
    };
};
