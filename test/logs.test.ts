import { assert } from "chai";
import { mkdtempSync, openSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createLog } from "../src/node/logs.js";
import { createBoundedWriter } from "../src/utils/boundedWriter.js";
import { createTimerService } from "../src/utils/timer.js";

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

describe("createBoundedWriter", () => {
    it("has written every line when it is flushed in the middle of a batch, as at the exit of a process", async () => {
        const directory = mkdtempSync(join(tmpdir(), "logs-"));
        const file = join(directory, "log");
        const writer = createBoundedWriter(openSync(file, "a"));
        const lines = Array.from({ length: 2_000 }, (_, index) => `line ${index} ${"x".repeat(80)}`);
        lines.forEach(writer.writeLine);
        const timer = createTimerService();
        const waitForSize = async (sizeBytes: number): Promise<void> => {
            while (readFileSync(file).length < sizeBytes) {
                await timer.sleep(1);
            }
        };
        await waitForSize(1);
        writer.flush();
        const sizeBytes = lines.join("\n").length + 1;
        // a write that was in progress may end after the flush
        await waitForSize(sizeBytes);
        const written = readFileSync(file, "utf8").trimEnd().split("\n");
        rmSync(directory, { recursive: true });
        assert.sameMembers(written, lines);
    });
});
