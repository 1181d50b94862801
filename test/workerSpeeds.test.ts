import { assert } from "chai";
import { createSpeedHistory } from "../src/execution/speedHistory.js";
import type { ObservedWork } from "../src/execution/speedHistory.js";
import { createEntryMetrics } from "../src/node/entryMetrics.js";
import { estimateSpeeds } from "../src/planning/workerSpeeds.js";
import type { SpeedEstimate, SpeedObservation } from "../src/planning/workerSpeeds.js";
import { createRandom } from "../src/utils/random.js";
import type { Random } from "../src/utils/random.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";

const stepGapMs = 1_000;
const slowSpeed = 0.5;
const workerIds = Array.from({ length: 16 }, (_, index) => `w${index}`);
/** Every fourth worker runs at half speed. */
const isSlowWorker = (id: string): boolean => Number(id.slice(1)) % 4 === 0;
const unevenShare = 0.3;
const declaredError = 0.5;
/** Share of the workers that chance may make look slow: a planner of 250 workers does without a few of them at no loss. */
const maxMistakenShare = 0.02;
/** Share of the seeds in which a worker is found that shows only through its gangs; one that is missed does no harm. */
const minFoundShare = 0.9;

interface ObservedSteps {
    count: number;
    gang?: boolean;
    /** Number of workers of each step. */
    size: number;
    speedOf: (id: string) => number;
}

const drawAround = (random: Random, deviation: number): number => 1 + deviation * (2 * random() - 1);

const pickWorkers = (random: Random, count: number): string[] =>
    workerIds.map(id => ({ id, order: random() })).sort((left, right) => left.order - right.order)
        .slice(0, count).map(({ id }) => id);

/** Observes steps whose declared times are off by half, and whose independent tasks are uneven by 0.3. */
const observeSteps = ({ count, gang = false, size, speedOf }: ObservedSteps, random: Random): SpeedObservation[] =>
    Array.from({ length: count }, (_, step) => {
        const declared = drawAround(random, declaredError);
        const members = pickWorkers(random, size);
        const observe = (ids: readonly string[], deviation: number): SpeedObservation => ({
            unitKey: `job-${step}`,
            queue: "bookings",
            gang,
            workerIds: ids,
            rate: declared * Math.min(...ids.map(speedOf)) / drawAround(random, deviation),
            runs: 1,
            firstAtMs: step * stepGapMs,
            lastAtMs: step * stepGapMs + 1,
        });
        return gang ? [observe(members, 0)] : members.map(id => observe([id], unevenShare));
    }).flat();

/** Estimates as often as a planner does, with the observations that it has by then. */
const estimateRepeatedly = (observations: readonly SpeedObservation[]): ReadonlyMap<string, SpeedEstimate> => {
    let estimates: ReadonlyMap<string, SpeedEstimate> = new Map();
    for (let upTo = 1; upTo <= observations.length; upTo += 5) {
        estimates = estimateSpeeds(observations.slice(0, upTo), estimates);
    }
    return estimateSpeeds(observations, estimates);
};

const slowIds = (estimates: ReadonlyMap<string, SpeedEstimate>): string[] =>
    [...estimates].filter(([, { speed }]) => speed < 1).map(([id]) => id).sort();

const trueSlowIds = workerIds.filter(isSlowWorker).sort();
const speedOfQuarter = (id: string): number => isSlowWorker(id) ? slowSpeed : 1;
const seeds = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

describe("the estimate of workers' speeds", () => {
    it("finds the quarter of the workers that runs at half speed from the tasks of steps", () => {
        for (const seed of seeds) {
            const observations = observeSteps({ count: 25, size: 8, speedOf: speedOfQuarter }, createRandom(seed));
            const estimates = estimateRepeatedly(observations);
            assert.deepEqual(slowIds(estimates), trueSlowIds, `seed ${seed}`);
            trueSlowIds.forEach(id => assert.equal(estimates.get(id)?.speed, slowSpeed, `${id}, seed ${seed}`));
        }
    });

    it("finds them by declared times where each step has only two tasks", () => {
        for (const seed of seeds) {
            const observations = observeSteps({ count: 200, size: 2, speedOf: speedOfQuarter }, createRandom(seed));
            const found = slowIds(estimateRepeatedly(observations));
            assert.includeMembers(trueSlowIds, found, `seed ${seed}`);
            assert.isAtLeast(found.length, trueSlowIds.length - 1, `seed ${seed}`);
        }
    });

    it("finds one slow worker among gangs, and hardly ever blames another one for theirs", () => {
        const foundBySeed = seeds.map(seed => {
            const speedOf = (id: string): number => id === "w3" ? slowSpeed : 1;
            const observations = observeSteps({ count: 150, gang: true, size: 3, speedOf }, createRandom(seed));
            return slowIds(estimateRepeatedly(observations));
        });
        const blamed = foundBySeed.flat().filter(id => id !== "w3");
        assert.isAtLeast(foundBySeed.filter(found => found.includes("w3")).length / seeds.length, minFoundShare);
        assert.isAtMost(blamed.length / (seeds.length * workerIds.length), maxMistakenShare, blamed.join());
    });

    it("takes no other worker for slow among wide gangs, most of which have a slow member", () => {
        for (const seed of seeds) {
            const options = { count: 150, gang: true, size: 8, speedOf: speedOfQuarter };
            const found = slowIds(estimateRepeatedly(observeSteps(options, createRandom(seed))));
            assert.includeMembers(trueSlowIds, found, `seed ${seed}`);
        }
    });

    it("takes hardly any worker for slow where all are alike and declared times are off by half", () => {
        const found = seeds.flatMap(seed =>
            [{ size: 1 }, { size: 2 }, { size: 8 }, { size: 3, gang: true }].flatMap(options => {
                const observed = { count: 320 / options.size, speedOf: () => 1, ...options };
                return slowIds(estimateRepeatedly(observeSteps(observed, createRandom(seed))));
            })
        );
        const judged = seeds.length * 4 * workerIds.length;
        assert.isAtMost(found.length / judged, maxMistakenShare, found.join());
    });

    it("does not take a worker for slow that was held up once while several of its tasks ran", () => {
        const observations = observeSteps({ count: 9, size: 16, speedOf: () => 1 }, createRandom(1)).map(
            observation => ({
                ...observation,
                rate: observation.workerIds[0] === "w3" ? observation.rate / 4 : observation.rate,
                firstAtMs: 0,
                lastAtMs: stepGapMs,
            }),
        );
        assert.isEmpty(slowIds(estimateRepeatedly(observations)));
    });
});

/** Creates a history, and a function by which workers work side by side on steps of 1 s. */
const createHistory = () => {
    const timer = createVirtualTimer();
    const lines: { message: string; fields: Record<string, unknown>; }[] = [];
    const metrics = createEntryMetrics();
    const history = createSpeedHistory(
        timer,
        (_level, message, fields = {}) => lines.push({ message, fields }),
        metrics,
    );
    let steps = 0;
    const work = async (stepCount: number, slowSpeedNow: number): Promise<void> => {
        for (let count = 0; count < stepCount; count++) {
            await timer.advance(2_000);
            const unitKey = `job-${steps++}`;
            for (const id of workerIds) {
                const speed = isSlowWorker(id) ? slowSpeedNow : 1;
                const toMs = timer.nowMs();
                const observed: ObservedWork = {
                    unitKey,
                    queue: "bookings",
                    gang: false,
                    workers: [{ id, bornMs: 1 }],
                    workMs: 1_000,
                    fromMs: toMs - 1_000 / speed,
                    toMs,
                    isFirstOfRun: true,
                };
                history.add(observed);
            }
            history.refresh();
        }
    };
    return { timer, lines, metrics, history, work };
};

describe("the history of workers' speeds", () => {
    it("logs and counts a worker that is taken for slow once, and again when it has recovered", async () => {
        const { history, lines, metrics, work } = createHistory();
        await work(20, slowSpeed);
        assert.equal(history.speedOf({ id: "w0", bornMs: 1 }), slowSpeed);
        assert.equal(history.slowestOf([{ id: "w0", bornMs: 1 }, { id: "w1", bornMs: 1 }]), slowSpeed);
        assert.match(await metrics.render(), /catkinswitch_slow_workers 4/);
        assert.deepEqual(lines.map(({ message }) => message), trueSlowIds.map(() => "worker taken for slow"));
        await work(20, 1);
        assert.equal(history.speedOf({ id: "w0", bornMs: 1 }), 1);
        assert.lengthOf(
            lines.filter(({ message }) => message === "worker no longer taken for slow"),
            trueSlowIds.length,
        );
        assert.lengthOf(lines, 2 * trueSlowIds.length);
    });

    it("knows nothing of another incarnation of a worker, and forgets what is old", async () => {
        const { timer, history, work } = createHistory();
        await work(5, slowSpeed);
        assert.equal(history.speedOf({ id: "w0", bornMs: 1 }), slowSpeed);
        assert.equal(history.speedOf({ id: "w0", bornMs: 2 }), 1);
        await timer.advance(125_000);
        history.refresh();
        assert.equal(history.speedOf({ id: "w0", bornMs: 1 }), 1);
    });
});
