import { assert } from "chai";
import { explore } from "./fixtures/explore.js";
import type { Played } from "./fixtures/explore.js";

/** Calls that decide about one job: its records, its starts and stops. */
const depth = 12;
const maxFaults = 2;
const timeoutMs = 120_000;

const describePlayed = ({ script, violations, phase }: Played): string =>
    `${[...script].map(([call, choice]) => `${choice}@${call}`).join(" ")}: ${violations.join("; ")} (${
        String(phase)
    })`;

const exploreAll = async (workMs: number): Promise<void> => {
    const { played, broken } = await explore({ depth, maxFaults, workMs });
    assert.isAbove(played, depth, "the faults struck");
    assert.deepEqual(broken.map(describePlayed), [], `of ${played} plays`);
};

describe("two planners, three workers and a table that loses and delays", () => {
    it("run no short task twice and complete the job under every choice of two faults", async function() {
        this.timeout(timeoutMs);
        await exploreAll(1_500);
    });

    it("run no task twice that is longer than a silence, under every choice of two faults", async function() {
        this.timeout(timeoutMs);
        await exploreAll(3_500);
    });
});
