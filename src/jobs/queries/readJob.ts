import type { StateTable } from "../../state/types.js";
import { createJobBook } from "../book.js";
import type { JobEntry } from "../book.js";
import { jobsTable, partOfJob, progressTable } from "../rows.js";

/** First character after `/`, which ends the range of a job's rows. */
const afterSlash = "0";

/** Reads what is stored of a job; `undefined` when there is no such job. */
export const readJob = async (state: StateTable, jobId: string): Promise<JobEntry | "unavailable" | undefined> => {
    const range = { part: partOfJob(jobId), from: `${jobId}/`, before: `${jobId}${afterSlash}` };
    const reads = await Promise.all([jobsTable, progressTable].map(table => state.read({ table, ...range })));
    const book = createJobBook();
    for (const read of reads) {
        if (!read.ok) {
            return "unavailable";
        }
        read.value.rows.forEach(row => book.apply(row));
    }
    return book.entries.get(jobId);
};
