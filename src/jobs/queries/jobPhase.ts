import type { StateTable } from "../../state/types.js";
import { phaseOf } from "../book.js";
import type { KnownPhases } from "../knownPhases.js";
import type { JobPhase } from "../types.js";
import { readJob } from "./readJob.js";

/** State of a job from the table, or as last known while it is out of reach; `undefined` when there is no such job. */
export const queryJobPhase = async (
    state: StateTable,
    known: KnownPhases,
    jobId: string,
): Promise<JobPhase | "unavailable" | undefined> => {
    const entry = await readJob(state, jobId);
    if (entry === "unavailable") {
        return known.last(jobId) ?? "unavailable";
    }
    const phase = phaseOf(entry);
    if (phase !== undefined) {
        known.note(jobId, phase);
    }
    return phase;
};
