import { assert } from "chai";
import fc from "fast-check";
import { Urgency } from "../src/configuration/types.js";
import { cellsOf, repairCells, syncCells } from "../src/scheduling/cells.js";
import { createFleet } from "../src/scheduling/fleet.js";
import { findGuaranteedOption } from "../src/scheduling/guaranteed.js";
import { createLedger } from "../src/scheduling/ledger.js";
import type { Ledger } from "../src/scheduling/ledger.js";
import type { QueuedJob } from "../src/scheduling/order.js";
import { DecisionKind, planRound } from "../src/scheduling/plan.js";
import { createRunTimeModel } from "../src/scheduling/runTimes.js";
import { AllocationClass } from "../src/scheduling/types.js";
import { buildGuarantee, buildJob, buildShape } from "./fixtures/jobs.js";
import { buildWorkers } from "./fixtures/workers.js";

const statements = [
    buildGuarantee("alpha", 16, 2, true),
    buildGuarantee("beta", 8, 2, true),
    buildGuarantee("gamma", 24, 1),
];

interface World {
    ledger: Ledger;
    queue: Map<string, QueuedJob>;
    nowMs: number;
    unplaced: string[];
}

const createWorld = (): World => {
    const ledger = createLedger(createFleet(buildWorkers(["a", "b", "c"], 6)));
    const unplaced = syncCells(ledger, cellsOf(statements));
    return { ledger, queue: new Map(), nowMs: 0, unplaced };
};

/** Plans until nothing changes; victims leave and queue again at once. */
const settle = (world: World): void => {
    for (let rounds = 0; rounds < 6; rounds++) {
        world.nowMs += 1_000;
        const { ledger, queue, nowMs } = world;
        const decisions = planRound({ ledger, queue: [...queue.values()], runTimes: createRunTimeModel(), nowMs });
        for (const decision of decisions) {
            if (decision.kind === DecisionKind.Reclaim) {
                for (const victim of decision.victims) {
                    ledger.deallocate(victim.job.id);
                    queue.set(victim.job.id, { spec: victim.job, attempts: victim.attempt, notBeforeMs: 0 });
                }
            }
            else {
                queue.delete(decision.job.spec.id);
            }
        }
    }
};

const usesOf = (ledger: Ledger, unit: string): number =>
    [...ledger.allocations.values()].filter(allocation => allocation.guaranteeUnit === unit).length;

/** Every unused unit of a guarantee can be had by stopping borrowers alone. */
const assertReclaimable = (world: World): void => {
    for (const cell of world.ledger.cells.values()) {
        const claimed = [...world.ledger.claims.values()].some(claim => claim.guaranteeUnit === cell.unit);
        if (world.unplaced.includes(cell.unit) || claimed || usesOf(world.ledger, cell.unit) > 0) {
            continue;
        }
        const job = buildJob({ id: "probe", customer: cell.customer, shape: cell.shape, urgency: Urgency.Urgent });
        const option = findGuaranteedOption(world.ledger, job, world.nowMs);
        assert.isDefined(option, `${cell.unit} cannot be reclaimed`);
        assert.isTrue(option?.victims.every(victim => victim.class === AllocationClass.Borrowed));
    }
};

/** No worker holds more than it has. */
const assertWithinCapacity = (world: World): void => {
    for (const worker of world.ledger.fleet.workers.values()) {
        assert.isAtLeast(world.ledger.free(worker).accelerators, 0, `${worker.name} is overbooked`);
        assert.isAtLeast(world.ledger.outsideCells(worker).accelerators, 0, `cells on ${worker.name} overlap`);
    }
};

type Operation =
    | { kind: "submit"; customer: string; tasks: number; perTask: number; urgency: Urgency; checkpointable: boolean; }
    | { kind: "finish"; pick: number; }
    | { kind: "loseWorker"; pick: number; }
    | { kind: "returnWorkers"; }
    | { kind: "zone"; zone: string; out: boolean; }
    | { kind: "shrink"; count: number; };

const operations = fc.array(
    fc.oneof<fc.Arbitrary<Operation>[]>(
        fc.record({
            kind: fc.constant("submit" as const),
            customer: fc.constantFrom("alpha", "beta", "gamma", "borrower", "other"),
            tasks: fc.constantFrom(1, 2, 4, 8, 12, 16, 24),
            perTask: fc.constantFrom(1, 2),
            urgency: fc.constantFrom(...Object.values(Urgency)),
            checkpointable: fc.boolean(),
        }),
        fc.record({ kind: fc.constant("finish" as const), pick: fc.nat() }),
        fc.record({ kind: fc.constant("loseWorker" as const), pick: fc.nat() }),
        fc.record({ kind: fc.constant("returnWorkers" as const) }),
        fc.record({ kind: fc.constant("zone" as const), zone: fc.constantFrom("a", "b", "c"), out: fc.boolean() }),
        fc.record({ kind: fc.constant("shrink" as const), count: fc.integer({ min: 1, max: 2 }) }),
    ),
    { maxLength: 40 },
);

const stopUnusable = (world: World): void => {
    for (const allocation of [...world.ledger.allocations.values()]) {
        if (allocation.members.some(member => world.ledger.fleet.workers.get(member.worker)?.usable === false)) {
            world.ledger.deallocate(allocation.job.id);
        }
    }
    world.unplaced = repairCells(world.ledger);
};

const apply = (world: World, operation: Operation, index: number): void => {
    const { ledger } = world;
    const workers = [...ledger.fleet.workers.values()];
    const running = [...ledger.allocations.keys()];
    switch (operation.kind) {
        case "submit": {
            const { customer, urgency, checkpointable } = operation;
            const shape = buildShape(operation.tasks, operation.perTask);
            const spec = buildJob({
                id: `job-${index}`,
                customer,
                urgency,
                checkpointable,
                shape,
                submittedAtMs: world.nowMs,
            });
            world.queue.set(spec.id, { spec, attempts: 0, notBeforeMs: 0 });
            return;
        }
        case "finish":
            if (running.length > 0) {
                ledger.deallocate(running[operation.pick % running.length]);
            }
            return;
        case "loseWorker":
            workers[operation.pick % workers.length].usable = false;
            return stopUnusable(world);
        case "returnWorkers":
            workers.forEach(worker => {
                worker.usable = true;
            });
            return stopUnusable(world);
        case "zone":
            workers.filter(worker => worker.availabilityZone === operation.zone).forEach(worker => {
                worker.usable = !operation.out;
            });
            return stopUnusable(world);
        case "shrink":
            world.unplaced = syncCells(
                ledger,
                cellsOf([buildGuarantee("alpha", 16, operation.count, true), ...statements.slice(1)]),
            );
    }
};

describe("guarantees", () => {
    it("can be reclaimed after every step of any sequence of operations", () => {
        fc.assert(
            fc.property(operations, sequence => {
                const world = createWorld();
                sequence.forEach((operation, index) => {
                    apply(world, operation, index);
                    assertReclaimable(world);
                    settle(world);
                    assertReclaimable(world);
                    assertWithinCapacity(world);
                });
            }),
            { seed: 20, numRuns: 150 },
        );
    });

    it("take back lent accelerators from borrowers that lose least", () => {
        const world = createWorld();
        for (let index = 0; index < 18; index++) {
            const spec = buildJob({ id: `borrower-${index}`, shape: buildShape(8), checkpointable: index % 2 === 0 });
            world.queue.set(spec.id, { spec, attempts: 0, notBeforeMs: 0 });
        }
        settle(world);
        world.nowMs += 3_600_000;
        const job = buildJob({ id: "owner", customer: "beta", shape: buildShape(8), urgency: Urgency.Urgent });
        const option = findGuaranteedOption(world.ledger, job, world.nowMs);
        assert.lengthOf(option?.victims ?? [], 1);
        assert.isTrue(option?.victims[0].job.checkpointable);
    });

    it("are not held up by what borrowers have claimed", () => {
        const world = createWorld();
        const workers = [...world.ledger.fleet.workers.values()].map(worker => ({ worker: worker.name, taskCount: 8 }));
        const claim = {
            shape: buildShape(8),
            class: AllocationClass.Borrowed,
            readyAtMs: 0,
            madeAtMs: 0,
            backfill: false,
        };
        workers.forEach((member, index) =>
            world.ledger.setClaim({ ...claim, jobId: `claim-${index}`, members: [member] })
        );
        assertReclaimable(world);
    });

    it("move to the zones that are left when one is taken out", () => {
        const world = createWorld();
        apply(world, { kind: "zone", zone: "a", out: true }, 0);
        const mustHold = [...world.ledger.cells.values()].filter(cell => cell.holdsWithZoneOut);
        assert.lengthOf(mustHold, 4);
        assert.isTrue(mustHold.every(cell => cell.members.every(member => !member.worker.startsWith("a-"))));
        assert.isTrue(mustHold.every(cell => cell.members.length > 0));
    });
});
