import { assert } from "chai";
import { killChild, readFirstLine, runningChildren, startChild } from "../tools/childProcesses.js";
import { startLocalCluster } from "../tools/localCluster.js";

/** Longer than a process took to start while eight others kept the machine busy. */
const slowStartMs = 16_000;

describe("a local cluster", () => {
    it("kills all of its processes when one of them cannot start", async () => {
        const before = runningChildren().length;
        const options = { zones: ["zone-a"], workersPerZone: 1, schedulerSettings: { noSuchSetting: 1 } };
        const failure = await startLocalCluster(options).catch((error: unknown) => String(error));
        assert.include(String(failure), "noSuchSetting");
        assert.lengthOf(runningChildren(), before);
    });

    it("waits for processes that start slowly", async () => {
        const child = startChild("standins/platform.js", []);
        child.kill("SIGSTOP");
        const ready = readFirstLine<{ listening: number; }>(child);
        setTimeout(() => child.kill("SIGCONT"), slowStartMs);
        assert.isAbove((await ready).listening, 0);
        await killChild(child);
    });
});
