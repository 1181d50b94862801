import { phaseOf } from "../book.js";
import type { JobEntry } from "../book.js";
import { JobPhase } from "../types.js";

/** A job as its submitter and operators see it. */
export interface JobView {
    id: string;
    customer?: string;
    service: string;
    priority: number;
    state: JobPhase;
    /** Why it is in that state, for people. */
    reason: string;
    taskCount: number;
    /** Workers on which its tasks run, without repeats. */
    workers: string[];
    /** Highest run number that a task of it has at present. */
    run?: number;
    /** Runs that failed. */
    failures: number;
}

const reasons: Record<JobPhase, string> = {
    [JobPhase.Queued]: "waits for a place",
    [JobPhase.Running]: "has a place",
    [JobPhase.Succeeded]: "all tasks are done",
    [JobPhase.Failed]: "a task failed too often",
    [JobPhase.Cancelled]: "cancelled",
};

/** Describes a job; `undefined` when there is none. */
export const viewJob = (entry: JobEntry | undefined): JobView | undefined => {
    const { submission, record } = entry ?? {};
    const state = phaseOf(entry);
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
        reason: record?.reason ?? reasons[state],
        taskCount: submission.steps.reduce((sum, step) => sum + step.taskCount, 0),
        workers: [...new Set(runs.map(run => run.workerId))],
        run: runs.length === 0 ? undefined : Math.max(...runs.map(run => run.run)),
        failures: units.reduce((sum, unit) => sum + Object.values(unit.failedRuns).flat().length, 0),
    };
};
