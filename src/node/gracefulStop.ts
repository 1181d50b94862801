import type { JsonAnswer } from "../utils/http.js";
import type { OpenRequest, OpenRequests } from "../utils/openRequests.js";
import type { TimerService } from "../utils/timer.js";
import type { Log } from "./logs.js";

/** Options of {@link createGracefulStop}. */
export interface GracefulStopOptions {
    timer: TimerService;
    log: Log;
    openRequests: OpenRequests;
    /** Time from the request to stop until the process must have exited. */
    graceMs: () => number;
    /** Further fields of the log line with which the stop begins. */
    describe: () => Record<string, unknown>;
    /** Called for each connection that is accepted after the stop has begun. */
    onLateConnection: () => void;
    /** Called first: hands over what other VMs can take. Not awaited, as the table may be unreachable. */
    handOver: () => void;
    /** Stops accepting connections and closes those that are idle. */
    closeListener: () => void;
    /** Resolves when the requests that have reached the process are registered as open. */
    readArrived: () => Promise<void>;
    /** Answer of a request that is still in progress when the process has to exit. */
    interruptedAnswer: (request: OpenRequest) => JsonAnswer;
    exit: () => void;
}

/** A stop of the process in steps within its grace period. */
export interface GracefulStop {
    isStopping(): boolean;
    /** Called for each connection that the listener accepts. */
    onConnection(): void;
    /** Stops the process; further calls do nothing. */
    stop(): Promise<void>;
}

/** Share of the grace period for which connections are still accepted: the load balancer learns of the stop late. */
const acceptShare = 0.5;
/** Time reserved before the end of the grace period for the last answers and the exit. */
const maxExitMarginMs = 1_000;
/** Limit on that time as a share of the grace period. */
const exitMarginShare = 0.25;
/** Share of the margin in which the last answers must have been sent. */
const lastAnswersShare = 0.5;

/** Creates the stop of a process that answers requests: it leaves none of them without an answer. */
export const createGracefulStop = (options: GracefulStopOptions): GracefulStop => {
    const { timer, log, openRequests } = options;
    let isStopping = false;
    let lateConnections = 0;

    const stop = async (): Promise<void> => {
        if (isStopping) {
            return;
        }
        isStopping = true;
        const graceMs = options.graceMs();
        const exitMarginMs = Math.min(maxExitMarginMs, graceMs * exitMarginShare);
        log("info", "stopping", { graceMs, ...options.describe(), ...openRequests.summarize() });
        options.handOver();
        await timer.sleep(graceMs * acceptShare);
        options.closeListener();
        log("info", "listener closed", { lateConnections, ...openRequests.summarize() });
        await timer.sleep(graceMs * (1 - acceptShare) - exitMarginMs);
        await options.readArrived();
        const { openRequests: interrupted, oldestMs } = openRequests.summarize();
        openRequests.interrupt(options.interruptedAnswer);
        await Promise.race([openRequests.drained(), timer.sleep(exitMarginMs * lastAnswersShare)]);
        log("info", "stopped", {
            lateConnections,
            interrupted,
            oldestMs,
            unanswered: openRequests.summarize().openRequests,
        });
        options.exit();
    };

    const onConnection = (): void => {
        if (isStopping) {
            lateConnections += 1;
            options.onLateConnection();
        }
    };

    return { isStopping: () => isStopping, onConnection, stop };
};
