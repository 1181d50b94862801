import { assert } from "chai";
import { soakRestarts } from "./fixtures/restartSoak.js";

const firstSeed = 75;
const seedCount = 40;

describe("long tasks on workers that start again under their ids and are cut off soon after", () => {
    it("run once each, and no longer than it takes to stop them after a cancellation", async function() {
        this.timeout(60_000);
        const broken: string[] = [];
        let restarts = 0;
        let cancellations = 0;
        for (let seed = firstSeed; seed < firstSeed + seedCount; seed++) {
            const result = await soakRestarts(seed);
            restarts += result.restarts;
            cancellations += result.cancellations;
            broken.push(...result.problems.map(problem => `seed ${seed}: ${problem}`));
        }
        assert.isAbove(restarts, 10 * seedCount);
        assert.isAbove(cancellations, 5 * seedCount);
        assert.deepEqual(broken, []);
    });
});
