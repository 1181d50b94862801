import type { StateTable } from "../../state/types.js";
import { createJobBook } from "../book.js";
import type { JobEntry } from "../book.js";
import { jobsTable, partOfJob } from "../rows.js";

/** First character after `/`, which ends the range of a job's rows. */
const afterSlash = "0";

/** Reads what is stored of a job; `undefined` when there is no such job. */
export const readJob = async (state: StateTable, jobId: string): Promise<JobEntry | "unavailable" | undefined> => {
    const read = await state.read({
        table: jobsTable,
        part: partOfJob(jobId),
        from: `${jobId}/`,
        before: `${jobId}${afterSlash}`,
    });
    if (!read.ok) {
        return "unavailable";
    }
    const book = createJobBook();
    read.value.rows.forEach(row => book.apply(row));
    return book.entries.get(jobId);
};
