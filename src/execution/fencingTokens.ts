/**
 * Fencing tokens of one term, higher than those of all terms before. A later session with a worker has a higher token than
 * an earlier one, so that the worker's next incarnation refuses late orders that were meant for the one before.
 */
export interface FencingTokens {
    /** Token of the next session with a worker. */
    next(workerId: string): number;
}

/** Tokens that a term has for each worker; sessions beyond that share the last one. */
const tokensPerTerm = 1_000;

/** Creates the tokens of a term without sessions. */
export const createFencingTokens = (term: number): FencingTokens => {
    const sessionCounts = new Map<string, number>();
    return {
        next: workerId => {
            const earlierSessions = sessionCounts.get(workerId) ?? 0;
            sessionCounts.set(workerId, earlierSessions + 1);
            return term * tokensPerTerm + Math.min(earlierSessions, tokensPerTerm - 1);
        },
    };
};
