import type { Shape, Urgency } from "../configuration/types.js";

/** Where some tasks of a gang run. */
export interface Member {
    /** Name of the worker. */
    worker: string;
    taskCount: number;
}

/** Capacity of one worker in every dimension that a task can ask for. */
export interface Resources {
    accelerators: number;
    cores: number;
    memoryGb: number;
}

/** A worker as the planner sees it. */
export interface Worker {
    name: string;
    availabilityZone: string;
    rack: string;
    capacity: Resources;
    /** False while the worker is leaving, lost or ejected. */
    usable: boolean;
}

/** How an allocation may be taken back. */
export enum AllocationClass {
    /** Runs inside its customer's guarantee and is not reclaimed. */
    Guaranteed = "guaranteed",
    /** Runs on capacity that others may reclaim. */
    Borrowed = "borrowed",
}

/** What a customer asked for when submitting a job. */
export interface JobSpec {
    id: string;
    customer: string;
    service: string;
    shape: Shape;
    urgency: Urgency;
    /** Run time declared by the submitter; often far off. */
    declaredRunTimeMs: number;
    /** Whether its tasks can save their progress and go on from it elsewhere. */
    checkpointable: boolean;
    /** Wall-clock time of submission. */
    submittedAtMs: number;
    /** Wall-clock time by which it should be finished. */
    deadlineAtMs?: number;
    /** Workers on which it failed and is not placed again. */
    avoid?: string[];
    /** Description of the work, passed on to the workers unread. */
    work?: unknown;
}

/** State of a job as recorded in the table. */
export enum JobState {
    Queued = "queued",
    /** Its placement is decided; its tasks are starting or running. */
    Placed = "placed",
    Done = "done",
    Failed = "failed",
    Cancelled = "cancelled",
    /** It can never run; the reason is recorded. */
    Rejected = "rejected",
}

/** One decided placement of a job. */
export interface Placement {
    /** Counts the placements of the job, starting at 1. */
    attempt: number;
    members: Member[];
    availabilityZone: string;
    class: AllocationClass;
    /** Unit of the guarantee it runs in, `customer/name#index`. */
    guaranteeUnit?: string;
    /** Location of the unit's cell at the time of the decision. */
    cell?: Member[];
    /** Wall-clock time of the decision. */
    placedAtMs: number;
    /** Planner that decided it. */
    planner: string;
    /** Configuration version that the decision was made under. */
    configurationVersion: number;
}

/** The recorded row of a job. */
export interface JobRecord {
    spec: JobSpec;
    state: JobState;
    /** Attempts made so far. */
    attempts: number;
    placement?: Placement;
    /** Progress saved by its last checkpoint. */
    progressMs: number;
    /** Reason of the last change, for people. */
    reason: string;
    cancelRequested: boolean;
    /** Placements whose tasks failed. */
    failures: number;
    /** Workers of those placements. */
    failedOn: string[];
    /** Unique per write, so that a writer can recognise its own write. */
    writeId: string;
    /** Wall-clock time of completion, once it ended. */
    endedAtMs?: number;
}
