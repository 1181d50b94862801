import { assert } from "chai";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { ChangeKind, findChanges } from "../src/configuration/queries/changes.js";
import { emptySnapshot } from "../src/configuration/types.js";
import type { Snapshot } from "../src/configuration/types.js";
import { buildLocatedIntent } from "./fixtures/jobs.js";

const program = fileURLToPath(new URL("../src/bin/catkinswitch.js", import.meta.url));
const examples = fileURLToPath(new URL("../../examples", import.meta.url));
const badInputExitCode = 2;

const run = (...args: string[]): { code: number | null; text: string; } => {
    const child = spawnSync(process.execPath, [program, ...args], { encoding: "utf8" });
    return { code: child.status, text: child.stdout + child.stderr };
};

const buildSnapshot = (...located: ReturnType<typeof buildLocatedIntent>[]): Snapshot => ({
    ...emptySnapshot(),
    version: 3,
    statements: located.map(({ intent, file }) => ({
        ...intent,
        provenance: { file, line: 1, changedInVersion: 1, changedBy: "north", changedAtMs: 0 },
    })),
});

describe("findChanges", () => {
    it("lists added and removed statements and the changed fields of the others", () => {
        const unchanged = buildLocatedIntent({ name: "unchanged", customer: "unchanged" });
        const current = buildSnapshot(
            unchanged,
            buildLocatedIntent({ name: "removed" }),
            buildLocatedIntent({ name: "edited", reason: "old" }),
        );
        const proposed = [
            unchanged,
            buildLocatedIntent({ name: "new" }),
            buildLocatedIntent({ name: "edited", reason: "better" }),
        ];
        const changes = findChanges(current, proposed);
        assert.deepEqual(changes.map(({ kind, name }) => [kind, name]), [
            [ChangeKind.Added, "new"],
            [ChangeKind.Changed, "edited"],
            [ChangeKind.Removed, "removed"],
        ]);
        assert.deepEqual(changes[1].fields, [{ field: "reason", before: "old", after: "better" }]);
    });

    it("ignores the order of fields", () => {
        const located = buildLocatedIntent({ name: "same", customer: "c", service: "s" });
        const { customer, service, ...rest } = located.intent;
        const reordered = { ...located, intent: { service, customer, ...rest } };
        assert.deepEqual(findChanges(buildSnapshot(located), [reordered]), []);
    });
});

describe("the command line", function() {
    this.timeout(30_000);
    let directory: string;

    before(() => {
        directory = mkdtempSync(join(tmpdir(), "catkinswitch-cli-"));
    });

    after(() => rmSync(directory, { recursive: true }));

    const assertBadInput = (result: { code: number | null; text: string; }, expected: RegExp): void => {
        assert.equal(result.code, badInputExitCode, result.text);
        assert.match(result.text, expected);
        assert.notMatch(result.text, /Internal Error| at .*\.js/);
    };

    it("names a file that does not exist", () => {
        assertBadInput(run("submit", join(directory, "none.jsonc")), /none\.jsonc: there is no such file/);
        assertBadInput(run("check", examples, "--fleet", join(directory, "none.json")), /there is no such file/);
    });

    it("reports the source and line of invalid JSON", () => {
        const file = join(directory, "job.jsonc");
        writeFileSync(file, "{\n  \"customer\": \n}");
        assertBadInput(run("submit", file), /job\.jsonc:3: /);
        assertBadInput(run("call", "customer", "service", "--body", "{"), /--body:1: /);
    });

    it("refuses a base version that is not a number", () => {
        assertBadInput(
            run("publish", examples, "--as", "north", "--base", "latest"),
            /--base must be a version, not "latest"/,
        );
    });

    it("reports from logs, and says which file cannot be read or that no log line was found", () => {
        const log = join(directory, "vm.log");
        const line = {
            context: { vm: "vm1", jobId: "a1", queue: "bookings", priority: 0, objectiveMs: 500, ageMs: 10 },
            message: "job adopted",
            time: 1_000,
        };
        writeFileSync(log, `prefix ${JSON.stringify(line)}\nnot a log line\n`);
        const reported = run("report", "--json", log);
        assert.equal(reported.code, 0);
        assert.deepInclude(JSON.parse(reported.text).queues[0], { queue: "bookings", accepted: 1, unfinished: 1 });
        assertBadInput(run("report", log, join(directory, "missing.log")), /missing\.log: cannot be read/);
        writeFileSync(log, "nothing\n");
        assert.equal(run("report", log).code, 1);
    });
});
