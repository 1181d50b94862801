import { findUnplaceable } from "../../planning/emptyFleet.js";
import type { NamedGang } from "../../planning/emptyFleet.js";
import { findContradictions } from "../../queues/reviewConfiguration.js";
import type { WorkerFacts } from "../../workers/types.js";
import type { FileProblem, LocatedIntent } from "./collect.js";
import { queueConfigurationOf } from "./queueConfiguration.js";
import { stepOf } from "./shapeStep.js";

const formatLocation = (located: LocatedIntent): string => `${located.file}:${located.line}`;

const problemAt = (located: LocatedIntent, detail: string): FileProblem => ({
    file: located.file,
    line: located.line,
    detail,
});

const findDuplicates = (intents: readonly LocatedIntent[], keyOf: (located: LocatedIntent) => string | undefined) => {
    const firstByKey = new Map<string, LocatedIntent>();
    const problems: FileProblem[] = [];
    for (const located of intents) {
        const key = keyOf(located);
        const earlier = key === undefined ? undefined : firstByKey.get(key);
        if (earlier !== undefined) {
            problems.push(problemAt(located, `states ${key} again; it stands in ${formatLocation(earlier)}`));
        }
        else if (key !== undefined) {
            firstByKey.set(key, located);
        }
    }
    return problems;
};

const settingKey = (field: "calls" | "jobs") => (located: LocatedIntent): string | undefined => {
    const { customer, service } = located.intent;
    return located.intent[field] === undefined ? undefined : `${field} of ${customer}/${service}`;
};

const findUnknownZones = (intents: readonly LocatedIntent[], zones: ReadonlySet<string>): FileProblem[] =>
    intents.flatMap(located =>
        (located.intent.availabilityZonesOut ?? [])
            .filter(zone => !zones.has(zone))
            .map(zone =>
                problemAt(
                    located,
                    `names the unknown availability zone "${zone}"; known: ${[...zones].sort().join(", ")}`,
                )
            )
    );

/** Returns one gang for each of the `count` gangs of a guarantee. */
const gangsOf = ({ intent }: LocatedIntent): NamedGang[] => {
    const { guarantee, name } = intent;
    return guarantee === undefined
        ? []
        : Array.from({ length: guarantee.count }, () => ({ name, step: stepOf(guarantee.shape, 0, false) }));
};

/** Returns the names of the statements whose guarantees do not fit on the workers together with the others. */
const unplaceableStatements = (intents: readonly LocatedIntent[], workers: readonly WorkerFacts[]): Set<string> =>
    new Set(findUnplaceable(intents.flatMap(gangsOf), workers).map(gang => gang.name));

const findUnmetGuarantees = (
    intents: readonly LocatedIntent[],
    workers: readonly WorkerFacts[],
    zones: ReadonlySet<string>,
): FileProblem[] => {
    const unplaceable = unplaceableStatements(intents, workers);
    const problems = intents
        .filter(located => unplaceable.has(located.intent.name))
        .map(located =>
            problemAt(located, "guarantees more than the accelerators that exist, beside the other guarantees")
        );
    const zoneRedundant = intents.filter(located => located.intent.guarantee?.holdsWithZoneOut === true);
    for (const zone of zones) {
        const unplaceableWithoutZone = unplaceableStatements(
            zoneRedundant,
            workers.filter(worker => worker.availabilityZone !== zone),
        );
        problems.push(
            ...zoneRedundant
                .filter(located =>
                    unplaceableWithoutZone.has(located.intent.name) && !unplaceable.has(located.intent.name)
                )
                .map(located => problemAt(located, `does not fit with availability zone "${zone}" out`)),
        );
    }
    return problems;
};

/** Finds customers whose limits contradict their guarantees, at the statement of the guarantee. */
const findContradictoryLimits = (intents: readonly LocatedIntent[]): FileProblem[] => {
    const statements = intents.map(({ intent }) => intent);
    const configuration = queueConfigurationOf({ version: 0, statements }, 0);
    return findContradictions(configuration).flatMap(({ customer, detail }) => {
        const located = intents.find(({ intent }) => intent.customer === customer && intent.guarantee !== undefined);
        return located === undefined ? [] : [problemAt(located, `customer "${customer}": ${detail}`)];
    });
};

/** Finds duplicate statements and, if workers are given, unknown availability zones and guarantees that do not fit. */
export const checkTogether = (
    intents: readonly LocatedIntent[],
    workers: readonly WorkerFacts[] | undefined,
): FileProblem[] => {
    const problems = [
        ...findDuplicates(intents, located => `the name "${located.intent.name}"`),
        ...findDuplicates(intents, settingKey("calls")),
        ...findDuplicates(intents, settingKey("jobs")),
        ...findContradictoryLimits(intents),
    ];
    if (workers === undefined || workers.length === 0) {
        return problems;
    }
    const zones = new Set(workers.map(worker => worker.availabilityZone));
    return [...problems, ...findUnknownZones(intents, zones), ...findUnmetGuarantees(intents, workers, zones)];
};
