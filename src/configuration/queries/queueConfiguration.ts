import { unlimited } from "../../planning/customerBudgets.js";
import { GuaranteeCoverage } from "../../queues/types.js";
import type { GuaranteedGang, QueueConfiguration, QueueCustomer } from "../../queues/types.js";
import { Urgency } from "../types.js";
import type { Intent } from "../types.js";
import { maxAcceleratorsOf } from "./settings.js";
import { stepOf } from "./shapeStep.js";

/** Priority of a job by the urgency in its statement; 0 is the highest. */
export const priorityOf: Record<Urgency, number> = {
    [Urgency.Urgent]: 0,
    [Urgency.Normal]: 1,
    [Urgency.MayWait]: 2,
};

const acceleratorsOf = ({ step }: GuaranteedGang): number => step.taskCount * step.resources.accelerators;

/** Statements of one version, published or not. */
export interface VersionedIntents {
    version: number;
    statements: readonly Intent[];
}

/** Returns one gang for each of the `count` gangs of a guarantee. */
const gangsOf = ({ name, customer, guarantee }: Intent): GuaranteedGang[] =>
    guarantee === undefined ? [] : Array.from({ length: guarantee.count }, (_, index) => ({
        name: `${customer}/${name}#${index}`,
        step: stepOf(guarantee.shape, 0, false),
        holdsWithZoneOut: guarantee.holdsWithZoneOut,
    }));

const customerOf = (snapshot: VersionedIntents, name: string): QueueCustomer => {
    const statements = snapshot.statements.filter(statement => statement.customer === name);
    const limit = maxAcceleratorsOf(snapshot, name);
    const gangs = statements.flatMap(gangsOf);
    return {
        name,
        apiKeys: [],
        guaranteedAccelerators: gangs.reduce((sum, gang) => sum + acceleratorsOf(gang), 0),
        guaranteedUpToPriority: priorityOf[Urgency.MayWait],
        guaranteeCoverage: GuaranteeCoverage.EarliestFirst,
        guaranteedGangs: gangs,
        maximum: Number.isFinite(limit) ? { ...unlimited, accelerators: limit } : undefined,
    };
};

/** Derives the queue configuration from a snapshot; jobs name their customer, so that there are no queues. */
export const queueConfigurationOf = (snapshot: VersionedIntents, maxBodyBytes: number): QueueConfiguration => {
    const names = new Set(snapshot.statements.flatMap(statement => statement.customer ?? []));
    return {
        version: snapshot.version,
        queues: [],
        customers: [...names].map(name => customerOf(snapshot, name)),
        maxBodyBytes,
        evacuatesRunsFromZones: true,
    };
};
