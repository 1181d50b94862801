import type { Candidate } from "../planning/types.js";
import type { PlannerContext } from "./context.js";

/** Accelerators that customers may still use, by customer name; customers without a limit are absent. */
const remainingAccelerators = (context: PlannerContext): Map<string, number> => {
    const remaining = new Map<string, number>();
    for (const { name, maxAccelerators } of context.operator().configuration?.customers ?? []) {
        if (maxAccelerators !== undefined) {
            remaining.set(name, maxAccelerators);
        }
    }
    if (remaining.size === 0) {
        return remaining;
    }
    const limited = [...context.openJobs].filter(({ submission }) => remaining.has(submission.customer ?? ""));
    for (const { submission: { customer = "" }, units } of limited) {
        const running = [...units.values()].flatMap(unit => unit.tasks.filter(task => task.run !== undefined));
        const used = running.reduce((sum, task) => sum + task.unit.step.resources.accelerators, 0);
        remaining.set(customer, (remaining.get(customer) ?? 0) - used);
    }
    return remaining;
};

/** Returns the candidates that, placed in full and in order of acceptance, do not exceed their customers' limits. */
export const withinLimits = (context: PlannerContext, candidates: Candidate[]): Candidate[] => {
    const remaining = remainingAccelerators(context);
    if (remaining.size === 0) {
        return candidates;
    }
    const byAge = [...candidates].sort((first, second) => first.job.acceptedAtMs - second.job.acceptedAtMs);
    return byAge.filter(({ job: { customer = "" }, step, taskIndexes }) => {
        const remainingAfter = (remaining.get(customer) ?? Number.POSITIVE_INFINITY)
            - taskIndexes.length * step.resources.accelerators;
        if (remainingAfter >= 0 && remaining.has(customer)) {
            remaining.set(customer, remainingAfter);
        }
        return remainingAfter >= 0;
    });
};
