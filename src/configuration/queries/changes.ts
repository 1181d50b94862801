import type { Intent, Snapshot } from "../types.js";
import type { SourcedIntent } from "./collect.js";
import { intentOf, isSameIntent } from "./conflicts.js";

/** What a publish would do to one statement. */
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
    /** File that it comes from, or came from. */
    file: string;
    fields: FieldChange[];
}

const compareFields = (before: Partial<Intent>, after: Partial<Intent>): FieldChange[] => {
    const names = [...new Set([...Object.keys(before), ...Object.keys(after)])] as (keyof Intent)[];
    return names
        .filter(name => JSON.stringify(before[name]) !== JSON.stringify(after[name]))
        .map(name => ({ field: name, before: before[name], after: after[name] }));
};

/** Lists what a publish of the offered statements would change in the version in force. */
export const findChanges = (current: Snapshot, offered: readonly SourcedIntent[]): StatementChange[] => {
    const before = new Map(current.statements.map(statement => [statement.name, statement]));
    const names = new Set(offered.map(sourced => sourced.intent.name));
    const written = offered.flatMap(({ intent, file }): StatementChange[] => {
        const statement = before.get(intent.name);
        if (statement === undefined) {
            return [{ kind: ChangeKind.Added, name: intent.name, file, fields: compareFields({}, intent) }];
        }
        const fields = compareFields(intentOf(statement), intent);
        return isSameIntent(statement, intent)
            ? []
            : [{ kind: ChangeKind.Changed, name: intent.name, file, fields }];
    });
    const removed = current.statements
        .filter(statement => !names.has(statement.name))
        .map(statement => ({
            kind: ChangeKind.Removed,
            name: statement.name,
            file: statement.provenance.file,
            fields: compareFields(intentOf(statement), {}),
        }));
    return [...written, ...removed];
};
