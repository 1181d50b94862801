import type { JobPhase } from "./types.js";

/** Phases of jobs as a VM last read them, for times without the table. */
export interface KnownPhases {
    note(jobId: string, phase: JobPhase): void;
    last(jobId: string): JobPhase | undefined;
}

/** Jobs remembered at most; the ones that were not asked for longest are left out first. */
const maxJobs = 2_000;

/** Creates an empty memory. */
export const createKnownPhases = (): KnownPhases => {
    const phases = new Map<string, JobPhase>();
    return {
        note: (jobId, phase) => {
            phases.delete(jobId);
            phases.set(jobId, phase);
            if (phases.size > maxJobs) {
                phases.delete(phases.keys().next().value ?? "");
            }
        },
        last: jobId => phases.get(jobId),
    };
};
