import type { Refusal } from "../utils/refusals.js";
import type { EntryMetrics } from "./entryMetrics.js";
import type { Log } from "./logs.js";

/** Time between two log lines of the same server and cause; a flood makes thousands of decisions a second. */
const linePeriodMs = 1_000;

/** Creates a function that counts each refused client, and logs decisions with a bounded number of lines. */
export const createRefusalLog = (
    log: Log,
    metrics: EntryMetrics,
    nowMs: () => number,
): (refusal: Refusal) => void => {
    const lastLines = new Map<string, { atMs: number; unlogged: number; }>();
    return refusal => {
        const { server, cause, clients } = refusal;
        metrics.recordRefusedClients(server, cause, clients);
        const key = `${server} ${cause}`;
        const last = lastLines.get(key);
        if (last !== undefined && nowMs() - last.atMs < linePeriodMs) {
            last.unlogged += clients;
            return;
        }
        lastLines.set(key, { atMs: nowMs(), unlogged: 0 });
        log("warn", "clients refused", { ...refusal, unlogged: last?.unlogged ?? 0 });
    };
};
