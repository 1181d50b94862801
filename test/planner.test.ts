import { assert } from "chai";
import { publish } from "../src/configuration/commands/publish.js";
import { createConfigurationFollower } from "../src/configuration/follower.js";
import { currentVersionKey } from "../src/configuration/types.js";
import type { CurrentVersion } from "../src/configuration/types.js";
import { VmKind, VmState } from "../src/platform/types.js";
import type { Row, Vm } from "../src/platform/types.js";
import { cancelJob } from "../src/scheduling/commands/cancelJob.js";
import { submitJob } from "../src/scheduling/commands/submitJob.js";
import type { JobRequest } from "../src/scheduling/commands/submitJob.js";
import { readJob } from "../src/scheduling/jobTable.js";
import { createLeadership } from "../src/scheduling/leadership.js";
import { createLeaseManager } from "../src/scheduling/leaseManager.js";
import { planRound } from "../src/scheduling/plan.js";
import { createPlanner } from "../src/scheduling/planner.js";
import { JobState } from "../src/scheduling/types.js";
import type { TimerService } from "../src/utils/timer.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { buildShape, buildSourced } from "./fixtures/jobs.js";
import { createFakePlatform } from "./fixtures/platform.js";
import { buildWorkers, createFakeWorkers } from "./fixtures/workers.js";

const times = { holdMs: 3_000, leaseMs: 6_000, checkpointGraceMs: 1_200 };
const zones = ["a", "b"];
const renewMs = 1_500;
const stepMs = 100;

const base = [
    buildSourced({
        name: "owner",
        customer: "owner",
        guarantee: { shape: buildShape(16), count: 2, holdsWithZoneOut: true },
    }),
    buildSourced({ name: "borrower", customer: "borrower", service: "batch", jobs: { urgency: "mayWait" as never } }),
    buildSourced({ name: "urgent", customer: "owner", service: "urgent", jobs: { urgency: "urgent" as never } }),
];

const zoneOut = (zone: string) => buildSourced({ name: "zone-out", availabilityZonesOut: [zone] });

/** A system of two schedulers over fakes, with virtual time. */
const createSystem = async () => {
    const timer = createVirtualTimer();
    const platform = createFakePlatform();
    const workers = createFakeWorkers(buildWorkers(zones, 4), timer);
    const vms: Vm[] = workers.all.map(fake => ({
        name: fake.worker.name,
        kind: VmKind.Endpoint,
        state: VmState.Live,
        availabilityZone: fake.worker.availabilityZone,
        incarnation: 1,
        httpAddress: fake.worker.name,
    }));
    await publish(platform, { baseVersion: 0, publisher: "north", intents: base }, undefined, 0);

    const createScheduler = (vm: string, rank: number) => {
        const follower = createConfigurationFollower(platform, timer);
        const state = { frozen: false };
        // nothing of a frozen process runs, not even its timers
        const ownTimer: TimerService = {
            ...timer,
            every: (periodMs, task) => timer.every(periodMs, () => state.frozen ? undefined : task()),
        };
        const leadership = createLeadership({
            vm,
            processId: vm,
            platform,
            timer: ownTimer,
            follower,
            takeoverRank: () => rank,
        });
        const planner = createPlanner({
            platform,
            timer,
            follower,
            leadership,
            times,
            clientOf: name => workers.find(name).client,
            listEndpoints: () => vms,
            plan: planRound,
            onEvent: () => {},
        });
        return { vm, follower, leadership, planner, state };
    };
    const schedulers = [createScheduler("one", 0), createScheduler("two", 1)];
    const leaseManagers = zones.map(zone =>
        createLeaseManager({
            vm: "one",
            availabilityZone: zone,
            timer,
            listWorkers: () =>
                vms.filter(vm => vm.availabilityZone === zone).map(vm => ({
                    name: vm.name,
                    httpAddress: vm.httpAddress,
                })),
            clientOf: name => workers.find(name).client,
            leaseMs: times.leaseMs,
        })
    );

    const keep = async (): Promise<void> => {
        const reports = await Promise.all(leaseManagers.map(leaseManager => leaseManager.round()));
        for (const scheduler of schedulers.filter(candidate => !candidate.state.frozen)) {
            reports.forEach(report => scheduler.planner.reportZone(report));
        }
    };
    timer.every(renewMs, keep);
    for (const scheduler of schedulers) {
        timer.every(200, () => scheduler.state.frozen ? undefined : scheduler.planner.round());
        scheduler.leadership.start();
    }

    const run = async (durationMs: number): Promise<void> => {
        for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
            await timer.advance(stepMs);
            workers.step();
        }
    };
    const submit = async (key: string, change: Partial<JobRequest> = {}): Promise<string> => {
        const request = {
            customer: "borrower",
            service: "batch",
            shape: buildShape(16),
            declaredRunTimeMs: 60_000,
            checkpointable: true,
            work: { runTimeMs: 600_000 },
            ...change,
        };
        const submitted = await submitJob(
            platform,
            schedulers[0].follower.current(),
            request,
            key,
            timer.wallClockMs(),
        );
        schedulers.filter(scheduler => !scheduler.state.frozen).forEach(scheduler => scheduler.planner.noticeInbox());
        return submitted.ok ? submitted.value.record.spec.id : assert.fail(JSON.stringify(submitted.error));
    };
    const stateOf = async (id: string): Promise<JobState | undefined> => {
        const read = await readJob(platform, id);
        return read.ok ? read.value?.record.state : undefined;
    };
    const offer = (intents: typeof base, baseVersion: number) =>
        publish(platform, { baseVersion, publisher: "north", intents }, undefined, timer.wallClockMs());
    await run(4_000);
    return { timer, platform, workers, schedulers, run, submit, stateOf, offer, vms };
};

const runningIn = (system: Awaited<ReturnType<typeof createSystem>>, jobId: string): string[] =>
    system.workers.all.filter(fake => fake.tasks.reports().some(task => task.jobId === jobId)).map(fake =>
        fake.worker.name
    );

describe("the planner", () => {
    it("places a gang and reports its end", async () => {
        const system = await createSystem();
        const id = await system.submit("plan", { work: { runTimeMs: 2_000 } });
        await system.run(1_000);
        assert.equal(await system.stateOf(id), JobState.Placed);
        assert.lengthOf(runningIn(system, id), 2);
        await system.run(6_000);
        assert.equal(await system.stateOf(id), JobState.Done);
        assert.isEmpty(runningIn(system, id));
    });

    it("starts an urgent gang on lent accelerators within 2.6 s, also when a borrower ignores its checkpoint", async () => {
        const system = await createSystem();
        for (let index = 0; index < 4; index++) {
            await system.submit(`borrower-${index}`, { work: { runTimeMs: 600_000, ignoresCheckpoint: true } });
        }
        await system.run(2_000);
        const id = await system.submit("urgent", { customer: "owner", service: "urgent" });
        await system.run(2_600);
        assert.equal(await system.stateOf(id), JobState.Placed);
        assert.lengthOf(runningIn(system, id), 2);
    });

    it("starts nothing in a zone a few seconds after it was taken out", async () => {
        const system = await createSystem();
        const accepted = await system.offer([...base, zoneOut("a")], 1);
        assert.isTrue(accepted.ok);
        const acceptedAtMs = system.timer.nowMs();
        for (let index = 0; index < 6; index++) {
            await system.submit(`plan-${index}`, { shape: buildShape(8), work: { runTimeMs: 1_000 } });
            await system.run(1_000);
        }
        const late = system.workers.events.filter(event =>
            event.availabilityZone === "a" && event.kind === "taskReady" && event.atMs > acceptedAtMs
        );
        assert.isEmpty(late);
    });

    it("cannot record a placement under a version that is no longer current", async () => {
        const system = await createSystem();
        const commit = system.platform.commit.bind(system.platform);
        let raced = false;
        system.platform.commit = async transaction => {
            const decides = transaction.writes.some(write =>
                (write.value as { state?: string; })?.state === JobState.Placed
            );
            if (decides && !raced) {
                raced = true;
                const row = system.platform.rows.get(currentVersionKey) as Row<CurrentVersion>;
                const value = { version: row.value.version, publishId: "other" };
                await commit({ conditions: [], writes: [{ key: currentVersionKey, value }] });
            }
            return commit(transaction);
        };
        const id = await system.submit("plan");
        await system.run(300);
        assert.isTrue(raced);
        assert.isEmpty(runningIn(system, id), "nothing started on the strength of the old version");
        await system.run(2_000);
        assert.equal(await system.stateOf(id), JobState.Placed);
    });

    it("is replaced when it is frozen, and can decide nothing when it resumes", async () => {
        const system = await createSystem();
        const [first, second] = system.schedulers;
        assert.isTrue(first.leadership.isPlanner());
        const oldGuards = first.leadership.guards();
        first.state.frozen = true;
        await system.run(4_000);
        assert.isTrue(second.leadership.isPlanner());
        assert.isTrue(first.leadership.isPlanner(), "the frozen one has not noticed yet");
        const outdated = await system.platform.commit({ conditions: oldGuards, writes: [{ key: "probe", value: 1 }] });
        assert.isFalse(outdated.ok);
        const id = await system.submit("plan");
        first.state.frozen = false;
        await system.run(2_000);
        assert.isFalse(first.leadership.isPlanner());
        assert.equal(await system.stateOf(id), JobState.Placed);
    });

    it("starts nothing while the platform is down, keeps what runs and goes on afterwards", async () => {
        const system = await createSystem();
        const running = await system.submit("running");
        const waiting = await system.submit("waiting", { shape: buildShape(8) });
        await system.run(300);
        system.platform.down = true;
        const startsBefore = system.workers.events.filter(event => event.kind === "taskReady").length;
        await system.run(30_000);
        assert.lengthOf(runningIn(system, running), 2, "leases are renewed without the platform");
        assert.equal(system.workers.events.filter(event => event.kind === "taskReady").length, startsBefore);
        system.platform.down = false;
        await system.run(4_000);
        assert.equal(await system.stateOf(waiting), JobState.Placed);
        assert.equal(await system.stateOf(running), JobState.Placed);
    });

    it("runs a gang again, as a new attempt, after a member was lost", async () => {
        const system = await createSystem();
        const id = await system.submit("plan");
        await system.run(2_000);
        const [lost] = runningIn(system, id);
        system.workers.find(lost).unreachable = true;
        await system.run(20_000);
        const read = await readJob(system.platform, id);
        const placement = read.ok ? read.value?.record.placement : undefined;
        assert.equal(placement?.attempt, 2);
        assert.notInclude(placement?.members.map(member => member.worker) ?? [], lost);
    });

    it("leaves no lease behind after a thousand cancellations at once", async () => {
        const system = await createSystem();
        const ids: string[] = [];
        for (let index = 0; index < 1_000; index++) {
            ids.push(await system.submit(`wave-${index}`, { shape: buildShape(1) }));
        }
        await system.run(3_000);
        await Promise.all(ids.map(id => cancelJob(system.platform, id)));
        await system.run(8_000);
        const states = await Promise.all(ids.map(system.stateOf));
        assert.isTrue(states.every(state => state === JobState.Cancelled));
        assert.isTrue(system.workers.all.every(fake => fake.tasks.reports().length === 0));
    });

    it("tells at once that a job can never run, and lets others pass", async () => {
        const system = await createSystem();
        const never = await system.submit("never", { shape: buildShape(64) });
        const other = await system.submit("other", { shape: buildShape(8) });
        await system.run(1_000);
        assert.equal(await system.stateOf(never), JobState.Rejected);
        assert.equal(await system.stateOf(other), JobState.Placed);
    });

    it("gives up a job that fails everywhere without leaving any worker out", async () => {
        const system = await createSystem();
        const id = await system.submit("fails", { shape: buildShape(8), work: { fails: true } });
        await system.run(30_000);
        assert.equal(await system.stateOf(id), JobState.Failed);
        assert.deepEqual(system.schedulers[0].planner.dump()?.ejectedWorkers ?? ["no dump"], []);
    });
});
