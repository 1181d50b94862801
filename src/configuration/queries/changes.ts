import type { Intent, Snapshot } from "../types.js";
import type { LocatedIntent } from "./collect.js";
import { intentOf, isSameIntent } from "./conflicts.js";

/** How a publish would change a statement. */
export enum ChangeKind {
    Added = "added",
    Changed = "changed",
    Removed = "removed",
}

/** One field that differs; `undefined` where it is absent. */
export interface FieldChange {
    field: string;
    before: unknown;
    after: unknown;
}

/** One statement that a publish would change. */
export interface StatementChange {
    kind: ChangeKind;
    name: string;
    /** File of the statement; of a removed one, the file it was published from. */
    file: string;
    fields: FieldChange[];
}

const compareFields = (before: Partial<Intent>, after: Partial<Intent>): FieldChange[] => {
    const names = [...new Set([...Object.keys(before), ...Object.keys(after)])] as (keyof Intent)[];
    return names
        .filter(name => JSON.stringify(before[name]) !== JSON.stringify(after[name]))
        .map(name => ({ field: name, before: before[name], after: after[name] }));
};

/** Lists the statements of the current snapshot that a publish of the proposed ones would add, change or remove. */
export const findChanges = (current: Snapshot, proposed: readonly LocatedIntent[]): StatementChange[] => {
    const currentByName = new Map(current.statements.map(statement => [statement.name, statement]));
    const proposedNames = new Set(proposed.map(located => located.intent.name));
    const addedOrChanged = proposed.flatMap(({ intent, file }): StatementChange[] => {
        const statement = currentByName.get(intent.name);
        if (statement === undefined) {
            return [{ kind: ChangeKind.Added, name: intent.name, file, fields: compareFields({}, intent) }];
        }
        const fields = compareFields(intentOf(statement), intent);
        return isSameIntent(statement, intent)
            ? []
            : [{ kind: ChangeKind.Changed, name: intent.name, file, fields }];
    });
    const removed = current.statements
        .filter(statement => !proposedNames.has(statement.name))
        .map(statement => ({
            kind: ChangeKind.Removed,
            name: statement.name,
            file: statement.provenance.file,
            fields: compareFields(intentOf(statement), {}),
        }));
    return [...addedOrChanged, ...removed];
};
