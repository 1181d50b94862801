/** Mutation tests: disables each mechanism in a scratch copy of the build and expects the named test to fail. */
import { spawnSync } from "node:child_process";
import { rmSync } from "node:fs";
import { join } from "node:path";
import { findMutants } from "./mutants.js";
import type { Mutant } from "./mutants.js";
import { applyMutant, createScratchCopy } from "./scratchCopy.js";

/** Runs a mutant's tests and returns whether the expected test failed. */
const isDetected = (copy: string, mutant: Mutant): boolean => {
    const restore = applyMutant(copy, mutant);
    const run = spawnSync(process.execPath, [join(copy, "dist/tools/runTests.js"), mutant.tests], { encoding: "utf8" });
    restore();
    const failures = run.stdout.slice(run.stdout.indexOf(" failing"));
    return run.status !== 0 && failures.replaceAll(/\s+/g, " ").includes(mutant.fails);
};

const main = (): void => {
    const filter = process.argv[2] ?? "";
    const copy = createScratchCopy();
    let undetectedCount = 0;
    for (const mutant of findMutants(filter)) {
        const detected = isDetected(copy, mutant);
        undetectedCount += detected ? 0 : 1;
        process.stdout.write(
            `${detected ? "fails " : "MISSED"} without ${mutant.without}: "${mutant.fails}" (${mutant.tests})\n`,
        );
    }
    rmSync(copy, { recursive: true });
    process.exitCode = undetectedCount === 0 ? 0 : 1;
};

main();
