/** Measures a replay: fragmentation, work during the zone move, lost work and utilisation. */
import type { JobState } from "../src/jobs/progress.js";
import { gangDomains } from "../src/planning/placement.js";
import { fitCount, occupiedBy } from "../src/planning/resources.js";
import type { Candidate, WorkerInfo } from "../src/planning/types.js";
import type { SimulatedPlanner } from "./simulatedPlanner.js";
import type { JobOutcome, RunResult } from "./types.js";
import type { Workload } from "./workload.js";

/** State of the replay that the meter reads. */
export interface MeteredState {
    planner: SimulatedPlanner;
    running: ReadonlyMap<string, { job: JobState; }>;
    /** Changes whenever a job starts or stops running or waiting. */
    revision(): number;
    /** Workers with their present free resources. */
    workers(): WorkerInfo[];
    /** Candidates left waiting by the last round; jobs that can never run are not among them. */
    waiting(): readonly Candidate[];
}

/** Integrates accelerator use over virtual time. */
export interface Meter {
    /** Adds the time between two events, during which the state did not change. */
    recordInterval(fromMs: number, untilMs: number): void;
    /** Adds accelerator time whose work has to be repeated. */
    recordLostWork(nowMs: number, acceleratorMs: number): void;
    /** Totals so far. */
    results(): Pick<RunResult, "fragmentation" | "zoneMoveWork" | "lostAcceleratorHours" | "utilisation">;
}

/** Number of accelerators above which a gang counts as large. */
const largeGangThreshold = 16;
const hourMs = 3_600_000;

/** Accelerators of a job's first step. */
export const acceleratorsOf = ({ submission }: JobState): number =>
    submission.steps[0].taskCount * submission.steps[0].resources.accelerators;

const acceleratorsNeeded = ({ step }: Candidate): number => step.taskCount * step.resources.accelerators;

/** Number of free accelerators that whole gangs of the candidate's shape could use. */
const acceleratorsUsableBy = (workers: readonly WorkerInfo[], candidate: Candidate): number =>
    gangDomains(workers, candidate)
        .map(domain => domain.reduce((sum, worker) => sum + fitCount(worker.free, occupiedBy(candidate.step)), 0))
        .reduce((sum, tasks) => sum + acceleratorsNeeded(candidate) * Math.floor(tasks / candidate.step.taskCount), 0);

/** Creates a meter at time 0. */
export const createMeter = (workload: Workload, state: MeteredState): Meter => {
    const { zoneMove, endMs } = workload;
    const zones = new Map(workload.workers.map(worker => [worker.name, worker.availabilityZone]));
    // in accelerator-milliseconds, except for `measuredMs`
    const sums = { unusableMs: 0, busyMs: 0, zoneMoveBusyMs: 0, zoneMoveLostMs: 0, lostMs: 0, measuredMs: 0 };
    let cached = { revision: -1, accelerators: 0 };
    const isDuringZoneMove = (nowMs: number): boolean => nowMs >= zoneMove.fromMs && nowMs <= zoneMove.untilMs;

    const capacityOutside = (zone: string | undefined): number =>
        workload.workers
            .filter(worker => worker.availabilityZone !== zone)
            .reduce((sum, worker) => sum + worker.capacity.accelerators, 0);

    const busyOutside = (zone: string | undefined): number => {
        let busy = 0;
        for (const { job } of state.running.values()) {
            const [worker] = state.planner.workersOf(job);
            busy += zone !== undefined && zones.get(worker) === zone ? 0 : acceleratorsOf(job);
        }
        return busy;
    };

    /** Number of free accelerators that the largest waiting gang cannot use. */
    const countUnusable = (): number => {
        const large = state.waiting().filter(candidate => acceleratorsNeeded(candidate) > largeGangThreshold);
        const largest = [...large].sort((left, right) => acceleratorsNeeded(right) - acceleratorsNeeded(left)).at(0);
        if (largest === undefined) {
            return 0;
        }
        const workers = state.workers().filter(worker => worker.usable);
        const free = workers.reduce((sum, worker) => sum + Math.max(0, worker.free.accelerators), 0);
        return free - Math.min(free, acceleratorsUsableBy(workers, { ...largest, mustAvoid: false }));
    };

    const unusableAccelerators = (): number => {
        const { revision } = state;
        if (cached.revision !== revision()) {
            cached = { revision: revision(), accelerators: countUnusable() };
        }
        return cached.accelerators;
    };

    return {
        recordInterval: (fromMs, untilMs) => {
            const elapsedMs = untilMs - fromMs;
            if (elapsedMs <= 0 || fromMs >= endMs) {
                return;
            }
            sums.measuredMs += elapsedMs;
            sums.unusableMs += elapsedMs * unusableAccelerators();
            sums.busyMs += elapsedMs * busyOutside(undefined);
            sums.zoneMoveBusyMs += isDuringZoneMove(fromMs) ? elapsedMs * busyOutside(zoneMove.zone) : 0;
        },
        recordLostWork: (nowMs, acceleratorMs) => {
            sums.lostMs += acceleratorMs;
            sums.zoneMoveLostMs += isDuringZoneMove(nowMs) ? acceleratorMs : 0;
        },
        results: () => ({
            fragmentation: sums.unusableMs / Math.max(1, sums.measuredMs * capacityOutside(undefined)),
            zoneMoveWork: (sums.zoneMoveBusyMs - sums.zoneMoveLostMs)
                / ((zoneMove.untilMs - zoneMove.fromMs) * capacityOutside(zoneMove.zone)),
            lostAcceleratorHours: sums.lostMs / hourMs,
            utilisation: sums.busyMs / (endMs * capacityOutside(undefined)),
        }),
    };
};

/** Whether a job is included in the statistics of waits and completion times. */
export const isCounted = (outcome: JobOutcome): boolean => !outcome.neverFits && !outcome.cancelled;
