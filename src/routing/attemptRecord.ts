import { createHash, randomUUID } from "node:crypto";
import { commitOnce } from "../platform/commitOnce.js";
import { PlatformErrorKind } from "../platform/types.js";
import type { PlatformClient, PlatformError } from "../platform/types.js";
import { fail, succeed } from "../utils/result.js";
import type { Result } from "../utils/result.js";
import type { TimerService } from "../utils/timer.js";
import type { Call } from "./types.js";

/** Tries to correct the record of an attempt that was never made. */
const abandonAttempts = 5;
const abandonPeriodMs = 2_000;
/** Tries to record how an attempt ended. */
const settleAttempts = 600;
const settlePeriodMs = 500;

/** State of the recorded attempt of a call that may run at most once. */
export enum RecordState {
    /** It may be running, or its router died. */
    Started = "started",
    Done = "done",
    /** It did not run; another attempt may be made. */
    NotRun = "notRun",
}

/** Row that stands for the one attempt of a key. */
export interface AttemptRecord {
    attemptId: string;
    state: RecordState;
    bodyDigest: string;
    router: string;
    /** Answer of the endpoint, once done. */
    result?: unknown;
}

/** The right to make the one attempt of a key. */
export interface Claim {
    key: string;
    rowVersion: number;
    record: AttemptRecord;
}

/** Why no attempt may be made. */
export type ClaimError =
    /** The call was made before; this is its answer. */
    | { kind: "answered"; result: unknown; }
    /** Another attempt is in progress or its fate is not known. */
    | { kind: "inProgress"; }
    | { kind: "keyReused"; }
    /** The platform cannot be reached. */
    | { kind: "unavailable"; detail: string; };

/** Digest that tells whether a repeated key comes with the same body. */
export const digestOf = (body: unknown): string =>
    createHash("sha256").update(JSON.stringify(body) ?? "").digest("hex").slice(0, 32);

/** Key of the row of a call's attempt. */
export const attemptKey = (call: Call): string => `calls/${call.customer}/${call.service}/${call.key}`;

const createRecord = (call: Call, router: string): AttemptRecord => ({
    attemptId: randomUUID(),
    state: RecordState.Started,
    bodyDigest: digestOf(call.body),
    router,
});

const write = async (
    platform: PlatformClient,
    key: string,
    rowVersion: number,
    record: AttemptRecord,
): Promise<Result<Claim, PlatformError>> => {
    const committed = await commitOnce<AttemptRecord>(
        platform,
        { conditions: [{ key, version: rowVersion }], writes: [{ key, value: record }] },
        key,
        value => value.attemptId === record.attemptId && value.state === record.state,
    );
    return committed.ok ? succeed({ key, rowVersion: committed.value.version, record }) : committed;
};

const judgeExisting = (existing: AttemptRecord, bodyDigest: string): ClaimError | undefined => {
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

/** Records an attempt before it is made, unless the key already has one. */
export const claimAttempt = async (
    platform: PlatformClient,
    timer: TimerService,
    call: Call,
    router: string,
): Promise<Result<Claim, ClaimError>> => {
    const key = attemptKey(call);
    const record = createRecord(call, router);
    const inserted = await write(platform, key, 0, record);
    if (inserted.ok) {
        return inserted;
    }
    if (inserted.error.kind !== PlatformErrorKind.Conflict) {
        abandon(platform, timer, key, record);
        return fail({ kind: "unavailable", detail: inserted.error.detail });
    }
    const existing = await platform.read<AttemptRecord>(key);
    if (!existing.ok || existing.value === undefined) {
        return fail({ kind: "unavailable", detail: "the recorded attempt could not be read" });
    }
    const reason = judgeExisting(existing.value.value, record.bodyDigest);
    if (reason !== undefined) {
        return fail(reason);
    }
    const replaced = await write(platform, key, existing.value.version, record);
    return replaced.ok ? replaced : fail({ kind: "inProgress" });
};

/** A write without an answer may still land; its attempt is never made, so the record is corrected later. */
const abandon = (platform: PlatformClient, timer: TimerService, key: string, record: AttemptRecord): void => {
    const correct = async (): Promise<void> => {
        for (let attempt = 0; attempt < abandonAttempts; attempt++) {
            await timer.sleep(abandonPeriodMs);
            const row = await platform.read<AttemptRecord>(key);
            if (
                row.ok && row.value?.value.attemptId === record.attemptId
                && row.value.value.state === RecordState.Started
            ) {
                await write(platform, key, row.value.version, { ...record, state: RecordState.NotRun });
            }
        }
    };
    void correct();
};

/** Records how the attempt ended; tries again for a while, since the endpoint's answer is already there. */
export const settleAttempt = async (
    platform: PlatformClient,
    timer: TimerService,
    claim: Claim,
    state: RecordState,
    result: unknown,
): Promise<boolean> => {
    const record = { ...claim.record, state, result };
    for (let attempt = 0; attempt < settleAttempts; attempt++) {
        const written = await write(platform, claim.key, claim.rowVersion, record);
        if (written.ok) {
            return true;
        }
        if (written.error.kind === PlatformErrorKind.Conflict) {
            return false;
        }
        await timer.sleep(settlePeriodMs);
    }
    return false;
};
