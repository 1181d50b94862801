import { assert } from "chai";
import { placeGang, stopGang } from "../src/scheduling/gang.js";
import type { GangPlan } from "../src/scheduling/gang.js";
import { changeJob, insertJob, readJob } from "../src/scheduling/jobTable.js";
import { createLeaseManager } from "../src/scheduling/leaseManager.js";
import { JobState } from "../src/scheduling/types.js";
import { fail, succeed } from "../src/utils/result.js";
import type { Result } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { TaskState } from "../src/workers/types.js";
import { partialMs, runsOf } from "../tools/soak/gangRuns.js";
import { buildJob, buildShape } from "./fixtures/jobs.js";
import { CommitFault, createFakePlatform } from "./fixtures/platform.js";
import { buildWorkers, createFakeWorkers } from "./fixtures/workers.js";

const times = { holdMs: 3_000, leaseMs: 6_000, checkpointGraceMs: 1_200 };
const renewMs = 1_500;
const memberCount = 3;

const createWorld = async () => {
    const timer = createVirtualTimer();
    const workers = createFakeWorkers(buildWorkers(["a"], memberCount), timer);
    const platform = createFakePlatform();
    const spec = buildJob({ shape: buildShape(24), work: { runTimeMs: 600_000 } });
    await insertJob(platform, {
        spec,
        state: JobState.Queued,
        attempts: 0,
        progressMs: 0,
        reason: "",
        cancelRequested: false,
        failures: 0,
        failedOn: [],
    });
    const leaseManager = createLeaseManager({
        vm: "entry",
        availabilityZone: "a",
        timer,
        listWorkers: () => workers.all.map(fake => ({ name: fake.worker.name, httpAddress: fake.worker.name })),
        clientOf: name => workers.find(name).client,
        leaseMs: times.leaseMs,
    });
    const planFor = (planner: string): GangPlan => ({
        jobId: spec.id,
        attempt: 1,
        planner,
        spec,
        members: workers.all.map(fake => ({ worker: fake.worker.name, taskCount: 8 })),
        resumeFromMs: 0,
    });
    const decide = async (): Promise<Result<unknown, string>> => {
        const stored = await readJob(platform, spec.id);
        if (!stored.ok || stored.value === undefined || stored.value.record.state !== JobState.Queued) {
            return fail("already decided");
        }
        const changed = await changeJob(platform, stored.value, { state: JobState.Placed, attempts: 1 }, []);
        return changed.ok ? succeed(changed.value) : fail("not recorded");
    };
    const place = (planner: string) => placeGang(planFor(planner), workers.clientOf, times, decide);
    return { timer, workers, platform, leaseManager, place, members: planFor("").members };
};

type World = Awaited<ReturnType<typeof createWorld>>;

const keep = async (world: World, durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += renewMs) {
        const round = world.leaseManager.round();
        await world.timer.advance(renewMs);
        await round;
        world.workers.step();
    }
};

const assertNeverPartial = (world: World): void => {
    const attempts = new Set(world.workers.events.map(event => event.attempt));
    for (const attempt of attempts) {
        const runs = runsOf(world.workers.events.filter(event => event.attempt === attempt));
        const longestMs = runs.length === 0 ? 0 : partialMs(runs, memberCount);
        assert.isAtMost(longestMs, times.leaseMs, `attempt ${attempt} ran partially`);
    }
};

const runningCount = (world: World): number =>
    world.workers.all.filter(fake => fake.tasks.reports().some(task => task.state === TaskState.Running)).length;

/** Holds the planner's requests up from the given one on. */
const stallAt = (world: World, step: number, durationMs: number): void => {
    let requests = 0;
    world.workers.beforeRequest = async (_worker, request) => {
        const isPlanners = ["hold", "start", "release"].includes(request);
        requests += isPlanners ? 1 : 0;
        if (isPlanners && requests > step) {
            await world.timer.sleep(durationMs);
        }
    };
};

const neverMs = 1e9;

describe("gangs", () => {
    for (let step = 0; step <= 2 * memberCount; step++) {
        it(`run whole or not at all when the planner dies at request ${step}`, async () => {
            const world = await createWorld();
            stallAt(world, step, neverMs);
            void world.place("planner/1");
            await keep(world, 30_000);
            assertNeverPartial(world);
            assert.include([0, memberCount], runningCount(world));
        });

        it(`run whole or not at all when the planner is frozen past the lease at request ${step}`, async () => {
            const world = await createWorld();
            stallAt(world, step, 10_000);
            void world.place("planner/1");
            await keep(world, 30_000);
            assertNeverPartial(world);
            assert.include([0, memberCount], runningCount(world));
        });
    }

    it("do not start after their holds have expired", async () => {
        const world = await createWorld();
        stallAt(world, memberCount, times.holdMs + 500);
        const placed = world.place("planner/1");
        await keep(world, 12_000);
        assert.isFalse((await placed).ok);
        assert.isEmpty(world.workers.events.filter(event => event.kind === "taskReady"));
    });

    it("are placed once when two planners place the same job", async () => {
        const world = await createWorld();
        const both = Promise.all([world.place("planner/1"), world.place("planner/2")]);
        await keep(world, 9_000);
        assert.isAtMost((await both).filter(result => result.ok).length, 1);
        assertNeverPartial(world);
        const planners = new Set(world.workers.all.flatMap(fake => fake.tasks.reports().map(task => task.planner)));
        assert.isAtMost(planners.size, 1);
    });

    it("run when the answer to the deciding write is lost", async () => {
        const world = await createWorld();
        world.platform.faultOf = () => CommitFault.AnswerLost;
        const placed = world.place("planner/1");
        await keep(world, 9_000);
        assert.isTrue((await placed).ok);
        assert.equal(runningCount(world), memberCount);
    });

    it("give their holds back when the decision cannot be recorded", async () => {
        const world = await createWorld();
        world.platform.faultOf = () => CommitFault.Refused;
        const placed = world.place("planner/1");
        await world.timer.advance(100);
        assert.isFalse((await placed).ok);
        assert.isTrue(world.workers.all.every(fake => fake.tasks.reports().length === 0));
    });

    it("stop everywhere within a lease when a member is lost", async () => {
        const world = await createWorld();
        await world.place("planner/1");
        await keep(world, 6_000);
        assert.equal(runningCount(world), memberCount);
        world.workers.find("a-1").unreachable = true;
        await keep(world, 12_000);
        assert.equal(runningCount(world), 0);
        assertNeverPartial(world);
        assert.isTrue(world.leaseManager.gangs().some(gang => gang.broken), "the planner is told");
    });

    it("lapse within a lease when no leaseManager is left", async () => {
        const world = await createWorld();
        await world.place("planner/1");
        await world.timer.advance(times.leaseMs);
        world.workers.step();
        assert.equal(runningCount(world), 0);
    });

    it("cannot be started by a late request once their attempt was stopped", async () => {
        const world = await createWorld();
        stallAt(world, memberCount, 1_000);
        const placed = world.place("planner/1");
        await world.timer.advance(500);
        await stopGang({ jobId: "job", attempt: 1 }, world.members, world.workers.clientOf);
        await world.timer.advance(2_000);
        assert.isFalse((await placed).ok);
        assert.isEmpty(world.workers.events.filter(event => event.kind === "taskReady"));
    });
});
