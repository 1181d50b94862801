/** Limits the calls in progress per customer and service. */
export interface InFlightLimits {
    /**
     * Acquires a permit for a call if fewer than `max` are in use, else returns `undefined`. The returned function
     * releases the permit and must be called once.
     */
    tryAcquire(customer: string, service: string, max: number): (() => void) | undefined;
    /** Calls in progress by `customer/service`. */
    counts(): Record<string, number>;
}

/** Creates limits with no call in progress. */
export const createInFlightLimits = (): InFlightLimits => {
    const inFlight = new Map<string, number>();
    const tryAcquire = (customer: string, service: string, max: number): (() => void) | undefined => {
        const key = `${customer}/${service}`;
        const callCount = inFlight.get(key) ?? 0;
        if (callCount >= max) {
            return undefined;
        }
        inFlight.set(key, callCount + 1);
        return () => {
            inFlight.set(key, (inFlight.get(key) ?? 1) - 1);
        };
    };
    return { tryAcquire, counts: () => Object.fromEntries(inFlight) };
};
