/** JSON schemas of the daemons' settings; `tools/generateChecks.ts` generates validators from them. */

const port = { type: "integer", minimum: 0, maximum: 65_535 };
const address = {
    type: "object",
    additionalProperties: false,
    required: ["host", "port"],
    properties: { host: { type: "string" }, port },
};
const durationMs = (defaultMs: number): object => ({
    type: "integer",
    minimum: 1,
    maximum: 3_600_000,
    default: defaultMs,
});
const count = (defaultCount: number): object => ({
    type: "integer",
    minimum: 1,
    maximum: 1_000_000,
    default: defaultCount,
});

const daemonProperties = {
    vm: { type: "string", minLength: 1 },
    availabilityZone: { type: "string", minLength: 1 },
    http: address,
    peer: address,
    platformAddress: { type: "string", pattern: "^http://" },
    peerSeeds: { type: "object", additionalProperties: { type: "string" }, default: {} },
    metrics: address,
    heartbeatMs: durationMs(1_000),
    pollMs: durationMs(500),
    logLevel: { enum: ["debug", "info", "warn", "error"], default: "info" },
};

const settingsSchema = (properties: object): object => ({
    type: "object",
    additionalProperties: false,
    required: ["vm", "availabilityZone", "http", "peer", "platformAddress"],
    properties: { ...daemonProperties, ...properties },
});

/** JSON schema of the scheduler daemon's settings. */
export const schedulerSettingsSchema = settingsSchema({
    taskLeaseMs: durationMs(6_000),
});

/** JSON schema of the router daemon's settings. */
export const routerSettingsSchema = settingsSchema({
    connectionsPerEndpoint: count(8),
    maxQueued: count(256),
    drainMs: durationMs(20_000),
});
