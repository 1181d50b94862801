/** Counts calls in progress per customer and service. */
export interface InFlightLimits {
    /** Takes a place if fewer than `max` are taken; the returned function gives it back. */
    tryEnter(customer: string, service: string, max: number): (() => void) | undefined;
    counts(): Record<string, number>;
}

/** Creates limits without any call in progress. */
export const createInFlightLimits = (): InFlightLimits => {
    const inFlight = new Map<string, number>();
    const tryEnter = (customer: string, service: string, max: number): (() => void) | undefined => {
        const key = `${customer}/${service}`;
        const taken = inFlight.get(key) ?? 0;
        if (taken >= max) {
            return undefined;
        }
        inFlight.set(key, taken + 1);
        return () => {
            inFlight.set(key, (inFlight.get(key) ?? 1) - 1);
        };
    };
    return { tryEnter, counts: () => Object.fromEntries(inFlight) };
};
