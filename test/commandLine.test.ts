import { assert } from "chai";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { ChangeKind, findChanges } from "../src/configuration/queries/changes.js";
import { emptySnapshot } from "../src/configuration/types.js";
import type { Snapshot } from "../src/configuration/types.js";
import { buildSourcedIntent } from "./fixtures/jobs.js";

const program = fileURLToPath(new URL("../src/bin/catkinswitch.js", import.meta.url));
const examples = fileURLToPath(new URL("../../examples", import.meta.url));
const badInput = 2;

const run = (...args: string[]): { code: number | null; text: string; } => {
    const done = spawnSync(process.execPath, [program, ...args], { encoding: "utf8" });
    return { code: done.status, text: done.stdout + done.stderr };
};

const snapshotOf = (...sourced: ReturnType<typeof buildSourcedIntent>[]): Snapshot => ({
    ...emptySnapshot(),
    version: 3,
    statements: sourced.map(({ intent, file }) => ({
        ...intent,
        provenance: { file, line: 1, changedInVersion: 1, changedBy: "north", changedAtMs: 0 },
    })),
});

describe("the changes of a publish", () => {
    it("name what is added, changed field by field, and removed", () => {
        const kept = buildSourcedIntent({ name: "kept", customer: "kept" });
        const current = snapshotOf(
            kept,
            buildSourcedIntent({ name: "gone" }),
            buildSourcedIntent({ name: "edited", reason: "old" }),
        );
        const offered = [
            kept,
            buildSourcedIntent({ name: "new" }),
            buildSourcedIntent({ name: "edited", reason: "better" }),
        ];
        const changes = findChanges(current, offered);
        assert.deepEqual(changes.map(({ kind, name }) => [kind, name]), [
            [ChangeKind.Added, "new"],
            [ChangeKind.Changed, "edited"],
            [ChangeKind.Removed, "gone"],
        ]);
        assert.deepEqual(changes[1].fields, [{ field: "reason", before: "old", after: "better" }]);
    });

    it("are none for the same statements in another order of fields", () => {
        const sourced = buildSourcedIntent({ name: "same", customer: "c", service: "s" });
        const { customer, service, ...rest } = sourced.intent;
        const reordered = { ...sourced, intent: { service, customer, ...rest } };
        assert.deepEqual(findChanges(snapshotOf(sourced), [reordered]), []);
    });
});

describe("the command line", function() {
    this.timeout(30_000);
    let directory: string;

    before(() => {
        directory = mkdtempSync(join(tmpdir(), "catkinswitch-cli-"));
    });

    after(() => rmSync(directory, { recursive: true }));

    const assertClear = (result: { code: number | null; text: string; }, expected: RegExp): void => {
        assert.equal(result.code, badInput, result.text);
        assert.match(result.text, expected);
        assert.notMatch(result.text, /Internal Error| at .*\.js/);
    };

    it("says of files that are not there which they are", () => {
        assertClear(run("submit", join(directory, "none.jsonc")), /none\.jsonc: there is no such file/);
        assertClear(run("check", examples, "--fleet", join(directory, "none.json")), /there is no such file/);
    });

    it("says of input that is not JSON where it goes wrong", () => {
        const file = join(directory, "job.jsonc");
        writeFileSync(file, "{\n  \"customer\": \n}");
        assertClear(run("submit", file), /job\.jsonc:3: /);
        assertClear(run("call", "customer", "service", "--body", "{"), /--body:1: /);
    });

    it("refuses a base that is no version", () => {
        assertClear(
            run("publish", examples, "--as", "north", "--base", "latest"),
            /--base must be a version, not "latest"/,
        );
    });
});
