import { assert } from "chai";
import { createLog } from "../src/node/logs.js";

describe("createLog", () => {
    it("writes one JSON line for each call at or above its level", () => {
        const lines: string[] = [];
        const log = createLog("scheduler", "entry-1", "info", line => lines.push(line));
        log("debug", "below the level");
        log("warn", "worker does not answer", { worker: "w1", reason: undefined });
        assert.lengthOf(lines, 1);
        const line = JSON.parse(lines[0]);
        assert.equal(line.message, "worker does not answer");
        assert.deepInclude(line.context, { daemon: "scheduler", vm: "entry-1", worker: "w1" });
    });
});
