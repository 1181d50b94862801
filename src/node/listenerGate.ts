import { describeUnexpected } from "../utils/describeUnexpected.js";
import type { TimerService, Unsubscribe } from "../utils/timer.js";
import type { Log } from "./logs.js";

/** Options of {@link startListenerGate}. */
export interface ListenerGateOptions {
    timer: TimerService;
    log: Log;
    /** Whether this VM has lost contact for so long that it has to refuse its callers. */
    isCutOff: () => boolean;
    /** Whether the process is stopping; its listener is left as it is then. */
    isStopping: () => boolean;
    isListening: () => boolean;
    listen: () => Promise<unknown>;
    /** Stops accepting connections and closes those that are idle. */
    close: () => void;
}

const checkIntervalMs = 100;

/**
 * Closes the listener for callers while this VM is cut off: a connection that is refused costs a caller less of its time,
 * and none of its tries. If all VMs are cut off, callers reach the first that is back. Returns a function that ends this.
 */
export const startListenerGate = (options: ListenerGateOptions): Unsubscribe => {
    const { timer, log, isCutOff, isListening } = options;
    /** Whether the listener has been told to close since it was opened; it first accepts what has arrived. */
    let isClosing = false;

    const open = async (): Promise<void> => {
        try {
            await options.listen();
            isClosing = false;
            log("info", "listener opened again");
        }
        catch (error) {
            log("error", "listener not opened again yet", { detail: describeUnexpected(error) });
        }
    };

    return timer.every(checkIntervalMs, async () => {
        if (options.isStopping()) {
            return;
        }
        if (isCutOff() && isListening() && !isClosing) {
            log("warn", "listener closed: the configuration is not confirmed");
            isClosing = true;
            options.close();
        }
        else if (!isCutOff() && !isListening()) {
            await open();
        }
    });
};
