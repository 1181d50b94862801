/** JSON schemas of what operators and submitters write; checks are generated from them. */
import { Adjacency, Urgency } from "./types.js";

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

/** Schema of one statement of intent. */
export const intentSchema = {
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

/** Schema of a submitted job. */
export const jobRequestSchema = {
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
