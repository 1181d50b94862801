/** Performs an action; an error that no code expects is told with its stack in place of ending the process. */
export const attempt = (action: () => void, onUnexpected: (detail: string) => void): void => {
    try {
        action();
    }
    catch (error) {
        onUnexpected(error instanceof Error ? error.stack ?? error.message : String(error));
    }
};
