import { isDeepStrictEqual } from "node:util";
import type { Intent, Snapshot, Statement } from "../types.js";
import type { LocatedIntent } from "./collect.js";

/** A change made after the version of the publisher's checkout that its publish would undo. */
export interface PublishConflict {
    name: string;
    changedBy: string;
    changedInVersion: number;
    detail: string;
}

/** Returns the statement without its provenance. */
export const intentOf = (statement: Statement): Intent => {
    const intent: Intent & { provenance?: unknown; } = { ...statement };
    delete intent.provenance;
    return intent;
};

/** Whether a published statement equals a statement of intent, apart from its provenance and the order of fields. */
export const isSameIntent = (statement: Statement, intent: Intent): boolean =>
    isDeepStrictEqual(JSON.parse(JSON.stringify(intentOf(statement))), JSON.parse(JSON.stringify(intent)));

const conflictOf = (statement: Statement, proposed: LocatedIntent | undefined): PublishConflict | undefined => {
    if (proposed !== undefined && isSameIntent(statement, proposed.intent)) {
        return undefined;
    }
    return {
        name: statement.name,
        changedBy: statement.provenance.changedBy,
        changedInVersion: statement.provenance.changedInVersion,
        detail: proposed === undefined
            ? "this publish would remove it"
            : `this publish would change it; accepted reason: ${statement.reason}`,
    };
};

/** Lists the changes made after version `baseVersion` that a publish of the proposed statements would undo. */
export const findConflicts = (
    current: Snapshot,
    baseVersion: number,
    proposed: readonly LocatedIntent[],
): PublishConflict[] => {
    const proposedByName = new Map(proposed.map(located => [located.intent.name, located]));
    const changed = current.statements
        .filter(statement => statement.provenance.changedInVersion > baseVersion)
        .flatMap(statement => conflictOf(statement, proposedByName.get(statement.name)) ?? []);
    const reintroduced = current.removed
        .filter(removed => removed.removedInVersion > baseVersion && proposedByName.has(removed.name))
        .map(removed => ({
            name: removed.name,
            changedBy: removed.removedBy,
            changedInVersion: removed.removedInVersion,
            detail: "it was removed; this publish would bring it back",
        }));
    return [...changed, ...reintroduced];
};
