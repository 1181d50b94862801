import { assert } from "chai";
import { Acceptance } from "../src/jobs/commands/acceptJob.js";
import { checkAcknowledgements } from "./fixtures/acknowledgements.js";

const seedCount = 12;
/** Of 120 submissions, some of which reach no VM. */
const minAcceptedJobs = 20;
/** Mean over all seeds; a single seed may draw faults that none of its submissions meets. */
const minRefusedPerSeed = 10;
const timeoutMs = 120_000;

describe("jobs that were accepted under faults of the table and of the VMs", () => {
    it("stay known, are run by the next planner and keep their outcome", async function() {
        this.timeout(timeoutMs);
        let refusedCount = 0;
        for (let seed = 1; seed <= seedCount; seed++) {
            const { counts, broken } = await checkAcknowledgements(seed);
            assert.deepEqual(broken, [], `seed ${seed}`);
            assert.isAbove(counts[Acceptance.Accepted], minAcceptedJobs, `seed ${seed}`);
            refusedCount += counts[Acceptance.NotRun] + counts[Acceptance.Unknown];
        }
        assert.isAbove(refusedCount, minRefusedPerSeed * seedCount, "submissions were refused or got no outcome");
    });
});
