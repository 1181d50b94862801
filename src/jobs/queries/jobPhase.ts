import type { StateTable } from "../../state/types.js";
import { mayAccess } from "../jobAccess.js";
import type { JobAccess } from "../jobAccess.js";
import type { PhaseCache } from "../phaseCache.js";
import { phaseOf } from "../projection.js";
import type { JobPhase } from "../types.js";
import { readJob } from "./readJob.js";

/**
 * Reads a job's phase, from the cache while the table is unavailable; `undefined` if there is no such job that `access` may
 * read.
 */
export const queryJobPhase = async (
    state: StateTable,
    cache: PhaseCache,
    jobId: string,
    access?: JobAccess,
): Promise<JobPhase | "unavailable" | undefined> => {
    const job = await readJob(state, jobId);
    if (job === "unavailable") {
        const cached = cache.get(jobId);
        return cached !== undefined && mayAccess(cached.owner, access) ? cached.phase : "unavailable";
    }
    const phase = phaseOf(job);
    if (job?.submission === undefined || phase === undefined) {
        return undefined;
    }
    cache.set(jobId, { phase, owner: job.submission });
    return mayAccess(job.submission, access) ? phase : undefined;
};
