import type { JobClass } from "./workload.js";

/** Outcome of one job in a replay. */
export interface JobOutcome {
    class: JobClass;
    /** Accelerators of its first step. */
    accelerators: number;
    /** Time from submission to the first start; `undefined` if it never started. */
    waitMs?: number;
    /** Time from submission to the end; `undefined` if it never ended. */
    completionMs?: number;
    /** Time that it runs without interruptions. */
    runTimeMs: number;
    /** Time from when its customer's guarantee covered it until it started; `undefined` without a guarantee. */
    guaranteeWaitMs?: number;
    /** It was refused at submission, because it does not fit into the empty fleet. */
    rejected: boolean;
    cancelled: boolean;
    /** The workload made its shape too large for the fleet. */
    neverFits: boolean;
}

/** Measurements of one replay. */
export interface RunResult {
    jobs: JobOutcome[];
    /** Time-weighted share of all accelerators that are free and that the largest waiting gang cannot use. */
    fragmentation: number;
    /** Useful work during the zone move, as a share of the capacity of the remaining zones. */
    zoneMoveWork: number;
    /** Accelerator hours of work that was lost when runs stopped or failed. */
    lostAcceleratorHours: number;
    /** Time-weighted share of all accelerators that are in use. */
    utilisation: number;
    /** Number of planning rounds. */
    rounds: number;
    /** Wall-clock time of all planning rounds, without the collection of their input. */
    planMs: number;
    /** Wall-clock time of the slowest planning round, likewise. */
    slowestRoundMs: number;
}
