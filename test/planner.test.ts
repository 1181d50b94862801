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
import { buildShape, buildSourcedIntent, buildWorkerFacts } from "./fixtures/jobs.js";
import { findViolations } from "./fixtures/violations.js";

const settleMs = 1_000;
/** Bound of the brief on the start of guaranteed and urgent work. */
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
        ...buildSourcedIntent(intent).intent,
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

/** Two zones of four workers on statements of intent. */
const createSystem = async (options: FleetOptions = {}): Promise<Fleet> => {
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
    const asked = [...fleet.vms.values()][0].phase(jobId);
    await fleet.timer.advance(50);
    return asked;
};

describe("the planner on statements of intent", () => {
    it("places a gang and reports its end", async () => {
        const fleet = await createSystem();
        await fleet.submit(gangJob("plan", "borrower", 16, 2_000));
        await fleet.timer.advance(1_000);
        assert.equal(await phaseOf(fleet, "plan"), JobPhase.Running);
        assert.lengthOf([...new Set(runsOf(fleet, "plan").map(span => span.worker))], 2);
        await fleet.timer.advance(3_000);
        assert.equal(await phaseOf(fleet, "plan"), JobPhase.Succeeded);
        assert.isTrue(fleet.spans.every(span => span.toMs !== undefined));
    });

    it("starts a guaranteed gang on lent accelerators within 2.6 s, also when a borrower saves nothing", async () => {
        const fleet = await createSystem();
        for (let index = 0; index < 8; index++) {
            const step = gangStep(8, { checkpointing: index % 2 === 0 });
            await fleet.submit(
                createSubmission(`lent-${index}`, [step], { customer: "guest", priority: 0 }, { workMs: 600_000 }),
            );
        }
        await fleet.timer.advance(2_000);
        assert.lengthOf(fleet.spans, 64, "everything is lent");
        await fleet.submit(gangJob("due", "owner", 16, 60_000));
        await fleet.timer.advance(urgentBoundMs);
        const started = runsOf(fleet, "due");
        assert.lengthOf(started, 16);
        assert.isAtMost(new Set(started.map(span => span.worker)).size, 2);
        assert.lengthOf(fleet.spans.filter(span => span.toMs !== undefined), 16, "no more was taken back than needed");
    });

    it("knows after a change of planner which work runs on a guarantee", async () => {
        const fleet = await createSystem();
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

    it("keeps a customer within its limit and uses the room for others", async () => {
        const fleet = await createSystem();
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

    it("starts nothing in a zone once it knows that it was taken out", async () => {
        const fleet = await createSystem();
        fleet.operator.evacuatedZones.add("a");
        fleet.notify();
        const knownAtMs = fleet.timer.nowMs();
        for (let index = 0; index < 6; index++) {
            await fleet.submit(gangJob(`plan-${index}`, "guest", 8, 1_000));
            await fleet.timer.advance(1_000);
        }
        assert.isNotEmpty(fleet.spans);
        assert.isEmpty(fleet.spans.filter(span => span.worker.startsWith("a-") && span.fromMs > knownAtMs));
    });

    it("moves work that saves its progress out of a zone that is taken out, and lets the rest end there", async () => {
        const fleet = await createSystem();
        ["b"].forEach(zone => fleet.operator.evacuatedZones.add(zone));
        fleet.notify();
        await fleet.submit(createSubmission("saves", [gangStep(8, { checkpointing: true })], { customer: "guest" }, {
            workMs: 20_000,
        }));
        await fleet.submit(createSubmission("stays", [gangStep(8)], { customer: "guest" }, { workMs: 20_000 }));
        await fleet.timer.advance(3_000);
        fleet.operator.evacuatedZones.clear();
        fleet.operator.evacuatedZones.add("a");
        fleet.notify();
        await fleet.timer.advance(3_000);
        const places = (id: string) =>
            new Set(runsOf(fleet, id).filter(span => span.toMs === undefined).map(span => span.worker[0]));
        assert.deepEqual([...places("saves")], ["b"]);
        assert.deepEqual([...places("stays")], ["a"]);
    });

    it("lets work that says it saves progress and has saved none end in a zone that is taken out", async () => {
        const fleet = await createSystem({ savesProgress: () => false });
        fleet.operator.evacuatedZones.add("b");
        fleet.notify();
        const step = gangStep(8, { checkpointing: true });
        await fleet.submit(createSubmission("boasts", [step], { customer: "guest" }, { workMs: 20_000 }));
        await fleet.timer.advance(10_000);
        fleet.operator.evacuatedZones.clear();
        fleet.operator.evacuatedZones.add("a");
        fleet.notify();
        await fleet.timer.advance(12_000);
        assert.lengthOf(runsOf(fleet, "boasts"), 8, "no work was thrown away");
        assert.equal(await phaseOf(fleet, "boasts"), JobPhase.Succeeded);
    });

    it("gives a placement up when its zone is taken out while it is being recorded", async () => {
        const fleet = await createSystem();
        let raced = false;
        fleet.commitFault = (_vm, { writes }) => {
            if (!raced && writes.some(write => write.key.endsWith("/progress"))) {
                raced = true;
                ["a", "b"].forEach(zone => fleet.operator.evacuatedZones.add(zone));
            }
            return CallFault.None;
        };
        await fleet.submit(gangJob("plan", "guest", 16, 1_000));
        await fleet.timer.advance(1_000);
        assert.isTrue(raced);
        assert.isEmpty(fleet.spans, "nothing started on the strength of the old wishes");
        fleet.operator.evacuatedZones.clear();
        fleet.notify();
        await fleet.timer.advance(4_000);
        assert.equal(await phaseOf(fleet, "plan"), JobPhase.Succeeded);
    });

    it("starts nothing while the platform is down, keeps what runs and goes on afterwards", async () => {
        const fleet = await createSystem();
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
        await fleet.submit(gangJob("next", "guest", 8, 1_000));
        await fleet.timer.advance(4_000);
        assert.equal(await phaseOf(fleet, "next"), JobPhase.Succeeded);
        assert.equal(await phaseOf(fleet, "running"), JobPhase.Running);
    });

    it("leaves nothing running after a thousand cancellations at once", async () => {
        const fleet = await createSystem();
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

    it("gives up a job that fails everywhere without leaving any worker out", async () => {
        const fleet = await createSystem();
        const work = { workMs: 200, failures: Number.MAX_SAFE_INTEGER };
        await fleet.submit(createSubmission("fails", [gangStep(8)], { customer: "guest" }, work));
        await fleet.timer.advance(20_000);
        assert.equal(await phaseOf(fleet, "fails"), JobPhase.Failed);
        await fleet.submit(gangJob("whole", "guest", 32, 1_000, { steps: [gangStep(32)] }));
        await fleet.timer.advance(3_000);
        assert.equal(await phaseOf(fleet, "whole"), JobPhase.Succeeded, "no worker rests");
        assert.deepEqual(findViolations(fleet.spans.filter(span => span.task.startsWith("whole"))), []);
    });
});

describe("a submitted job", () => {
    const unavailable = async () => fail({ kind: StateErrorKind.Unavailable, detail: "down" } as const);
    const state: StateTable = { commit: unavailable, read: unavailable, changes: unavailable };
    const empty: StateTable = { ...state, read: async () => succeed({ rows: [], version: 1 }) };
    const request = { customer: "owner", service: "urgent", declaredRunTimeMs: 1_000, checkpointable: true };
    const submit = (taskCount: number, accepted: Acceptance, customer = "owner", table = state) =>
        submitJob(
            {
                state: table,
                snapshot,
                fleet: buildWorkerFacts(["a", "b"], 4),
                accept: async () => accepted,
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

    it("that was accepted before is not called impossible when it is submitted again", async () => {
        const submission = buildSubmission(
            "owner.key",
            { ...request, shape: buildShape(33) },
            Urgency.Urgent,
            0,
        );
        const row = { table: "jobs", part: "", key: "owner.key/job", version: 1, value: submission };
        const stored: StateTable = { ...state, read: async () => succeed({ rows: [row], version: 1 }) };
        const again = await submit(33, Acceptance.Accepted, "owner", stored);
        assert.isTrue(again.ok, "it may be running, so it must not be called not run");
        const blind = await submit(33, Acceptance.Accepted);
        assert.equal(blind.ok ? "" : blind.error.kind, "unknown", "nobody can tell while the table is down");
    });

    it("is called not run only when nothing was recorded", async () => {
        const refused = await submit(8, Acceptance.NotRun);
        assert.equal(refused.ok ? "" : refused.error.kind, "unavailable");
        const doubtful = await submit(8, Acceptance.Unknown);
        assert.equal(doubtful.ok ? "" : doubtful.error.kind, "unknown");
        const unread = await submit(8, Acceptance.Accepted);
        assert.equal(unread.ok ? "" : unread.error.kind, "unknown");
    });
});
