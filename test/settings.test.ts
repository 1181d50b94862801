import { assert } from "chai";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { checkEntryVmSettings } from "../platform/settings.js";
import { checkSchedulerSettings, loadSettings } from "../src/node/settings.js";
import type { SchedulerSettings } from "../src/node/settings.js";

const lines = [
    "{",
    "    // the first entry VM",
    "    \"vm\": \"entry-zone-a-1\",",
    "    \"availabilityZone\": \"zone-a\",",
    "    \"http\": { \"host\": \"127.0.0.1\", \"port\": 8080 },",
    "    \"peer\": { \"host\": \"127.0.0.1\", \"port\": 8090 },",
    "    \"platformAddress\": \"http://127.0.0.1:7000\"",
    "}",
];

const load = async (text: string) => {
    const directory = await mkdtemp(join(tmpdir(), "catkinswitch-settings-"));
    const file = join(directory, "scheduler.jsonc");
    await writeFile(file, text);
    const loaded = await loadSettings<SchedulerSettings>(file, checkSchedulerSettings);
    await rm(directory, { recursive: true });
    return loaded;
};

describe("settings", () => {
    it("may contain comments and get default values", async () => {
        const loaded = await load(lines.join("\n"));
        assert.equal(loaded.ok && loaded.value.taskLeaseMs, 6_000);
        assert.deepEqual(loaded.ok && loaded.value.peerSeeds, {});
    });

    it("with a wrong unit, an unknown field or a missing field are rejected with the line", async () => {
        const wrong = [...lines];
        wrong[6] = "    \"taskLeaseSeconds\": 6, \"heartbeatMs\": \"1.5 s\"";
        const loaded = await load(wrong.join("\n"));
        const problems = loaded.ok ? [] : loaded.error.problems;
        assert.include(problems, "line 7: taskLeaseSeconds: is not a known field");
        assert.include(problems, "line 7: heartbeatMs: must be integer");
        assert.isTrue(problems.some(problem => problem.includes("needs the field \"platformAddress\"")));
    });

    it("from a missing file are rejected with the name of the file", async () => {
        const loaded = await loadSettings("/nowhere/settings.jsonc", checkSchedulerSettings);
        assert.equal(loaded.ok ? "" : loaded.error.file, "/nowhere/settings.jsonc");
    });

    // guards against limits that a typing error takes out of force
    it("of an entry VM name each limit that is no sensible number, with its line", async () => {
        const wrong = [
            "maxDescriptors: -1",
            "bodyTimeoutMs: \"1 s\"",
            "maxBodyBytesInProgress: 1000",
            "maxChunksPerS: 1e12",
        ];
        const fields = wrong.map(field => `    "${field.replace(": ", "\": ")}`);
        const directory = await mkdtemp(join(tmpdir(), "catkinswitch-settings-"));
        const file = join(directory, "entry.jsonc");
        await writeFile(file, `{\n${fields.join(",\n")}\n}`);
        const loaded = await loadSettings(file, checkEntryVmSettings);
        await rm(directory, { recursive: true });
        const problems = loaded.ok ? [] : loaded.error.problems;
        wrong.forEach((field, index) => {
            const name = `line ${index + 2}: ${field.split(":")[0]}: must be`;
            assert.isTrue(problems.some(problem => problem.startsWith(name)), name);
        });
    });
});
