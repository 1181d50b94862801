/** Measures a replayed run: fragmentation, work through the zone move, lost work. */
import type { JobState } from "../src/jobs/progress.js";
import { gangDomains } from "../src/planning/placement.js";
import { fitCount, occupiedBy } from "../src/planning/resources.js";
import type { Candidate, Room } from "../src/planning/types.js";
import type { PlanningWorld } from "./planningWorld.js";
import type { JobOutcome, RunResult } from "./types.js";
import type { Workload } from "./workload.js";

/** What the meter looks at. */
export interface MeteredState {
    world: PlanningWorld;
    running: ReadonlyMap<string, { job: JobState; }>;
    /** Changes with every change of what runs or waits. */
    revision(): number;
    /** Room as of now. */
    rooms(): Room[];
    /** Work that waits, as of the last round, without what can never run. */
    waiting(): readonly Candidate[];
}

/** Adds up areas over virtual time. */
export interface Meter {
    /** Accounts for the time between two events. */
    pass(fromMs: number, untilMs: number): void;
    /** Accounts for accelerator time that was thrown away. */
    lose(nowMs: number, acceleratorMs: number): void;
    shares(): Pick<RunResult, "fragmentation" | "zoneMoveWork" | "lostAcceleratorHours" | "utilisation">;
}

const minLargeAccelerators = 16;
const hourMs = 3_600_000;

/** Accelerators of a job's first step. */
export const acceleratorsOf = ({ submission }: JobState): number =>
    submission.steps[0].taskCount * submission.steps[0].resources.accelerators;

const sizeOf = ({ step }: Candidate): number => step.taskCount * step.resources.accelerators;

/** Whole gangs of a shape that the free accelerators would hold. */
const usableBy = (rooms: readonly Room[], candidate: Candidate): number =>
    gangDomains(rooms, candidate)
        .map(group => group.reduce((sum, room) => sum + fitCount(room.free, occupiedBy(candidate.step)), 0))
        .reduce((sum, tasks) => sum + sizeOf(candidate) * Math.floor(tasks / candidate.step.taskCount), 0);

/** Creates a meter at time 0. */
export const createMeter = (workload: Workload, state: MeteredState): Meter => {
    const { zoneMove, endMs } = workload;
    const zones = new Map(workload.workers.map(worker => [worker.name, worker.availabilityZone]));
    const sums = { fragmentMs: 0, busyMs: 0, windowBusyMs: 0, windowLostMs: 0, lostMs: 0, passedMs: 0 };
    let measured = { revision: -1, accelerators: 0 };
    const inWindow = (nowMs: number): boolean => nowMs >= zoneMove.fromMs && nowMs <= zoneMove.untilMs;

    const capacityOutside = (zone: string | undefined): number =>
        workload.workers
            .filter(worker => worker.availabilityZone !== zone)
            .reduce((sum, worker) => sum + worker.capacity.accelerators, 0);

    const busyOutside = (zone: string | undefined): number => {
        let busy = 0;
        for (const { job } of state.running.values()) {
            const [worker] = state.world.workersOf(job);
            busy += zone !== undefined && zones.get(worker) === zone ? 0 : acceleratorsOf(job);
        }
        return busy;
    };

    const measureFragments = (): number => {
        const large = state.waiting().filter(candidate => sizeOf(candidate) > minLargeAccelerators);
        const largest = [...large].sort((left, right) => sizeOf(right) - sizeOf(left)).at(0);
        if (largest === undefined) {
            return 0;
        }
        const rooms = state.rooms().filter(room => room.usable);
        const free = rooms.reduce((sum, room) => sum + Math.max(0, room.free.accelerators), 0);
        return free - Math.min(free, usableBy(rooms, { ...largest, mustAvoid: false }));
    };

    const fragments = (): number => {
        const { revision } = state;
        if (measured.revision !== revision()) {
            measured = { revision: revision(), accelerators: measureFragments() };
        }
        return measured.accelerators;
    };

    return {
        pass: (fromMs, untilMs) => {
            const elapsedMs = untilMs - fromMs;
            if (elapsedMs <= 0 || fromMs >= endMs) {
                return;
            }
            sums.passedMs += elapsedMs;
            sums.fragmentMs += elapsedMs * fragments();
            sums.busyMs += elapsedMs * busyOutside(undefined);
            sums.windowBusyMs += inWindow(fromMs) ? elapsedMs * busyOutside(zoneMove.zone) : 0;
        },
        lose: (nowMs, acceleratorMs) => {
            sums.lostMs += acceleratorMs;
            sums.windowLostMs += inWindow(nowMs) ? acceleratorMs : 0;
        },
        shares: () => ({
            fragmentation: sums.fragmentMs / Math.max(1, sums.passedMs * capacityOutside(undefined)),
            zoneMoveWork: (sums.windowBusyMs - sums.windowLostMs)
                / ((zoneMove.untilMs - zoneMove.fromMs) * capacityOutside(zoneMove.zone)),
            lostAcceleratorHours: sums.lostMs / hourMs,
            utilisation: sums.busyMs / (endMs * capacityOutside(undefined)),
        }),
    };
};

/** Whether a job counts in waits and completion times. */
export const counts = (outcome: JobOutcome): boolean => !outcome.neverFits && !outcome.cancelled;
