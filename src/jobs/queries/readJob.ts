import type { StateTable } from "../../state/types.js";
import { createJobProjection } from "../projection.js";
import type { StoredJob } from "../projection.js";
import { jobsTable, partOfJob, progressTable } from "../rows.js";

/** Character that follows `/` in key order; ends the range of a job's rows. */
const afterSlash = "0";

/**
 * Reads a job's rows; `undefined` if there are none, `"unavailable"` if the table cannot be read.
 *
 * @param deadlineMs time in which the rows are needed, from now
 */
export const readJob = async (
    state: StateTable,
    jobId: string,
    deadlineMs?: number,
): Promise<StoredJob | "unavailable" | undefined> => {
    const range = { part: partOfJob(jobId), from: `${jobId}/`, before: `${jobId}${afterSlash}`, deadlineMs };
    const reads = await Promise.all([jobsTable, progressTable].map(table => state.read({ table, ...range })));
    const projection = createJobProjection();
    for (const read of reads) {
        if (!read.ok) {
            return "unavailable";
        }
        read.value.rows.forEach(row => projection.apply(row));
    }
    return projection.jobs.get(jobId);
};
