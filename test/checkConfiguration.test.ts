import { assert } from "chai";
import { Cli } from "clipanion";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PassThrough } from "node:stream";
import { CheckConfigurationCommand } from "../platform/checkConfiguration.js";

const createRoute = (overrides: object = {}) => ({
    name: "bookings",
    host: "doves.example",
    prefix: "/bookings/",
    service: "doves",
    priority: 0,
    "max-attempts": 3,
    "slack-factor": 3,
    ...overrides,
});

const createConfiguration = (overrides: object = {}) => ({
    version: 7,
    routes: [createRoute()],
    services: [{ name: "doves" }],
    tenants: [{ name: "hotel", "api-keys": ["key-1"], guaranteed: { gpu: 8 }, weight: 1, maximum: { gpu: 16 } }],
    ...overrides,
});

// guards against configurations whose mistakes show only once they are in force
describe("the check of a configuration before it is sent", () => {
    let directory = "";

    beforeEach(async () => {
        directory = await mkdtemp(join(tmpdir(), "catkinswitch-"));
    });

    afterEach(() => rm(directory, { recursive: true }));

    const run = async (texts: Record<string, string>, ...options: string[]) => {
        await Promise.all(Object.entries(texts).map(([name, text]) => writeFile(join(directory, name), text)));
        const stdout = new PassThrough();
        const cli = new Cli({ binaryName: "check" });
        cli.register(CheckConfigurationCommand);
        const files = [join(directory, "new.json"), ...options.map(option => option.replace("DIR", directory))];
        const exitCode = await cli.run(files, { stdout, stderr: stdout });
        return { exitCode, text: String(stdout.read() ?? "").replaceAll(`${directory}/`, "") };
    };

    const check = (configuration: unknown, ...options: string[]) =>
        run({ "new.json": JSON.stringify(configuration) }, ...options);

    it("finds nothing in one that is sound", async () => {
        assert.deepEqual(await check(createConfiguration()), { exitCode: 0, text: "0 problems, 0 changes\n" });
    });

    it("names file, field and what was expected for invalid fields, and the line of invalid JSON", async () => {
        const invalid = createConfiguration({
            routes: [createRoute({ priority: "high", prefix: "bookings" })],
            tenants: [{ name: "hotel", maximum: { gpu: -1 } }],
        });
        const { exitCode, text } = await check(invalid);
        assert.equal(exitCode, 2);
        assert.include(text, "invalid: new.json: routes.0.priority: must be integer");
        assert.include(text, "invalid: new.json: routes.0.prefix: must match pattern");
        assert.include(text, "invalid: new.json: tenants.0.maximum.gpu: must be >= 0");
        assert.include((await run({ "new.json": "{\n\"version\": }" })).text, "new.json:2:");
        assert.equal((await run({ "new.json": "{}" }, "--in-force", "DIR/missing.json")).exitCode, 2);
    });

    it("finds entries that can never match", async () => {
        const { exitCode, text } = await check(createConfiguration({
            routes: [
                createRoute(),
                createRoute({ name: "again", host: "DOVES.example" }),
                createRoute({
                    name: "elsewhere",
                    prefix: "/other/",
                    service: "ducks",
                }),
            ],
            services: [{ name: "doves" }],
            tenants: [{ name: "hotel", "api-keys": ["secret-1"] }, { name: "winery", "api-keys": ["secret-1"] }],
        }));
        assert.equal(exitCode, 1);
        assert.include(text, "neverMatches: queue \"again\": its host and path prefix doves.example/bookings/");
        assert.include(text, "neverMatches: queue \"elsewhere\": no service is named \"ducks\"");
        assert.include(text, "neverMatches: customer \"winery\": its API key secr… is one of customer \"hotel\"");
        assert.notInclude(text, "secret-1");
    });

    it("finds limits that contradict each other", async () => {
        const tenants = [{ name: "hotel", "api-keys": ["key-1"], guaranteed: { gpu: 32 }, maximum: { gpu: 16 } }];
        const { exitCode, text } = await check(createConfiguration({ tenants }), "--accelerators", "24");
        assert.equal(exitCode, 1);
        assert.include(
            text,
            "contradiction: customer \"hotel\": it is guaranteed 32 accelerators and may use 16 at most",
        );
        assert.include(text, "contradiction: guarantees: 32 accelerators of 24 that exist");
    });

    it("lists what differs from the version in force, without API keys", async () => {
        const after = createConfiguration({
            version: 9,
            routes: [createRoute({ "max-attempts": 4 }), createRoute({ name: "new", prefix: "/new/" })],
            tenants: [{ name: "hotel", "api-keys": ["key-2"], guaranteed: { gpu: 8 }, weight: 1 }],
        });
        const texts = { "new.json": JSON.stringify(after), "old.json": JSON.stringify(createConfiguration()) };
        const { exitCode, text } = await run(texts, "--in-force", "DIR/old.json");
        assert.equal(exitCode, 0);
        assert.deepEqual(text.split("\n"), [
            "change: configuration: version: 7 -> 9",
            "change: queue \"bookings\": maxAttempts: 3 -> 4",
            "change: queue \"new\": added",
            "change: customer \"hotel\": API keys: 1 added, 1 removed",
            "change: customer \"hotel\": maximum: "
            + "{\"milliCores\":\"no limit\",\"memoryMb\":\"no limit\",\"accelerators\":16} -> none",
            "0 problems, 5 changes",
            "",
        ]);
        const reversed = { "new.json": texts["old.json"], "old.json": texts["new.json"] };
        assert.include((await run(reversed, "--in-force", "DIR/old.json")).text, "7 is not above 9");
    });
});
