import { randomUUID } from "node:crypto";
import { isDeepStrictEqual } from "node:util";
import { priorityOf } from "../../configuration/queries/queueConfiguration.js";
import { isKnownCustomer, jobsSettingOf, maxAcceleratorsOf } from "../../configuration/queries/settings.js";
import { stepOf } from "../../configuration/queries/shapeStep.js";
import { Urgency } from "../../configuration/types.js";
import type { Shape, Snapshot } from "../../configuration/types.js";
import { fitsSomewhere } from "../../planning/emptyFleet.js";
import type { StateTable } from "../../state/types.js";
import { fail, succeed } from "../../utils/result.js";
import type { Result } from "../../utils/result.js";
import { workerPool } from "../../workers/directory.js";
import type { WorkerFacts } from "../../workers/types.js";
import type { JobEntry } from "../book.js";
import { readJob } from "../queries/readJob.js";
import type { JobSubmission } from "../types.js";
import { Acceptance } from "./acceptJob.js";

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

/** What a submission needs. */
export interface SubmitContext {
    state: StateTable;
    snapshot: Snapshot;
    /** The workers, as far as they are known. */
    fleet: readonly WorkerFacts[] | undefined;
    accept(submission: JobSubmission): Promise<Acceptance>;
    wallClockMs: number;
}

/** Runs that may fail before a job fails: two can be a worker's fault. */
const maxAttempts = 3;
/** Times its run time within which a job should be complete, when it names no deadline. */
const slackFactor: Record<Urgency, number> = { [Urgency.Urgent]: 2, [Urgency.Normal]: 4, [Urgency.MayWait]: 20 };

/** Builds the submission of a job whose statement gives it an urgency. */
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
    slackFactor: request.deadlineMs === undefined ? slackFactor[urgency] : 0,
    targetLatencyMs: request.deadlineMs ?? 0,
    spec: JSON.stringify(request.work ?? {}),
    steps: [stepOf(request.shape, request.declaredRunTimeMs, request.checkpointable)],
    repeatCount: 0,
    startAtMs: 0,
    intervalMs: 0,
    acceptedAtMs,
});

const identityOf = ({ customer, queue, steps }: JobSubmission): unknown =>
    JSON.parse(JSON.stringify([customer, queue, steps]));

/** Identifier of a job: derived from the key, so that a repeated submission finds the first. */
export const jobIdOf = (customer: string, key: string | undefined): string => `${customer}.${key ?? randomUUID()}`;

const findProblem = (request: JobRequest, { snapshot, fleet }: SubmitContext): SubmitError | undefined => {
    const { customer, shape } = request;
    if (!isKnownCustomer(snapshot, customer)) {
        return { kind: "unknownCustomer", detail: `no statement names the customer "${customer}"` };
    }
    if (shape.taskCount * shape.acceleratorsPerTask > maxAcceleratorsOf(snapshot, customer)) {
        return { kind: "neverFits", detail: "the shape is larger than the customer's limit" };
    }
    const step = stepOf(shape, request.declaredRunTimeMs, request.checkpointable);
    return fleet === undefined || fleet.length === 0 || fitsSomewhere(step, fleet)
        ? undefined
        : { kind: "neverFits", detail: "no set of workers that is close enough together has room for the shape" };
};

/** The stored job, if it is the same as the submitted one. */
const compareStored = (stored: JobEntry, submission: JobSubmission): Result<JobEntry, SubmitError> =>
    stored.submission !== undefined && isDeepStrictEqual(identityOf(stored.submission), identityOf(submission))
        ? succeed(stored)
        : fail({ kind: "keyReused", detail: "the key was used for a different job" });

/** Records a job; a repeated key answers with the first job. */
export const submitJob = async (
    context: SubmitContext,
    request: JobRequest,
    key: string | undefined,
): Promise<Result<JobEntry, SubmitError>> => {
    const { customer, service } = request;
    const urgency = jobsSettingOf(context.snapshot, customer, service)?.value.urgency ?? Urgency.Normal;
    const submission = buildSubmission(jobIdOf(customer, key), request, urgency, context.wallClockMs);
    const problem = findProblem(request, context);
    if (problem !== undefined) {
        // a job that was accepted while there was room for it may be running
        const known = await readJob(context.state, submission.id);
        if (known === "unavailable" && key !== undefined) {
            return fail({ kind: "unknown", detail: "the job could not be looked up; submit again with the same key" });
        }
        return known === "unavailable" || known?.submission === undefined
            ? fail(problem)
            : compareStored(known, submission);
    }
    switch (await context.accept(submission)) {
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
        : compareStored(stored, submission);
};
