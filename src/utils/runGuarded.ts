import { describeUnexpected } from "./describeUnexpected.js";

/** Runs an action and passes an exception, with its stack, to `onUnexpected` instead of letting it end the process. */
export const runGuarded = (action: () => void, onUnexpected: (detail: string) => void): void => {
    try {
        action();
    }
    catch (error) {
        onUnexpected(describeUnexpected(error));
    }
};

/** Like {@link runGuarded}, for an action that may also fail later; resolves with whether it succeeded. */
export const awaitGuarded = async (
    action: () => Promise<void> | void,
    onUnexpected: (detail: string) => void,
): Promise<boolean> => {
    try {
        await action();
        return true;
    }
    catch (error) {
        onUnexpected(describeUnexpected(error));
        return false;
    }
};
