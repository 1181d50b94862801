/** Runs an action and passes an exception, with its stack, to `onUnexpected` instead of letting it end the process. */
export const runGuarded = (action: () => void, onUnexpected: (detail: string) => void): void => {
    try {
        action();
    }
    catch (error) {
        onUnexpected(error instanceof Error ? error.stack ?? error.message : String(error));
    }
};
