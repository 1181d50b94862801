import { randomUUID } from "node:crypto";
import { isDeepStrictEqual } from "node:util";
import { isKnownCustomer, jobsSettingOf, maxAcceleratorsOf } from "../../configuration/queries/settings.js";
import type { Snapshot } from "../../configuration/types.js";
import type { Shape } from "../../configuration/types.js";
import { Urgency } from "../../configuration/types.js";
import { PlatformErrorKind } from "../../platform/types.js";
import type { PlatformClient } from "../../platform/types.js";
import { fail, succeed } from "../../utils/result.js";
import type { Result } from "../../utils/result.js";
import { insertJob, readJob } from "../jobTable.js";
import type { StoredJob } from "../jobTable.js";
import { acceleratorsOf } from "../resources.js";
import { JobState } from "../types.js";
import type { JobSpec } from "../types.js";

/** A job as submitted. */
export interface JobRequest {
    customer: string;
    service: string;
    shape: Shape;
    declaredRunTimeMs: number;
    checkpointable: boolean;
    /** Time from now by which it should be finished. */
    deadlineMs?: number;
    work?: unknown;
}

/** Why a job was not accepted. */
export type SubmitError =
    | { kind: "unknownCustomer"; detail: string; }
    | { kind: "neverFits"; detail: string; }
    /** The key was used for a different job. */
    | { kind: "keyReused"; detail: string; }
    /** The platform could not be reached; nothing was recorded. */
    | { kind: "unavailable"; detail: string; }
    /** No answer came; it may have been recorded. */
    | { kind: "unknown"; detail: string; };

const toSpec = (id: string, request: JobRequest, snapshot: Snapshot, nowMs: number): JobSpec => ({
    id,
    customer: request.customer,
    service: request.service,
    shape: request.shape,
    urgency: jobsSettingOf(snapshot, request.customer, request.service)?.value.urgency ?? Urgency.Normal,
    declaredRunTimeMs: request.declaredRunTimeMs,
    checkpointable: request.checkpointable,
    submittedAtMs: nowMs,
    deadlineAtMs: request.deadlineMs === undefined ? undefined : nowMs + request.deadlineMs,
    work: request.work,
});

const isSameJob = (stored: StoredJob, spec: JobSpec): boolean =>
    isDeepStrictEqual(
        JSON.parse(JSON.stringify([stored.record.spec.shape, stored.record.spec.customer, stored.record.spec.service])),
        JSON.parse(JSON.stringify([spec.shape, spec.customer, spec.service])),
    );

const findExisting = async (platform: PlatformClient, spec: JobSpec): Promise<Result<StoredJob, SubmitError>> => {
    const existing = await readJob(platform, spec.id);
    if (!existing.ok || existing.value === undefined) {
        return fail({ kind: "unknown", detail: "the job could not be read back" });
    }
    return isSameJob(existing.value, spec)
        ? succeed(existing.value)
        : fail({ kind: "keyReused", detail: "the key was used for a different job" });
};

/** Identifier of a job: derived from the key, so that a repeated submission finds the first. */
export const jobIdOf = (customer: string, key: string | undefined): string => `${customer}.${key ?? randomUUID()}`;

/** Records a job and tells the planner; a repeated key answers with the first job. */
export const submitJob = async (
    platform: PlatformClient,
    snapshot: Snapshot,
    request: JobRequest,
    key: string | undefined,
    nowMs: number,
): Promise<Result<StoredJob, SubmitError>> => {
    if (!isKnownCustomer(snapshot, request.customer)) {
        return fail({ kind: "unknownCustomer", detail: `no statement names the customer "${request.customer}"` });
    }
    if (acceleratorsOf(request.shape) > maxAcceleratorsOf(snapshot, request.customer)) {
        return fail({ kind: "neverFits", detail: "the shape is larger than the customer's limit" });
    }
    const spec = toSpec(jobIdOf(request.customer, key), request, snapshot, nowMs);
    const inserted = await insertJob(platform, {
        spec,
        state: JobState.Queued,
        attempts: 0,
        progressMs: 0,
        reason: "submitted",
        cancelRequested: false,
        failures: 0,
        failedOn: [],
    });
    if (inserted.ok) {
        return inserted;
    }
    switch (inserted.error.kind) {
        case PlatformErrorKind.Conflict:
            return findExisting(platform, spec);
        case PlatformErrorKind.Unavailable:
            return fail({ kind: "unavailable", detail: inserted.error.detail });
        case PlatformErrorKind.NoAnswer:
            return fail({ kind: "unknown", detail: inserted.error.detail });
    }
};
