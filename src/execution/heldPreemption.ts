import { planRound } from "../planning/round.js";
import type { RoundInput } from "../planning/round.js";
import type { Candidate, Round, WorkerInfo } from "../planning/types.js";

/** Candidates without those that would preempt other work but must not: these keep the tasks that fit without that. */
const withoutPreempting = (candidates: readonly Candidate[], held: ReadonlySet<string>, round: Round): Candidate[] =>
    candidates.flatMap(candidate => {
        if (!held.has(candidate.key)) {
            return [candidate];
        }
        const placement = round.placements.find(other => other.candidate.key === candidate.key);
        const taskIndexes = placement?.assignments.map(({ taskIndex }) => taskIndex) ?? [];
        return taskIndexes.length === 0 ? [] : [{ ...candidate, taskIndexes }];
    });

/** Copies workers with all that a round changes in them. */
const copyWorkers = (workers: readonly WorkerInfo[]): WorkerInfo[] =>
    workers.map(worker => ({ ...worker, free: { ...worker.free } }));

/**
 * Plans a round in which some candidates preempt nothing. A round in which one of them would is planned again without it,
 * so that what others may preempt is not taken for it. Returns the input of the round that counts.
 */
export const planWithHeldPreemption = (
    input: RoundInput,
    isHeld: (candidate: Candidate) => boolean,
): { input: RoundInput; round: Round; } => {
    const held = new Set(input.candidates.filter(isHeld).map(({ key }) => key));
    const workers = held.size === 0 ? [] : copyWorkers(input.workers);
    const round = planRound(input);
    const preempting = new Set(round.evictions.map(({ forKey }) => forKey).filter(key => held.has(key)));
    if (preempting.size === 0) {
        return { input, round };
    }
    const second = { ...input, workers, candidates: withoutPreempting(input.candidates, preempting, round) };
    return { input: second, round: planRound(second) };
};
