import type { StateTable } from "../../state/types.js";
import { phaseOf } from "../book.js";
import type { JobBook } from "../book.js";
import { isEnded } from "../types.js";
import type { JobPhase } from "../types.js";
import { readJob } from "./readJob.js";

/** State of a job, from the table unless it is known to have ended; `undefined` when there is no such job. */
export const queryJobPhase = async (
    state: StateTable,
    book: JobBook,
    jobId: string,
): Promise<JobPhase | "unavailable" | undefined> => {
    const known = phaseOf(book.entries.get(jobId));
    if (known !== undefined && isEnded(known)) {
        return known;
    }
    const entry = await readJob(state, jobId);
    if (entry === "unavailable") {
        return known ?? "unavailable";
    }
    return phaseOf(entry);
};
