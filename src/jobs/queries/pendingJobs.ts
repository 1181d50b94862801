import type { JobBook } from "../book.js";
import { phaseOf } from "../book.js";
import { JobPhase } from "../types.js";

/** Number of a queue's accepted jobs of which no task has started. */
export const countPendingJobs = (book: JobBook, queue: string): number => {
    let count = 0;
    for (const entry of book.entries.values()) {
        if (entry.submission?.queue === queue && phaseOf(entry) === JobPhase.Queued) {
            count += 1;
        }
    }
    return count;
};
