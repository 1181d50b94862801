import type { TaskResources } from "../jobs/types.js";
import type { Result } from "../utils/result.js";

/** Static attributes of a worker: its location and total capacity. */
export interface WorkerFacts {
    name: string;
    availabilityZone: string;
    rack: string;
    capacity: TaskResources;
}

/** Description that a worker serves of itself. */
export interface WorkerDescription extends WorkerFacts {
    /** Wall-clock time of its start; identifies the incarnation. */
    bornMs: number;
    /** Whether it is about to leave and must get no new tasks. */
    leaving: boolean;
}

/** Reads the description of the worker at `host:port`; the error is the reason of the failure, for people. */
export type DescribeWorker = (address: string) => Promise<Result<WorkerDescription, string>>;

/** Key of the row of the platform's table with the facts of all workers, written by the planner. */
export const fleetKey = "fleet";
