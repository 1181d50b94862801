/** Measures what a planning round costs as workers, queued jobs and customers grow; wall-clock, printed, not judged. */
import { allocateGuarantees, reconcileReservations, updateReservations } from "../src/execution/guarantees.js";
import { collectCandidates, collectOccupants, collectWorkers } from "../src/execution/roundInput.js";
import { noReservations } from "../src/planning/reservations.js";
import { planRound } from "../src/planning/round.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { createPlanningWorld } from "./planningWorld.js";
import { createWorkload, targetProfile } from "./workload.js";

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

/** Surveys and plans rounds over a queue in which, once the first has filled the workers, hardly anything fits. */
const measureRoundMs = (size: Size): number => {
    const acceleratorsOf = (index: number): number => index < size.workersPerZone / 4 ? 8 : 0;
    const workload = createWorkload({ ...targetProfile, ...size, acceleratorsOf }, 1);
    const world = createPlanningWorld(workload.workers, workload.snapshot, createVirtualTimer());
    const total = workload.workers.reduce((sum, worker) => sum + worker.capacity.accelerators, 0);
    const wanted = workload.arrivals.filter(arrival => !arrival.neverFits).slice(0, total / 4 + size.queued);
    wanted.forEach(({ submission }) => world.addJob({ ...submission, acceptedAtMs: 0 }));
    let places = noReservations;
    const planOnce = (): void => {
        const rooms = collectWorkers(world);
        const cells = reconcileReservations(world, rooms, places);
        const guarantees = allocateGuarantees(world, cells);
        places = updateReservations(world, rooms, cells, guarantees);
        const candidates = collectCandidates(world, guarantees);
        const occupants = () => collectOccupants(world, guarantees);
        const round = planRound({ nowMs: 0, workers: rooms, candidates, occupants, claims: [], urgentHeadroom: 0 });
        for (const { candidate, assignments } of round.placements) {
            const job = world.jobs.get(candidate.job.id);
            if (job !== undefined) {
                world.run(job, assignments, "saved");
            }
        }
    };
    planOnce();
    const startedMs = performance.now();
    for (let round = 0; round < rounds; round++) {
        planOnce();
    }
    return (performance.now() - startedMs) / rounds;
};

/** Prints the cost of a round for four sizes of each kind. */
export const printDecisionCost = (): void => {
    process.stdout.write("\ncost of a planning round with hardly any room left, ms (wall clock)\n");
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
