import { cellsOf, repairCells } from "../../scheduling/cells.js";
import { createFleet } from "../../scheduling/fleet.js";
import { createLedger } from "../../scheduling/ledger.js";
import type { Worker } from "../../scheduling/types.js";
import type { Statement } from "../types.js";
import type { FileProblem, SourcedIntent } from "./collect.js";

/** A worker's place and capacity, whatever its present state. */
export type WorkerFacts = Omit<Worker, "usable">;

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

/** Units that find no place on the given workers, by statement name. */
const unplacedStatements = (statements: readonly Statement[], workers: readonly Worker[]): Set<string> => {
    const ledger = createLedger(createFleet([...workers]));
    cellsOf(statements).forEach(cell => ledger.setCell(cell));
    return new Set(repairCells(ledger).map(unit => unit.slice(unit.indexOf("/") + 1, unit.lastIndexOf("#"))));
};

const asStatements = (intents: readonly SourcedIntent[]): Statement[] =>
    intents.map(sourced => ({ ...sourced.intent, provenance: undefined as never }));

const findUnmetGuarantees = (
    intents: readonly SourcedIntent[],
    facts: readonly WorkerFacts[],
    zones: ReadonlySet<string>,
): FileProblem[] => {
    const all = unplacedStatements(asStatements(intents), facts.map(worker => ({ ...worker, usable: true })));
    const problems = intents
        .filter(sourced => all.has(sourced.intent.name))
        .map(sourced =>
            problemAt(sourced, "guarantees more than the accelerators that exist, beside the other guarantees")
        );
    const lasting = intents.filter(sourced => sourced.intent.guarantee?.holdsWithZoneOut === true);
    for (const zone of zones) {
        const remaining = facts.map(worker => ({ ...worker, usable: worker.availabilityZone !== zone }));
        const unplaced = unplacedStatements(asStatements(lasting), remaining);
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
