import { createHash, randomUUID } from "node:crypto";
import { commitWithReadBack } from "../platform/commitWithReadBack.js";
import { PlatformErrorKind } from "../platform/types.js";
import type { PlatformClient, PlatformError } from "../platform/types.js";
import { fail, succeed } from "../utils/result.js";
import type { Result } from "../utils/result.js";
import type { TimerService } from "../utils/timer.js";
import type { Call } from "./types.js";

/** Number of times that the record of an attempt that was never made is checked and, if necessary, corrected. */
const notRunCheckCount = 5;
const notRunCheckPeriodMs = 2_000;
/** Maximum number of tries to write the outcome of an attempt into its record. */
const maxOutcomeWrites = 600;
const outcomeRetryPeriodMs = 500;

/** State of the recorded attempt of a call that may run at most once. */
export enum RecordState {
    /** It is running, its outcome is unknown, or its router ended before recording the outcome. */
    Started = "started",
    Done = "done",
    /** It did not run; another attempt may be made. */
    NotRun = "notRun",
}

/** Value of the row of an idempotency key: the only attempt that may run. */
export interface AttemptRecord {
    attemptId: string;
    state: RecordState;
    bodyDigest: string;
    router: string;
    /** Result from the endpoint, in state `done`. */
    result?: unknown;
}

/** Permission to make the only attempt of a key, held by the router that wrote the record. */
export interface Claim {
    key: string;
    /** Version of the row that holds the record; the outcome is written only over that version. */
    rowVersion: number;
    record: AttemptRecord;
}

/** Why an attempt could not be claimed. */
export type ClaimError =
    /** An earlier attempt is done; this is its result. */
    | { kind: "answered"; result: unknown; }
    /** Another attempt is in progress or its outcome is unknown. */
    | { kind: "inProgress"; }
    /** The key was used with a different body. */
    | { kind: "keyReused"; }
    /** The record could not be read or written. */
    | { kind: "unavailable"; detail: string; };

/** Digest of a body, to detect a key that is reused with a different one. */
export const digestOf = (body: unknown): string =>
    createHash("sha256").update(JSON.stringify(body) ?? "").digest("hex").slice(0, 32);

/** Key of the row with the attempt record of a call. */
export const attemptKey = (call: Call): string => `calls/${call.customer}/${call.service}/${call.key}`;

const createRecord = (call: Call, router: string): AttemptRecord => ({
    attemptId: randomUUID(),
    state: RecordState.Started,
    bodyDigest: digestOf(call.body),
    router,
});

const writeRecord = async (
    platform: PlatformClient,
    key: string,
    rowVersion: number,
    record: AttemptRecord,
): Promise<Result<Claim, PlatformError>> => {
    const committed = await commitWithReadBack<AttemptRecord>(
        platform,
        { conditions: [{ key, version: rowVersion }], writes: [{ key, value: record }] },
        key,
        value => value.attemptId === record.attemptId && value.state === record.state,
    );
    return committed.ok ? succeed({ key, rowVersion: committed.value.version, record }) : committed;
};

const toClaimError = (existing: AttemptRecord, bodyDigest: string): ClaimError | undefined => {
    if (existing.bodyDigest !== bodyDigest) {
        return { kind: "keyReused" };
    }
    switch (existing.state) {
        case RecordState.Done:
            return { kind: "answered", result: existing.result };
        case RecordState.Started:
            return { kind: "inProgress" };
        case RecordState.NotRun:
            return undefined;
    }
};

/** Writes the record of an attempt before it is made, unless the key has one that ran or may run. */
export const claimAttempt = async (
    platform: PlatformClient,
    timer: TimerService,
    call: Call,
    router: string,
): Promise<Result<Claim, ClaimError>> => {
    const key = attemptKey(call);
    const record = createRecord(call, router);
    const inserted = await writeRecord(platform, key, 0, record);
    if (inserted.ok) {
        return inserted;
    }
    if (inserted.error.kind !== PlatformErrorKind.Conflict) {
        markNotRunLater(platform, timer, key, record);
        return fail({ kind: "unavailable", detail: inserted.error.detail });
    }
    const existing = await platform.read<AttemptRecord>(key);
    if (!existing.ok || existing.value === undefined) {
        return fail({ kind: "unavailable", detail: "the recorded attempt could not be read" });
    }
    const claimError = toClaimError(existing.value.value, record.bodyDigest);
    if (claimError !== undefined) {
        return fail(claimError);
    }
    const replaced = await writeRecord(platform, key, existing.value.version, record);
    return replaced.ok ? replaced : fail({ kind: "inProgress" });
};

/** Corrects the record of an attempt that is never made: a write without an answer may still take effect later. */
const markNotRunLater = (platform: PlatformClient, timer: TimerService, key: string, record: AttemptRecord): void => {
    const markNotRun = async (): Promise<void> => {
        for (let attempt = 0; attempt < notRunCheckCount; attempt++) {
            await timer.sleep(notRunCheckPeriodMs);
            const row = await platform.read<AttemptRecord>(key);
            if (
                row.ok && row.value?.value.attemptId === record.attemptId
                && row.value.value.state === RecordState.Started
            ) {
                await writeRecord(platform, key, row.value.version, { ...record, state: RecordState.NotRun });
            }
        }
    };
    void markNotRun();
};

/**
 * Writes the outcome into the record of an attempt and resolves with whether it was written. Retries for some minutes:
 * the endpoint has answered already, and without the record a repeated key could not be answered.
 */
export const recordAttemptOutcome = async (
    platform: PlatformClient,
    timer: TimerService,
    claim: Claim,
    state: RecordState,
    result: unknown,
): Promise<boolean> => {
    const record = { ...claim.record, state, result };
    for (let attempt = 0; attempt < maxOutcomeWrites; attempt++) {
        const written = await writeRecord(platform, claim.key, claim.rowVersion, record);
        if (written.ok) {
            return true;
        }
        if (written.error.kind === PlatformErrorKind.Conflict) {
            return false;
        }
        await timer.sleep(outcomeRetryPeriodMs);
    }
    return false;
};
