import { readFile } from "node:fs/promises";
import { createCheck, describeProblem } from "../configuration/schema.js";
import type { Check } from "../configuration/schema.js";
import { validateRouterSettings, validateSchedulerSettings } from "../generated/checks.js";
import { parseJsonWithComments } from "../utils/jsonWithComments.js";
import { fail, succeed } from "../utils/result.js";
import type { Result } from "../utils/result.js";

/** Settings of both daemons. */
export interface DaemonSettings {
    /** Name of the entry VM. */
    vm: string;
    availabilityZone: string;
    /** Address on which HTTP requests of callers and operators are served. */
    http: { host: string; port: number; };
    /** Address on which gRPC requests of peers are served. */
    peer: { host: string; port: number; };
    platformAddress: string;
    /** Peer addresses by VM name, used until the platform's list of VMs is read. @default {} */
    peerSeeds: Record<string, string>;
    /** Address of the StatsD server. @default no metrics are sent */
    metrics?: { host: string; port: number; };
    /** Interval between heartbeats to a peer. @default 1000 */
    heartbeatMs: number;
    /** Interval between reads of the current configuration version. @default 500 */
    pollMs: number;
    /** Lowest level that is logged: debug, info, warn or error. @default "info" */
    logLevel: string;
}

/** Settings of the scheduler daemon. */
export interface SchedulerSettings extends DaemonSettings {
    /** Longest lease that workers grant; a task stops this long after its last renewal. @default 6000 */
    taskLeaseMs: number;
}

/** Settings of the router daemon. */
export interface RouterSettings extends DaemonSettings {
    /** Maximum number of connections to one endpoint. @default 8 */
    connectionsPerEndpoint: number;
    /** Maximum number of calls in the call queue. @default 256 */
    maxQueued: number;
    /** Maximum time that a stop waits for calls in progress and for writes of their outcomes. @default 20000 */
    drainMs: number;
}

/** Problems of a settings file that could not be read or is invalid. */
export interface SettingsError {
    file: string;
    problems: string[];
}

/** Validates settings of the scheduler daemon and fills in defaults. */
export const checkSchedulerSettings = createCheck(validateSchedulerSettings);

/** Validates settings of the router daemon and fills in defaults. */
export const checkRouterSettings = createCheck(validateRouterSettings);

/** Reads and validates a settings file in JSON with comments; unknown fields are errors. */
export const loadSettings = async <Settings>(
    file: string,
    check: Check,
): Promise<Result<Settings, SettingsError>> => {
    const text = await readFile(file, "utf8").catch((error: unknown) => fail({ file, problems: [String(error)] }));
    if (typeof text !== "string") {
        return text;
    }
    const parsed = parseJsonWithComments(text);
    if (!parsed.ok) {
        return fail({ file, problems: [`line ${parsed.error.line}: ${parsed.error.detail}`] });
    }
    const problems = check(parsed.value.value).map(problem =>
        `line ${parsed.value.lineOf(problem.path)}: ${describeProblem(problem)}`
    );
    return problems.length > 0 ? fail({ file, problems }) : succeed(parsed.value.value as Settings);
};
