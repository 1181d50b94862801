import { randomUUID } from "node:crypto";
import { commitWithReadBack } from "../../platform/commitWithReadBack.js";
import { PlatformErrorKind } from "../../platform/types.js";
import type { PlatformClient, PlatformError } from "../../platform/types.js";
import { fail, succeed } from "../../utils/result.js";
import type { Result } from "../../utils/result.js";
import type { WorkerFacts } from "../../workers/types.js";
import { checkTogether } from "../queries/checkTogether.js";
import type { FileProblem, LocatedIntent } from "../queries/collect.js";
import { findConflicts, isSameIntent } from "../queries/conflicts.js";
import type { PublishConflict } from "../queries/conflicts.js";
import { checkIntent, describeProblem } from "../schema.js";
import { currentVersionKey, emptySnapshot, snapshotKey } from "../types.js";
import type { CurrentVersion, Snapshot, Statement } from "../types.js";

/** Request of an operator to publish a set of statements. */
export interface PublishRequest {
    /** Version that the publisher's checkout is based on. */
    baseVersion: number;
    publisher: string;
    intents: LocatedIntent[];
}

/** Why a publish was not accepted. */
export type PublishError =
    | { kind: "problems"; problems: FileProblem[]; }
    | { kind: "conflicts"; version: number; conflicts: PublishConflict[]; }
    /** Another publish was committed first; nothing was changed. */
    | { kind: "raced"; }
    /** The platform could not be reached; nothing was changed. */
    | { kind: "unavailable"; detail: string; }
    /** The platform did not answer; the publish may have been committed. */
    | { kind: "unknown"; detail: string; };

/** Number of snapshots kept in the table besides the current one. */
const retainedSnapshotCount = 50;
/** Number of removed statements that a snapshot records; older ones are dropped. */
const maxRemovedStatements = 500;

const toPublishError = (error: PlatformError): PublishError => {
    switch (error.kind) {
        case PlatformErrorKind.Conflict:
            return { kind: "raced" };
        case PlatformErrorKind.Unavailable:
            return { kind: "unavailable", detail: error.detail };
        case PlatformErrorKind.NoAnswer:
            return { kind: "unknown", detail: error.detail };
    }
};

interface CurrentSnapshot {
    rowVersion: number;
    snapshot: Snapshot;
}

/** Reads the current snapshot and the version of the row that names it; version 0 of both before the first publish. */
export const readCurrent = async (platform: PlatformClient): Promise<Result<CurrentSnapshot, PlatformError>> => {
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

const toStatement = (located: LocatedIntent, current: Snapshot, publisher: string, nowMs: number): Statement => {
    const previous = current.statements.find(statement => statement.name === located.intent.name);
    const lastChange = previous !== undefined && isSameIntent(previous, located.intent)
        ? previous.provenance
        : { changedInVersion: current.version + 1, changedBy: publisher, changedAtMs: nowMs };
    const { changedInVersion, changedBy, changedAtMs } = lastChange;
    return {
        ...located.intent,
        provenance: { file: located.file, line: located.line, changedInVersion, changedBy, changedAtMs },
    };
};

/** Builds the snapshot of the next version; unchanged statements keep the version and publisher of their last change. */
export const buildNextSnapshot = (current: Snapshot, request: PublishRequest, nowMs: number): Snapshot => {
    const statements = request.intents.map(located => toStatement(located, current, request.publisher, nowMs));
    const names = new Set(statements.map(statement => statement.name));
    const removed = current.statements
        .filter(statement => !names.has(statement.name))
        .map(statement => ({
            name: statement.name,
            removedInVersion: current.version + 1,
            removedBy: request.publisher,
        }));
    const removedEarlier = current.removed.filter(entry => !names.has(entry.name));
    return {
        version: current.version + 1,
        publishId: randomUUID(),
        publishedBy: request.publisher,
        publishedAtMs: nowMs,
        statements,
        removed: [...removedEarlier, ...removed].slice(-maxRemovedStatements),
    };
};

const checkRequest = (
    request: PublishRequest,
    workers: readonly WorkerFacts[] | undefined,
): FileProblem[] => {
    const problems = request.intents.flatMap(located =>
        checkIntent(located.intent).map(problem => ({
            file: located.file,
            line: located.line,
            detail: describeProblem(problem),
        }))
    );
    return problems.length > 0 ? problems : checkTogether(request.intents, workers);
};

const commitSnapshot = async (
    platform: PlatformClient,
    rowVersion: number,
    snapshot: Snapshot,
): Promise<Result<Snapshot, PublishError>> => {
    const expiredVersion = snapshot.version - retainedSnapshotCount;
    const current: CurrentVersion = { version: snapshot.version, publishId: snapshot.publishId };
    const writes = [
        { key: currentVersionKey, value: current },
        { key: snapshotKey(snapshot.version), value: snapshot },
        ...(expiredVersion > 0 ? [{ key: snapshotKey(expiredVersion) }] : []),
    ];
    const committed = await commitWithReadBack<CurrentVersion>(
        platform,
        { conditions: [{ key: currentVersionKey, version: rowVersion }], writes },
        currentVersionKey,
        value => value.publishId === snapshot.publishId,
    );
    return committed.ok ? succeed(snapshot) : fail(toPublishError(committed.error));
};

/**
 * Checks a set of statements and commits it as the next version by compare-and-set on the current one.
 *
 * @param workers workers to check guarantees and availability zones against; not checked if absent
 */
export const publish = async (
    platform: PlatformClient,
    request: PublishRequest,
    workers: readonly WorkerFacts[] | undefined,
    nowMs: number,
): Promise<Result<Snapshot, PublishError>> => {
    const problems = checkRequest(request, workers);
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
