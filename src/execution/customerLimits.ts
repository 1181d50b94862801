import type { Candidate } from "../planning/types.js";
import type { PlannerContext } from "./context.js";

/** Accelerators that customers may still take, by name; customers without a limit are absent. */
const allowances = (context: PlannerContext): Map<string, number> => {
    const left = new Map<string, number>();
    for (const { name, maxAccelerators } of context.operator().configuration?.customers ?? []) {
        if (maxAccelerators !== undefined) {
            left.set(name, maxAccelerators);
        }
    }
    if (left.size === 0) {
        return left;
    }
    const limited = [...context.openJobs].filter(({ submission }) => left.has(submission.customer ?? ""));
    for (const { submission: { customer = "" }, units } of limited) {
        const running = [...units.values()].flatMap(unit => unit.tasks.filter(task => task.run !== undefined));
        const used = running.reduce((sum, task) => sum + task.unit.step.resources.accelerators, 0);
        left.set(customer, (left.get(customer) ?? 0) - used);
    }
    return left;
};

/** Work that stays within its customer's limit, if all of it is placed; the earliest accepted first. */
export const withinLimits = (context: PlannerContext, candidates: Candidate[]): Candidate[] => {
    const left = allowances(context);
    if (left.size === 0) {
        return candidates;
    }
    const byAge = [...candidates].sort((first, second) => first.job.acceptedAtMs - second.job.acceptedAtMs);
    return byAge.filter(({ job: { customer = "" }, step, taskIndexes }) => {
        const rest = (left.get(customer) ?? Number.POSITIVE_INFINITY)
            - taskIndexes.length * step.resources.accelerators;
        if (rest >= 0 && left.has(customer)) {
            left.set(customer, rest);
        }
        return rest >= 0;
    });
};
