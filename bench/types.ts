import type { JobClass } from "./workload.js";

/** What one job went through. */
export interface JobOutcome {
    class: JobClass;
    accelerators: number;
    /** Time from submission to the first start; `undefined` if it never started. */
    waitMs?: number;
    /** Time from submission to the end. */
    completionMs?: number;
    runTimeMs: number;
    /** Time from which its customer's guarantee was unused until it started, for guaranteed jobs. */
    guaranteeWaitMs?: number;
    rejected: boolean;
    cancelled: boolean;
    neverFits: boolean;
}

/** Figures of one run. */
export interface RunResult {
    jobs: JobOutcome[];
    /** Time-weighted share of free accelerators that the largest waiting shape cannot use. */
    fragmentation: number;
    /** Useful work during the zone move, as a share of what the remaining zones could do. */
    zoneMoveWork: number;
    /** Accelerator hours of work that was thrown away. */
    lostAcceleratorHours: number;
    utilisation: number;
    rounds: number;
    planMs: number;
    slowestRoundMs: number;
}
