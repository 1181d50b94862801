import { createOpenRequests } from "../utils/openRequests.js";
import type { OpenRequests } from "../utils/openRequests.js";
import type { TimerService } from "../utils/timer.js";
import type { EntryMetrics } from "./entryMetrics.js";
import type { Log } from "./logs.js";

/** Creates the set of callers' open requests, of which broken ones are logged and counted. */
export const createLoggedOpenRequests = (
    timer: TimerService,
    log: Log,
    metrics: EntryMetrics,
    isStopping: () => boolean,
): OpenRequests => {
    const openRequests = createOpenRequests({
        nowMs: timer.nowMs,
        onAdded: ({ method, path }) => log("debug", "request received", { method, path }),
        onBroken: ({ method, path, isHandled }, ageMs, closedBy) => {
            metrics.recordBrokenAnswer(closedBy);
            log("warn", "connection closed before the answer", {
                method,
                path,
                isHandled,
                ageMs: Math.round(ageMs),
                closedBy,
                stopping: isStopping(),
            });
        },
    });
    metrics.watchOpenRequests(() => openRequests.summarize().openRequests);
    return openRequests;
};
