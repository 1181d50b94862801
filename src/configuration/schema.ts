import type { ErrorObject, ValidateFunction } from "ajv";
import { Adjacency, Urgency } from "./types.js";

/** One thing wrong with a value, with the place inside it. */
export interface SchemaProblem {
    /** Field names and indexes from the root of the value. */
    path: (string | number)[];
    /** What was expected, for people. */
    expected: string;
}

const name = { type: "string", pattern: "^[a-z0-9][a-z0-9-]{0,62}$" };
const text = { type: "string", minLength: 1 };
const whole = (minimum: number, maximum: number): object => ({ type: "integer", minimum, maximum });

const maxDeadlineMs = 600_000;

const shapeSchema = {
    type: "object",
    additionalProperties: false,
    required: ["taskCount", "acceleratorsPerTask", "adjacency"],
    properties: {
        taskCount: whole(1, 4_096),
        acceleratorsPerTask: whole(0, 64),
        coresPerTask: { ...whole(0, 1_024), default: 1 },
        memoryGbPerTask: { ...whole(0, 4_096), default: 1 },
        adjacency: { enum: Object.values(Adjacency) },
    },
};

const intentSchema = {
    type: "object",
    additionalProperties: false,
    required: ["name", "owner", "reason"],
    properties: {
        name,
        owner: text,
        reason: text,
        customer: name,
        service: name,
        calls: {
            type: "object",
            additionalProperties: false,
            required: ["urgency", "deadlineMs"],
            properties: {
                urgency: { enum: Object.values(Urgency) },
                deadlineMs: whole(1, maxDeadlineMs),
                atMostOnce: { type: "boolean", default: false },
                maxInFlight: { ...whole(1, 10_000), default: 64 },
            },
        },
        jobs: {
            type: "object",
            additionalProperties: false,
            required: ["urgency"],
            properties: { urgency: { enum: Object.values(Urgency) }, maxAccelerators: whole(1, 1_000_000) },
        },
        guarantee: {
            type: "object",
            additionalProperties: false,
            required: ["shape"],
            properties: {
                shape: shapeSchema,
                count: { ...whole(1, 1_000), default: 1 },
                holdsWithZoneOut: { type: "boolean", default: false },
            },
        },
        availabilityZonesOut: { type: "array", items: name, uniqueItems: true },
    },
    dependentRequired: { calls: ["customer", "service"], jobs: ["customer", "service"], guarantee: ["customer"] },
    anyOf: ["calls", "jobs", "guarantee", "availabilityZonesOut"].map(field => ({ required: [field] })),
};

const jobRequestSchema = {
    type: "object",
    additionalProperties: false,
    required: ["customer", "service", "shape", "declaredRunTimeMs"],
    properties: {
        customer: name,
        service: name,
        shape: shapeSchema,
        declaredRunTimeMs: whole(1, 31_536_000_000),
        checkpointable: { type: "boolean", default: false },
        deadlineMs: whole(1, 31_536_000_000),
        work: {},
    },
};

const toPath = (error: ErrorObject): (string | number)[] => {
    const path = error.instancePath.split("/").slice(1).map(part => /^\d+$/.test(part) ? Number(part) : part);
    const extra = (error.params as { additionalProperty?: string; }).additionalProperty;
    return extra === undefined ? path : [...path, extra];
};

const toExpectation = (error: ErrorObject): string => {
    const parameters = error.params as Record<string, unknown>;
    switch (error.keyword) {
        case "additionalProperties":
            return "is not a known field";
        case "required":
        case "dependentRequired":
            return `needs the field "${String(parameters.missingProperty)}"`;
        case "enum":
            return `must be one of ${(parameters.allowedValues as string[]).join(", ")}`;
        case "anyOf":
            return "needs at least one of calls, jobs, guarantee, availabilityZonesOut";
        default:
            return error.message ?? "is wrong";
    }
};

const isDetail = (error: ErrorObject): boolean => error.keyword !== "required" || !error.schemaPath.includes("anyOf");

/** Checks a value, fills in defaults and lists what is wrong with it. */
export type Check = (value: unknown) => SchemaProblem[];

const createCheck = (validate: ValidateFunction): Check => value => {
    if (validate(value)) {
        return [];
    }
    return (validate.errors ?? []).filter(isDetail).map(error => ({
        path: toPath(error),
        expected: toExpectation(error),
    }));
};

/** Compiles a check from a JSON schema; loads the schema library on first use. */
export const compileCheck = async (schema: object): Promise<Check> => {
    const library = await import("ajv/dist/2019.js");
    const ajv = new library.Ajv2019({ allErrors: true, useDefaults: true, strictTypes: false, strictRequired: false });
    return createCheck(ajv.compile(schema));
};

const compileOnce = (schema: object): () => Promise<Check> => {
    let compiled: Promise<Check> | undefined;
    return () => compiled ??= compileCheck(schema);
};

/** Compiles the check of one statement of intent on first use. */
export const compileIntentCheck = compileOnce(intentSchema);

/** Compiles the check of a submitted job on first use. */
export const compileJobRequestCheck = compileOnce(jobRequestSchema);

/** Renders a problem as `field: expectation`. */
export const describeProblem = (problem: SchemaProblem): string =>
    `${problem.path.length === 0 ? "the value" : problem.path.join(".")}: ${problem.expected}`;
