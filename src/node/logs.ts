import "./enableLogs.js";
import { ROARR, Roarr } from "roarr";

/** Log levels in ascending order of severity. */
const levels = ["debug", "info", "warn", "error"] as const;

/** Severity of a log line. */
export type LogLevel = typeof levels[number];

/** Writes one structured log line. */
export type Log = (level: LogLevel, message: string, fields?: Record<string, unknown>) => void;

/** Creates a log that writes JSON lines at or above `minLevel`, by default to standard error. */
export const createLog = (
    daemon: string,
    vm: string,
    minLevel: string,
    writeLine: (line: string) => void = line => process.stderr.write(`${line}\n`),
): Log => {
    ROARR.write = writeLine;
    const logger = Roarr.child({ daemon, vm });
    const threshold = levels.indexOf(minLevel as LogLevel);
    return (level, message, fields = {}) => {
        if (levels.indexOf(level) >= threshold) {
            logger[level](JSON.parse(JSON.stringify(fields)), message);
        }
    };
};
