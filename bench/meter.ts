/** Measures a replayed run: fragmentation, work through the zone move, lost work. */
import { fitIntoDomain } from "../src/scheduling/fit.js";
import type { Ledger } from "../src/scheduling/ledger.js";
import type { QueuedJob } from "../src/scheduling/order.js";
import { acceleratorsOf } from "../src/scheduling/resources.js";
import type { Running } from "./placementRun.js";
import type { Arrival, JobClass, Workload } from "./workload.js";

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

/** Whole gangs of a shape that the free accelerators would hold, counted by emptying domains greedily. */
const usableBy = (ledger: Ledger, arrival: Arrival): number => {
    const size = acceleratorsOf(arrival.spec.shape);
    let usable = 0;
    for (const domain of ledger.fleet.domains(arrival.spec.shape.adjacency)) {
        const candidate = fitIntoDomain(arrival.spec.shape, domain, worker => ledger.free(worker));
        usable += candidate === undefined
            ? 0
            : size * (1 + Math.floor(candidate.leftoverTasks / arrival.spec.shape.taskCount));
    }
    return usable;
};

/** What the meter looks at. */
export interface MeteredState {
    running: ReadonlyMap<string, Running>;
    queue: ReadonlyMap<string, QueuedJob>;
    arrivals: ReadonlyMap<string, Arrival>;
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

/** Creates a meter at time 0. */
export const createMeter = (workload: Workload, ledger: Ledger, state: MeteredState): Meter => {
    const { zoneMove, endMs } = workload;
    const sums = { fragmentMs: 0, busyMs: 0, windowBusyMs: 0, windowLostMs: 0, lostMs: 0, passedMs: 0 };

    const inWindow = (nowMs: number): boolean => nowMs >= zoneMove.fromMs && nowMs <= zoneMove.untilMs;

    const capacityOutside = (zone: string | undefined): number =>
        workload.workers
            .filter(worker => worker.availabilityZone !== zone)
            .reduce((sum, worker) => sum + worker.capacity.accelerators, 0);

    const busyOutside = (zone: string | undefined): number => {
        let busy = 0;
        for (const entry of state.running.values()) {
            const own = ledger.fleet.workers.get(entry.allocation.members[0].worker)?.availabilityZone;
            busy += own === zone ? 0 : acceleratorsOf(entry.arrival.spec.shape);
        }
        return busy;
    };

    const freeTotal = (): number => {
        let free = 0;
        for (const worker of ledger.fleet.workers.values()) {
            free += worker.usable ? ledger.free(worker).accelerators : 0;
        }
        return free;
    };

    const largestWaiting = (): Arrival | undefined => {
        const waiting = [...state.queue.keys()].flatMap(id => state.arrivals.get(id) ?? []);
        const large = waiting.filter(arrival =>
            !arrival.neverFits && acceleratorsOf(arrival.spec.shape) > minLargeAccelerators
        );
        return large.sort((left, right) => acceleratorsOf(right.spec.shape) - acceleratorsOf(left.spec.shape)).at(0);
    };

    const fragments = (): number => {
        const largest = largestWaiting();
        const free = largest === undefined ? 0 : freeTotal();
        return largest === undefined || free === 0 ? 0 : free - Math.min(free, usableBy(ledger, largest));
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
