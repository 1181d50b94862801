/** Inclusive range that a value is drawn from. */
export type Range = [least: number, most: number];

/** Jobs of one kind that arrive at random. */
export interface JobStream {
    name: string;
    /** 0 is the most important. */
    priority: number;
    /** Customer whose guarantee its jobs may claim. @default one without a guarantee */
    customer?: string;
    fromMs: number;
    untilMs: number;
    /** Mean time between arrivals. */
    meanGapMs: number;
    taskCount: Range;
    acceleratorsPerTask: Range;
    runTimeMs: Range;
    /** Largest deviation of a task's run time from that of its step, as a share of it; none in gangs. @default 0 */
    unevenShare?: number;
    /** Largest deviation of declared from actual run times, as a share of the actual one. @default 0 */
    estimateError?: number;
    /** @default false */
    gang?: boolean;
    /** Whether gangs must fit into one rack. @default false */
    sameRack?: boolean;
    /** Share of the jobs that save checkpoints. @default 0 */
    checkpointShare?: number;
    /** Share of the jobs whose first run fails. @default 0 */
    failShare?: number;
    /** Share of the jobs that are cancelled after half of their run time. @default 0 */
    cancelShare?: number;
    slackFactor: number;
    targetLatencyMs: number;
    /** Value of a job that meets its objective. */
    value: number;
    /** Value of a job that ends within three times its objective. */
    lateValue: number;
}

/** Kinds of injected faults. */
export enum FaultKind {
    /** The table is unavailable to every VM. */
    TableDown = "tableDown",
    /** One VM cannot reach the table. */
    VmCutFromTable = "vmCutFromTable",
    /** The VM that plans is killed, and started again after the given time. */
    PlannerKilled = "plannerKilled",
    /** Workers get no orders and answer none. */
    WorkersSilent = "workersSilent",
}

/** A fault that is injected into a replay. */
export interface Fault {
    kind: FaultKind;
    atMs: number;
    forMs: number;
    /** Workers concerned. @default 1 */
    count?: number;
}

/** A load with faults, read from a file of JSON with comments. */
export interface Load {
    racks: number;
    workersPerRack: number;
    /** Workers that run at another speed than the others, spread over the racks. @default none */
    slowWorkers?: { share: number; speed: number; };
    /** @default 3 */
    vms?: number;
    /** Time after which the replay ends. */
    durationMs: number;
    streams: JobStream[];
    faults: Fault[];
}

/** Outcomes of a stream's jobs in one replay. */
export interface StreamOutcome {
    stream: string;
    jobs: number;
    inTime: number;
    late: number;
    /** Refused, failed, or not ended in time for any value. */
    lost: number;
    /** Earned value as a share of the value of all jobs that were not cancelled. */
    earnedShare: number;
}

/** Result of one replay. */
export interface ReplayResult {
    seed: number;
    streams: StreamOutcome[];
    /** Earned value of all streams as a share of what could be earned. */
    earnedShare: number;
    /** Work of runs that ended without completing and without a checkpoint, in accelerator-seconds. */
    lostAcceleratorS: number;
}
