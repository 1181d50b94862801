import { assert } from "chai";
import fc from "fast-check";
import { mkdir, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { publish } from "../src/configuration/commands/publish.js";
import type { PublishRequest } from "../src/configuration/commands/publish.js";
import { createConfigurationFollower } from "../src/configuration/follower.js";
import { checkTogether } from "../src/configuration/queries/checkTogether.js";
import { collectIntents } from "../src/configuration/queries/collect.js";
import type { SourcedIntent } from "../src/configuration/queries/collect.js";
import { currentVersionKey, snapshotKey } from "../src/configuration/types.js";
import type { CurrentVersion, Snapshot } from "../src/configuration/types.js";
import { parseJsonWithComments } from "../src/utils/jsonWithComments.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { buildShape, buildSourcedIntent, buildWorkerFacts } from "./fixtures/jobs.js";
import { CommitFault, createFakePlatform, faultsFrom } from "./fixtures/platform.js";
import type { FakePlatform } from "./fixtures/platform.js";

const zoneOut = (zone: string): SourcedIntent =>
    buildSourcedIntent({ name: `${zone}-out`, availabilityZonesOut: [zone] });

const customerIntent = (name: string, reason = "because"): SourcedIntent =>
    buildSourcedIntent({ name, reason, customer: name, service: "booking", jobs: { urgency: "normal" as never } });

const request = (baseVersion: number, intents: SourcedIntent[], publisher = "north"): PublishRequest => ({
    baseVersion,
    publisher,
    intents,
});

const send = (platform: FakePlatform, offered: PublishRequest) => publish(platform, offered, undefined, 0);

const snapshotOf = (version: number): Snapshot => ({
    version,
    publishId: `publish-${version}`,
    publishedBy: "north",
    publishedAtMs: 0,
    statements: [],
    removed: [],
});

describe("publishing", () => {
    it("refuses to undo another operator's statement from an old checkout and names it", async () => {
        const platform = createFakePlatform();
        await send(platform, request(0, [customerIntent("alpha")]));
        await send(platform, request(1, [customerIntent("alpha"), zoneOut("a")], "south"));
        const old = await send(platform, request(1, [customerIntent("alpha", "a better reason")]));
        assert.isFalse(old.ok);
        const error = old.ok ? undefined : old.error;
        assert.deepInclude(error, { kind: "conflicts", version: 2 });
        assert.deepInclude(error?.kind === "conflicts" ? error.conflicts[0] : {}, {
            name: "a-out",
            changedBy: "south",
        });
    });

    it("refuses to bring back a statement that another operator removed", async () => {
        const platform = createFakePlatform();
        await send(platform, request(0, [customerIntent("alpha"), zoneOut("a")]));
        await send(platform, request(1, [customerIntent("alpha")], "south"));
        const old = await send(platform, request(1, [customerIntent("alpha"), zoneOut("a")]));
        assert.isFalse(old.ok);
    });

    it("keeps the source of statements that did not change", async () => {
        const platform = createFakePlatform();
        await send(platform, request(0, [customerIntent("alpha")], "south"));
        const second = await send(platform, request(1, [customerIntent("alpha"), customerIntent("beta")]));
        const statements = second.ok ? second.value.statements : [];
        assert.deepEqual(statements.map(statement => statement.provenance.changedBy), ["south", "north"]);
        assert.deepEqual(statements.map(statement => statement.provenance.changedInVersion), [1, 2]);
    });

    it("accepts one of two publishes that race", async () => {
        const platform = createFakePlatform();
        await send(platform, request(0, [customerIntent("alpha")]));
        const out = [customerIntent("alpha"), zoneOut("a")];
        const both = await Promise.all([
            send(platform, request(1, out)),
            send(platform, request(1, [customerIntent("beta")])),
        ]);
        assert.lengthOf(both.filter(result => result.ok), 1);
    });

    it("tells the truth whatever answers are lost", async () => {
        await fc.assert(
            fc.asyncProperty(
                fc.array(fc.constantFrom(...Object.values(CommitFault)), { minLength: 1, maxLength: 4 }),
                async faults => {
                    const platform = createFakePlatform();
                    platform.faultOf = faultsFrom(faults);
                    let accepted = 0;
                    for (let index = 0; index < 8; index++) {
                        const result = await send(platform, request(1_000, [customerIntent(`customer-${index}`)]));
                        const row = platform.rows.get(currentVersionKey)?.value as CurrentVersion | undefined;
                        const version = row?.version ?? 0;
                        if (result.ok) {
                            assert.equal(result.value.version, version);
                        }
                        else if (result.error.kind !== "unknown") {
                            assert.equal(version, accepted, "a publish that was refused changed nothing");
                        }
                        accepted = version;
                    }
                },
            ),
            { seed: 3, numRuns: 100 },
        );
    });

    it("refuses guarantees that do not fit, also with a zone out, and names the file", () => {
        const facts = buildWorkerFacts(["a", "b"], 2);
        const guarantee = (name: string, count: number, holdsWithZoneOut: boolean): SourcedIntent =>
            buildSourcedIntent({ name, customer: name, guarantee: { shape: buildShape(16), count, holdsWithZoneOut } });
        assert.isEmpty(checkTogether([guarantee("fits", 2, false)], facts));
        const tooMany = checkTogether([guarantee("one", 1, false), guarantee("two", 2, false)], facts);
        assert.match(tooMany[0].detail, /more than the accelerators that exist/);
        const notWithZoneOut = checkTogether([guarantee("lasting", 2, true)], facts);
        assert.match(notWithZoneOut[0].detail, /does not fit with availability zone/);
        assert.equal(notWithZoneOut[0].file, "lasting.intent.jsonc");
    });

    it("refuses unknown availability zones and statements that stand twice", () => {
        const facts = buildWorkerFacts(["a", "b"], 2);
        assert.match(checkTogether([zoneOut("z")], facts)[0].detail, /unknown availability zone "z"; known: a, b/);
        const twice = checkTogether([customerIntent("alpha"), { ...customerIntent("alpha"), file: "second" }], facts);
        assert.match(twice[0].detail, /stands in alpha.intent.jsonc:1/);
    });
});

describe("collecting statements", () => {
    it("names file, line, field and what was expected", async () => {
        const root = await mkdtemp(join(tmpdir(), "catkinswitch-test-"));
        await mkdir(join(root, "booking"));
        const text = "{\n  // why\n  \"name\": \"funerals\",\n  \"owner\": \"desk\",\n  \"customer\": \"c\",\n"
            + "  \"service\": \"s\",\n  \"reason\": \"r\",\n  \"calls\": {\n    \"urgency\": \"soon\",\n    \"deadline\": 3\n  }\n}\n";
        await writeFile(join(root, "booking", "a.intent.jsonc"), text);
        await writeFile(join(root, "b.intent.jsonc"), "{ \"name\": ");
        const { problems } = await collectIntents(root);
        await rm(root, { recursive: true });
        const lines = problems.map(problem => `${problem.file}:${problem.line}: ${problem.detail}`);
        assert.include(lines, "booking/a.intent.jsonc:10: \"calls.deadline\" is not a known field");
        assert.include(lines, "booking/a.intent.jsonc:9: \"calls.urgency\" must be one of urgent, normal, mayWait");
        assert.isTrue(lines.some(line => line.includes("needs the field \"deadlineMs\"")));
        assert.isTrue(lines.some(line => line.startsWith("b.intent.jsonc:1:")));
    });
});

describe("input that is not a tree of statements", () => {
    it("gets a clear problem when the directory is not there", async () => {
        const { problems } = await collectIntents("no/such/tree");
        assert.deepEqual(problems, [{ file: "no/such/tree", line: 0, detail: "there is no such directory" }]);
    });

    it("gets a line and a reason when it nests too deeply", () => {
        const parsed = parseJsonWithComments(`// brackets: [[[\n${"[".repeat(200_000)}`);
        assert.isTrue(!parsed.ok && parsed.error.line === 2 && parsed.error.detail.includes("100 levels"));
    });
});

describe("following the configuration", () => {
    it("never goes back, whatever order versions arrive in and by whatever path", async () => {
        await fc.assert(
            fc.asyncProperty(
                fc.array(fc.tuple(fc.boolean(), fc.integer({ min: 0, max: 9 })), { maxLength: 30 }),
                async arrivals => {
                    const platform = createFakePlatform();
                    for (let version = 1; version <= 9; version++) {
                        const writes = [{ key: snapshotKey(version), value: snapshotOf(version) }];
                        await platform.commit({ conditions: [], writes });
                    }
                    const follower = createConfigurationFollower(platform, createVirtualTimer());
                    let highest = 0;
                    for (const [byPeer, version] of arrivals) {
                        if (byPeer) {
                            follower.offer(snapshotOf(version));
                        }
                        else {
                            await follower.see({ version: version + 100, value: { version, publishId: "" } });
                        }
                        highest = Math.max(highest, version);
                        assert.equal(follower.current().version, highest);
                    }
                },
            ),
            { seed: 11, numRuns: 100 },
        );
    });

    it("lets no decision pass on the strength of a version that only a peer has named", async () => {
        const follower = createConfigurationFollower(createFakePlatform(), createVirtualTimer());
        follower.offer(snapshotOf(4));
        assert.equal(follower.rowVersion(), 0);
    });
});
