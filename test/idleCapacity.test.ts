import { assert } from "chai";
import fc from "fast-check";
import { Adjacency } from "../src/configuration/types.js";
import { coreEquivalentsOf, fitCount, occupiedBy } from "../src/planning/resources.js";
import { planRound } from "../src/planning/round.js";
import type { Candidate, WorkerInfo } from "../src/planning/types.js";
import { findWaitReason } from "../src/planning/waitReason.js";
import { createCandidate, createRacks, createRoundInput } from "./fixtures/planning.js";

const rackCount = 10;
const workersPerRack = 20;

/** True with the given probability in percent. */
const sometimes = (percent: number) => fc.integer({ min: 0, max: 99 }).map(drawn => drawn < percent);

const workerState = fc.record({
    accepts: sometimes(90),
    coolingDown: sometimes(50),
    coresFree: fc.double({ min: 0, max: 1, noNaN: true }),
    memoryFree: fc.double({ min: 0, max: 1, noNaN: true }),
    acceleratorsFree: fc.double({ min: 0, max: 1, noNaN: true }),
    serves: sometimes(10),
    fills: sometimes(10),
    busyForMs: fc.integer({ min: 0, max: 6_000 }),
    hasReservation: sometimes(5),
    kind: fc.constantFrom("gpu", "gpu", "gpu", "cpu", "rare"),
});

const fleet = fc.record({
    workers: fc.array(workerState, {
        minLength: rackCount * workersPerRack,
        maxLength: rackCount * workersPerRack,
    }),
    fullRacks: fc.array(sometimes(20), { minLength: rackCount, maxLength: rackCount }),
    /** Exponent that makes the free shares smaller or larger. */
    load: fc.constantFrom(0, 0.1, 0.5, 1),
    rackOut: fc.option(fc.nat(rackCount - 1), { nil: undefined }),
    urgentHeadroom: fc.constantFrom(0, 40, 80),
});

const work = fc.record({
    taskCount: fc.constantFrom(1, 1, 2, 4, 8, 16),
    accelerators: fc.constantFrom(0, 0, 1, 2, 4, 8),
    milliCores: fc.constantFrom(500, 4_000, 16_000, 60_000),
    priority: fc.nat(2),
    gang: fc.boolean(),
    sameRack: fc.boolean(),
    mayBeSpread: sometimes(80),
    waitingMs: fc.constantFrom(0, 800, 1_600, 2_500, 6_000),
    estimateMs: fc.constantFrom(300, 1_000, 4_000, 9_000),
    dataRack: fc.option(fc.integer({ min: 1, max: rackCount + 1 }), { freq: 2, nil: undefined }),
    requiredLabel: fc.constantFrom(undefined, undefined, undefined, "gpu", "cpu", "rare"),
    maxPerWorker: fc.constantFrom(undefined, undefined, undefined, 1, 2),
    use: fc.constantFrom("counted", "counted", "counted", "fills", "serves"),
    timeToObjectiveMs: fc.constantFrom(-1, 30_000, 40_000),
    timeToExpiryMs: fc.constantFrom(-1, 60_000, 60_000),
    mustAvoid: sometimes(15),
});

type Drawn<Arbitrary> = Arbitrary extends fc.Arbitrary<infer Value> ? Value : never;

const createWorkers = ({ workers: states, fullRacks, load, rackOut }: Drawn<typeof fleet>): WorkerInfo[] =>
    createRacks(rackCount, workersPerRack).map((worker, index) => {
        const state = states[index];
        const rack = Math.floor(index / workersPerRack);
        const capacity = { ...worker.capacity, accelerators: state.kind === "cpu" ? 0 : 8 };
        const share = (free: number): number => fullRacks[rack] ? 0 : free ** load;
        const accepts = state.accepts && rack !== rackOut;
        return {
            ...worker,
            labels: [state.kind, worker.rack],
            capacity,
            free: {
                milliCores: Math.round(capacity.milliCores * share(state.coresFree)),
                memoryMb: Math.round(capacity.memoryMb * share(state.memoryFree)),
                accelerators: Math.round(capacity.accelerators * share(state.acceleratorsFree)),
            },
            usable: accepts,
            coolingDown: !accepts && state.coolingDown,
            busyForMs: state.busyForMs,
            hasServingTask: state.serves,
            hasIdleFillingTask: state.fills && !state.serves,
            hasReservation: state.hasReservation,
        };
    });

const toCandidate = (drawn: Drawn<typeof work>, index: number): Candidate => {
    const { taskCount, priority, waitingMs, timeToObjectiveMs, timeToExpiryMs, mustAvoid, estimateMs, gang } = drawn;
    return createCandidate(`c${index}`, {
        taskCount,
        priority,
        waitingMs,
        timeToObjectiveMs,
        timeToExpiryMs,
        remainingCriticalPathMs: estimateMs,
        mustAvoid,
        avoidedWorkers: new Set(mustAvoid ? ["w0", "w21", "w44"] : []),
        gang,
        step: {
            resources: {
                milliCores: drawn.milliCores,
                memoryMb: drawn.milliCores * 2,
                accelerators: drawn.accelerators,
            },
            estimateMs,
            adjacency: gang && drawn.sameRack ? Adjacency.Rack : undefined,
            mayBeSpread: drawn.mayBeSpread,
            dataRack: drawn.dataRack === undefined ? undefined : `r1-${drawn.dataRack}`,
            requiredLabel: drawn.requiredLabel,
            maxPerWorker: drawn.maxPerWorker,
            fillsIdleCores: drawn.use === "fills",
            targetMs: drawn.use === "serves" ? 50 : undefined,
        },
    });
};

const shareInUse = (workers: readonly WorkerInfo[]): number => {
    const sum = (amountOf: (worker: WorkerInfo) => number): number =>
        workers.reduce((total, worker) => total + amountOf(worker), 0);
    return 1 - sum(({ free }) => coreEquivalentsOf(free)) / sum(({ capacity }) => coreEquivalentsOf(capacity));
};

/** Whether users may count a worker on: cooldowns are the planner's own. */
const isInService = ({ usable, coolingDown }: WorkerInfo): boolean => usable || coolingDown;

/** Whether twice a candidate's tasks fit into free resources, and all of them within its limit per worker. */
const fitsTwice = (workers: readonly WorkerInfo[], { step, taskIndexes }: Candidate): boolean => {
    const sumFitting = (most: number): number =>
        workers.reduce((sum, { free }) => sum + Math.min(fitCount(free, occupiedBy(step)), most), 0);
    return sumFitting(2 * taskIndexes.length) >= 2 * taskIndexes.length
        && sumFitting(step.maxPerWorker ?? taskIndexes.length) >= taskIndexes.length;
};

const hasRoomTwice = (workers: readonly WorkerInfo[], candidate: Candidate): boolean => {
    const { step, mustAvoid, avoidedWorkers } = candidate;
    const suitable = workers.filter(isInService).filter(({ labels, workerId }) =>
        (step.requiredLabel === undefined || labels.includes(step.requiredLabel))
        && !(mustAvoid && avoidedWorkers.has(workerId))
    );
    return step.gang && step.adjacency !== undefined && !step.mayBeSpread
        ? [...new Set(suitable.map(({ rack }) => rack))].some(rack =>
            fitsTwice(suitable.filter(worker => worker.rack === rack), candidate)
        )
        : fitsTwice(suitable, candidate);
};

describe("a planning round while less than half of a service is in use", () => {
    it("places or prepares all work that has waited 1.5 s and for which there is room twice over", () => {
        let relevant = 0;
        const property = fc.property(
            fleet,
            fc.array(work, { minLength: 5, maxLength: 30, size: "max" }),
            (drawnFleet, drawnWork) => {
                const workers = createWorkers(drawnFleet);
                const candidates = drawnWork.map(toCandidate);
                const { urgentHeadroom } = drawnFleet;
                const round = planRound(createRoundInput({ workers, candidates, urgentHeadroom }));
                const decided = new Set([
                    ...round.placements.map(placement => placement.candidate.key),
                    ...round.claims.map(claim => claim.key),
                ]);
                if (shareInUse(workers) >= 0.5 && shareInUse(workers.filter(isInService)) >= 0.5) {
                    return;
                }
                relevant += 1;
                for (const candidate of candidates) {
                    const waits = candidate.waitingMs > 1_500 && !decided.has(candidate.key);
                    assert.isFalse(
                        waits && hasRoomTwice(workers, candidate),
                        `${candidate.key}: ${findWaitReason(workers, candidate, new Set())}`,
                    );
                }
            },
        );
        const { failed, counterexamplePath, errorInstance } = fc.check(property, {
            seed: 7,
            numRuns: 1_500,
            endOnFailure: true,
        });
        // the drawn fleet is too large to print
        assert.isFalse(failed, `path ${counterexamplePath}: ${String(errorInstance)}`);
        assert.isAbove(relevant, 150, "fleets that are less than half in use");
    });
});

describe("work beside workers that are kept free", () => {
    /** Whether work that has waited is placed while a share of ten workers is in use by the planner's account. */
    const isPlacedAt = (share: number): boolean => {
        const workers = createRacks(1, 10);
        let used = share * workers.length;
        for (const worker of workers) {
            const usedHere = Math.min(1, Math.max(0, used));
            used -= 1;
            worker.free.milliCores = worker.capacity.milliCores * (1 - usedHere);
            worker.free.accelerators = worker.capacity.accelerators * (1 - usedHere);
            worker.backfillWindowMs = 10;
        }
        const candidates = [createCandidate("waiting", { priority: 2, waitingMs: 2_000, step: { estimateMs: 4_000 } })];
        return planRound(createRoundInput({ workers, candidates })).placements.length > 0;
    };

    // guards against work that stood still since the planner's account was above half, and that of the workers below
    it("starts although the planner's account is slightly above that of the workers", () => {
        assert.isTrue(isPlacedAt(0.49));
        assert.isTrue(isPlacedAt(0.52));
        assert.isFalse(isPlacedAt(0.56));
    });
});
