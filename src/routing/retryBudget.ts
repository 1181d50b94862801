/** Limits repeated attempts to a share of the first ones, so that retries cannot multiply an overload. */
export interface RetryBudget {
    recordFirstAttempt(): void;
    /** Takes one retry out of the budget, if there is one. */
    tryTake(): boolean;
    remaining(): number;
}

const retryShare = 0.2;
const maxSavedRetries = 20;

/** Creates a budget that starts full. */
export const createRetryBudget = (): RetryBudget => {
    let saved = maxSavedRetries;
    return {
        recordFirstAttempt: () => {
            saved = Math.min(maxSavedRetries, saved + retryShare);
        },
        tryTake: () => {
            if (saved < 1) {
                return false;
            }
            saved -= 1;
            return true;
        },
        remaining: () => Math.floor(saved),
    };
};
