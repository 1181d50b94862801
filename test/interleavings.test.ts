import { assert } from "chai";
import { explore } from "./fixtures/explore.js";
import type { ScheduleResult } from "./fixtures/explore.js";

/** Number of calls that a fault may affect: the job's first writes, starts and stops. */
const depth = 12;
const maxFaults = 2;
const timeoutMs = 120_000;

const describeResult = ({ schedule, violations, phase }: ScheduleResult): string =>
    `${[...schedule].map(([call, fault]) => `${fault}@${call}`).join(" ")}: ${violations.join("; ")} (${
        String(phase)
    })`;

const exploreAll = async (workMs: number): Promise<void> => {
    const { scheduleCount, broken } = await explore({ depth, maxFaults, workMs });
    assert.isAbove(scheduleCount, depth, "faults were injected");
    assert.deepEqual(broken.map(describeResult), [], `of ${scheduleCount} schedules`);
};

describe("two planners, three workers and a table under lost and late calls", () => {
    it("run no short task twice and complete the job under every choice of two faults", async function() {
        this.timeout(timeoutMs);
        await exploreAll(1_500);
    });

    it("run no task twice that outlasts a takeover, under every choice of two faults", async function() {
        this.timeout(timeoutMs);
        await exploreAll(3_500);
    });
});
