/** Measures how the wall-clock time of a planning round grows with workers, queued jobs and customers; has no bound. */
import { allocateGuarantees, reconcileReservations, updateReservations } from "../src/execution/guarantees.js";
import { collectCandidates, collectOccupants, collectWorkers } from "../src/execution/roundInput.js";
import { noReservations } from "../src/planning/reservations.js";
import { planRound } from "../src/planning/round.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { createSimulatedPlanner } from "./simulatedPlanner.js";
import { createWorkload, targetProfile } from "./workload.js";

/** Size of the fleet and the queue in one measurement. */
interface Size {
    workersPerZone: number;
    queued: number;
    customers: number;
}

const measuredRounds = 20;
const baseSize: Size = { workersPerZone: 128, queued: 200, customers: 36 };

const sizesByVariable: Record<string, Size[]> = {
    workers: [32, 64, 128, 256].map(workersPerZone => ({ ...baseSize, workersPerZone })),
    "queued jobs": [50, 100, 200, 400].map(queued => ({ ...baseSize, queued })),
    customers: [9, 18, 36, 72].map(customers => ({ ...baseSize, customers })),
};

/**
 * Mean time of a round, including the collection of its input. The first round, which is not measured, fills the workers,
 * so that hardly anything fits in the measured ones.
 */
const measureRoundMs = (size: Size): number => {
    const acceleratorsOf = (index: number): number => index < size.workersPerZone / 4 ? 8 : 0;
    const workload = createWorkload({ ...targetProfile, ...size, acceleratorsOf }, 1);
    const planner = createSimulatedPlanner(workload.workers, workload.snapshot, createVirtualTimer());
    const totalAccelerators = workload.workers.reduce((sum, worker) => sum + worker.capacity.accelerators, 0);
    const selected = workload.arrivals.filter(arrival => !arrival.neverFits).slice(
        0,
        totalAccelerators / 4 + size.queued,
    );
    selected.forEach(({ submission }) => planner.addJob({ ...submission, acceptedAtMs: 0 }));
    let reservationState = noReservations;
    const planOnce = (): void => {
        const workers = collectWorkers(planner);
        const reservations = reconcileReservations(planner, workers, reservationState);
        const guarantees = allocateGuarantees(planner, reservations);
        reservationState = updateReservations(planner, workers, reservations, guarantees);
        const candidates = collectCandidates(planner, guarantees);
        const occupants = () => collectOccupants(planner, guarantees);
        const round = planRound({ nowMs: 0, workers, candidates, occupants, claims: [], urgentHeadroom: 0 });
        for (const { candidate, assignments } of round.placements) {
            const job = planner.jobs.get(candidate.job.id);
            if (job !== undefined) {
                planner.run(job, assignments, "saved");
            }
        }
    };
    planOnce();
    const startedMs = performance.now();
    for (let round = 0; round < measuredRounds; round++) {
        planOnce();
    }
    return (performance.now() - startedMs) / measuredRounds;
};

/** Prints the time of a planning round for four values of each variable. */
export const printRoundCost = (): void => {
    process.stdout.write("\ncost of a planning round with hardly any free capacity, ms (wall clock)\n");
    for (const [name, sizes] of Object.entries(sizesByVariable)) {
        const figures = sizes.map(size => {
            const valueByVariable = {
                workers: size.workersPerZone * targetProfile.zones,
                "queued jobs": size.queued,
                customers: size.customers,
            };
            return `${valueByVariable[name as keyof typeof valueByVariable]}: ${measureRoundMs(size).toFixed(1)}`;
        });
        process.stdout.write(`  by ${name.padEnd(12)} ${figures.join("   ")}\n`);
    }
};
