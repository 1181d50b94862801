import { readFile } from "node:fs/promises";
import { createCheck, describeProblem } from "../configuration/schema.js";
import type { Check } from "../configuration/schema.js";
import { validateRouterSettings, validateSchedulerSettings } from "../generated/checks.js";
import { parseJsonWithComments } from "../utils/jsonWithComments.js";
import { fail, succeed } from "../utils/result.js";
import type { Result } from "../utils/result.js";

/** Settings that every daemon has. */
export interface DaemonSettings {
    /** Name of the entry VM. */
    vm: string;
    availabilityZone: string;
    /** Address for callers and operators. */
    http: { host: string; port: number; };
    /** Address for peers. */
    peer: { host: string; port: number; };
    platformAddress: string;
    /** Peers known before the platform's list was read, by name of the VM. @default {} */
    peerSeeds: Record<string, string>;
    /** StatsD address for metrics. @default no metrics are sent */
    metrics?: { host: string; port: number; };
    /** Time between heartbeats to a peer. @default 1000 */
    heartbeatMs: number;
    /** Time between reads of the configuration's version. @default 500 */
    pollMs: number;
    /** Lowest level that is logged: debug, info, warn or error. @default "info" */
    logLevel: string;
}

/** Settings of the scheduler daemon. */
export interface SchedulerSettings extends DaemonSettings {
    /** Longest lease that workers grant; tasks stop this long after their last renewal. @default 6000 */
    taskLeaseMs: number;
}

/** Settings of the router daemon. */
export interface RouterSettings extends DaemonSettings {
    /** Connections to one endpoint at most. @default 8 */
    connectionsPerEndpoint: number;
    /** Calls that wait at most. @default 256 */
    maxQueued: number;
    /** Time that a stop waits for calls in progress. @default 20000 */
    drainMs: number;
}

/** Why settings could not be used. */
export interface SettingsError {
    file: string;
    problems: string[];
}

/** Checks the scheduler daemon's settings. */
export const checkSchedulerSettings = createCheck(validateSchedulerSettings);

/** Checks the router daemon's settings. */
export const checkRouterSettings = createCheck(validateRouterSettings);

/** Reads and checks a settings file; unknown fields are errors. */
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
