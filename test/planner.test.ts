import { assert } from "chai";
import { queueConfigurationOf } from "../src/configuration/queries/queueConfiguration.js";
import { Adjacency, Urgency } from "../src/configuration/types.js";
import type { Snapshot } from "../src/configuration/types.js";
import { Acceptance } from "../src/jobs/commands/acceptJob.js";
import { buildSubmission, submitJob } from "../src/jobs/commands/submitJob.js";
import { JobPhase } from "../src/jobs/types.js";
import type { JobSubmission, Step } from "../src/jobs/types.js";
import type { StateTable } from "../src/state/types.js";
import { StateErrorKind } from "../src/state/types.js";
import { fail, succeed } from "../src/utils/result.js";
import { CallFault, createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet, FleetOptions } from "./fixtures/fleet.js";
import { buildLocatedIntent, buildShape, buildWorkerFacts } from "./fixtures/jobs.js";
import { findViolations } from "./fixtures/violations.js";

const settleMs = 1_000;
/** Required bound on the start of guaranteed and urgent jobs. */
const urgentBoundMs = 2_600;

const snapshot: Snapshot = {
    version: 1,
    publishId: "first",
    publishedBy: "north",
    publishedAtMs: 0,
    statements: [
        { name: "owner", customer: "owner", guarantee: { shape: buildShape(16), count: 2, holdsWithZoneOut: true } },
        {
            name: "borrower",
            customer: "borrower",
            service: "batch",
            jobs: { urgency: Urgency.MayWait, maxAccelerators: 40 },
        },
        { name: "urgent", customer: "owner", service: "urgent", jobs: { urgency: Urgency.Urgent } },
    ].map(intent => ({
        ...buildLocatedIntent(intent).intent,
        provenance: { file: "file", line: 1, changedInVersion: 1, changedBy: "north", changedAtMs: 0 },
    })),
    removed: [],
};

const gangStep = (taskCount: number, overrides: Partial<Step> = {}): Step =>
    createStep({
        taskCount,
        gang: true,
        adjacency: Adjacency.Rack,
        resources: { milliCores: 1_000, memoryMb: 1_000, accelerators: 1 },
        ...overrides,
    });

const gangJob = (
    id: string,
    customer: string,
    taskCount: number,
    workMs: number,
    overrides: Partial<JobSubmission> = {},
) => createSubmission(id, [gangStep(taskCount)], { customer, priority: 2, ...overrides }, { workMs });

/** Creates a fleet with two availability zones of four workers each, configured by the statements of `snapshot`. */
const createStatementFleet = async (options: FleetOptions = {}): Promise<Fleet> => {
    const configuration = queueConfigurationOf(snapshot, 65_536);
    const fleet = createFleet({ workerCount: 0, configuration, ...options });
    for (const zone of ["a", "b"]) {
        for (let index = 0; index < 4; index++) {
            fleet.addWorker(`${zone}-${index}`, `${zone}-rack`, zone);
        }
    }
    fleet.notify();
    await fleet.timer.advance(settleMs);
    return fleet;
};

const runsOf = (fleet: Fleet, jobId: string) => fleet.spans.filter(span => span.task.startsWith(`${jobId}.`));

const phaseOf = async (fleet: Fleet, jobId: string): Promise<unknown> => {
    const phase = [...fleet.vms.values()][0].phase(jobId);
    await fleet.timer.advance(50);
    return phase;
};

describe("the planner with a configuration of statements", () => {
    it("places a gang and reports its end", async () => {
        const fleet = await createStatementFleet();
        await fleet.submit(gangJob("gang", "borrower", 16, 2_000));
        await fleet.timer.advance(1_000);
        assert.equal(await phaseOf(fleet, "gang"), JobPhase.Running);
        assert.lengthOf([...new Set(runsOf(fleet, "gang").map(span => span.worker))], 2);
        await fleet.timer.advance(3_000);
        assert.equal(await phaseOf(fleet, "gang"), JobPhase.Succeeded);
        assert.isTrue(fleet.spans.every(span => span.toMs !== undefined));
    });

    it("starts a guaranteed gang on borrowed accelerators within 2.6 s, even if borrowers save no checkpoints", async () => {
        const fleet = await createStatementFleet();
        for (let index = 0; index < 8; index++) {
            const step = gangStep(8, { checkpointing: index % 2 === 0 });
            await fleet.submit(
                createSubmission(`borrowed-${index}`, [step], { customer: "guest", priority: 0 }, { workMs: 600_000 }),
            );
        }
        await fleet.timer.advance(2_000);
        assert.lengthOf(fleet.spans, 64, "all accelerators are borrowed");
        await fleet.submit(gangJob("guaranteed", "owner", 16, 60_000));
        await fleet.timer.advance(urgentBoundMs);
        const started = runsOf(fleet, "guaranteed");
        assert.lengthOf(started, 16);
        assert.isAtMost(new Set(started.map(span => span.worker)).size, 2);
        assert.lengthOf(
            fleet.spans.filter(span => span.toMs !== undefined),
            16,
            "no more runs were preempted than needed",
        );
    });

    it("restores after a change of planner which jobs run on a guarantee", async () => {
        const fleet = await createStatementFleet();
        fleet.operator.evacuatedZones.add("a");
        fleet.notify();
        await fleet.submit(gangJob("short", "owner", 16, 2_000));
        await fleet.submit(gangJob("kept", "owner", 16, 600_000));
        await fleet.timer.advance(4_000);
        fleet.operator.evacuatedZones.clear();
        ["a-2", "a-3"].forEach(fleet.removeWorker);
        fleet.killVm(fleet.planner() ?? "");
        await fleet.timer.advance(6_000);
        for (let index = 0; index < 3; index++) {
            await fleet.submit(gangJob(`urgent-${index}`, "guest", 16, 600_000, { priority: 0 }));
        }
        await fleet.timer.advance(3_000);
        assert.lengthOf(runsOf(fleet, "kept"), 16);
        assert.isTrue(runsOf(fleet, "kept").every(span => span.toMs === undefined));
    });

    it("keeps a customer within its limit and lets others use the free accelerators", async () => {
        const fleet = await createStatementFleet();
        for (let index = 0; index < 4; index++) {
            await fleet.submit(gangJob(`batch-${index}`, "borrower", 16, 600_000));
        }
        await fleet.timer.advance(3_000);
        assert.lengthOf(runsOf(fleet, "batch-0"), 16);
        assert.lengthOf(runsOf(fleet, "batch-1"), 16);
        assert.isEmpty([...runsOf(fleet, "batch-2"), ...runsOf(fleet, "batch-3")], "at most 40 accelerators");
        await fleet.submit(gangJob("other", "guest", 16, 600_000));
        await fleet.timer.advance(1_000);
        assert.lengthOf(runsOf(fleet, "other"), 16);
    });

    it("starts nothing in an availability zone once it knows that the zone is out of service", async () => {
        const fleet = await createStatementFleet();
        fleet.operator.evacuatedZones.add("a");
        fleet.notify();
        const evacuatedAtMs = fleet.timer.nowMs();
        for (let index = 0; index < 6; index++) {
            await fleet.submit(gangJob(`gang-${index}`, "guest", 8, 1_000));
            await fleet.timer.advance(1_000);
        }
        assert.isNotEmpty(fleet.spans);
        assert.isEmpty(fleet.spans.filter(span => span.worker.startsWith("a-") && span.fromMs > evacuatedAtMs));
    });

    it("moves resumable runs out of an evacuated zone and lets the others finish there", async () => {
        const fleet = await createStatementFleet();
        ["b"].forEach(zone => fleet.operator.evacuatedZones.add(zone));
        fleet.notify();
        await fleet.submit(
            createSubmission("resumable", [gangStep(8, { checkpointing: true })], { customer: "guest" }, {
                workMs: 20_000,
            }),
        );
        await fleet.submit(createSubmission("not-resumable", [gangStep(8)], { customer: "guest" }, { workMs: 20_000 }));
        await fleet.timer.advance(3_000);
        fleet.operator.evacuatedZones.clear();
        fleet.operator.evacuatedZones.add("a");
        fleet.notify();
        await fleet.timer.advance(3_000);
        const zonesOf = (id: string) =>
            new Set(runsOf(fleet, id).filter(span => span.toMs === undefined).map(span => span.worker[0]));
        assert.deepEqual([...zonesOf("resumable")], ["b"]);
        assert.deepEqual([...zonesOf("not-resumable")], ["a"]);
    });

    it("lets runs that declare checkpoints and have saved none finish in an evacuated zone", async () => {
        const fleet = await createStatementFleet({ savesCheckpoints: () => false });
        fleet.operator.evacuatedZones.add("b");
        fleet.notify();
        const step = gangStep(8, { checkpointing: true });
        await fleet.submit(createSubmission("no-checkpoint", [step], { customer: "guest" }, { workMs: 20_000 }));
        await fleet.timer.advance(10_000);
        fleet.operator.evacuatedZones.clear();
        fleet.operator.evacuatedZones.add("a");
        fleet.notify();
        await fleet.timer.advance(12_000);
        assert.lengthOf(runsOf(fleet, "no-checkpoint"), 8, "no run was stopped and started again");
        assert.equal(await phaseOf(fleet, "no-checkpoint"), JobPhase.Succeeded);
    });

    it("abandons a placement when its zone is evacuated while it is being recorded", async () => {
        const fleet = await createStatementFleet();
        let evacuated = false;
        fleet.commitFault = (_vm, { writes }) => {
            if (!evacuated && writes.some(write => write.key.endsWith("/progress"))) {
                evacuated = true;
                ["a", "b"].forEach(zone => fleet.operator.evacuatedZones.add(zone));
            }
            return CallFault.None;
        };
        await fleet.submit(gangJob("gang", "guest", 16, 1_000));
        await fleet.timer.advance(1_000);
        assert.isTrue(evacuated);
        assert.isEmpty(fleet.spans, "nothing starts on the basis of the old operator state");
        fleet.operator.evacuatedZones.clear();
        fleet.notify();
        await fleet.timer.advance(4_000);
        assert.equal(await phaseOf(fleet, "gang"), JobPhase.Succeeded);
    });

    it("starts nothing while the table is unavailable, keeps runs alive and continues afterwards", async () => {
        const fleet = await createStatementFleet();
        await fleet.submit(gangJob("running", "guest", 16, 30_000));
        await fleet.timer.advance(1_000);
        await fleet.submit(gangJob("waiting", "guest", 64, 1_000));
        await fleet.timer.advance(300);
        fleet.tableDown = true;
        const before = fleet.spans.length;
        await fleet.timer.advance(7_500);
        assert.lengthOf(fleet.spans, before);
        assert.isTrue(runsOf(fleet, "running").every(span => span.toMs === undefined), "leases are renewed");
        fleet.tableDown = false;
        const refused = await fleet.submit(gangJob("next", "guest", 8, 1_000));
        assert.equal(refused, Acceptance.NotRun, "no probe has found the table available yet");
        await fleet.timer.advance(1_000);
        assert.equal(await fleet.submit(gangJob("next", "guest", 8, 1_000)), Acceptance.Accepted);
        await fleet.timer.advance(3_000);
        assert.equal(await phaseOf(fleet, "next"), JobPhase.Succeeded);
        assert.equal(await phaseOf(fleet, "running"), JobPhase.Running);
    });

    it("leaves nothing running after a thousand cancellations at once", async () => {
        const fleet = await createStatementFleet();
        const ids = Array.from({ length: 1_000 }, (_, index) => `wave-${index}`);
        const [vm] = fleet.vms.values();
        void Promise.all(ids.map(id => vm.accept(gangJob(id, "guest", 1, 60_000), 3_000)));
        await fleet.timer.advance(3_000);
        assert.isNotEmpty(fleet.spans);
        void Promise.all(ids.map(id => vm.cancel(id)));
        await fleet.timer.advance(8_000);
        const phases = await Promise.all(ids.map(id => phaseOf(fleet, id)));
        assert.isTrue(phases.every(phase => phase === JobPhase.Cancelled));
        assert.isTrue(fleet.spans.every(span => span.toMs !== undefined));
    }).timeout(60_000);

    it("fails a job that fails on every worker, and puts no worker into cooldown", async () => {
        const fleet = await createStatementFleet();
        const work = { workMs: 200, failures: Number.MAX_SAFE_INTEGER };
        await fleet.submit(createSubmission("fails", [gangStep(8)], { customer: "guest" }, work));
        await fleet.timer.advance(20_000);
        assert.equal(await phaseOf(fleet, "fails"), JobPhase.Failed);
        await fleet.submit(gangJob("whole-rack", "guest", 32, 1_000, { steps: [gangStep(32)] }));
        await fleet.timer.advance(3_000);
        assert.equal(await phaseOf(fleet, "whole-rack"), JobPhase.Succeeded, "no worker is in cooldown");
        assert.deepEqual(findViolations(fleet.spans.filter(span => span.task.startsWith("whole-rack"))), []);
    });
});

describe("a submitted job", () => {
    const unavailable = async () => fail({ kind: StateErrorKind.Unavailable, detail: "down" } as const);
    const state: StateTable = { commit: unavailable, read: unavailable, changes: unavailable };
    const empty: StateTable = { ...state, read: async () => succeed({ rows: [], version: 1 }) };
    const request = { customer: "owner", service: "urgent", declaredRunTimeMs: 1_000, checkpointable: true };
    const submit = (taskCount: number, acceptance: Acceptance, customer = "owner", table = state) =>
        submitJob(
            {
                state: table,
                snapshot,
                fleet: buildWorkerFacts(["a", "b"], 4),
                accept: async () => ({ acceptance }),
                wallClockMs: 0,
            },
            { ...request, customer, shape: buildShape(taskCount) },
            "key",
        );

    it("that can never run is refused at once with the reason", async () => {
        const tooLarge = await submit(33, Acceptance.Accepted, "owner", empty);
        assert.equal(tooLarge.ok ? "" : tooLarge.error.kind, "neverFits");
        const overLimit = await submit(41, Acceptance.Accepted, "borrower", empty);
        assert.match(overLimit.ok ? "" : overLimit.error.detail, /customer's limit/);
        const unknown = await submit(1, Acceptance.Accepted, "nobody", empty);
        assert.equal(unknown.ok ? "" : unknown.error.kind, "unknownCustomer");
    });

    it("that was accepted before is not reported as impossible when it is submitted again", async () => {
        const submission = buildSubmission(
            "owner.key",
            { ...request, shape: buildShape(33) },
            Urgency.Urgent,
            0,
        );
        const row = { table: "jobs", part: "", key: "owner.key/job", version: 1, value: submission };
        const stored: StateTable = { ...state, read: async () => succeed({ rows: [row], version: 1 }) };
        const again = await submit(33, Acceptance.Accepted, "owner", stored);
        assert.isTrue(again.ok, "it may be running, so it must not be reported as not run");
        const unreadable = await submit(33, Acceptance.Accepted);
        assert.equal(unreadable.ok ? "" : unreadable.error.kind, "unknown", "unknown while the table is unavailable");
    });

    it("is reported as not run only when nothing was stored", async () => {
        const refused = await submit(8, Acceptance.NotRun);
        assert.equal(refused.ok ? "" : refused.error.kind, "unavailable");
        const unknownOutcome = await submit(8, Acceptance.Unknown);
        assert.equal(unknownOutcome.ok ? "" : unknownOutcome.error.kind, "unknown");
        const unreadable = await submit(8, Acceptance.Accepted);
        assert.equal(unreadable.ok ? "" : unreadable.error.kind, "unknown");
    });
});
