import { Ajv } from "ajv";
import type { JSONSchemaType } from "ajv";
import { readFileSync } from "node:fs";
import { parseJsonWithComments } from "../../src/utils/jsonWithComments.js";
import { fail, succeed } from "../../src/utils/result.js";
import type { Result } from "../../src/utils/result.js";
import { FaultKind } from "./types.js";
import type { Load } from "./types.js";

const range = {
    type: "array",
    minItems: 2,
    maxItems: 2,
    items: [{ type: "number", minimum: 0 }, { type: "number", minimum: 0 }],
} as const;
const share = { type: "number", minimum: 0, maximum: 1, nullable: true } as const;
const time = { type: "number", minimum: 0 } as const;
const flag = { type: "boolean", nullable: true } as const;

const schema = {
    type: "object",
    additionalProperties: false,
    required: ["racks", "workersPerRack", "durationMs", "streams", "faults"],
    properties: {
        racks: { type: "integer", minimum: 1 },
        workersPerRack: { type: "integer", minimum: 1 },
        slowWorkers: {
            type: "object",
            nullable: true,
            additionalProperties: false,
            required: ["share", "speed"],
            properties: {
                share: { type: "number", minimum: 0, maximum: 1 },
                speed: { type: "number", exclusiveMinimum: 0 },
            },
        },
        vms: { type: "integer", minimum: 1, nullable: true },
        durationMs: time,
        streams: {
            type: "array",
            items: {
                type: "object",
                additionalProperties: false,
                required: [
                    "name",
                    "priority",
                    "fromMs",
                    "untilMs",
                    "meanGapMs",
                    "taskCount",
                    "acceleratorsPerTask",
                    "runTimeMs",
                    "slackFactor",
                    "targetLatencyMs",
                    "value",
                    "lateValue",
                ],
                properties: {
                    name: { type: "string" },
                    priority: { type: "integer", minimum: 0 },
                    customer: { type: "string", nullable: true },
                    fromMs: time,
                    untilMs: time,
                    meanGapMs: { type: "number", exclusiveMinimum: 0 },
                    taskCount: range,
                    acceleratorsPerTask: range,
                    runTimeMs: range,
                    estimateError: share,
                    unevenShare: share,
                    gang: flag,
                    sameRack: flag,
                    checkpointShare: share,
                    failShare: share,
                    cancelShare: share,
                    slackFactor: time,
                    targetLatencyMs: time,
                    value: time,
                    lateValue: time,
                },
            },
        },
        faults: {
            type: "array",
            items: {
                type: "object",
                additionalProperties: false,
                required: ["kind", "atMs", "forMs"],
                properties: {
                    kind: { type: "string", enum: Object.values(FaultKind) },
                    atMs: time,
                    forMs: time,
                    count: { type: "integer", minimum: 1, nullable: true },
                },
            },
        },
    },
} as const;

const check = new Ajv({ strictTuples: false, allErrors: true }).compile<Load>(
    schema as unknown as JSONSchemaType<Load>,
);

/** Reads a load from a file of JSON with comments; the error names the file, the line and what is wrong. */
export const readLoad = (file: string): Result<Load, string> => {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (error) {
        return fail(`${file}: cannot be read: ${(error as Error).message}`);
    }
    const parsed = parseJsonWithComments(text);
    if (!parsed.ok) {
        return fail(`${file}:${parsed.error.line}: ${parsed.error.detail}`);
    }
    const { value, lineOf } = parsed.value;
    if (check(value)) {
        return succeed(value);
    }
    const problems = (check.errors ?? []).map(({ instancePath, message, params }) => {
        const parts = instancePath.split("/").slice(1).map(part => /^\d+$/.test(part) ? Number(part) : part);
        const { additionalProperty } = params as { additionalProperty?: string; };
        const path = additionalProperty === undefined ? parts : [...parts, additionalProperty];
        return `${file}:${lineOf(path)}: ${instancePath || "the load"} ${message ?? ""} ${JSON.stringify(params)}`;
    });
    return fail(problems.join("\n"));
};
