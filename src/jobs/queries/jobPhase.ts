import type { StateTable } from "../../state/types.js";
import { phaseOf } from "../book.js";
import type { JobPhase } from "../types.js";
import { readJob } from "./readJob.js";

/** State of a job, from the table; `undefined` when there is no such job. */
export const queryJobPhase = async (
    state: StateTable,
    jobId: string,
): Promise<JobPhase | "unavailable" | undefined> => {
    const entry = await readJob(state, jobId);
    return entry === "unavailable" ? "unavailable" : phaseOf(entry);
};
