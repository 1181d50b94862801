import { assert } from "chai";
import { createSpeedHistory } from "../src/execution/speedHistory.js";
import { createEntryMetrics } from "../src/node/entryMetrics.js";
import { estimateSpeeds } from "../src/planning/workerSpeeds.js";
import type { SpeedEstimates, SpeedObservation } from "../src/planning/workerSpeeds.js";
import { createRandom } from "../src/utils/random.js";
import type { Random } from "../src/utils/random.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";

const slowSpeed = 0.5;
const workerIds = Array.from({ length: 16 }, (_, index) => `w${index}`);
const quarter = workerIds.filter((_, index) => index % 4 === 0);
/** Share of the workers that chance may make look slow: a planner of 250 workers does without a few of them at no loss. */
const maxMistakenShare = 0.02;
const seeds = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

/** Steps of so many tasks, independent ones or a gang, and the share of the slow workers that has to be found by them. */
type Case = [
    title: string,
    slow: readonly string[],
    steps: number,
    tasks: number,
    gang: boolean,
    minFoundShare: number,
];

const alikeBySteps: Case = ["takes none for slow where all run alike, by steps", [], 40, 8, false, 0];
// one that is missed does no harm
const cases: Case[] = [
    ["finds slow workers from tasks of steps", quarter, 25, 8, false, 1],
    ["finds them by declared times of pairs of tasks", quarter, 200, 2, false, 0.9],
    ["finds a slow worker from gangs, and blames no other member", ["w3"], 150, 3, true, 0.9],
    ["takes no fast worker for slow if most gangs have a slow member", quarter, 150, 8, true, 0],
    alikeBySteps,
    ["takes none for slow where all run alike, by tasks", [], 320, 1, false, 0],
    ["takes none for slow where all run alike, by pairs of tasks", [], 160, 2, false, 0],
    ["takes none for slow where all run alike, by gangs", [], 106, 3, true, 0],
];

const drawAround = (random: Random, deviation: number): number => 1 + deviation * (2 * random() - 1);

/** Observes steps whose declared times are off by half, and whose independent tasks are uneven by 0.3. */
const observeSteps = ([, slow, steps, tasks, gang]: Case, random: Random): SpeedObservation[] =>
    Array.from({ length: steps }, (_, step) => {
        const declared = drawAround(random, 0.5);
        const members = workerIds.map(id => ({ id, order: random() }))
            .sort((left, right) => left.order - right.order).slice(0, tasks).map(({ id }) => id);
        const observe = (ids: readonly string[], unevenShare: number): SpeedObservation => ({
            unitKey: `job-${step}`,
            queue: "bookings",
            gang,
            workerIds: ids,
            rate: declared * (ids.some(id => slow.includes(id)) ? slowSpeed : 1) / drawAround(random, unevenShare),
            runs: 1,
            firstAtMs: step * 1_000,
            lastAtMs: step * 1_000 + 1,
        });
        return gang ? [observe(members, 0)] : members.map(id => observe([id], 0.3));
    }).flat();

/** Estimates as often as a planner does, with the observations that it has by then; returns the workers found slow. */
const findSlow = (observations: readonly SpeedObservation[]): string[] => {
    let estimates: SpeedEstimates = new Map();
    for (let upTo = 1; upTo <= observations.length + 5; upTo += 5) {
        estimates = estimateSpeeds(observations.slice(0, upTo), estimates);
    }
    return [...estimates].filter(([, { speed }]) => speed < 1).map(([id]) => id);
};

describe("the estimate of workers' speeds", () => {
    for (const tested of cases) {
        const [title, slow, , , , minFoundShare] = tested;
        it(title, () => {
            const found = seeds.flatMap(seed => findSlow(observeSteps(tested, createRandom(seed))));
            const mistaken = found.filter(id => !slow.includes(id));
            assert.isAtMost(mistaken.length / (seeds.length * workerIds.length), maxMistakenShare, mistaken.join());
            const toFind = seeds.length * slow.length * minFoundShare;
            assert.isAtLeast(found.length - mistaken.length, toFind);
        });
    }

    it("does not take a worker for slow that was held up once while several of its tasks ran", () => {
        const observations = observeSteps(alikeBySteps, createRandom(1)).map(observation => ({
            ...observation,
            rate: observation.workerIds[0] === "w3" ? observation.rate / 4 : observation.rate,
            firstAtMs: 0,
            lastAtMs: 1_000,
        }));
        assert.isEmpty(findSlow(observations));
    });
});

describe("the history of workers' speeds", () => {
    it("has the speed of a slow worker, and notices that it has recovered while older observations still count", () => {
        let nowMs = 0;
        const timer = { ...createVirtualTimer(), nowMs: () => nowMs };
        const history = createSpeedHistory(timer, () => {}, createEntryMetrics());
        for (const slowSpeedNow of [slowSpeed, 1]) {
            for (let step = 0; step < 20; step++, nowMs += 2_000) {
                for (const id of workerIds) {
                    const fromMs = nowMs - 1_000 / (quarter.includes(id) ? slowSpeedNow : 1);
                    const where = {
                        unitKey: `job-${nowMs}`,
                        queue: "bookings",
                        gang: false,
                        workers: [{ id, bornMs: 1 }],
                    };
                    history.add({ ...where, workMs: 1_000, fromMs, toMs: nowMs, isFirstOfRun: true });
                }
                history.refresh();
            }
            quarter.forEach(id => assert.equal(history.speedOf({ id, bornMs: 1 }), slowSpeedNow, id));
            quarter.forEach(id => assert.equal(history.speedOf({ id, bornMs: 2 }), 1, id));
        }
    });
});
