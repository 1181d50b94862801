import { assert } from "chai";
import { soakRestartsOfProcesses } from "./fixtures/restartProcessSoak.js";
import { soakRestarts } from "./fixtures/restartSoak.js";
import type { RestartSoakOptions } from "./fixtures/restartSoak.js";

/** Runs a range of seeds; returns what broke. */
const soakSeeds = async (
    firstSeed: number,
    seedCount: number,
    options: Omit<RestartSoakOptions, "seed"> = {},
): Promise<string[]> => {
    const broken: string[] = [];
    let restarts = 0;
    let cancellations = 0;
    for (let seed = firstSeed; seed < firstSeed + seedCount; seed++) {
        const result = await soakRestarts({ seed, ...options });
        restarts += result.restarts;
        cancellations += result.cancellations;
        broken.push(...result.problems.map(problem => `seed ${seed}: ${problem}`));
    }
    assert.isAbove(restarts, 10 * seedCount);
    assert.isAbove(cancellations, 5 * seedCount);
    return broken;
};

// guards against leases and orders of a worker's earlier incarnation that reach its next one
describe("long tasks on workers that start again under their ids and are cut off soon after", function() {
    this.timeout(60_000);

    it("run once each, and no longer than it takes to stop them after a cancellation", async () => {
        assert.deepEqual(await soakSeeds(75, 40), []);
    });

    it("run once each although start orders are carried out by an incarnation that began after they were given up", async () => {
        assert.deepEqual(await soakSeeds(950, 20, { delaysStarts: true }), []);
    });

    it("run once each with real processes", async () => {
        const { problems, restarts, cancellations } = await soakRestartsOfProcesses({ seed: 7, durationMs: 8_000 });
        assert.isAbove(restarts, 1);
        assert.isAbove(cancellations, 0);
        assert.deepEqual(problems, []);
    });
});

// guards against acknowledgements that reach a worker's next incarnation after a start
describe("short tasks on workers that start again just after a run has ended there", function() {
    this.timeout(60_000);

    it("run once each", async () => {
        assert.deepEqual(await soakSeeds(1, 10, { hasShortTasks: true }), []);
    });
});
