import { randomUUID } from "node:crypto";
import { commitOnce } from "../../platform/commitOnce.js";
import { PlatformErrorKind } from "../../platform/types.js";
import type { PlatformClient, PlatformError } from "../../platform/types.js";
import { fail, succeed } from "../../utils/result.js";
import type { Result } from "../../utils/result.js";
import type { WorkerFacts } from "../../workers/types.js";
import { checkTogether } from "../queries/checkTogether.js";
import type { FileProblem, SourcedIntent } from "../queries/collect.js";
import { findConflicts, isSameIntent } from "../queries/conflicts.js";
import type { PublishConflict } from "../queries/conflicts.js";
import { checkIntent, describeProblem } from "../schema.js";
import { currentVersionKey, emptySnapshot, snapshotKey } from "../types.js";
import type { CurrentVersion, Snapshot, Statement } from "../types.js";

/** What an operator offers for publishing. */
export interface PublishRequest {
    /** Version that the publisher's checkout is based on. */
    baseVersion: number;
    publisher: string;
    intents: SourcedIntent[];
}

/** Why a publish was not accepted. */
export type PublishError =
    | { kind: "problems"; problems: FileProblem[]; }
    | { kind: "conflicts"; version: number; conflicts: PublishConflict[]; }
    /** Another publish came first; nothing was changed. */
    | { kind: "raced"; }
    /** The platform could not be reached; nothing was changed. */
    | { kind: "unavailable"; detail: string; }
    /** No answer came from the platform; it may have been accepted. */
    | { kind: "unknown"; detail: string; };

/** Snapshots that are kept besides the current one. */
const keptSnapshots = 50;
const maxRemovedKept = 500;

const fromPlatform = (error: PlatformError): PublishError => {
    switch (error.kind) {
        case PlatformErrorKind.Conflict:
            return { kind: "raced" };
        case PlatformErrorKind.Unavailable:
            return { kind: "unavailable", detail: error.detail };
        case PlatformErrorKind.NoAnswer:
            return { kind: "unknown", detail: error.detail };
    }
};

interface CurrentState {
    rowVersion: number;
    snapshot: Snapshot;
}

/** Reads the current snapshot and the version of the row that names it. */
export const readCurrent = async (platform: PlatformClient): Promise<Result<CurrentState, PlatformError>> => {
    const current = await platform.read<CurrentVersion>(currentVersionKey);
    if (!current.ok) {
        return current;
    }
    if (current.value === undefined) {
        return succeed({ rowVersion: 0, snapshot: emptySnapshot() });
    }
    const snapshot = await platform.read<Snapshot>(snapshotKey(current.value.value.version));
    if (!snapshot.ok) {
        return snapshot;
    }
    if (snapshot.value === undefined) {
        return fail({ kind: PlatformErrorKind.Unavailable, detail: "the current snapshot is missing" });
    }
    return succeed({ rowVersion: current.value.version, snapshot: snapshot.value.value });
};

const toStatement = (sourced: SourcedIntent, current: Snapshot, publisher: string, nowMs: number): Statement => {
    const known = current.statements.find(statement => statement.name === sourced.intent.name);
    const change = known !== undefined && isSameIntent(known, sourced.intent)
        ? known.provenance
        : { changedInVersion: current.version + 1, changedBy: publisher, changedAtMs: nowMs };
    const { changedInVersion, changedBy, changedAtMs } = change;
    return {
        ...sourced.intent,
        provenance: { file: sourced.file, line: sourced.line, changedInVersion, changedBy, changedAtMs },
    };
};

/** Builds the snapshot that follows the current one. */
export const buildNextSnapshot = (current: Snapshot, request: PublishRequest, nowMs: number): Snapshot => {
    const statements = request.intents.map(sourced => toStatement(sourced, current, request.publisher, nowMs));
    const names = new Set(statements.map(statement => statement.name));
    const removed = current.statements
        .filter(statement => !names.has(statement.name))
        .map(statement => ({
            name: statement.name,
            removedInVersion: current.version + 1,
            removedBy: request.publisher,
        }));
    const stillRemoved = current.removed.filter(entry => !names.has(entry.name));
    return {
        version: current.version + 1,
        publishId: randomUUID(),
        publishedBy: request.publisher,
        publishedAtMs: nowMs,
        statements,
        removed: [...stillRemoved, ...removed].slice(-maxRemovedKept),
    };
};

const checkRequest = (
    request: PublishRequest,
    facts: readonly WorkerFacts[] | undefined,
): FileProblem[] => {
    const problems = request.intents.flatMap(sourced =>
        checkIntent(sourced.intent).map(problem => ({
            file: sourced.file,
            line: sourced.line,
            detail: describeProblem(problem),
        }))
    );
    return problems.length > 0 ? problems : checkTogether(request.intents, facts);
};

const commitSnapshot = async (
    platform: PlatformClient,
    rowVersion: number,
    snapshot: Snapshot,
): Promise<Result<Snapshot, PublishError>> => {
    const outdated = snapshot.version - keptSnapshots;
    const current: CurrentVersion = { version: snapshot.version, publishId: snapshot.publishId };
    const writes = [
        { key: currentVersionKey, value: current },
        { key: snapshotKey(snapshot.version), value: snapshot },
        ...(outdated > 0 ? [{ key: snapshotKey(outdated) }] : []),
    ];
    const committed = await commitOnce<CurrentVersion>(
        platform,
        { conditions: [{ key: currentVersionKey, version: rowVersion }], writes },
        currentVersionKey,
        value => value.publishId === snapshot.publishId,
    );
    return committed.ok ? succeed(snapshot) : fail(fromPlatform(committed.error));
};

/** Checks an offered set of statements and makes it the next version by compare-and-set. */
export const publish = async (
    platform: PlatformClient,
    request: PublishRequest,
    facts: readonly WorkerFacts[] | undefined,
    nowMs: number,
): Promise<Result<Snapshot, PublishError>> => {
    const problems = checkRequest(request, facts);
    if (problems.length > 0) {
        return fail({ kind: "problems", problems });
    }
    const current = await readCurrent(platform);
    if (!current.ok) {
        return fail({ kind: "unavailable", detail: "the current version could not be read" });
    }
    const { snapshot, rowVersion } = current.value;
    const conflicts = findConflicts(snapshot, request.baseVersion, request.intents);
    if (conflicts.length > 0) {
        return fail({ kind: "conflicts", version: snapshot.version, conflicts });
    }
    return commitSnapshot(platform, rowVersion, buildNextSnapshot(snapshot, request, nowMs));
};
