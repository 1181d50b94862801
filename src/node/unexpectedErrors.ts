import { describeUnexpected } from "../utils/describeUnexpected.js";
import type { Log } from "./logs.js";

/** Maximum number of different errors that are logged, so that an error that recurs cannot flood the log. */
const maxLoggedErrors = 100;

/** Creates a function that logs each unexpected error under a message, an error that recurs only once. */
export const createUnexpectedErrorLog = (log: Log, message: string): (detail: string) => void => {
    const logged = new Set<string>();
    return detail => {
        if (!logged.has(detail) && logged.size < maxLoggedErrors) {
            logged.add(detail);
            log("error", message, { detail });
        }
    };
};

/** Passes rejected promises that nobody awaits to `report`; by default the first of them would end the process. */
export const surviveUnhandledRejections = (report: (detail: string) => void): void => {
    process.on("unhandledRejection", reason => report(describeUnexpected(reason)));
};
