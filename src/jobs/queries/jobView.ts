import { phaseOf } from "../projection.js";
import type { StoredJob } from "../projection.js";
import { JobPhase } from "../types.js";

/** A job as reported to its customer and to operators. */
export interface JobView {
    id: string;
    customer?: string;
    service: string;
    priority: number;
    state: JobPhase;
    /** Human-readable reason for the state. */
    reason: string;
    taskCount: number;
    /** Distinct workers on which its tasks run. */
    workers: string[];
    /** Highest run number of its current runs. */
    run?: number;
    /** Number of failed runs. */
    failures: number;
}

const defaultReasons: Record<JobPhase, string> = {
    [JobPhase.Queued]: "waits for a place",
    [JobPhase.Running]: "has a place",
    [JobPhase.Succeeded]: "all tasks are done",
    [JobPhase.Failed]: "a task failed too often",
    [JobPhase.Cancelled]: "cancelled",
};

/** Builds the view of a job; `undefined` if the job does not exist. */
export const toJobView = (job: StoredJob | undefined): JobView | undefined => {
    const { submission, record } = job ?? {};
    const state = phaseOf(job);
    if (submission === undefined || state === undefined) {
        return undefined;
    }
    const units = Object.values(record?.units ?? {});
    const runs = units.flatMap(unit => unit.runs);
    return {
        id: submission.id,
        customer: submission.customer,
        service: submission.queue,
        priority: submission.priority,
        state,
        reason: record?.reason ?? defaultReasons[state],
        taskCount: submission.steps.reduce((sum, step) => sum + step.taskCount, 0),
        workers: [...new Set(runs.map(run => run.workerId))],
        run: runs.length === 0 ? undefined : Math.max(...runs.map(run => run.run)),
        failures: units.reduce((sum, unit) => sum + Object.values(unit.failedRuns).flat().length, 0),
    };
};
