/** Token bucket that limits retries to a share of the first attempts, so that retries do not amplify an overload. */
export interface RetryBudget {
    /** Adds the share of a retry that one first attempt allows. */
    recordFirstAttempt(): void;
    /** Consumes one retry; returns `false` if none is left. */
    tryConsume(): boolean;
    /** Number of whole retries left. */
    remaining(): number;
}

const tokensPerFirstAttempt = 0.2;
const maxTokens = 20;

/** Creates a budget that starts full. */
export const createRetryBudget = (): RetryBudget => {
    let tokens = maxTokens;
    return {
        recordFirstAttempt: () => {
            tokens = Math.min(maxTokens, tokens + tokensPerFirstAttempt);
        },
        tryConsume: () => {
            if (tokens < 1) {
                return false;
            }
            tokens -= 1;
            return true;
        },
        remaining: () => Math.floor(tokens),
    };
};
