import { assert } from "chai";
import fc from "fast-check";
import { unlimited } from "../src/planning/customerBudgets.js";
import { delayLoss, remainingValue, workToEarn } from "../src/planning/delayCost.js";
import { orderCandidates } from "../src/planning/order.js";
import { findPostponements } from "../src/planning/overload.js";
import type { OverloadInput } from "../src/planning/overload.js";
import { planRound } from "../src/planning/round.js";
import type { Candidate, Postponements, WorkerInfo } from "../src/planning/types.js";
import { createStep, createSubmission } from "./fixtures/fleet.js";
import { createCandidate, createRacks, createRoundInput, createWorker } from "./fixtures/planning.js";
import type { CandidateOptions } from "./fixtures/planning.js";

const noResources = { milliCores: 0, memoryMb: 0, accelerators: 0 };

/** Work of `accelerators` for 1 s that just meets its objective in 1.2 s. */
const createDue = (key: string, accelerators: number, options: CandidateOptions = {}): Candidate =>
    createCandidate(key, { accelerators, timeToObjectiveMs: 1_200, step: { estimateMs: 1_000 }, ...options });

/** A worker of eight accelerators that is full; its runs end after the given mean time. */
const createFullWorker = (workerId: string, meanRemainingMs: number, overrides: Partial<WorkerInfo> = {}): WorkerInfo =>
    createWorker(workerId, { free: { ...noResources }, endingShare: 1, meanRemainingMs, ...overrides });

const findPostponed = (
    candidates: readonly Candidate[],
    workers: readonly WorkerInfo[],
    overrides: Partial<OverloadInput> = {},
): string[] => {
    const ordered = orderCandidates(candidates);
    const none = { beyondShares: new Set<Candidate>(), customerUses: new Map(), previous: new Map() };
    const postponements = findPostponements({ nowMs: 0, ordered, workers, ...none, ...overrides });
    return [...postponements].filter(([, { active }]) => active).map(([key]) => key);
};

const createPrevious = (key: string, sinceMs: number): Postponements =>
    new Map([[key, { sinceMs, active: true, returned: false }]]);

/** A wide job that is due first, and five small ones; a worker of eight accelerators completes either in time. */
const createWideAndSmall = (options: CandidateOptions = {}): Candidate[] => [
    createDue("wide", 8, { timeToObjectiveMs: 1_100, ...options }),
    ...["a", "b", "c", "d", "e"].map(key => createDue(key, 1, options)),
];

describe("the cost of delaying work", () => {
    it("is highest for urgent work, lower for late work, and nothing for expired work", () => {
        const losses = [
            createDue("urgent", 1, { priority: 0 }),
            createDue("on time", 1),
            createDue("low", 1, { priority: 2 }),
            createDue("late", 1, { priority: 2, timeToObjectiveMs: 0 }),
            createDue("expired", 1, { priority: 2, timeToObjectiveMs: -1, timeToExpiryMs: 0 }),
        ].map(delayLoss);
        assert.deepEqual(losses, [...losses].sort((left, right) => right - left));
        assert.equal(new Set(losses).size, losses.length);
        assert.equal(losses.at(-1), 0);
    });

    it("relates to the work that is left, so that a step of which most is done takes little", () => {
        const whole = createCandidate("tasks", { taskCount: 40 });
        const rest = { ...whole, taskIndexes: [39] };
        assert.equal(workToEarn(rest, "accelerators") * 40, workToEarn(whole, "accelerators"));
        assert.equal(remainingValue(rest), remainingValue(whole));
    });

    it("counts the steps that depend on the waiting one, and no others", () => {
        const steps = [
            createStep({ estimateMs: 1_000 }),
            createStep({ estimateMs: 1_000 }),
            createStep({ estimateMs: 1_000, after: [0] }),
            createStep({ estimateMs: 1_000, after: [2] }),
        ];
        const job = createSubmission("job", steps);
        const candidate = { ...createCandidate("job.0.0"), job, step: steps[0], taskIndexes: [0] };
        assert.equal(workToEarn(candidate, "milliCores"), steps[0].resources.milliCores * 3_000);
    });
});

// guards against a wide job that is due first and makes several others miss their objectives
describe("work that cannot all be completed in time", () => {
    it("goes after work that loses more for what it takes", () => {
        const candidates = createWideAndSmall();
        const round = planRound(createRoundInput({ workers: [createWorker("w0")], candidates }));
        assert.sameMembers(round.placements.map(({ candidate }) => candidate.key), ["a", "b", "c", "d", "e"]);
        assert.isTrue(round.postponements.get("wide")?.active);
    });

    it("goes in its order if the delay of each costs the same", () => {
        const candidates = ["a", "b"].map((key, index) => createDue(key, 8, { timeToObjectiveMs: 1_200 + index }));
        assert.deepEqual(findPostponed(candidates, [createWorker("w0")]), ["b"]);
    });

    it("takes the room that other work leaves in the same round", () => {
        const workers = createRacks(1, 2);
        const small = ["a", "b", "c", "d"].map(key => createDue(key, 2));
        const candidates = [createDue("gang", 4, { taskCount: 3, gang: true, timeToObjectiveMs: 1_100 }), ...small];
        assert.deepEqual(findPostponed(candidates, workers), ["gang"]);
        candidates[0] = createDue("tasks", 4, { taskCount: 3, timeToObjectiveMs: 1_100 });
        const round = planRound(createRoundInput({ workers, candidates }));
        assert.equal(round.placements.at(-1)?.candidate.key, "tasks");
        assert.lengthOf(round.placements.at(-1)?.assignments ?? [], 2);
    });

    it("stays within its tier: guarantees, urgent work and starved gangs keep their precedence", () => {
        const starved = { gang: true, taskCount: 3, waitingMs: 3_000_000 };
        const first = [
            createDue("guaranteed", 8, { guaranteed: true }),
            createDue("urgent", 8, { priority: 0 }),
            createDue("starved", 8, starved),
        ];
        const workers = createRacks(1, 3);
        const postponed = findPostponed([...first, ...createWideAndSmall()], workers);
        assert.notIncludeMembers(postponed, ["guaranteed", "starved"]);
        const keys = planRound(createRoundInput({ workers, candidates: [...createWideAndSmall(), ...first] }))
            .placements.map(({ candidate }) => candidate.key);
        assert.deepEqual(keys.slice(0, 2), ["guaranteed", "urgent"]);
    });

    it("counts work beyond its customer's share before any other", () => {
        const within = ["a", "b"].map(key => createDue(key, 3));
        const beyond = ["c", "d"].map(key => createDue(key, 1));
        const capacity = { milliCores: 64_000, memoryMb: 256_000, accelerators: 5 };
        const workers = [createWorker("w0", { capacity, free: capacity })];
        const beyondShares = new Set(beyond);
        assert.sameMembers(findPostponed([...within, ...beyond], workers), ["b"]);
        assert.sameMembers(findPostponed([...within, ...beyond], workers, { beyondShares }), ["c", "d"]);
    });

    it("does not include what a customer's limit keeps from starting anyway", () => {
        const use = { maximum: { ...unlimited, accelerators: 5 }, used: noResources, stopping: noResources };
        const customerUses = new Map([["hotel", use]]);
        const candidates = createWideAndSmall().reverse();
        assert.deepEqual(findPostponed(candidates, [createWorker("w0")], { customerUses }), []);
    });

    it("is judged for urgent work with what it can preempt", () => {
        const candidates = createWideAndSmall({ priority: 0 });
        const full = [createFullWorker("w0", 60_000), createFullWorker("w1", 60_000)];
        assert.isNotEmpty(findPostponed(candidates, full));
        assert.deepEqual(findPostponed(candidates, full.map(worker => ({ ...worker, preemptibleShare: 1 }))), []);
    });

    it("does not include what the workers could never run", () => {
        const impossible = createDue("impossible", 9, { priority: 0 });
        const candidates = [impossible, ...createWideAndSmall().slice(1)];
        assert.deepEqual(findPostponed(candidates, [createWorker("w0")]), []);
    });
});

// guards against a changed order where everything can be completed in time
describe("work that can all be completed in time", () => {
    it("keeps its order and its placements", () => {
        const option = fc.record({
            priority: fc.integer({ min: 0, max: 2 }),
            accelerators: fc.integer({ min: 1, max: 8 }),
            taskCount: fc.integer({ min: 1, max: 3 }),
            gang: fc.boolean(),
            timeToObjectiveMs: fc.integer({ min: -1_000, max: 9_000 }),
        });
        fc.assert(
            fc.property(fc.array(option, { maxLength: 6 }), options => {
                const candidates = options.map((entry, index) => createCandidate(`c${index}`, entry));
                const round = planRound(createRoundInput({ workers: createRacks(3, 9), candidates }));
                const keys = orderCandidates(candidates).map(({ key }) => key);
                assert.deepEqual(round.placements.map(({ candidate }) => candidate.key), keys);
                assert.equal(round.postponements.size, 0);
            }),
            { seed: 7, numRuns: 200 },
        );
    });

    it("includes work that waits for runs which end soon, and not for long-running ones", () => {
        const candidates = createWideAndSmall({ timeToObjectiveMs: 4_000 });
        assert.deepEqual(findPostponed(candidates, [createFullWorker("w0", 1_000)]), []);
        assert.isNotEmpty(findPostponed(candidates, [createFullWorker("w0", 3_500)]));
        assert.isNotEmpty(findPostponed(candidates, [createFullWorker("w0", 1_000, { endingShare: 0 })]));
    });
});

// guards against an order that changes from round to round, and against work that is postponed for ever
describe("postponed work", () => {
    const workers = [createWorker("w0")];
    /** Two jobs of about equal cost, of which one can be completed in time; the first costs slightly less. */
    const createEqual = (): Candidate[] => [createDue("first", 6), createDue("second", 5.8)];

    it("stays the same while other work costs hardly less", () => {
        assert.deepEqual(findPostponed(createEqual(), workers), ["first"]);
        assert.deepEqual(findPostponed(createEqual(), workers, { previous: createPrevious("second", 0) }), ["second"]);
    });

    it("returns when the work falls clearly below what can be done", () => {
        const previous = createPrevious("first", 0);
        const candidates = [createDue("first", 5), createDue("second", 4)];
        assert.deepEqual(findPostponed(candidates, workers), []);
        assert.deepEqual(findPostponed(candidates, workers, { previous }), ["first"]);
        const fewer = [createDue("first", 5), createDue("second", 3)];
        assert.deepEqual(findPostponed(fewer, workers, { previous }), []);
    });

    it("returns after its objective, for as long as it waits", () => {
        const candidates = createEqual();
        const objectiveMs = candidates[0].job.slackFactor * 1_000 + candidates[0].job.targetLatencyMs;
        const postponedFor = (sinceMs: number): string[] =>
            findPostponed(candidates, workers, { nowMs: objectiveMs + 1, previous: createPrevious("first", sinceMs) });
        assert.deepEqual(postponedFor(2), ["first"]);
        assert.deepEqual(postponedFor(0), ["second"]);
    });
});
