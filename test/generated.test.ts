import { assert } from "chai";
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { generateChecks } from "../tools/generateChecks.js";

describe("generated checks", () => {
    it("are up to date with their schemas", () => {
        const file = fileURLToPath(new URL("../../src/generated/checks.js", import.meta.url));
        assert.equal(readFileSync(file, "utf8"), generateChecks(), "run npm run generate");
    });
});
