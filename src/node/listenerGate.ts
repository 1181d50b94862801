import { describeUnexpected } from "../utils/describeUnexpected.js";
import type { TimerService, Unsubscribe } from "../utils/timer.js";
import type { Log } from "./logs.js";

/** Options of {@link startListenerGate}. */
export interface ListenerGateOptions {
    timer: TimerService;
    log: Log;
    /** Whether this VM has not confirmed its configuration for so long that it refuses its callers. */
    isUnconfirmed: () => boolean;
    /** Whether the process is stopping; its listener is left as it is then. */
    isStopping: () => boolean;
    isListening: () => boolean;
    listen: () => Promise<unknown>;
    /** Stops accepting connections and closes those that are idle. */
    close: () => void;
}

const checkIntervalMs = 100;
/** Checks in a row before the listener is closed: after a pause of the process the next answer may confirm. */
const minUnconfirmedChecks = 3;

/**
 * Closes the listener for callers while this VM has to refuse them: one whose connection is refused tries another VM at
 * once, while a refused request costs it a try and a pause. Returns a function that ends this.
 */
export const startListenerGate = (options: ListenerGateOptions): Unsubscribe => {
    const { timer, log, isUnconfirmed, isListening } = options;
    /** Whether the listener has been told to close since it was opened; it first accepts what has arrived. */
    let isClosing = false;
    let hasFailed = false;
    let unconfirmedChecks = 0;

    const open = async (): Promise<void> => {
        try {
            await options.listen();
            log("info", "callers accepted again");
            isClosing = false;
            hasFailed = false;
        }
        catch (error) {
            if (!hasFailed) {
                log("error", "callers not accepted again yet", { detail: describeUnexpected(error) });
            }
            hasFailed = true;
        }
    };

    return timer.every(checkIntervalMs, async () => {
        if (options.isStopping()) {
            return;
        }
        unconfirmedChecks = isUnconfirmed() ? unconfirmedChecks + 1 : 0;
        if (unconfirmedChecks >= minUnconfirmedChecks && isListening() && !isClosing) {
            log("warn", "callers refused: the configuration is not confirmed");
            isClosing = true;
            options.close();
        }
        else if (unconfirmedChecks === 0 && !isListening()) {
            await open();
        }
    });
};
