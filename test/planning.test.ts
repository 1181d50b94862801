import { assert } from "chai";
import fc from "fast-check";
import { orderCandidates } from "../src/planning/order.js";
import { planRound } from "../src/planning/round.js";
import type { Candidate, Occupant, Round, WorkerInfo } from "../src/planning/types.js";
import { createUrgentDemand } from "../src/planning/urgentDemand.js";
import { addOccupant, createCandidate, createRacks, createRoundInput, createWorker } from "./fixtures/planning.js";

const workersOf = (round: Round, key: string): string[] =>
    round.placements.filter(placement => placement.candidate.key === key)
        .flatMap(placement => placement.assignments.map(assignment => assignment.workerId));

const evictedKeys = (round: Round): string[] => round.evictions.map(({ occupant }) => occupant.key);

describe("the order of waiting work", () => {
    it("places claimed guarantees first, then urgent work, then work that can meet its objective, then all other work", () => {
        const candidates = [
            createCandidate("expired", { timeToExpiryMs: 500, timeToObjectiveMs: -3_000 }),
            createCandidate("late", { timeToObjectiveMs: 500 }),
            createCandidate("normal"),
            createCandidate("urgent", { priority: 0 }),
            createCandidate("guaranteed", { priority: 0, guaranteed: true, timeToObjectiveMs: -1 }),
        ];
        const keys = orderCandidates(candidates).map(candidate => candidate.key);
        assert.deepEqual(keys, ["guaranteed", "urgent", "normal", "late", "expired"]);
    });

    it("places work with the earliest latest start first within a tier and priority", () => {
        const candidates = [
            createCandidate("late-start", { timeToObjectiveMs: 9_000 }),
            createCandidate("early-start", { timeToObjectiveMs: 2_000 }),
        ];
        assert.equal(orderCandidates(candidates)[0].key, "early-start");
    });
});

describe("placement", () => {
    it("places all tasks of a gang or none", () => {
        const workers = createRacks(1, 3);
        const unplaceable = createCandidate("gang", { taskCount: 4, accelerators: 8, gang: true });
        assert.deepEqual(planRound(createRoundInput({ workers, candidates: [unplaceable] })).placements, []);
    });

    it("places a gang with rack adjacency in one rack, the tightest fit", () => {
        const workers = createRacks(2, 4);
        addOccupant(workers[4], "other");
        const gang = createCandidate("gang", { taskCount: 3, accelerators: 8, gang: true, sameRack: true });
        const used = workersOf(planRound(createRoundInput({ workers, candidates: [gang] })), "gang");
        assert.sameMembers(used, ["w5", "w6", "w7"]);
    });

    it("fills workers in use before it uses empty ones", () => {
        const workers = createRacks(1, 4);
        addOccupant(workers[2], "other");
        const tasks = createCandidate("tasks", { taskCount: 7 });
        const used = workersOf(planRound(createRoundInput({ workers, candidates: [tasks] })), "tasks");
        assert.deepEqual(new Set(used), new Set(["w2"]));
    });

    it("avoids a worker after a failure there for a while, then uses it again", () => {
        const place = (mustAvoid: boolean): string[] => {
            const candidates = [
                createCandidate("again", { avoidedWorkers: new Set(["w0"]), mustAvoid }),
            ];
            return workersOf(planRound(createRoundInput({ workers: createRacks(1, 1), candidates })), "again");
        };
        assert.deepEqual(place(true), []);
        assert.deepEqual(place(false), ["w0"]);
    });

    it("keeps data locality while a task has not waited long, then relaxes it on a mostly idle fleet", () => {
        const busyWorker = createWorker("near", {
            rack: "r1-1",
            free: { milliCores: 0, memoryMb: 0, accelerators: 0 },
        });
        const workers = (): WorkerInfo[] => [
            busyWorker,
            createWorker("far1", { rack: "r1-2" }),
            createWorker("far2", { rack: "r1-2" }),
        ];
        const waiting = (waitingMs: number): Candidate =>
            createCandidate("tasks", { waitingMs, step: { dataRack: "r1-1" } });
        const early = planRound(createRoundInput({ workers: workers(), candidates: [waiting(100)] }));
        assert.deepEqual(workersOf(early, "tasks"), []);
        const later = planRound(createRoundInput({ workers: workers(), candidates: [waiting(2_000)] }));
        assert.lengthOf(workersOf(later, "tasks"), 1);
    });

    it("never allocates more accelerators than a worker has", () => {
        const sizes = fc.record({
            taskCount: fc.integer({ min: 1, max: 12 }),
            accelerators: fc.constantFrom(0, 1, 2, 4, 8),
            priority: fc.integer({ min: 0, max: 2 }),
            gang: fc.boolean(),
            sameRack: fc.boolean(),
            waitingMs: fc.integer({ min: 0, max: 5_000 }),
        });
        fc.assert(
            fc.property(
                fc.array(sizes, { maxLength: 20 }),
                fc.integer({ min: 0, max: 40 }),
                (waiting, urgentHeadroom) => {
                    const workers = createRacks(3, 4);
                    const candidates = waiting.map((options, index) => createCandidate(`c${index}`, options));
                    const round = planRound(
                        createRoundInput({ workers, candidates, urgentHeadroom }),
                    );
                    const used = new Map<string, number>();
                    for (const { candidate, assignments } of round.placements) {
                        assert.isTrue(!candidate.step.gang || assignments.length === candidate.taskIndexes.length);
                        for (const { workerId } of assignments) {
                            const { accelerators } = candidate.step.resources;
                            used.set(workerId, (used.get(workerId) ?? 0) + accelerators);
                        }
                    }
                    used.forEach(accelerators => assert.isAtMost(accelerators, 8));
                },
            ),
            { seed: 20, numRuns: 200 },
        );
    });
});

describe("a planning round at its design size", () => {
    /** Counts checks of workers in a round in which nothing fits; unlike run time, this is the same on all machines. */
    const countWorkerChecks = (workerCount: number, waitingCount: number): number => {
        let workerChecks = 0;
        const workers = createRacks(workerCount / 20, 20).map(worker => {
            const free = { milliCores: 0, memoryMb: 0, accelerators: 0 };
            return Object.defineProperty(worker, "usable", {
                get: () => {
                    workerChecks += 1;
                    return true;
                },
            }) && Object.assign(worker, { free });
        });
        const candidates = Array.from(
            { length: waitingCount },
            (_, index) =>
                createCandidate(`c${index}`, {
                    taskCount: 1 + index % 8,
                    priority: index % 3,
                    gang: true,
                    sameRack: true,
                }),
        );
        planRound(createRoundInput({ workers, candidates }));
        return workerChecks;
    };

    it("checks a backlog of similar work once and not for each job again", () => {
        assert.isAtMost(countWorkerChecks(760, 400), 2 * countWorkerChecks(760, 40));
    });
});

describe("preemption", () => {
    it("preempts the runs that lose least work for each task gained", () => {
        const workers = createRacks(1, 2);
        const cheapToPreempt = addOccupant(workers[0], "cheap", { lostCoreMs: 500 });
        const costlyToPreempt = addOccupant(workers[1], "costly", { lostCoreMs: 90_000 });
        const urgent = createCandidate("urgent", { accelerators: 8, priority: 0, gang: true });
        const round = planRound(
            createRoundInput({ workers, candidates: [urgent], occupants: [costlyToPreempt, cheapToPreempt] }),
        );
        assert.deepEqual(evictedKeys(round), ["cheap"]);
        assert.deepEqual(round.claims.map(claim => claim.key), ["urgent"]);
    });

    it("preempts a gang on several workers as a whole and once", () => {
        const workers = createRacks(1, 2);
        const gang: Occupant = {
            ...addOccupant(workers[0], "gang"),
            tasks: [{ taskIndex: 0, workerId: "w0" }, { taskIndex: 1, workerId: "w1" }],
        };
        workers[1].free.accelerators -= 1;
        const urgent = createCandidate("urgent", { taskCount: 2, accelerators: 8, priority: 0, gang: true });
        const round = planRound(createRoundInput({ workers, candidates: [urgent], occupants: [gang] }));
        assert.deepEqual(evictedKeys(round), ["gang"]);
    });

    it("does not preempt work that was preempted often, except for a claimed guarantee or if it is resumable", () => {
        const planWithPreemptedThrice = (guaranteed: boolean, resumable = false): Round => {
            const workers = createRacks(1, 1);
            const occupants = [addOccupant(workers[0], "often-preempted", { evictions: 3, resumable })];
            const candidates = [createCandidate("urgent", { accelerators: 8, priority: 0, gang: true, guaranteed })];
            return planRound(createRoundInput({ workers, candidates, occupants }));
        };
        assert.deepEqual(evictedKeys(planWithPreemptedThrice(false)), []);
        assert.deepEqual(evictedKeys(planWithPreemptedThrice(true)), ["often-preempted"]);
        assert.deepEqual(evictedKeys(planWithPreemptedThrice(false, true)), ["often-preempted"]);
    });

    const evictForEqualPriority = (claimsGuarantee: boolean, isCovered: boolean): string[] => {
        const workers = createRacks(1, 1);
        const occupants = [addOccupant(workers[0], "equal", { priority: 0, guaranteed: isCovered })];
        const candidates = [
            createCandidate("urgent", { accelerators: 8, priority: 0, gang: true, guaranteed: claimsGuarantee }),
        ];
        return evictedKeys(planRound(createRoundInput({ workers, candidates, occupants })));
    };

    it("preempts work of the same priority only for a claimed guarantee, and only beyond its own guarantee", () => {
        assert.deepEqual(evictForEqualPriority(false, false), []);
        assert.deepEqual(evictForEqualPriority(true, true), []);
        assert.deepEqual(evictForEqualPriority(true, false), ["equal"]);
    });

    it("preempts urgent work beyond its guarantee last", () => {
        const workers = createRacks(1, 2);
        const urgent = addOccupant(workers[0], "urgent", { priority: 0, lostCoreMs: 1_000 });
        const normal = addOccupant(workers[1], "normal", { lostCoreMs: 10_000 });
        const candidates = [
            createCandidate("guaranteed", { accelerators: 8, priority: 0, gang: true, guaranteed: true }),
        ];
        const round = planRound(createRoundInput({ workers, candidates, occupants: [urgent, normal] }));
        assert.deepEqual(evictedKeys(round), ["normal"]);
    });

    const evictFor = (lostCoreMs: number, guaranteed: boolean): string[] => {
        const workers = createRacks(1, 1);
        const occupants = [addOccupant(workers[0], "long-running", { lostCoreMs })];
        // one second on a worker's eight accelerators and four cores
        const candidates = [createCandidate("urgent", { accelerators: 8, priority: 0, gang: true, guaranteed })];
        return evictedKeys(planRound(createRoundInput({ workers, candidates, occupants })));
    };

    it("does not lose much more work for an urgent job than the job does itself", () => {
        assert.deepEqual(evictFor(100_000, false), ["long-running"]);
        assert.deepEqual(evictFor(500_000, false), []);
    });

    it("reclaims a guarantee whatever work is lost", () => {
        assert.deepEqual(evictFor(500_000, true), ["long-running"]);
    });

    it("preempts only resumable work for a starved large gang", () => {
        const evictForStarvedGang = (resumable: boolean, evictions = 0): string[] => {
            const workers = createRacks(1, 3);
            const occupants = workers.map(worker =>
                addOccupant(worker, worker.workerId, { priority: 2, resumable, evictions })
            );
            const gang = createCandidate("gang", { taskCount: 3, accelerators: 8, priority: 1, gang: true });
            const starved = { ...gang, waitingMs: 8 * 3_600_000 };
            return evictedKeys(planRound(createRoundInput({ workers, candidates: [starved], occupants })));
        };
        assert.lengthOf(evictForStarvedGang(true), 3);
        assert.isEmpty(evictForStarvedGang(false), "work without checkpoints would be lost");
        assert.isEmpty(evictForStarvedGang(true, 3), "it was preempted often");
    });
});

describe("backfill before a blocked gang", () => {
    const placeBeside = (gang: Candidate): string[] => {
        const small = createCandidate("small", { taskCount: 2, priority: 2 });
        const round = planRound(createRoundInput({ workers: createRacks(2, 4), candidates: [gang, small] }));
        assert.isEmpty(workersOf(round, "gang"));
        return workersOf(round, "small");
    };
    const tooLarge = { taskCount: 12, accelerators: 8, gang: true, waitingMs: 5_000 };

    it("is not limited for a gang that the usable workers cannot hold", () => {
        assert.lengthOf(placeBeside(createCandidate("gang", tooLarge)), 2);
        assert.lengthOf(placeBeside(createCandidate("gang", { ...tooLarge, sameRack: true })), 2, "it may be spread");
    });
});

/** Replays bursts of urgent whole-worker gangs while small tasks arrive, as on the worst day of henhold-ne. */
const replayBursts = (withHeadroom: boolean): { evictionCount: number; } => {
    const demand = createUrgentDemand();
    const smallRuns: Occupant[] = [];
    let evictionCount = 0;
    for (let burst = 0; burst < 5; burst++) {
        const startMs = burst * 4_000;
        const idleWorkers = createRacks(2, 6);
        smallRuns.forEach(occupant => {
            const worker = idleWorkers.find(candidate => candidate.workerId === occupant.tasks[0].workerId);
            if (worker !== undefined) {
                worker.free.accelerators -= 1;
            }
        });
        const headroom = demand.expected(startMs, { accelerators: 0 }, idleWorkers);
        const candidates = [createCandidate(`small${burst}`, { taskCount: 46 })];
        const filled = planRound(
            createRoundInput({ workers: idleWorkers, candidates, urgentHeadroom: withHeadroom ? headroom : 0 }),
        );
        filled.placements.forEach(({ assignments }) =>
            assignments.forEach(({ taskIndex, workerId }) =>
                smallRuns.push({
                    key: `small${burst}.${taskIndex}`,
                    priority: 1,
                    resources: { milliCores: 4_000, memoryMb: 8_000, accelerators: 1 },
                    tasks: [{ taskIndex: 0, workerId }],
                    lostCoreMs: 10_000,
                    evictions: 0,
                    guaranteed: false,
                    resumable: false,
                })
            )
        );
        const workers = createRacks(2, 6);
        smallRuns.forEach(occupant => {
            const worker = workers.find(candidate => candidate.workerId === occupant.tasks[0].workerId);
            if (worker !== undefined) {
                worker.free.accelerators -= 1;
            }
        });
        const urgent = createCandidate("urgent", {
            taskCount: 2,
            accelerators: 8,
            priority: 0,
            gang: true,
            sameRack: true,
        });
        demand.expected(startMs + 2_000, { accelerators: 16, latestArrivalMs: startMs + 2_000 }, workers);
        const round = planRound(createRoundInput({ workers, candidates: [urgent], occupants: smallRuns }));
        evictionCount += round.evictions.length;
        round.evictions.forEach(({ occupant }) => smallRuns.splice(smallRuns.indexOf(occupant), 1));
        smallRuns.splice(0, 23);
    }
    return { evictionCount };
};

describe("headroom for bursts of urgent work", () => {
    it("is reserved after a first burst, so that later ones preempt less", () => {
        const without = replayBursts(false).evictionCount;
        assert.isAbove(without, 0, "the load preempts work without headroom");
        assert.isAtMost(replayBursts(true).evictionCount, without / 2);
    });

    it("is not withheld from a waiting gang while the fleet is mostly idle", () => {
        const workers = createRacks(2, 6);
        workers.slice(0, 10).forEach(worker => addOccupant(worker, `small-${worker.workerId}`));
        const gang = createCandidate("gang", { taskCount: 2, accelerators: 8, gang: true, sameRack: true });
        const round = planRound(createRoundInput({ workers, candidates: [gang], urgentHeadroom: 14 }));
        assert.lengthOf(workersOf(round, "gang"), 2);
    });

    it("is released when there was no burst for a while, and is bounded", () => {
        const demand = createUrgentDemand();
        const workers = createRacks(2, 6);
        assert.equal(demand.expected(0, { accelerators: 90, latestArrivalMs: 0 }, workers), 0);
        const afterBurst = demand.expected(1_000, { accelerators: 0 }, workers);
        assert.isAbove(afterBurst, 0);
        assert.isAtMost(afterBurst, 96 * 0.15);
        assert.equal(demand.expected(12_000, { accelerators: 0 }, workers), 0);
    });

    // work stood for tens of seconds beside whole workers that were kept for bursts which had ended
    it("is not reserved while the last urgent work ends and none arrives", () => {
        const demand = createUrgentDemand();
        const workers = createRacks(2, 6);
        for (let second = 0; second <= 30; second++) {
            const use = { accelerators: 90 - 3 * second, latestArrivalMs: 0 };
            const headroom = demand.expected(second * 1_000, use, workers);
            assert.equal(headroom > 0, second > 0 && second < 10, `after ${second} s`);
        }
    });
});
