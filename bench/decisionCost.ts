/** Measures what a planning round costs as workers, queued jobs and customers grow; wall-clock, printed, not judged. */
import { Adjacency } from "../src/configuration/types.js";
import { cellsOf, syncCells } from "../src/scheduling/cells.js";
import { createFleet } from "../src/scheduling/fleet.js";
import { createLedger } from "../src/scheduling/ledger.js";
import type { QueuedJob } from "../src/scheduling/order.js";
import { planRound } from "../src/scheduling/plan.js";
import { createRunTimeModel } from "../src/scheduling/runTimes.js";
import { createWorkload, shapeOf, targetProfile } from "./workload.js";

/** Size of one measurement. */
interface Size {
    workersPerZone: number;
    queued: number;
    customers: number;
}

const rounds = 20;
const base: Size = { workersPerZone: 128, queued: 200, customers: 36 };

const series: Record<string, Size[]> = {
    workers: [32, 64, 128, 256].map(workersPerZone => ({ ...base, workersPerZone })),
    "queued jobs": [50, 100, 200, 400].map(queued => ({ ...base, queued })),
    customers: [9, 18, 36, 72].map(customers => ({ ...base, customers })),
};

const buildQueue = (size: Size, arrivals: ReturnType<typeof createWorkload>["arrivals"]): QueuedJob[] =>
    arrivals.filter(arrival => !arrival.neverFits).slice(0, size.queued).map((arrival, index) => ({
        spec: { ...arrival.spec, id: `queued-${index}`, submittedAtMs: index },
        attempts: 0,
        notBeforeMs: 0,
    }));

/** Fills every accelerator, then times rounds over a queue in which hardly anything fits. */
const measureRoundMs = (size: Size): number => {
    const acceleratorsOf = (index: number): number => index < size.workersPerZone / 4 ? 8 : 0;
    const profile = { ...targetProfile, ...size, acceleratorsOf };
    const workload = createWorkload(profile, 1);
    const ledger = createLedger(createFleet(workload.workers));
    syncCells(ledger, cellsOf(workload.statements));
    const runTimes = createRunTimeModel();
    const filler = { ...workload.arrivals[0].spec, checkpointable: true, shape: shapeOf(1, 4, Adjacency.Worker) };
    const total = workload.workers.reduce((sum, worker) => sum + worker.capacity.accelerators, 0);
    const fill = Array.from(Array(Math.ceil(total / 4)).keys(), (index): QueuedJob => ({
        spec: { ...filler, id: `filler-${index}` },
        attempts: 0,
        notBeforeMs: 0,
    }));
    planRound({ ledger, queue: fill, runTimes, nowMs: 0 });
    const queue = buildQueue(size, workload.arrivals);
    const startedMs = performance.now();
    for (let round = 0; round < rounds; round++) {
        planRound({
            ledger,
            queue: queue.filter(job => !ledger.allocations.has(job.spec.id)),
            runTimes,
            nowMs: round * 1_000,
        });
    }
    return (performance.now() - startedMs) / rounds;
};

/** Prints the cost of a round for four sizes of each kind. */
export const printDecisionCost = (): void => {
    process.stdout.write("\ncost of a planning round with every accelerator in use, ms (wall clock)\n");
    for (const [name, sizes] of Object.entries(series)) {
        const figures = sizes.map(size => {
            const amount = {
                workers: size.workersPerZone * targetProfile.zones,
                "queued jobs": size.queued,
                customers: size.customers,
            };
            return `${amount[name as keyof typeof amount]}: ${measureRoundMs(size).toFixed(1)}`;
        });
        process.stdout.write(`  by ${name.padEnd(12)} ${figures.join("   ")}\n`);
    }
};
