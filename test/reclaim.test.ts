import { assert } from "chai";
import { Adjacency } from "../src/configuration/types.js";
import { EndKind } from "../src/execution/types.js";
import type { JobSubmission, Step } from "../src/jobs/types.js";
import { planRound } from "../src/planning/round.js";
import { GuaranteeCoverage } from "../src/queues/types.js";
import type { QueueCustomer } from "../src/queues/types.js";
import { succeed } from "../src/utils/result.js";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";
import { addOccupant, createCandidate, createRacks, createRoundInput } from "./fixtures/planning.js";
import { findViolations } from "./fixtures/violations.js";

/** Time within which all tasks of a job that claims its customer's guarantee begin. */
const reclaimMs = 2_700;
const guaranteedAccelerators = 8;

const createCustomer = (name: string): QueueCustomer => ({
    name,
    apiKeys: [`key-${name}`],
    guaranteedAccelerators,
    guaranteedUpToPriority: 0,
    guaranteeCoverage: GuaranteeCoverage.WholeDemand,
});

/** A fleet of three racks with one worker each, and two customers with a guarantee of one worker. */
const createGuaranteeFleet = async (): Promise<Fleet> => {
    const fleet = createFleet({
        workerCount: 0,
        configuration: { customers: [createCustomer("hotel"), createCustomer("winery")] },
    });
    ["r1-1", "r1-2", "r1-3"].forEach(rack => fleet.addWorker(`w-${rack}`, rack));
    fleet.notify();
    await fleet.timer.advance(1_000);
    return fleet;
};

/** Submits a job of eight tasks with one accelerator each. */
const submitTasks = (
    fleet: Fleet,
    id: string,
    submission: Partial<JobSubmission>,
    workMs: number,
    step: Partial<Step> = {},
): Promise<string> => {
    const resources = { milliCores: 6_000, memoryMb: 1_000, accelerators: 1 };
    const steps = [createStep({ taskCount: guaranteedAccelerators, resources, estimateMs: workMs, ...step })];
    return fleet.submit(createSubmission(id, steps, submission, { workMs }));
};

const startedTasks = (fleet: Fleet, id: string): number =>
    new Set(fleet.spans.filter(({ task }) => task.startsWith(`${id}.`)).map(({ task }) => task)).size;

// guards against a claimed guarantee that waited for the rack of its data while work of low priority kept the others
describe("a job that claims a guarantee while another guarantee uses the rack of its data", () => {
    const dataRack = "r1-1";

    const submitAfterRackIsTaken = async (step: Partial<Step> = {}): Promise<Fleet> => {
        const fleet = await createGuaranteeFleet();
        await submitTasks(fleet, "covered", { customer: "winery", priority: 0 }, 60_000, { dataRack });
        await fleet.timer.advance(1_000);
        await submitTasks(fleet, "low1", { customer: "ledger", priority: 2 }, 60_000);
        await submitTasks(fleet, "low2", { customer: "ledger", priority: 2 }, 60_000);
        await fleet.timer.advance(5_000);
        assert.deepEqual(["covered", "low1", "low2"].map(id => startedTasks(fleet, id)), [8, 8, 8]);
        await submitTasks(fleet, "claiming", { customer: "hotel", priority: 0 }, 2_000, { dataRack, ...step });
        await fleet.timer.advance(reclaimMs);
        return fleet;
    };

    it("begins on another rack in time", async () => {
        const fleet = await submitAfterRackIsTaken();
        assert.equal(startedTasks(fleet, "claiming"), guaranteedAccelerators);
        assert.deepEqual(findViolations(fleet.spans), []);
    });

    it("begins on another rack in time as a gang", async () => {
        const fleet = await submitAfterRackIsTaken({ gang: true, adjacency: Adjacency.Rack, mayBeSpread: true });
        assert.equal(startedTasks(fleet, "claiming"), guaranteedAccelerators);
    });
});

describe("a claimed guarantee that is to run near its data", () => {
    const createInput = (waitingMs: number, nearIsGuaranteed: boolean) => {
        const workers = createRacks(2, 1);
        const occupants = workers.map((worker, index) =>
            addOccupant(worker, `run${index}`, {
                priority: 2,
                resources: { milliCores: 4_000, memoryMb: 8_000, accelerators: 8 },
                guaranteed: index === 0 && nearIsGuaranteed,
                lostCoreMs: index === 0 ? 1_000_000 : 1,
            })
        );
        const candidates = [createCandidate("claiming", {
            taskCount: 8,
            priority: 0,
            guaranteed: true,
            waitingMs,
            step: { dataRack: "r1-1" },
        })];
        return createRoundInput({ workers, occupants, candidates });
    };
    const evictedKeys = (waitingMs: number, nearIsGuaranteed: boolean): string[] =>
        planRound(createInput(waitingMs, nearIsGuaranteed)).evictions.map(({ occupant }) => occupant.key);

    it("preempts near its data where it may, whatever is lost there", () => {
        assert.deepEqual(evictedKeys(0, false), ["run0"]);
        assert.deepEqual(evictedKeys(2_000, false), ["run0"]);
    });

    it("preempts elsewhere once it has waited for a moment, if it may not preempt there", () => {
        assert.deepEqual(evictedKeys(0, true), []);
        assert.deepEqual(evictedKeys(1_000, true), ["run1"]);
    });
});

describe("a gang that claims a guarantee while no rack has room for all of it", () => {
    // guards against a claimed guarantee that waited for room in one rack though it may be spread over several
    it("is spread over racks once it has waited for a moment, if it may be", () => {
        const workers = createRacks(2, 2);
        const resources = { milliCores: 4_000, memoryMb: 8_000, accelerators: 8 };
        const occupants = workers.map((worker, index) =>
            addOccupant(worker, `run${index}`, { priority: 2, resources, guaranteed: index % 2 === 0 })
        );
        const plan = (mayBeSpread: boolean): string[] =>
            planRound(createRoundInput({
                workers: workers.map(worker => ({ ...worker, free: { ...worker.free } })),
                occupants,
                candidates: [createCandidate("claiming", {
                    taskCount: 2,
                    accelerators: 8,
                    priority: 0,
                    gang: true,
                    sameRack: true,
                    guaranteed: true,
                    waitingMs: 1_000,
                    step: { mayBeSpread },
                })],
            })).evictions.map(({ occupant }) => occupant.key);
        assert.sameMembers(plan(true), ["run1", "run3"]);
        assert.deepEqual(plan(false), []);
    });
});

// guards against a guarantee that tasks with a limit on disruptions withheld for good, whatever the limit
describe("a claimed guarantee while tasks with a limit on disruptions use all accelerators", () => {
    const lastingTasks = 8;

    const submitLastingJobs = async (maxUnavailable: number): Promise<Fleet> => {
        const fleet = await createGuaranteeFleet();
        for (const id of ["lasting1", "lasting2", "lasting3"]) {
            const submission = { customer: "ledger", priority: 2 };
            await submitTasks(fleet, id, submission, 600_000, { longRunning: true, maxUnavailable });
        }
        await fleet.timer.advance(2_000);
        return fleet;
    };

    it("begins in time if all of them may be stopped at once", async () => {
        const fleet = await submitLastingJobs(lastingTasks);
        assert.lengthOf(fleet.spans, 3 * lastingTasks);
        await submitTasks(fleet, "claiming", { customer: "hotel", priority: 0 }, 2_000);
        await fleet.timer.advance(reclaimMs);
        assert.equal(startedTasks(fleet, "claiming"), guaranteedAccelerators);
    });

    /** Plans for a claimed guarantee of eight tasks on a worker where a step's eight tasks run. */
    const evictedTasks = (maxUnavailable: number, unavailable: readonly number[], gang = false): number[] => {
        const [worker] = createRacks(1, 1);
        const disruptionLimit = { maxUnavailable, unavailableTasks: new Set(unavailable) };
        const occupants = Array.from({ length: lastingTasks }, (_, taskIndex) =>
            addOccupant(worker, "lasting", {
                tasks: [{ taskIndex, workerId: worker.workerId }],
                priority: 2,
                disruptionLimit,
            }));
        const options = { taskCount: guaranteedAccelerators, priority: 0, guaranteed: true, gang };
        const candidates = [createCandidate("claiming", options)];
        const { evictions, claims } = planRound(createRoundInput({ workers: [worker], occupants, candidates }));
        const evicted = evictions.flatMap(({ occupant }) => occupant.tasks.map(({ taskIndex }) => taskIndex));
        assert.lengthOf(claims.flatMap(({ assignments }) => assignments), evicted.length);
        return evicted;
    };

    it("preempts as many as may be unavailable, and starts as many tasks", () => {
        assert.lengthOf(evictedTasks(2, []), 2);
    });

    it("counts those that are not at work already", () => {
        assert.lengthOf(evictedTasks(2, [5]).filter(index => index !== 5), 1);
        assert.deepEqual(evictedTasks(2, [4, 5]).filter(index => ![4, 5].includes(index)), []);
        assert.deepEqual(evictedTasks(2, [3, 4, 5]), []);
    });

    it("preempts none for a gang that would not fit", () => {
        assert.deepEqual(evictedTasks(2, [], true), []);
        assert.lengthOf(evictedTasks(8, [], true), 8);
    });

    it("is the only work that they are preempted for", () => {
        const [worker] = createRacks(1, 1);
        const occupant = addOccupant(worker, "lasting", {
            resources: { milliCores: 4_000, memoryMb: 8_000, accelerators: 8 },
            priority: 2,
            disruptionLimit: { maxUnavailable: 8, unavailableTasks: new Set() },
            lostCoreMs: 1,
        });
        const candidates = [createCandidate("urgent", { priority: 0 })];
        const round = planRound(createRoundInput({ workers: [worker], occupants: [occupant], candidates }));
        assert.deepEqual(round.evictions, []);
    });

    /** Has the workers report their runs as at work. */
    const reportAtWork = (fleet: Fleet): void =>
        fleet.workers.forEach(({ model }) => {
            const { hold } = model;
            model.hold = order => {
                const held = hold(order);
                return held.ok
                    ? succeed({ ...held.value, running: held.value.running.map(run => ({ ...run, percent: 100 })) })
                    : held;
            };
        });

    it("never makes more of a step unavailable than its limit, in a series of claims", async () => {
        const maxUnavailable = 3;
        const fleet = await submitLastingJobs(maxUnavailable);
        reportAtWork(fleet);
        await fleet.timer.advance(2_000);
        for (const id of ["claiming1", "claiming2", "claiming3", "claiming4"]) {
            await submitTasks(fleet, id, { customer: "hotel", priority: 0 }, 60_000, { taskCount: 2 });
            await fleet.timer.advance(reclaimMs);
            assert.equal(startedTasks(fleet, id), 2, id);
        }
        for (const id of ["lasting1", "lasting2", "lasting3"]) {
            const stopped = fleet.spans.filter(({ task, kind }) => task.startsWith(id) && kind === EndKind.Stopped);
            assert.isAtMost(stopped.length, maxUnavailable, id);
        }
    });
});

describe("a claimed guarantee for a whole worker while smaller runs under guarantees are spread over all workers", () => {
    const ofAccelerators = (accelerators: number) => ({ milliCores: 4_000, memoryMb: 8_000, accelerators });

    /** Plans for a task that needs a whole worker; each worker has guaranteed runs and one that may be preempted. */
    const planWith = (guaranteedAccelerators: readonly number[], borrowedAccelerators: number, waitingMs = 1_000) => {
        const workers = createRacks(3, 1);
        const occupants = workers.flatMap((worker, index) => [
            addOccupant(worker, `covered${index}.0.0`, {
                resources: ofAccelerators(guaranteedAccelerators[index]),
                priority: 0,
                guaranteed: true,
                lostCoreMs: 10_000 + index,
            }),
            addOccupant(worker, `low${index}.0.0`, { resources: ofAccelerators(borrowedAccelerators), priority: 2 }),
        ]);
        const options = { accelerators: 8, priority: 0, guaranteed: true, waitingMs };
        const candidates = [createCandidate("claiming", options)];
        const { evictions } = planRound(createRoundInput({ workers, occupants, candidates }));
        return evictions.map(({ occupant }) => occupant.key.split(".")[0]);
    };

    it("has those on one worker moved to the others", () => {
        assert.sameMembers(planWith([3, 3, 2], 5), ["covered0", "low0"]);
    });

    it("has none moved that would not fit elsewhere", () => {
        assert.deepEqual(planWith([5, 5, 5], 3), []);
    });

    it("has none moved before it has waited for a moment, nor runs of its own size", () => {
        assert.deepEqual(planWith([3, 3, 2], 5, 0), []);
        assert.deepEqual(planWith([8, 8, 8], 0), []);
    });

    // guards against a guarantee that did not begin since the runs of another one were spread over all workers
    it("begins in time, and what was moved goes on", async () => {
        const fleet = await createGuaranteeFleet();
        for (let index = 0; index < 3; index++) {
            const lowPriority = { customer: "ledger", priority: 2 };
            const resources = { milliCores: 6_000, memoryMb: 1_000, accelerators: 5 };
            await submitTasks(fleet, `low${index}`, lowPriority, 60_000, { taskCount: 1, resources });
        }
        await fleet.timer.advance(1_000);
        await submitTasks(fleet, "covered", { customer: "winery", priority: 0 }, 60_000);
        await fleet.timer.advance(2_000);
        assert.lengthOf(
            new Set(fleet.spans.filter(({ task }) => task.startsWith("covered")).map(span => span.worker)),
            3,
        );
        const resources = { milliCores: 6_000, memoryMb: 1_000, accelerators: 8 };
        const whole = { taskCount: 1, resources };
        await submitTasks(fleet, "claiming", { customer: "hotel", priority: 0 }, 60_000, whole);
        await fleet.timer.advance(reclaimMs);
        assert.equal(startedTasks(fleet, "claiming"), 1);
        await fleet.timer.advance(3_000);
        const running = fleet.spans.filter(({ task, toMs }) => task.startsWith("covered") && toMs === undefined);
        assert.lengthOf(running, guaranteedAccelerators);
        assert.deepEqual(findViolations(fleet.spans), []);
    });
});
