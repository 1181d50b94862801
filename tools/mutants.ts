/** Mechanisms that can be switched off in a scratch copy of the build, each with the test that must fail without it. */
import { cpSync, mkdtempSync, readFileSync, symlinkSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

/** A change of compiled code that disables a mechanism. */
export interface Mutant {
    /** Mechanism that the mutant disables; arguments of the tool filter by it. */
    without: string;
    /** Compiled file below `src`. */
    file: string;
    /** Code to replace; every occurrence in the file is replaced. */
    find: string;
    replace: string;
    /** Part of the name of the test file to run. */
    tests: string;
    /** Part of the title of a test that must fail. */
    fails: string;
}

const mutants: Mutant[] = [
    {
        without: "reservations that do not overlap",
        file: "planning/emptyFleet.js",
        find: "allocate(workersById, gang, workerIds);",
        replace: "",
        tests: "guarantees",
        fails: "have reservations that share no accelerator",
    },
    {
        without: "keeping a reservation in use while one of its workers does not answer",
        file: "planning/reservations.js",
        find: "(allUsable || previous.running.has(gang.name))",
        replace: "allUsable",
        tests: "guarantees",
        fails: "keep the reservation of a running job",
    },
    {
        without: "restoring reservations from the records under a new planner",
        file: "execution/guarantees.js",
        find: "previous.reservations.size === 0 ? restoreReservations(context) : previous",
        replace: "previous",
        tests: "test/planner",
        fails: "restores after a change of planner",
    },
    {
        without: "reclaiming a guarantee on its reservation",
        file: "planning/preemption.js",
        find: "candidate.reservedWorkers !== undefined",
        replace: "false",
        tests: "guarantees",
        fails: "can be reclaimed after every step",
    },
    {
        without: "claimed guarantees before other claims",
        file: "planning/round.js",
        find: "allocateClaims(true);",
        replace: "allocateClaims(true); allocateClaims(false);",
        tests: "guarantees",
        fails: "are not delayed by claims of borrowers",
    },
    {
        without: "protecting guaranteed work from preemption",
        file: "planning/preemption.js",
        find: "!occupant.guaranteed && ",
        replace: "",
        tests: "planning",
        fails: "preempts work of the same priority only",
    },
    {
        without: "abandoning a placement that took too long to record",
        file: "execution/runStarter.js",
        find: "context.timer.nowMs() - plannedAtMs > maxPlacementAgeMs",
        replace: "false",
        tests: "test/gangs",
        fails: "do not start when recording their placement took too long",
    },
    {
        without: "checking the operator state again before a start",
        file: "execution/runStarter.js",
        find: "|| evacuatedZones.has(worker.descriptor.availabilityZone)",
        replace: "",
        tests: "test/planner",
        fails: "abandons a placement when its zone is evacuated",
    },
    {
        without: "customers' limits",
        file: "execution/roundInput.js",
        find: "withinLimits(context, candidates)",
        replace: "candidates",
        tests: "test/planner",
        fails: "keeps a customer within its limit",
    },
    {
        without: "checking the request id of every answer",
        file: "routing/connections.js",
        find: "reply.headers[\"request-id\"] !== request.requestId || body.requestId !== request.requestId",
        replace: "false",
        tests: "connections",
        fails: "reject an answer that belongs to another request",
    },
    {
        without: "closing a connection after an invalid answer",
        file: "routing/connections.js",
        find: "discard(client);\n                return { attempt, leaving: false };",
        replace: "release(client);\n                return { attempt, leaving: false };",
        tests: "connections",
        fails: "is truncated, and close the connection",
    },
    {
        without: "fencing a request before its call is answered as not run",
        file: "routing/commands/runCall.js",
        find: "await endpoint.connections.fence(requestId, fenceTimeoutMs)",
        replace: "FenceState.NeverRan",
        tests: "calls",
        fails: "runs at most once when requests, answers and commits are lost",
    },
    {
        without: "recording that an attempt may have run",
        file: "routing/commands/runCall.js",
        find: "progress.mayHaveRun = true;",
        replace: "",
        tests: "calls",
        fails: "is \"not run\" only if it did not run",
    },
    {
        without: "one recorded attempt per key",
        file: "routing/attemptRecord.js",
        find: "conditions: [{ key, version: rowVersion }]",
        replace: "conditions: []",
        tests: "calls",
        fails: "runs at most once when requests, answers and commits are lost",
    },
    {
        without: "treating an endpoint as leaving for the rest of its incarnation",
        file: "routing/endpoints.js",
        find: "known.leaving ||= vm.incarnation",
        replace: "known.leaving = vm.incarnation",
        tests: "endpoints",
        fails: "remain so when an older list says live",
    },
    {
        without: "marking an endpoint as leaving when its reply says so",
        file: "routing/commands/runCall.js",
        find: "if (reply.leaving) {",
        replace: "if (false) {",
        tests: "processes",
        fails: "stop calls to an endpoint that reports that it is leaving",
    },
    {
        without: "detecting that the process was paused",
        file: "utils/pauseDetector.js",
        find: "isStale: () => refreshing || wasPaused()",
        replace: "isStale: () => false",
        tests: "processes",
        fails: "started to leave while the router process was paused",
    },
    {
        without: "completing calls in progress before a stop",
        file: "utils/http.js",
        find: "server.close(() => resolve());",
        replace: "server.close(() => resolve()); server.closeAllConnections();",
        tests: "processes",
        fails: "finish every call in progress when a router is stopped",
    },
    {
        without: "ignoring snapshots older than the current one",
        file: "configuration/follower.js",
        find: "snapshot.version <= current.version",
        replace: "snapshot.version === current.version",
        tests: "configuration",
        fails: "never goes back",
    },
    {
        without: "refusing a publish that conflicts with accepted statements",
        file: "configuration/commands/publish.js",
        find: "conflicts.length > 0",
        replace: "false",
        tests: "configuration",
        fails: "refuses to undo another operator's statement",
    },
    {
        without: "publishing by compare-and-set",
        file: "configuration/commands/publish.js",
        find: "conditions: [{ key: currentVersionKey, version: rowVersion }]",
        replace: "conditions: []",
        tests: "configuration",
        fails: "accepts one of two publishes that race",
    },
    {
        without: "fetching the newest snapshot from peers before serving requests",
        file: "node/scheduler.js",
        find: ", peers.catchUp()",
        replace: "",
        tests: "processes",
        fails: "adopt the highest version from peers",
    },
    {
        without: "on entry VMs: sending no lease renewals to a worker that does not answer",
        file: "execution/session.js",
        find: "contact.silentMs() === 0 && ",
        replace: "",
        tests: "entryVm",
        fails: "that is removed loses its tasks",
    },
    {
        without: "on entry VMs: allowing a takeover on a copy of an unchanged table",
        file: "execution/plannerElection.js",
        find: "maxLeaseRowAgeMs = 1_700",
        replace: "maxLeaseRowAgeMs = 1_200",
        tests: "entryVm",
        fails: "is replaced within 3 s when it is killed",
    },
    {
        without: "on entry VMs: releasing the term when the planner steps down",
        file: "execution/plannerElection.js",
        find: "writeReleasedLease(state, held, asLease(leaseRow)?.pending)",
        replace:
            "writeLease(state, held.version, { holder: vm, term: held.term, beat: held.beat + 1, pending: asLease(leaseRow)?.pending })",
        tests: "entryVm",
        fails: "hands its term over when it steps down",
    },
    {
        without: "on entry VMs: waiting until a lease has certainly expired",
        file: "execution/workerLease.js",
        find: "(sentUntilClockMs - clock.clockMs) * slowClockFactor",
        replace: "(sentUntilClockMs - clock.clockMs) * 0.5",
        tests: "entryVm",
        fails: "that is unreachable but still runs keeps its tasks",
    },
    {
        without: "on entry VMs: reporting an unknown outcome for a submission whose write got no answer",
        file: "jobs/commands/acceptJob.js",
        find: "mayHaveArrived ||= written.error.kind === StateErrorKind.NoAnswer;",
        replace: "",
        tests: "entryVm",
        fails: "is not reported as refused while a write",
    },
    {
        without: "on entry VMs: refusing records written under an earlier term",
        file: "execution/recorder.js",
        find: "{ table: progressTable, key: termKey, version: options.termVersions.get(part) ?? 0 },",
        replace: "",
        tests: "interleavings",
        fails: "under every choice of two faults",
    },
    {
        without: "on entry VMs: a fencing token that increases with the term",
        file: "execution/workerSessions.js",
        find: "fencingToken: context.term",
        replace: "fencingToken: 1",
        tests: "interleavings",
        fails: "under every choice of two faults",
    },
    {
        without: "on entry VMs: stopping a run whose start order got no answer",
        file: "execution/reportHandler.js",
        find: "runStopper.stop(task, run, \"it is not known whether it started\")",
        replace: "abandonRun(task, run, \"in doubt\")",
        tests: "interleavings",
        fails: "under every choice of two faults",
    },
    {
        without: "on entry VMs: waiting for leases to expire before tasks are started again",
        file: "execution/workerLease.js",
        find: "Math.max(earlierExpiryMs, ownExpiryMs)",
        replace: "0",
        tests: "interleavings",
        fails: "under every choice of two faults",
    },
    {
        without: "on entry VMs: headroom of whole workers for urgent bursts",
        file: "planning/round.js",
        find: "reserveUrgentHeadroom(input.workers, input.urgentHeadroom);",
        replace: "",
        tests: "planning",
        fails: "is reserved after a first burst",
    },
    {
        without: "on entry VMs: handing the term over to a stronger VM",
        file: "node/entryVm.js",
        find: "options.relativePower() < minPlannerPower",
        replace: "false",
        tests: "planningVm",
        fails: "hands the term over to a stronger VM",
    },
    {
        without: "on entry VMs: a stall timeout that grows with the declared time",
        file: "execution/runMonitor.js",
        find: "step.estimateMs * stallShare",
        replace: "0",
        tests: "entryVm",
        fails: "keeps a long task whose reported progress",
    },
    {
        without: "on entry VMs: not evacuating runs that save no checkpoints",
        file: "execution/runMonitor.js",
        find: "!isResumable(task, run, context.timer.nowMs())",
        replace: "!task.unit.step.checkpointing",
        tests: "planner",
        fails: "lets runs that declare checkpoints and have saved none",
    },
    {
        without: "on entry VMs: checking a backlog of similar work once",
        file: "planning/round.js",
        find: "if (!unplaceable.has(candidate)) {",
        replace: "if (true) {",
        tests: "planning",
        fails: "checks a backlog of similar work once",
    },
    {
        without: "preempting in proportion to the work that is lost",
        file: "planning/preemption.js",
        find: "totalCost(plan) <= workOf(candidate) * maxLostWorkFactor",
        replace: "true",
        tests: "test/planning",
        fails: "does not lose much more work for an urgent job",
    },
    {
        without: "waiting out the leases of earlier planners after a worker's first answer",
        file: "execution/workerLease.js",
        find: "earlierExpiryMs = Math.min(earlierExpiryMs, latestExpiryMs)",
        replace: "earlierExpiryMs = Number.NEGATIVE_INFINITY",
        tests: "workerLease",
        fails: "is assumed to last as long as an earlier planner may have granted",
    },
    {
        without: "a lease that outlasts a partition of some seconds",
        file: "execution/workerSessions.js",
        find: "const leaseMs = 8_000",
        replace: "const leaseMs = 5_000",
        tests: "workerLease",
        fails: "completes its runs, which are neither given up nor started elsewhere",
    },
    {
        without: "a limit of hedged operations at a time",
        file: "state/hedgeSlots.js",
        find: "freeSlots > 0 && waiting.has(start)",
        replace: "waiting.has(start)",
        tests: "test/relay",
        fails: "repeats few of the operations in progress when the table becomes slow",
    },
    {
        without: "an objective that allows for failed runs",
        file: "execution/roundInput.js",
        find: "submission.slackFactor * unit.failedRunMs",
        replace: "0",
        tests: "entryVm",
        fails: "keeps its place before less urgent work when a run of it has failed",
    },
    {
        without: "hedged operations on the table",
        file: "state/relay.js",
        find: "longPollMsOf(request) + hedgeDelay.delayMs()",
        replace: "60_000",
        tests: "test/relay",
        fails: "writes to every part through a peer well before its own attempt has timed out",
    },
    {
        without: "confirming a local copy at once after an outage",
        file: "state/follower.js",
        find: "reachable ? options.waitMs() : 0",
        replace: "options.waitMs()",
        tests: "test/follower",
        fails: "confirms its copy at once when the table answers again",
    },
];

const root = fileURLToPath(new URL("../..", import.meta.url));

/** Creates a copy of the build in a temporary folder; the caller removes it. */
export const createScratchCopy = (): string => {
    const copy = mkdtempSync(join(tmpdir(), "catkinswitch-failing-"));
    cpSync(join(root, "dist"), join(copy, "dist"), { recursive: true });
    cpSync(join(root, "examples"), join(copy, "examples"), { recursive: true });
    cpSync(join(root, "package.json"), join(copy, "package.json"));
    cpSync(join(root, "KNOWN-RED.txt"), join(copy, "KNOWN-RED.txt"));
    symlinkSync(join(root, "node_modules"), join(copy, "node_modules"));
    return copy;
};

/** Mutants whose mechanism's name contains a text. */
export const findMutants = (text: string): Mutant[] => mutants.filter(mutant => mutant.without.includes(text));

/** Applies a mutant to a copy and returns a function that restores it; throws if the mutant no longer applies. */
export const applyMutant = (copy: string, mutant: Mutant): () => void => {
    const path = join(copy, "dist/src", mutant.file);
    const original = readFileSync(path, "utf8");
    if (!original.includes(mutant.find)) {
        throw new Error(`${mutant.file} does not contain: ${mutant.find}`);
    }
    writeFileSync(path, original.replaceAll(mutant.find, mutant.replace));
    return () => writeFileSync(path, original);
};
