import type { StateTable } from "../../state/types.js";
import type { PhaseCache } from "../phaseCache.js";
import { phaseOf } from "../projection.js";
import type { JobPhase } from "../types.js";
import { readJob } from "./readJob.js";

/** Reads a job's phase, from the cache while the table is unavailable; `undefined` if the job does not exist. */
export const queryJobPhase = async (
    state: StateTable,
    cache: PhaseCache,
    jobId: string,
): Promise<JobPhase | "unavailable" | undefined> => {
    const job = await readJob(state, jobId);
    if (job === "unavailable") {
        return cache.get(jobId) ?? "unavailable";
    }
    const phase = phaseOf(job);
    if (phase !== undefined) {
        cache.set(jobId, phase);
    }
    return phase;
};
