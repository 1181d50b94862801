import type { Shape } from "../configuration/types.js";
import type { Available } from "./fit.js";
import type { Allocation, Ledger } from "./ledger.js";
import { acceleratorsOf, addScaled, resourcesOn, resourcesPerTask, scale } from "./resources.js";
import type { Member, Resources } from "./types.js";

/** Work that a checkpointable job repeats after it was moved. */
export const restartCostMs = 15_000;

/** Accelerator time in milliseconds that stopping an allocation throws away. */
export const lostWorkOf = (allocation: Allocation, nowMs: number): number => {
    const lostMs = allocation.job.checkpointable ? restartCostMs : Math.max(0, nowMs - allocation.checkpointedAtMs);
    return (restartCostMs + lostMs) * Math.max(1, acceleratorsOf(allocation.job.shape));
};

interface Deficit {
    worker: string;
    missing: Resources;
}

const isCovered = (missing: Resources): boolean =>
    missing.accelerators <= 0 && missing.cores <= 0 && missing.memoryGb <= 0;

const deficitsOf = (ledger: Ledger, shape: Shape, members: readonly Member[], available: Available): Deficit[] => {
    const perTask = resourcesPerTask(shape);
    const deficits: Deficit[] = [];
    for (const member of members) {
        const worker = ledger.fleet.workers.get(member.worker);
        if (worker === undefined) {
            continue;
        }
        const missing = addScaled(scale(perTask, member.taskCount), available(worker), -1);
        if (!isCovered(missing)) {
            deficits.push({ worker: member.worker, missing });
        }
    }
    return deficits;
};

const relief = (allocation: Allocation, worker: string): Resources =>
    resourcesOn(allocation.members, worker, resourcesPerTask(allocation.job.shape));

const coverage = (allocation: Allocation, deficits: readonly Deficit[]): number =>
    deficits.reduce((sum, deficit) => {
        const freed = relief(allocation, deficit.worker);
        return sum + Math.min(freed.accelerators, Math.max(0, deficit.missing.accelerators))
            + 0.01 * Math.min(freed.cores, Math.max(0, deficit.missing.cores));
    }, 0.001);

/**
 * Chooses borrowers to stop so that a gang fits on the given members, least lost work first.
 *
 * @param available resources that the gang may use without stopping anyone
 * @returns `undefined` when even stopping every allowed borrower makes too little room
 */
export const chooseVictims = (
    ledger: Ledger,
    shape: Shape,
    members: readonly Member[],
    available: Available,
    nowMs: number,
    isAllowed: (allocation: Allocation) => boolean,
): Allocation[] | undefined => {
    let deficits = deficitsOf(ledger, shape, members, available);
    const candidates = new Set(
        deficits.flatMap(deficit => ledger.borrowersOn(deficit.worker)).filter(isAllowed),
    );
    const victims: Allocation[] = [];
    while (deficits.length > 0) {
        const priced = [...candidates].map(allocation => ({
            allocation,
            price: allocation.leaving ? 0 : lostWorkOf(allocation, nowMs) / coverage(allocation, deficits),
        }));
        priced.sort((left, right) => left.price - right.price);
        const victim = priced.at(0)?.allocation;
        if (victim === undefined) {
            return undefined;
        }
        candidates.delete(victim);
        victims.push(victim);
        deficits = deficits
            .map(deficit => ({
                worker: deficit.worker,
                missing: addScaled(deficit.missing, relief(victim, deficit.worker), -1),
            }))
            .filter(deficit => !isCovered(deficit.missing));
    }
    return victims;
};

/** Lost work of several allocations together. */
export const totalLostWork = (allocations: readonly Allocation[], nowMs: number): number =>
    allocations.reduce((sum, allocation) => sum + (allocation.leaving ? 0 : lostWorkOf(allocation, nowMs)), 0);
