import type { PlannerTerm } from "../plannerTerm.js";

/** What a planner shows of itself. */
export interface PlannerDump {
    workers: { name: string; availabilityZone: string; usable: boolean; freeAccelerators: number; }[];
    queue: { jobId: string; customer: string; waitingMs: number; }[];
    running: { jobId: string; attempt: number; class: string; guaranteeUnit?: string; workers: string[]; }[];
    cells: { unit: string; workers: string[]; }[];
    claims: { jobId: string; workers: string[]; }[];
    ejectedWorkers: string[];
}

const namesOf = (members: readonly { worker: string; }[]): string[] => members.map(member => member.worker);

/** Describes what a planner knows and has decided. */
export const dumpPlanner = (term: PlannerTerm): PlannerDump => {
    const ledger = term.state.ledger();
    const nowMs = term.timer.wallClockMs();
    return {
        workers: [...ledger.fleet.workers.values()].map(worker => ({
            name: worker.name,
            availabilityZone: worker.availabilityZone,
            usable: worker.usable,
            freeAccelerators: ledger.free(worker).accelerators,
        })),
        queue: term.state.queue().map(job => ({
            jobId: job.spec.id,
            customer: job.spec.customer,
            waitingMs: nowMs - job.spec.submittedAtMs,
        })),
        running: [...ledger.allocations.values()].map(allocation => ({
            jobId: allocation.job.id,
            attempt: allocation.attempt,
            class: allocation.class,
            guaranteeUnit: allocation.guaranteeUnit,
            workers: namesOf(allocation.members),
        })),
        cells: [...ledger.cells.values()].map(cell => ({ unit: cell.unit, workers: namesOf(cell.members) })),
        claims: [...ledger.claims.values()].map(claim => ({ jobId: claim.jobId, workers: namesOf(claim.members) })),
        ejectedWorkers: term.health.ejected(nowMs),
    };
};
