import { RunPhase, taskIdOf } from "../jobs/progress.js";
import type { TaskState } from "../jobs/progress.js";
import type { Step, TaskId, TaskResources } from "../jobs/types.js";
import type { CustomerUse, CustomerUses } from "../planning/customerBudgets.js";
import type { ShareUse, ShareUses } from "../planning/customerShares.js";
import { addResources, noResources } from "../planning/resources.js";
import { findTask, runKey } from "./context.js";
import type { PlannerContext } from "./context.js";

/** A run that may be active, with the step and the customer of its task. */
interface ActiveRun {
    customer: string;
    service: string;
    step: Step;
    isStopping: boolean;
}

const toActiveRun = ({ unit }: TaskState, isStopping: boolean): ActiveRun => {
    const { customer = "", service } = unit.job.submission;
    return { customer, service, step: unit.step, isStopping };
};

/** Current runs of all tasks, also of jobs that have ended. */
const currentRuns = ({ openJobs }: PlannerContext): ActiveRun[] =>
    [...openJobs].flatMap(job =>
        [...job.units.values()].flatMap(unit =>
            unit.tasks.filter(task => task.run !== undefined).map(task =>
                toActiveRun(task, task.run?.phase === RunPhase.Stopping)
            )
        )
    );

/** Runs that were given up although their workers may still begin them, or have not confirmed that they have ended. */
const givenUpRuns = (context: PlannerContext): ActiveRun[] => {
    const found = new Map<string, ActiveRun>();
    const add = (task: TaskState | undefined, id: TaskId, run: number): void => {
        if (task !== undefined && task.run?.number !== run) {
            found.set(runKey(id, run), toActiveRun(task, true));
        }
    };
    for (const session of context.sessions.values()) {
        session.pendingFences().forEach(({ task, run }) => add(findTask(context, task), task, run));
        context.unansweredStarts.givenUpOn(session.id).forEach(({ task, run }) => add(task, taskIdOf(task), run));
    }
    return [...found.values()];
};

/** Customers' use of their limits and shares; both empty if the configuration in force sets none. */
export const collectCustomerUse = (context: PlannerContext): { limits: CustomerUses; shares: ShareUses; } => {
    const limits = new Map<string, CustomerUse>();
    const shares = new Map<string, ShareUse & { used: Map<string, TaskResources>; }>();
    for (const { name, maximum, weight } of context.operator().configuration?.customers ?? []) {
        if (maximum !== undefined) {
            limits.set(name, { maximum, used: noResources(), stopping: noResources() });
        }
        if (weight !== undefined) {
            shares.set(name, { weight, used: new Map() });
        }
    }
    if (limits.size === 0 && shares.size === 0) {
        return { limits, shares };
    }
    for (const { customer, service, step, isStopping } of [...currentRuns(context), ...givenUpRuns(context)]) {
        const limit = limits.get(customer);
        if (limit !== undefined) {
            addResources(limit.used, step.resources, 1);
            if (isStopping) {
                addResources(limit.stopping, step.resources, 1);
            }
        }
        const usedByService = shares.get(customer)?.used;
        if (usedByService !== undefined) {
            const used = usedByService.get(service) ?? noResources();
            addResources(used, step.resources, 1);
            usedByService.set(service, used);
        }
    }
    return { limits, shares };
};
