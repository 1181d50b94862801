import type { Claims } from "./claims.js";
import type { CustomerBudgets } from "./customerBudgets.js";
import { planLimitPreemption } from "./limitPreemption.js";
import { Tier, tierOf } from "./order.js";
import { planPreemption } from "./preemption.js";
import { indexOccupants } from "./preemptionSearch.js";
import type { OccupantIndex } from "./preemptionSearch.js";
import { occupiedBy } from "./resources.js";
import type { RoundInput } from "./round.js";
import type { Candidate, Occupant, Round } from "./types.js";

/** Preemptions of one round. */
export interface RoundPreemption {
    /** Preempts runs for a candidate and claims their resources; returns whether it found a plan. */
    preempt(candidate: Candidate): boolean;
    /** Preempts runs of the candidate's own customer if it is the customer's limit that keeps the candidate waiting. */
    preemptForLimit(candidate: Candidate): void;
}

/** Whether a candidate may preempt other work. */
export const mayPreemptOthers = (candidate: Candidate): boolean =>
    candidate.guaranteed || (candidate.preemptsNothing !== true && (tierOf(candidate) === Tier.Starved
        || (candidate.job.priority === 0 && tierOf(candidate) <= Tier.Urgent)));

/** Creates the preemptions of a round, which are added to its evictions and claims. */
export const createRoundPreemption = (
    input: RoundInput,
    round: Round,
    claims: Claims,
    budgets: CustomerBudgets,
): RoundPreemption => {
    const evicted = new Set<Occupant>();
    let occupants: readonly Occupant[] | undefined;
    let index: OccupantIndex | undefined;
    const listOccupants = (): readonly Occupant[] => occupants ??= input.occupants();

    const evict = (victims: readonly Occupant[], { key }: Candidate): void =>
        victims.forEach(victim => {
            evicted.add(victim);
            round.evictions.push({ occupant: victim, forKey: key });
        });

    return {
        preempt: candidate => {
            index ??= indexOccupants(listOccupants());
            const plan = planPreemption(input.workers, index, candidate, evicted);
            if (plan === undefined) {
                return false;
            }
            evict(plan.victims, candidate);
            claims.add({
                key: candidate.key,
                resources: occupiedBy(candidate.step),
                assignments: plan.assignments,
                madeAtMs: input.nowMs,
            });
            return true;
        },
        preemptForLimit: candidate => {
            const shortfall = mayPreemptOthers(candidate) ? budgets.shortfall(candidate) : undefined;
            if (shortfall !== undefined) {
                evict(planLimitPreemption(listOccupants(), candidate, shortfall, evicted), candidate);
            }
        },
    };
};
