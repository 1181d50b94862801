import type { ErrorObject } from "ajv";
import { validateIntent, validateJobRequest } from "../generated/checks.js";
import type { Validate } from "../generated/checks.js";

/** A violation of a schema and its position in the value. */
export interface SchemaProblem {
    /** Field names and array indexes from the root of the value. */
    path: (string | number)[];
    /** What was expected, as text for people. */
    expected: string;
}

const toPath = (error: ErrorObject): (string | number)[] => {
    const path = error.instancePath.split("/").slice(1).map(part => /^\d+$/.test(part) ? Number(part) : part);
    const unknownField = (error.params as { additionalProperty?: string; }).additionalProperty;
    return unknownField === undefined ? path : [...path, unknownField];
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

/** Leaves out the errors of the branches of `anyOf`; its own error lists the alternatives. */
const isReported = (error: ErrorObject): boolean => error.keyword !== "required" || !error.schemaPath.includes("anyOf");

/** Validates a value, fills in the schema's defaults in place and returns the violations; empty if valid. */
export type Check = (value: unknown) => SchemaProblem[];

/** Creates a check from a generated validation function. */
export const createCheck = (validate: Validate): Check => value => {
    if (validate(value)) {
        return [];
    }
    return (validate.errors ?? []).filter(isReported).map(error => ({
        path: toPath(error),
        expected: toExpectation(error),
    }));
};

/** Checks one statement of intent against its schema. */
export const checkIntent = createCheck(validateIntent);

/** Checks a submitted job against its schema. */
export const checkJobRequest = createCheck(validateJobRequest);

/** Formats a problem as `field: expectation`. */
export const describeProblem = (problem: SchemaProblem): string =>
    `${problem.path.length === 0 ? "the value" : problem.path.join(".")}: ${problem.expected}`;
