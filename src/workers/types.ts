import type { TaskResources } from "../jobs/types.js";
import type { Result } from "../utils/result.js";

/** A worker's place and capacity, whatever its present state. */
export interface WorkerFacts {
    name: string;
    availabilityZone: string;
    rack: string;
    capacity: TaskResources;
}

/** What a worker says of itself. */
export interface WorkerDescription extends WorkerFacts {
    /** Wall-clock time of its start; names the incarnation. */
    bornMs: number;
    leaving: boolean;
}

/** Reads a worker's description; the error says why it could not be read. */
export type DescribeWorker = (address: string) => Promise<Result<WorkerDescription, string>>;

/** Row of the platform's table with the facts of all workers, written by the planner. */
export const fleetKey = "fleet";
