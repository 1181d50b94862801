import type { StateTable } from "../../state/types.js";
import { createJobBook } from "../book.js";
import type { JobEntry } from "../book.js";
import { jobsTable, partOfJob, progressTable } from "../rows.js";

/** Character that follows `/` in key order; ends the range of a job's rows. */
const afterSlash = "0";

/** Reads a job's rows; `undefined` if there are none, `"unavailable"` if the table cannot be read. */
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
