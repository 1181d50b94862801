import { findUnplaceable } from "../../planning/emptyFleet.js";
import type { NamedGang } from "../../planning/emptyFleet.js";
import type { WorkerFacts } from "../../workers/types.js";
import type { FileProblem, SourcedIntent } from "./collect.js";
import { stepOf } from "./shapeStep.js";

const place = (sourced: SourcedIntent): string => `${sourced.file}:${sourced.line}`;

const problemAt = (sourced: SourcedIntent, detail: string): FileProblem => ({
    file: sourced.file,
    line: sourced.line,
    detail,
});

const findDuplicates = (intents: readonly SourcedIntent[], keyOf: (sourced: SourcedIntent) => string | undefined) => {
    const first = new Map<string, SourcedIntent>();
    const problems: FileProblem[] = [];
    for (const sourced of intents) {
        const key = keyOf(sourced);
        const earlier = key === undefined ? undefined : first.get(key);
        if (earlier !== undefined) {
            problems.push(problemAt(sourced, `states ${key} again; it stands in ${place(earlier)}`));
        }
        else if (key !== undefined) {
            first.set(key, sourced);
        }
    }
    return problems;
};

const settingKey = (field: "calls" | "jobs") => (sourced: SourcedIntent): string | undefined => {
    const { customer, service } = sourced.intent;
    return sourced.intent[field] === undefined ? undefined : `${field} of ${customer}/${service}`;
};

const findUnknownZones = (intents: readonly SourcedIntent[], zones: ReadonlySet<string>): FileProblem[] =>
    intents.flatMap(sourced =>
        (sourced.intent.availabilityZonesOut ?? [])
            .filter(zone => !zones.has(zone))
            .map(zone =>
                problemAt(
                    sourced,
                    `names the unknown availability zone "${zone}"; known: ${[...zones].sort().join(", ")}`,
                )
            )
    );

/** One gang for each unit of a guarantee. */
const gangsOf = ({ intent }: SourcedIntent): NamedGang[] => {
    const { guarantee, name } = intent;
    return guarantee === undefined
        ? []
        : Array.from({ length: guarantee.count }, () => ({ name, step: stepOf(guarantee.shape, 0, false) }));
};

/** Names of the statements whose guarantees find no place beside the others on the given workers. */
const unplacedStatements = (intents: readonly SourcedIntent[], workers: readonly WorkerFacts[]): Set<string> =>
    new Set(findUnplaceable(intents.flatMap(gangsOf), workers).map(gang => gang.name));

const findUnmetGuarantees = (
    intents: readonly SourcedIntent[],
    facts: readonly WorkerFacts[],
    zones: ReadonlySet<string>,
): FileProblem[] => {
    const all = unplacedStatements(intents, facts);
    const problems = intents
        .filter(sourced => all.has(sourced.intent.name))
        .map(sourced =>
            problemAt(sourced, "guarantees more than the accelerators that exist, beside the other guarantees")
        );
    const lasting = intents.filter(sourced => sourced.intent.guarantee?.holdsWithZoneOut === true);
    for (const zone of zones) {
        const unplaced = unplacedStatements(lasting, facts.filter(worker => worker.availabilityZone !== zone));
        problems.push(
            ...lasting
                .filter(sourced => unplaced.has(sourced.intent.name) && !all.has(sourced.intent.name))
                .map(sourced => problemAt(sourced, `does not fit with availability zone "${zone}" out`)),
        );
    }
    return problems;
};

/** Checks statements against each other and, where the workers are known, against what exists. */
export const checkTogether = (
    intents: readonly SourcedIntent[],
    facts: readonly WorkerFacts[] | undefined,
): FileProblem[] => {
    const problems = [
        ...findDuplicates(intents, sourced => `the name "${sourced.intent.name}"`),
        ...findDuplicates(intents, settingKey("calls")),
        ...findDuplicates(intents, settingKey("jobs")),
    ];
    if (facts === undefined || facts.length === 0) {
        return problems;
    }
    const zones = new Set(facts.map(worker => worker.availabilityZone));
    return [...problems, ...findUnknownZones(intents, zones), ...findUnmetGuarantees(intents, facts, zones)];
};
