/** JSON schemas of statements of intent and submitted jobs; `npm run generate` compiles them to validation code. */
import { Adjacency, Urgency } from "./types.js";

const name = { type: "string", pattern: "^[a-z0-9][a-z0-9-]{0,62}$" };
const nonEmptyString = { type: "string", minLength: 1 };
const integerBetween = (minimum: number, maximum: number): object => ({ type: "integer", minimum, maximum });

const maxDeadlineMs = 600_000;

const shapeSchema = {
    type: "object",
    additionalProperties: false,
    required: ["taskCount", "acceleratorsPerTask", "adjacency"],
    properties: {
        taskCount: integerBetween(1, 4_096),
        acceleratorsPerTask: integerBetween(0, 64),
        coresPerTask: { ...integerBetween(0, 1_024), default: 1 },
        memoryGbPerTask: { ...integerBetween(0, 4_096), default: 1 },
        adjacency: { enum: Object.values(Adjacency) },
    },
};

/** Schema of one statement of intent. */
export const intentSchema = {
    type: "object",
    additionalProperties: false,
    required: ["name", "owner", "reason"],
    properties: {
        name,
        owner: nonEmptyString,
        reason: nonEmptyString,
        customer: name,
        service: name,
        calls: {
            type: "object",
            additionalProperties: false,
            required: ["urgency", "deadlineMs"],
            properties: {
                urgency: { enum: Object.values(Urgency) },
                deadlineMs: integerBetween(1, maxDeadlineMs),
                atMostOnce: { type: "boolean", default: false },
                maxInFlight: { ...integerBetween(1, 10_000), default: 64 },
            },
        },
        jobs: {
            type: "object",
            additionalProperties: false,
            required: ["urgency"],
            properties: { urgency: { enum: Object.values(Urgency) }, maxAccelerators: integerBetween(1, 1_000_000) },
        },
        guarantee: {
            type: "object",
            additionalProperties: false,
            required: ["shape"],
            properties: {
                shape: shapeSchema,
                count: { ...integerBetween(1, 1_000), default: 1 },
                holdsWithZoneOut: { type: "boolean", default: false },
            },
        },
        availabilityZonesOut: { type: "array", items: name, uniqueItems: true },
    },
    dependentRequired: { calls: ["customer", "service"], jobs: ["customer", "service"], guarantee: ["customer"] },
    anyOf: ["calls", "jobs", "guarantee", "availabilityZonesOut"].map(field => ({ required: [field] })),
};

/** Schema of a submitted job. */
export const jobRequestSchema = {
    type: "object",
    additionalProperties: false,
    required: ["customer", "service", "shape", "declaredRunTimeMs"],
    properties: {
        customer: name,
        service: name,
        shape: shapeSchema,
        declaredRunTimeMs: integerBetween(1, 31_536_000_000),
        checkpointable: { type: "boolean", default: false },
        deadlineMs: integerBetween(1, 31_536_000_000),
        work: {},
    },
};
