import { assert } from "chai";
import { planRound } from "../src/planning/round.js";
import type { Round, WorkerInfo } from "../src/planning/types.js";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";
import { addOccupant, createCandidate, createRacks, createRoundInput, createWorker } from "./fixtures/planning.js";

const workersOf = (round: Round, key: string): string[] =>
    round.placements.filter(placement => placement.candidate.key === key)
        .flatMap(placement => placement.assignments.map(assignment => assignment.workerId));

describe("work of the same size as work that did not fit", () => {
    it("is placed if it ends within a backfill window and the other does not", () => {
        const workers = createRacks(1, 2);
        workers.forEach(worker => {
            addOccupant(worker, worker.workerId);
            worker.busyForMs = 3_000;
        });
        const candidates = [
            createCandidate("gang", { taskCount: 2, accelerators: 8, gang: true, waitingMs: 1_000 }),
            createCandidate("long", { step: { estimateMs: 5_000 }, timeToObjectiveMs: 6_000 }),
            createCandidate("short", { step: { estimateMs: 1_000 }, timeToObjectiveMs: 8_000 }),
        ];
        const round = planRound(createRoundInput({ workers, candidates }));
        assert.isEmpty(workersOf(round, "long"));
        assert.lengthOf(workersOf(round, "short"), 1);
    });

    it("is placed if it uses cores that other tasks leave idle", () => {
        const worker = createWorker("w0", { free: { milliCores: 0, memoryMb: 64_000, accelerators: 4 } });
        const candidates = [
            createCandidate("counted", { timeToObjectiveMs: 2_000 }),
            createCandidate("filling", { step: { fillsIdleCores: true } }),
        ];
        const round = planRound(createRoundInput({ workers: [worker], candidates }));
        assert.isEmpty(workersOf(round, "counted"));
        assert.deepEqual(workersOf(round, "filling"), ["w0"]);
    });

    it("is placed if it serves nobody and the other one must not share the worker with a filling task", () => {
        const worker = createWorker("w0", { hasIdleFillingTask: true });
        const candidates = [
            createCandidate("serving", { step: { targetMs: 50 }, timeToObjectiveMs: 2_000 }),
            createCandidate("other"),
        ];
        const round = planRound(createRoundInput({ workers: [worker], candidates }));
        assert.isEmpty(workersOf(round, "serving"));
        assert.deepEqual(workersOf(round, "other"), ["w0"]);
    });

    it("is placed if the other one was only limited in its tasks per worker", () => {
        const step = { maxPerWorker: 1 };
        const candidates = ["first", "second"].map(key => createCandidate(key, { taskCount: 2, step }));
        const round = planRound(createRoundInput({ workers: [createWorker("w0")], candidates }));
        assert.deepEqual(workersOf(round, "first"), ["w0"]);
        assert.deepEqual(workersOf(round, "second"), ["w0"]);
    });
});

describe("a limit of tasks per worker", () => {
    it("holds for tasks placed in a round and runs preempted for the others together", () => {
        const workers = createRacks(1, 2);
        const occupant = addOccupant(workers[1], "other", { lostCoreMs: 10 });
        workers[1].free = { milliCores: 0, memoryMb: 0, accelerators: 0 };
        const urgent = createCandidate("urgent", { taskCount: 2, priority: 0, step: { maxPerWorker: 1 } });
        const round = planRound(createRoundInput({ workers, candidates: [urgent], occupants: [occupant] }));
        assert.deepEqual(workersOf(round, "urgent"), ["w0"]);
        const claimed = round.claims.flatMap(({ assignments }) => assignments.map(({ workerId }) => workerId));
        assert.deepEqual(claimed, ["w1"]);
    });
});

describe("work bound to a rack", () => {
    it("does not wait for a data rack without a worker that could run the task", () => {
        const near = (change: Partial<WorkerInfo>): WorkerInfo => createWorker("near", { rack: "r1-1", ...change });
        const place = (nearWorkers: WorkerInfo[], step: Parameters<typeof createStep>[0] = {}): string[] => {
            const full = { milliCores: 4_000, memoryMb: 8_000, accelerators: 1 };
            const far = createWorker("far", { rack: "r1-2", labels: ["b"], free: full });
            const tasks = createCandidate("tasks", { step: { dataRack: "r1-1", ...step } });
            return workersOf(
                planRound(createRoundInput({ workers: [...nearWorkers, far], candidates: [tasks] })),
                "tasks",
            );
        };
        assert.deepEqual(place([]), ["far"], "no worker there");
        assert.deepEqual(place([near({ usable: false })]), ["far"], "its zone is out of service");
        assert.deepEqual(place([near({})], { requiredLabel: "b" }), ["far"], "no worker there has the label");
        const small = { milliCores: 2_000, memoryMb: 4_000, accelerators: 1 };
        assert.deepEqual(place([near({ capacity: small, free: { ...small } })]), ["far"], "its workers are too small");
        const busy = near({ free: { milliCores: 0, memoryMb: 0, accelerators: 0 } });
        assert.deepEqual(place([busy]), [], "the rack is busy");
    });
});

describe("work that has waited 1.5 s beside idle capacity of its service", () => {
    const waitingMs = 1_600;
    const full = { milliCores: 0, memoryMb: 0, accelerators: 0 };

    /** Two racks of four workers; the first is full, and on the second all accelerators but two a worker are in use. */
    const createBusyAccelerators = (): WorkerInfo[] => {
        const workers = createRacks(2, 4);
        workers.slice(0, 4).forEach(worker => {
            worker.free = { ...worker.capacity, accelerators: 0 };
        });
        workers.slice(4).forEach(worker => {
            worker.free = { ...worker.capacity, accelerators: 7 };
        });
        return workers;
    };

    const place = (
        workers: WorkerInfo[],
        options: Parameters<typeof createCandidate>[1],
        urgentHeadroom = 0,
    ): string[] => {
        const candidates = [createCandidate("waiting", { waitingMs, ...options })];
        return workersOf(planRound(createRoundInput({ workers, candidates, urgentHeadroom })), "waiting");
    };

    it("runs far from its data if less than half of the service is in use, all resources together", () => {
        const tasks = { accelerators: 1, step: { dataRack: "r1-1" } };
        const gang = { taskCount: 2, accelerators: 7, gang: true, step: { dataRack: "r1-1" } };
        assert.lengthOf(place(createBusyAccelerators(), tasks), 1);
        assert.lengthOf(place(createBusyAccelerators(), gang), 2);
        assert.isEmpty(place(createBusyAccelerators(), { ...tasks, waitingMs: 1_400 }));
    });

    it("runs far from its data if it needs no accelerator and less than half of the cores are in use", () => {
        const workers = createRacks(2, 4);
        workers.forEach(worker => {
            worker.free.accelerators = 0;
        });
        workers.slice(0, 4).forEach(worker => {
            worker.free.milliCores = 7_000;
        });
        workers.slice(4).forEach(worker => {
            worker.free.milliCores = 60_000;
        });
        assert.lengthOf(
            place(workers, {
                accelerators: 0,
                step: { dataRack: "r1-1", resources: { milliCores: 8_000, memoryMb: 100, accelerators: 0 } },
            }),
            1,
        );
    });

    it("is not held back by a fuller service, nor by workers that are out of service", () => {
        const otherService = createRacks(10, 4).map(worker => ({
            ...worker,
            workerId: `other-${worker.workerId}`,
            service: "other",
            free: full,
        }));
        const busyRack = createRacks(1, 4).map(worker => ({ ...worker, free: full }));
        const idle = createWorker("idle", { rack: "r1-2" });
        const idleRack = [idle, ...[1, 2, 3, 4].map(index => createWorker(`idle${index}`, { rack: "r1-2" }))];
        const tasks = { step: { dataRack: "r1-1" } };
        assert.lengthOf(place([...otherService, ...busyRack, ...idleRack], tasks), 1);
        const outOfService = createRacks(5, 4).map(worker => ({
            ...worker,
            workerId: `out-${worker.workerId}`,
            rack: "r2",
            usable: false,
            free: full,
        }));
        assert.lengthOf(place([...outOfService, ...busyRack, ...idleRack], tasks), 1);
        assert.isEmpty(place([...busyRack, ...idleRack.slice(0, 3)], tasks), "more than half is in use");
    });

    it("starts the tasks that do not fit near their data elsewhere", () => {
        const workers = createRacks(2, 4);
        workers.slice(0, 3).forEach(worker => {
            worker.free = { ...full };
        });
        const used = place(workers, { taskCount: 12, step: { dataRack: "r1-1" } });
        assert.lengthOf(used, 12);
        assert.lengthOf(used.filter(workerId => workerId === "w3"), 8, "near its data as far as there is room");
    });

    /** One rack, every worker with a short run, and a gang of all of them that is blocked. */
    const placeBesideBlockedGang = (estimateMs: number, workers: WorkerInfo[]): string[] => {
        workers.forEach(worker => {
            addOccupant(worker, worker.workerId);
            worker.busyForMs = 1_000;
        });
        const candidates = [
            createCandidate("gang", { taskCount: 4, accelerators: 8, gang: true, waitingMs: 1_000 }),
            createCandidate("waiting", { waitingMs, step: { estimateMs }, timeToObjectiveMs: 20_000 }),
        ];
        return workersOf(planRound(createRoundInput({ workers, candidates })), "waiting");
    };

    it("runs on workers that are kept free for a blocked gang", () => {
        assert.lengthOf(placeBesideBlockedGang(5_000, createRacks(1, 4)), 1);
        assert.deepEqual(placeBesideBlockedGang(5_000, createRacks(1, 5)), ["w4"], "other workers first");
    });

    it("runs on workers that are kept free for urgent work", () => {
        const workers = createRacks(2, 4);
        workers.forEach(worker => {
            worker.free.accelerators = 2;
        });
        workers.slice(6).forEach(worker => {
            worker.free.accelerators = 8;
        });
        const gang = { taskCount: 2, accelerators: 8, gang: true };
        assert.isEmpty(place(structuredClone(workers), { ...gang, waitingMs: 1_400 }, 16));
        assert.deepEqual(place(structuredClone(workers), gang, 16).sort(), ["w6", "w7"]);
        assert.lengthOf(place(structuredClone(workers), { accelerators: 8 }, 8), 1);
    });
});

describe("work with a claim whose room is not free yet", () => {
    const planWithClaim = (waitingMs: number, reservedWorkers?: readonly string[]): Round => {
        const workers = createRacks(1, 2);
        addOccupant(workers[0], "stopping");
        const options = { taskCount: 1, accelerators: 8, priority: 0, gang: true, waitingMs, reservedWorkers };
        const candidates = [
            createCandidate("urgent", options),
            createCandidate("other", { accelerators: 7, timeToObjectiveMs: 9_000 }),
        ];
        const claim = {
            key: "urgent",
            resources: candidates[0].step.resources,
            assignments: [{ taskIndex: 0, workerId: "w0" }],
            madeAtMs: 0,
        };
        return planRound(createRoundInput({ nowMs: 1_000, workers, candidates, claims: [claim] }));
    };

    it("starts elsewhere after 1.5 s and gives the claim up", () => {
        const round = planWithClaim(1_600);
        assert.deepEqual(workersOf(round, "urgent"), ["w1"]);
        assert.isEmpty(round.claims);
        assert.deepEqual(workersOf(round, "other"), ["w0"], "the claimed room is free for others");
    });

    it("waits for it before that, and on its reservation", () => {
        assert.isEmpty(workersOf(planWithClaim(1_400), "urgent"));
        assert.isEmpty(workersOf(planWithClaim(1_600, ["w0"]), "urgent"));
    });
});

describe("headroom for bursts", () => {
    it("is not reserved on workers without accelerators", () => {
        const cores = { milliCores: 64_000, memoryMb: 256_000, accelerators: 0 };
        const withoutAccelerators = createWorker("cores", { capacity: cores, free: { ...cores } });
        const accelerated = createWorker("accelerated", { free: { ...cores, accelerators: 1 } });
        const workers = [withoutAccelerators, accelerated];
        const task = createCandidate("task", { taskCount: 16, accelerators: 0 });
        const round = planRound(createRoundInput({ workers, candidates: [task], urgentHeadroom: 1 }));
        assert.isFalse(withoutAccelerators.isUrgentHeadroom);
        assert.deepEqual(new Set(workersOf(round, "task")), new Set(["cores"]));
    });
});

describe("work while all workers have a cooldown", () => {
    /** Three jobs whose tasks fail at once, each on all four workers. */
    const createFailedFleet = async (): Promise<Fleet> => {
        const fleet = createFleet({ workerCount: 4, vmCount: 1 });
        await fleet.timer.advance(1_000);
        const step = createStep({ taskCount: 4, maxPerWorker: 1 });
        for (const id of ["bad1", "bad2", "bad3"]) {
            await fleet.submit(createSubmission(id, [step], { maxAttempts: 4 }, { workMs: 100, failures: 10 }));
        }
        await fleet.timer.advance(9_000);
        return fleet;
    };

    it("starts within 3 s on an idle fleet, also after failures of its own", async () => {
        const fleet = await createFailedFleet();
        const submittedMs = fleet.timer.nowMs();
        await fleet.submit(createSubmission("good", [createStep()], {}, { workMs: 500 }));
        await fleet.timer.advance(4_000);
        const [good] = fleet.spans.filter(span => span.task.startsWith("good."));
        assert.isDefined(good, "started");
        assert.isBelow(good.fromMs - submittedMs, 3_000);
        const starts = fleet.spans.filter(span => span.task === "bad1.0.0.0").map(span => span.fromMs);
        assert.lengthOf(starts, 4, "every attempt was made");
        starts.slice(1).forEach((fromMs, index) => assert.isBelow(fromMs - starts[index], 3_000));
    });
});

describe("workers with a cooldown", () => {
    const coolDown = (worker: WorkerInfo): WorkerInfo => Object.assign(worker, { usable: false, coolingDown: true });
    const place = (workers: WorkerInfo[], options: Parameters<typeof createCandidate>[1]): string[] => {
        const candidates = [createCandidate("waiting", options)];
        return workersOf(planRound(createRoundInput({ workers, candidates })), "waiting");
    };

    it("are the last choice, for work that has waited 1.5 s without interruption", () => {
        const cooling = (): WorkerInfo[] => createRacks(1, 2).map(coolDown);
        assert.isEmpty(place(cooling(), { waitingMs: 1_400 }));
        assert.isEmpty(place(cooling(), { waitingMs: 9_000, uninterruptedWaitMs: 100 }), "a run of it has just ended");
        assert.lengthOf(place(cooling(), { waitingMs: 1_600 }), 1);
        const withUsable = [...cooling(), createWorker("usable", { suspicion: 9 })];
        assert.deepEqual(place(withUsable, { waitingMs: 1_600, taskCount: 2 }), ["usable", "usable"]);
        assert.lengthOf(place(cooling(), { waitingMs: 1_600, taskCount: 2, accelerators: 8, gang: true }), 2);
    });

    it("have no runs preempted on them", () => {
        const workers = createRacks(1, 1).map(coolDown);
        const occupants = [addOccupant(workers[0], "other", { lostCoreMs: 10 })];
        const urgent = createCandidate("urgent", { waitingMs: 1_600, accelerators: 8, priority: 0 });
        assert.isEmpty(planRound(createRoundInput({ workers, candidates: [urgent], occupants })).evictions);
    });
});
