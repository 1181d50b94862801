import type { ErrorObject } from "ajv";
import { validateIntent, validateJobRequest } from "../generated/checks.js";
import type { Validate } from "../generated/checks.js";

/** One thing wrong with a value, with the place inside it. */
export interface SchemaProblem {
    /** Field names and indexes from the root of the value. */
    path: (string | number)[];
    /** What was expected, for people. */
    expected: string;
}

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

/** Creates a check from generated code. */
export const createCheck = (validate: Validate): Check => value => {
    if (validate(value)) {
        return [];
    }
    return (validate.errors ?? []).filter(isDetail).map(error => ({
        path: toPath(error),
        expected: toExpectation(error),
    }));
};

/** Checks one statement of intent. */
export const checkIntent = createCheck(validateIntent);

/** Checks a submitted job. */
export const checkJobRequest = createCheck(validateJobRequest);

/** Renders a problem as `field: expectation`. */
export const describeProblem = (problem: SchemaProblem): string =>
    `${problem.path.length === 0 ? "the value" : problem.path.join(".")}: ${problem.expected}`;
