import type { JobSubmission, Step, TaskResources } from "../jobs/types.js";
import type { WaitReason } from "./waitReason.js";

/** A worker in a planning round: its capacity, its free resources and what may run there. */
export interface WorkerInfo {
    workerId: string;
    service: string;
    availabilityZone: string;
    rack: string;
    labels: readonly string[];
    capacity: TaskResources;
    /** Resources that no run and no claim occupies; reduced as the round places work. */
    free: TaskResources;
    /** Resources that are not free although nothing works there: of placements not recorded yet and of runs that have most likely ended. */
    notAtWork: TaskResources;
    /** Resources of runs of priority above 0 that can be resumed elsewhere with little loss. */
    migratable: TaskResources;
    /** Whether tasks may be started there now. */
    usable: boolean;
    /** Only its cooldown after failures keeps it from being usable. */
    coolingDown: boolean;
    /** Reserved for work of priority 0 that is expected soon. */
    isUrgentHeadroom: boolean;
    /** Longest remaining time of its runs, by their declared run times; 0 while nothing runs, infinite for long-running ones. */
    busyForMs: number;
    /** Share of its occupied resources whose runs end; long-running ones do not. @default 0 */
    endingShare?: number;
    /** Share of its occupied resources whose runs end and are of priority above 0. @default 0 */
    preemptibleShare?: number;
    /** Mean remaining time of the runs that end, by their declared run times, weighted by core equivalents. @default 0 */
    meanRemainingMs?: number;
    /** Time within which backfilled work must end, since a blocked gang is expected to start there then. */
    backfillWindowMs: number;
    /** It is reserved for a guaranteed gang, so that borrowers are preempted once the guarantee is claimed. */
    hasReservation: boolean;
    /** Score of recent failures and slowness there; 0 for a healthy worker. */
    suspicion: number;
    /** How likely it is to lose its runs, by its recent history and, with less weight, its rack's; 0 without any. */
    risk: number;
    /** Rate of work relative to the other workers; 1 unless it is known to be slow. */
    relativeSpeed: number;
    /** A task that serves its own users, with a bound on response times, runs there. */
    hasServingTask: boolean;
    /** A task that fills idle cores runs there. */
    hasIdleFillingTask: boolean;
}

/** Tasks of one step and occurrence that wait to be placed. */
export interface Candidate {
    /** Identifies the job, occurrence and step. */
    key: string;
    job: JobSubmission;
    step: Step;
    /** Indexes of the tasks to place; all of them for a gang. */
    taskIndexes: number[];
    /** Workers on which a task of the step failed before. */
    avoidedWorkers: ReadonlySet<string>;
    /** Whether avoided workers are excluded; otherwise they are the last choice. */
    mustAvoid: boolean;
    /** Number of running tasks of the same step and occurrence, by worker. */
    runningOn: ReadonlyMap<string, number>;
    /** Time since the first of its tasks could have started. */
    waitingMs: number;
    /** Time for which tasks of it have waited without interruption, since the last time that all of them had runs. */
    uninterruptedWaitMs: number;
    /** Time until the job misses its objective; negative afterwards. */
    timeToObjectiveMs: number;
    /** Time until completing the job has no value any more; negative afterwards. */
    timeToExpiryMs: number;
    /** Estimated time from the start of these tasks to the end of the job, by declared run times. */
    remainingCriticalPathMs: number;
    /** It claims its customer's guarantee. */
    guaranteed: boolean;
    /** Workers reserved for it, one entry a task. @default any workers */
    reservedWorkers?: readonly string[];
    /** It preempts nothing, unless it claims a guarantee: the planner itself moved it. @default false */
    preemptsNothing?: boolean;
}

/** How many tasks of a step may be unavailable at the same time because of scheduling decisions. */
export interface DisruptionLimit {
    maxUnavailable: number;
    /** Indexes of the tasks that are not known to be at work. */
    unavailableTasks: ReadonlySet<number>;
}

/** Runs that can only be preempted together: one task, or all tasks of a gang. */
export interface Occupant {
    /** Identifies the job, occurrence and step of the runs. */
    key: string;
    /** Whom the job belongs to. @default no customer */
    customer?: string;
    priority: number;
    resources: TaskResources;
    /** Its tasks and their workers; several for a gang. */
    tasks: { taskIndex: number; workerId: string; }[];
    /** Work that would have to be repeated, in core-milliseconds. */
    lostCoreMs: number;
    /** Number of earlier preemptions of the step. */
    evictions: number;
    /** It is covered by its customer's guarantee. */
    guaranteed: boolean;
    /** It can continue elsewhere from its last checkpoint. */
    resumable: boolean;
    /** Limit of its step, which all occupants with its key share. @default no limit */
    disruptionLimit?: DisruptionLimit;
}

/** The worker on which a task is to start. */
export interface Assignment {
    taskIndex: number;
    workerId: string;
}

/** Resources claimed for a candidate while the runs that were preempted for it end. */
export interface PreemptionClaim {
    key: string;
    resources: TaskResources;
    assignments: Assignment[];
    /** Monotonic time at which it was made. */
    madeAtMs: number;
}

/** What is known of waiting work that is postponed or was. */
export interface Postponement {
    /** Monotonic time at which it was postponed first. */
    sinceMs: number;
    /** It is postponed now. */
    active: boolean;
    /** It has been postponed for as long as it may be. */
    returned: boolean;
}

/** Postponed work by key of its candidate; lost with the planner and rebuilt by the next rounds. */
export type Postponements = ReadonlyMap<string, Postponement>;

/** Workers on which a blocked gang limits backfill. */
export interface BackfillLimit {
    /** The blocked gang. */
    candidate: Candidate;
    /** Number of workers; 0 if the usable ones cannot hold the gang. */
    workers: number;
    /** Time within which other work must end there. */
    windowMs: number;
}

/** Decisions of one planning round. */
export interface Round {
    placements: { candidate: Candidate; assignments: Assignment[]; }[];
    /** Occupants to preempt; `forKey` is the key of the candidate that needs their resources. */
    evictions: { occupant: Occupant; forKey: string; }[];
    /** Claims to pass to the next round. */
    claims: PreemptionClaim[];
    /** Blocked gangs that keep workers from longer work. */
    backfillLimits: BackfillLimit[];
    /** Why customers' limits kept candidates, in whole or in part, from being placed; by key. */
    limited: ReadonlyMap<string, WaitReason>;
    /** Work that is placed after other work of its tier, to pass to the next round. */
    postponements: Postponements;
}
