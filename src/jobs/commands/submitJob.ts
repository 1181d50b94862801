import { randomUUID } from "node:crypto";
import { isDeepStrictEqual } from "node:util";
import { priorityOf } from "../../configuration/queries/queueConfiguration.js";
import { isKnownCustomer, jobsSettingOf, maxAcceleratorsOf } from "../../configuration/queries/settings.js";
import { stepOf } from "../../configuration/queries/shapeStep.js";
import { Urgency } from "../../configuration/types.js";
import type { Shape, Snapshot } from "../../configuration/types.js";
import { fitsEmptyFleet } from "../../planning/emptyFleet.js";
import type { StateTable } from "../../state/types.js";
import { fail, succeed } from "../../utils/result.js";
import type { Result } from "../../utils/result.js";
import { workerPool } from "../../workers/directory.js";
import type { WorkerFacts } from "../../workers/types.js";
import type { StoredJob } from "../projection.js";
import { readJob } from "../queries/readJob.js";
import type { JobSubmission } from "../types.js";
import { Acceptance } from "./acceptJob.js";
import type { AcceptResult } from "./acceptJob.js";

/** Body of a request to submit a job. */
export interface JobRequest {
    customer: string;
    service: string;
    shape: Shape;
    declaredRunTimeMs: number;
    checkpointable: boolean;
    /** Time from now within which the job should be complete. */
    deadlineMs?: number;
    /** Description of the work, passed to the workers as JSON. */
    work?: unknown;
}

/** Why a job was not accepted. */
export type SubmitError =
    | { kind: "unknownCustomer"; detail: string; }
    | { kind: "neverFits"; detail: string; }
    /** The idempotency key was used for a different job. */
    | { kind: "keyReused"; detail: string; }
    /** The platform could not be reached; the job is not stored and will not be. */
    | { kind: "unavailable"; detail: string; }
    /** The platform did not answer; the job may have been stored. */
    | { kind: "unknown"; detail: string; };

/** Dependencies of {@link submitJob}. */
export interface SubmitContext {
    state: StateTable;
    snapshot: Snapshot;
    /** All workers; a shape is accepted unchecked while the list is empty or unknown. */
    fleet: readonly WorkerFacts[] | undefined;
    accept(submission: JobSubmission): Promise<AcceptResult>;
    /** Time of acceptance, since the Unix epoch. */
    wallClockMs: number;
}

/** Failed runs of a task at which its job fails: up to two failures may be the worker's fault. */
const maxAttempts = 3;
/** Completion objective of a job without a deadline, as a multiple of its declared run time. */
const slackFactorByUrgency: Record<Urgency, number> = {
    [Urgency.Urgent]: 2,
    [Urgency.Normal]: 4,
    [Urgency.MayWait]: 20,
};

/** Builds the submission of a job that runs with the given urgency. */
export const buildSubmission = (
    id: string,
    request: JobRequest,
    urgency: Urgency,
    acceptedAtMs: number,
): JobSubmission => ({
    id,
    queue: request.service,
    service: workerPool,
    customer: request.customer,
    priority: priorityOf[urgency],
    maxAttempts,
    slackFactor: request.deadlineMs === undefined ? slackFactorByUrgency[urgency] : 0,
    targetLatencyMs: request.deadlineMs ?? 0,
    spec: JSON.stringify(request.work ?? {}),
    steps: [stepOf(request.shape, request.declaredRunTimeMs, request.checkpointable)],
    repeatCount: 0,
    startAtMs: 0,
    intervalMs: 0,
    acceptedAtMs,
});

/** Fields in which a repeated submission must equal the stored one; as JSON, which drops undefined properties. */
const comparedFields = ({ customer, queue, steps }: JobSubmission): unknown =>
    JSON.parse(JSON.stringify([customer, queue, steps]));

/** Id of a job, derived from the idempotency key so that a repeated submission finds the job; random without a key. */
export const jobIdOf = (customer: string, key: string | undefined): string => `${customer}.${key ?? randomUUID()}`;

const findRejection = (request: JobRequest, { snapshot, fleet }: SubmitContext): SubmitError | undefined => {
    const { customer, shape } = request;
    if (!isKnownCustomer(snapshot, customer)) {
        return { kind: "unknownCustomer", detail: `no statement names the customer "${customer}"` };
    }
    if (shape.taskCount * shape.acceleratorsPerTask > maxAcceleratorsOf(snapshot, customer)) {
        return { kind: "neverFits", detail: "the shape is larger than the customer's limit" };
    }
    const step = stepOf(shape, request.declaredRunTimeMs, request.checkpointable);
    return fleet === undefined || fleet.length === 0 || fitsEmptyFleet(step, fleet)
        ? undefined
        : { kind: "neverFits", detail: "no set of workers that is close enough together has room for the shape" };
};

/** Returns the stored job if it equals the submitted one, else `keyReused`. */
const matchStored = (stored: StoredJob, submission: JobSubmission): Result<StoredJob, SubmitError> =>
    stored.submission !== undefined && isDeepStrictEqual(comparedFields(stored.submission), comparedFields(submission))
        ? succeed(stored)
        : fail({ kind: "keyReused", detail: "the key was used for a different job" });

/** Stores a job; a repeated key returns the job that was stored first. */
export const submitJob = async (
    context: SubmitContext,
    request: JobRequest,
    key: string | undefined,
): Promise<Result<StoredJob, SubmitError>> => {
    const { customer, service } = request;
    const urgency = jobsSettingOf(context.snapshot, customer, service)?.value.urgency ?? Urgency.Normal;
    const submission = buildSubmission(jobIdOf(customer, key), request, urgency, context.wallClockMs);
    const rejection = findRejection(request, context);
    if (rejection !== undefined) {
        // an earlier submission with this key may have been accepted, before the limits or the list of workers changed
        const existing = await readJob(context.state, submission.id);
        if (existing === "unavailable" && key !== undefined) {
            return fail({ kind: "unknown", detail: "the job could not be looked up; submit again with the same key" });
        }
        return existing === "unavailable" || existing?.submission === undefined
            ? fail(rejection)
            : matchStored(existing, submission);
    }
    switch ((await context.accept(submission)).acceptance) {
        case Acceptance.NotRun:
            return fail({ kind: "unavailable", detail: "neither the platform nor a peer with access answers" });
        case Acceptance.Unknown:
            return fail({ kind: "unknown", detail: "the write got no answer; submit again with the same key" });
        case Acceptance.Accepted:
            break;
    }
    const stored = await readJob(context.state, submission.id);
    return stored === "unavailable" || stored?.submission === undefined
        ? fail({ kind: "unknown", detail: "the job could not be read back" })
        : matchStored(stored, submission);
};
