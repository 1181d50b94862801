import { describeUnexpected } from "./describeUnexpected.js";

/**
 * Runs an action and passes an exception, with its stack, to `onUnexpected` instead of letting it end the process; returns
 * the action's value, `undefined` after an exception.
 */
export const runGuarded = <Value>(action: () => Value, onUnexpected: (detail: string) => void): Value | undefined => {
    try {
        return action();
    }
    catch (error) {
        onUnexpected(describeUnexpected(error));
        return undefined;
    }
};

/** Like {@link runGuarded}, for an action that may also fail later. */
export const awaitGuarded = async <Value>(
    action: () => Promise<Value> | Value,
    onUnexpected: (detail: string) => void,
): Promise<Value | undefined> => {
    try {
        return await action();
    }
    catch (error) {
        onUnexpected(describeUnexpected(error));
        return undefined;
    }
};
