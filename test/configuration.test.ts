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
import type { LocatedIntent } from "../src/configuration/queries/collect.js";
import { currentVersionKey, snapshotKey, Urgency } from "../src/configuration/types.js";
import type { CurrentVersion, Snapshot } from "../src/configuration/types.js";
import { parseJsonWithComments } from "../src/utils/jsonWithComments.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { buildLocatedIntent, buildShape, buildWorkerFacts } from "./fixtures/jobs.js";
import { CommitFault, createFakePlatform, faultsFrom } from "./fixtures/platform.js";
import type { FakePlatform } from "./fixtures/platform.js";

const buildZoneOutIntent = (zone: string): LocatedIntent =>
    buildLocatedIntent({ name: `${zone}-out`, availabilityZonesOut: [zone] });

const buildCustomerIntent = (name: string, reason = "because"): LocatedIntent =>
    buildLocatedIntent({ name, reason, customer: name, service: "booking", jobs: { urgency: "normal" as never } });

const buildRequest = (baseVersion: number, intents: LocatedIntent[], publisher = "north"): PublishRequest => ({
    baseVersion,
    publisher,
    intents,
});

const send = (platform: FakePlatform, publishRequest: PublishRequest) =>
    publish(platform, publishRequest, undefined, 0);

const buildSnapshot = (version: number): Snapshot => ({
    version,
    publishId: `publish-${version}`,
    publishedBy: "north",
    publishedAtMs: 0,
    statements: [],
    removed: [],
});

describe("publishing", () => {
    it("refuses to undo another operator's statement from an outdated checkout and names the statement", async () => {
        const platform = createFakePlatform();
        await send(platform, buildRequest(0, [buildCustomerIntent("alpha")]));
        await send(platform, buildRequest(1, [buildCustomerIntent("alpha"), buildZoneOutIntent("a")], "south"));
        const outdated = await send(platform, buildRequest(1, [buildCustomerIntent("alpha", "a better reason")]));
        assert.isFalse(outdated.ok);
        const error = outdated.ok ? undefined : outdated.error;
        assert.deepInclude(error, { kind: "conflicts", version: 2 });
        assert.deepInclude(error?.kind === "conflicts" ? error.conflicts[0] : {}, {
            name: "a-out",
            changedBy: "south",
        });
    });

    it("refuses to add a statement again that another operator removed", async () => {
        const platform = createFakePlatform();
        await send(platform, buildRequest(0, [buildCustomerIntent("alpha"), buildZoneOutIntent("a")]));
        await send(platform, buildRequest(1, [buildCustomerIntent("alpha")], "south"));
        const outdated = await send(platform, buildRequest(1, [buildCustomerIntent("alpha"), buildZoneOutIntent("a")]));
        assert.isFalse(outdated.ok);
    });

    it("keeps the provenance of unchanged statements", async () => {
        const platform = createFakePlatform();
        await send(platform, buildRequest(0, [buildCustomerIntent("alpha")], "south"));
        const second = await send(
            platform,
            buildRequest(1, [buildCustomerIntent("alpha"), buildCustomerIntent("beta")]),
        );
        const statements = second.ok ? second.value.statements : [];
        assert.deepEqual(statements.map(statement => statement.provenance.changedBy), ["south", "north"]);
        assert.deepEqual(statements.map(statement => statement.provenance.changedInVersion), [1, 2]);
    });

    it("accepts one of two publishes that race", async () => {
        const platform = createFakePlatform();
        await send(platform, buildRequest(0, [buildCustomerIntent("alpha")]));
        const withZoneOut = [buildCustomerIntent("alpha"), buildZoneOutIntent("a")];
        const results = await Promise.all([
            send(platform, buildRequest(1, withZoneOut)),
            send(platform, buildRequest(1, [buildCustomerIntent("beta")])),
        ]);
        assert.lengthOf(results.filter(result => result.ok), 1);
    });

    it("reports each outcome correctly when commit requests and answers are lost", async () => {
        await fc.assert(
            fc.asyncProperty(
                fc.array(fc.constantFrom(...Object.values(CommitFault)), { minLength: 1, maxLength: 4 }),
                async faults => {
                    const platform = createFakePlatform();
                    platform.faultOf = faultsFrom(faults);
                    let accepted = 0;
                    for (let index = 0; index < 8; index++) {
                        const result = await send(
                            platform,
                            buildRequest(1_000, [buildCustomerIntent(`customer-${index}`)]),
                        );
                        const row = platform.rows.get(currentVersionKey)?.value as CurrentVersion | undefined;
                        const version = row?.version ?? 0;
                        if (result.ok) {
                            assert.equal(result.value.version, version);
                        }
                        else if (result.error.kind !== "unknown") {
                            assert.equal(version, accepted, "a refused publish must not change the version");
                        }
                        accepted = version;
                    }
                },
            ),
            { seed: 3, numRuns: 100 },
        );
    });

    it("reports guarantees that do not fit, also with an availability zone out of service, and names the file", () => {
        const workers = buildWorkerFacts(["a", "b"], 2);
        const guarantee = (name: string, count: number, holdsWithZoneOut: boolean): LocatedIntent =>
            buildLocatedIntent({ name, customer: name, guarantee: { shape: buildShape(16), count, holdsWithZoneOut } });
        assert.isEmpty(checkTogether([guarantee("fits", 2, false)], workers));
        const tooMany = checkTogether([guarantee("one", 1, false), guarantee("two", 2, false)], workers);
        assert.match(tooMany[0].detail, /more than the accelerators that exist/);
        const withZoneOut = checkTogether([guarantee("zone-redundant", 2, true)], workers);
        assert.match(withZoneOut[0].detail, /does not fit with availability zone/);
        assert.equal(withZoneOut[0].file, "zone-redundant.intent.jsonc");
    });

    // guards against a guarantee that the customer's own limit keeps from ever being met
    it("compares guarantees with the limits of their customers", () => {
        const guarantee = { shape: buildShape(8), count: 2, holdsWithZoneOut: false };
        const guaranteed = buildLocatedIntent({ name: "guaranteed", customer: "doves", guarantee });
        const limitTo = (maxAccelerators: number): LocatedIntent =>
            buildLocatedIntent({
                name: "limited",
                customer: "doves",
                service: "planning",
                jobs: { urgency: Urgency.Normal, maxAccelerators },
            });
        assert.isEmpty(checkTogether([limitTo(16), guaranteed], undefined));
        const [problem] = checkTogether([limitTo(15), guaranteed], undefined);
        assert.equal(problem.file, "guaranteed.intent.jsonc");
        assert.match(problem.detail, /guaranteed 16 accelerators and may use 15 at most/);
    });

    it("reports unknown availability zones and duplicate statements", () => {
        const workers = buildWorkerFacts(["a", "b"], 2);
        assert.match(
            checkTogether([buildZoneOutIntent("z")], workers)[0].detail,
            /unknown availability zone "z"; known: a, b/,
        );
        const duplicates = checkTogether(
            [buildCustomerIntent("alpha"), { ...buildCustomerIntent("alpha"), file: "second" }],
            workers,
        );
        assert.match(duplicates[0].detail, /stands in alpha.intent.jsonc:1/);
    });
});

describe("collecting statements", () => {
    it("reports the file, line and field of each problem and what was expected", async () => {
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

describe("invalid input", () => {
    it("is reported as a problem when the directory does not exist", async () => {
        const { problems } = await collectIntents("no/such/tree");
        assert.deepEqual(problems, [{ file: "no/such/tree", line: 0, detail: "there is no such directory" }]);
    });

    it("is reported with line and reason when it is nested too deeply", () => {
        const parsed = parseJsonWithComments(`// brackets: [[[\n${"[".repeat(200_000)}`);
        assert.isTrue(!parsed.ok && parsed.error.line === 2 && parsed.error.detail.includes("100 levels"));
    });
});

describe("following the configuration", () => {
    it("never goes back to a lower version, in whatever order versions arrive from peers and the platform", async () => {
        await fc.assert(
            fc.asyncProperty(
                fc.array(fc.tuple(fc.boolean(), fc.integer({ min: 0, max: 9 })), { maxLength: 30 }),
                async versionsReceived => {
                    const platform = createFakePlatform();
                    for (let version = 1; version <= 9; version++) {
                        const writes = [{ key: snapshotKey(version), value: buildSnapshot(version) }];
                        await platform.commit({ conditions: [], writes });
                    }
                    const follower = createConfigurationFollower(platform, createVirtualTimer());
                    let highest = 0;
                    for (const [isFromPeer, version] of versionsReceived) {
                        if (isFromPeer) {
                            follower.offer(buildSnapshot(version));
                        }
                        else {
                            await follower.applyCurrentVersion({
                                version: version + 100,
                                value: { version, publishId: "" },
                            });
                        }
                        highest = Math.max(highest, version);
                        assert.equal(follower.current().version, highest);
                    }
                },
            ),
            { seed: 11, numRuns: 100 },
        );
    });

    it("reports row version 0, on which no decision may rely, while a snapshot is known from a peer only", async () => {
        const follower = createConfigurationFollower(createFakePlatform(), createVirtualTimer());
        follower.offer(buildSnapshot(4));
        assert.equal(follower.rowVersion(), 0);
    });
});
