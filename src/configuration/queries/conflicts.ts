import { isDeepStrictEqual } from "node:util";
import type { Intent, Snapshot, Statement } from "../types.js";
import type { SourcedIntent } from "./collect.js";

/** A statement that somebody else changed since the publisher's checkout and that this publish would undo. */
export interface PublishConflict {
    name: string;
    changedBy: string;
    changedInVersion: number;
    detail: string;
}

/** The statement without its provenance. */
export const intentOf = (statement: Statement): Intent => {
    const intent: Intent & { provenance?: unknown; } = { ...statement };
    delete intent.provenance;
    return intent;
};

/** Whether a published statement says the same as an offered one. */
export const isSameIntent = (statement: Statement, intent: Intent): boolean =>
    isDeepStrictEqual(JSON.parse(JSON.stringify(intentOf(statement))), JSON.parse(JSON.stringify(intent)));

const conflictOf = (statement: Statement, offered: SourcedIntent | undefined): PublishConflict | undefined => {
    if (offered !== undefined && isSameIntent(statement, offered.intent)) {
        return undefined;
    }
    return {
        name: statement.name,
        changedBy: statement.provenance.changedBy,
        changedInVersion: statement.provenance.changedInVersion,
        detail: offered === undefined
            ? "this publish would remove it"
            : `this publish would change it; accepted reason: ${statement.reason}`,
    };
};

/** Lists what a publish from a checkout of version `baseVersion` would undo of later versions. */
export const findConflicts = (
    current: Snapshot,
    baseVersion: number,
    offered: readonly SourcedIntent[],
): PublishConflict[] => {
    const byName = new Map(offered.map(sourced => [sourced.intent.name, sourced]));
    const changed = current.statements
        .filter(statement => statement.provenance.changedInVersion > baseVersion)
        .flatMap(statement => conflictOf(statement, byName.get(statement.name)) ?? []);
    const revived = current.removed
        .filter(removed => removed.removedInVersion > baseVersion && byName.has(removed.name))
        .map(removed => ({
            name: removed.name,
            changedBy: removed.removedBy,
            changedInVersion: removed.removedInVersion,
            detail: "it was removed; this publish would bring it back",
        }));
    return [...changed, ...revived];
};
