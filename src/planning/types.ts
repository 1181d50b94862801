import type { JobSubmission, Step, TaskResources } from "../jobs/types.js";

/** A worker as placement sees it. */
export interface Room {
    workerId: string;
    service: string;
    availabilityZone: string;
    rack: string;
    labels: readonly string[];
    capacity: TaskResources;
    /** What no run and no claim occupies; placement takes from it. */
    free: TaskResources;
    /** What is taken by less important runs that would go on elsewhere with little loss. */
    movable: TaskResources;
    /** Whether tasks may be started there at present. */
    usable: boolean;
    /** Kept whole for work of priority 0 that is expected. */
    keptForUrgent: boolean;
    /** Declared time that the longest of its runs still needs; 0 while nothing runs. */
    busyForMs: number;
    /** Time for which it is open to work before a blocked gang is expected to start there. */
    openForMs: number;
    /** A guaranteed gang has its place there, so that lent room is taken back sooner than elsewhere. */
    hasCell: boolean;
    /** Failures and slowness seen there lately; 0 for a sound worker. */
    suspicion: number;
    /** A task that serves its own users runs there. */
    hasServing: boolean;
    /** A task that fills idle cores runs there. */
    hasFilling: boolean;
}

/** Tasks of one step and occurrence that wait for a place. */
export interface Candidate {
    /** Names the step and occurrence of the job. */
    key: string;
    job: JobSubmission;
    step: Step;
    /** Indexes of the tasks to place; all of them for a gang. */
    taskIndexes: number[];
    /** Workers on which the task failed before. */
    avoid: ReadonlySet<string>;
    /** It rather waits than run on one of these. */
    avoidsStrictly: boolean;
    /** Tasks of the same step and occurrence that run already, by worker. */
    runningOn: ReadonlyMap<string, number>;
    /** Time since the first of its tasks could have started. */
    waitingMs: number;
    /** Time until the job misses its objective; negative afterwards. */
    objectiveInMs: number;
    /** Time until completing the job is of no use; negative afterwards. */
    uselessInMs: number;
    /** Declared time from the start of these tasks to the end of the job. */
    remainingChainMs: number;
    /** Its customer can demand the room. */
    guaranteed: boolean;
    /** Workers that are kept reclaimable for it, one entry a task. @default any room will do */
    cell?: readonly string[];
}

/** A set of runs that can be taken back as a whole. */
export interface Occupant {
    /** Step and occurrence that the runs are of. */
    key: string;
    priority: number;
    resources: TaskResources;
    /** Tasks by worker; several for a gang. */
    tasks: { taskIndex: number; workerId: string; }[];
    /** Work that would have to be done again, in core-milliseconds. */
    lostCoreMs: number;
    /** Times that runs of it were taken back before. */
    evictions: number;
    /** It runs on what is guaranteed to its customer. */
    guaranteed: boolean;
    /** It goes on elsewhere from its saved progress. */
    resumable: boolean;
}

/** Where a task goes. */
export interface Assignment {
    taskIndex: number;
    workerId: string;
}

/** Room kept for a candidate while others make way. */
export interface RoomClaim {
    key: string;
    resources: TaskResources;
    assignments: Assignment[];
    /** Steady time of the claim. */
    madeAtMs: number;
}

/** Decisions of one planning round. */
export interface Round {
    placements: { candidate: Candidate; assignments: Assignment[]; }[];
    evictions: { occupant: Occupant; forKey: string; }[];
    claims: RoomClaim[];
}
