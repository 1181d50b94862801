import { GuaranteeCoverage } from "../../queues/types.js";
import type { GuaranteedGang, QueueConfiguration, QueueCustomer } from "../../queues/types.js";
import { Urgency } from "../types.js";
import type { Snapshot, Statement } from "../types.js";
import { maxAcceleratorsOf } from "./settings.js";
import { stepOf } from "./shapeStep.js";

/** Priority of a job by the urgency that its statement gives it; 0 goes first. */
export const priorityOf: Record<Urgency, number> = {
    [Urgency.Urgent]: 0,
    [Urgency.Normal]: 1,
    [Urgency.MayWait]: 2,
};

const acceleratorsOf = ({ step }: GuaranteedGang): number => step.taskCount * step.resources.accelerators;

/** One gang for each unit of a guarantee. */
const gangsOf = ({ name, customer, guarantee }: Statement): GuaranteedGang[] =>
    guarantee === undefined ? [] : Array.from({ length: guarantee.count }, (_, index) => ({
        name: `${customer}/${name}#${index}`,
        step: stepOf(guarantee.shape, 0, false),
        holdsWithZoneOut: guarantee.holdsWithZoneOut,
    }));

const customerOf = (snapshot: Snapshot, name: string): QueueCustomer => {
    const own = snapshot.statements.filter(statement => statement.customer === name);
    const limit = maxAcceleratorsOf(snapshot, name);
    const gangs = own.flatMap(gangsOf);
    return {
        name,
        apiKeys: [],
        guaranteedAccelerators: gangs.reduce((sum, gang) => sum + acceleratorsOf(gang), 0),
        guaranteedUpToPriority: priorityOf[Urgency.MayWait],
        guaranteeCoverage: GuaranteeCoverage.EarliestFirst,
        guaranteedGangs: gangs,
        maxAccelerators: Number.isFinite(limit) ? limit : undefined,
    };
};

/** What the statements of intent say about jobs; customers submit them by name, without queues of their own. */
export const queueConfigurationOf = (snapshot: Snapshot, maxBodyBytes: number): QueueConfiguration => {
    const names = new Set(snapshot.statements.flatMap(statement => statement.customer ?? []));
    return {
        version: snapshot.version,
        queues: [],
        customers: [...names].map(name => customerOf(snapshot, name)),
        maxBodyBytes,
        evacuatesRunsFromZones: true,
    };
};
