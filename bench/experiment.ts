/** Replays a load with the policy as it is and without mechanisms, on the same seeds, and compares what is earned. */
import { spawnSync } from "node:child_process";
import { rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { fail, succeed } from "../src/utils/result.js";
import type { Result } from "../src/utils/result.js";
import { findMutants } from "../tools/mutants.js";
import type { Mutant } from "../tools/mutants.js";
import { applyMutant, createScratchCopy } from "../tools/scratchCopy.js";
import { plotEarnedShares } from "./experiment/plot.js";
import type { Variant } from "./experiment/plot.js";
import { readLoad } from "./experiment/readLoad.js";
import { replayLoad } from "./experiment/replayLoad.js";
import { estimateMean, formatEstimate } from "./experiment/statistics.js";
import type { Load, ReplayResult } from "./experiment/types.js";

const usage = `experiment --load FILE [--seeds N] [--without MECHANISM]... [--svg FILE]
  --load FILE          load, JSON with comments; bench/loads has examples
  --seeds N            number of seeds to replay, from 1 (default 5)
  --without MECHANISM  part of the name of a mechanism of tools/mutants.ts to switch off; may be repeated
  --svg FILE           plot of the shares earned`;
const badInputExitCode = 2;

const replaySeeds = async (load: Load, seedCount: number): Promise<ReplayResult[]> => {
    const results: ReplayResult[] = [];
    for (let seed = 1; seed <= seedCount; seed++) {
        results.push((await replayLoad(load, seed)).result);
    }
    return results;
};

/** Finds the mechanism that a text names; the error lists what it matches. */
const findMechanism = (text: string): Result<Mutant, string> => {
    const found = findMutants(text);
    const names = found.map(mutant => mutant.without).join("; ") || "none";
    return found.length === 1
        ? succeed(found[0])
        : fail(`--without "${text}" must name one mechanism of tools/mutants.ts; found: ${names}`);
};

/** Replays in a scratch copy of the build in which one mechanism is switched off. */
const replayWithout = (mutant: Mutant, loadFile: string, seedCount: number): Variant => {
    const copy = createScratchCopy();
    try {
        applyMutant(copy, mutant);
        const script = join(copy, "dist/bench/experiment.js");
        const args = [script, "--load", loadFile, "--seeds", String(seedCount), "--json"];
        const run = spawnSync(process.execPath, args, { encoding: "utf8", maxBuffer: Number.POSITIVE_INFINITY });
        if (run.status !== 0) {
            throw new Error(`the replay without ${mutant.without} failed: ${run.stderr}`);
        }
        return { name: `without ${mutant.without}`, results: JSON.parse(run.stdout) as ReplayResult[] };
    }
    finally {
        rmSync(copy, { recursive: true });
    }
};

const printVariant = ({ name, results }: Variant, baseline: readonly ReplayResult[]): void => {
    const gains = results.map((result, index) => result.earnedShare - baseline[index].earnedShare);
    console.log(`${name}: earned ${formatEstimate(estimateMean(results.map(result => result.earnedShare)))}`);
    console.log(`  to the policy as it is: ${formatEstimate(estimateMean(gains))}`);
    console.log(
        `  work lost, accelerator-s: ${formatEstimate(estimateMean(results.map(result => result.lostAcceleratorS)))}`,
    );
    for (const [index, { stream }] of results[0].streams.entries()) {
        const outcomes = results.map(result => result.streams[index]);
        const sum = (field: "jobs" | "inTime" | "late" | "lost") =>
            outcomes.reduce((total, outcome) => total + outcome[field], 0);
        console.log(
            `  ${stream}: earned ${formatEstimate(estimateMean(outcomes.map(({ earnedShare }) => earnedShare)))}, `
                + `${sum("inTime")} in time, ${sum("late")} late, ${sum("lost")} lost of ${sum("jobs")}`,
        );
    }
};

interface Options {
    loadFile: string;
    load: Load;
    seedCount: number;
    mechanisms: Mutant[];
}

/** Checks the arguments; the error says what is wrong with them. */
const resolveOptions = (loadFile: string | undefined, seeds: string, without: string[]): Result<Options, string> => {
    const seedCount = Number(seeds);
    if (loadFile === undefined || !Number.isInteger(seedCount) || seedCount < 1) {
        return fail(usage);
    }
    const load = readLoad(loadFile);
    if (!load.ok) {
        return load;
    }
    const mechanisms: Mutant[] = [];
    for (const text of without) {
        const found = findMechanism(text);
        if (!found.ok) {
            return found;
        }
        mechanisms.push(found.value);
    }
    return succeed({ loadFile, load: load.value, seedCount, mechanisms });
};

const main = async (): Promise<void> => {
    const { values } = parseArgs({
        options: {
            load: { type: "string" },
            seeds: { type: "string", default: "5" },
            without: { type: "string", multiple: true, default: [] },
            svg: { type: "string" },
            json: { type: "boolean", default: false },
        },
    });
    const options = resolveOptions(values.load, values.seeds, values.without);
    if (!options.ok) {
        console.error(options.error);
        process.exitCode = badInputExitCode;
        return;
    }
    const { loadFile, load, seedCount, mechanisms } = options.value;
    const results = await replaySeeds(load, seedCount);
    if (values.json) {
        console.log(JSON.stringify(results));
        return;
    }
    const variants = [
        { name: "as it is", results },
        ...mechanisms.map(mutant => replayWithout(mutant, loadFile, seedCount)),
    ];
    variants.forEach(variant => printVariant(variant, results));
    if (values.svg !== undefined) {
        writeFileSync(values.svg, await plotEarnedShares(variants));
    }
};

if (process.argv[1] === fileURLToPath(import.meta.url)) {
    await main();
}
