/** Replays a load with the policy as it is and without mechanisms, on the same seeds, and compares what is earned. */
import { spawnSync } from "node:child_process";
import { rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { findMutants } from "../tools/mutants.js";
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

/** Replays in a scratch copy of the build in which one mechanism is switched off. */
const replayWithout = (mechanism: string, loadFile: string, seedCount: number): Variant => {
    const mutants = findMutants(mechanism);
    if (mutants.length !== 1) {
        const found = mutants.map(mutant => mutant.without).join("; ") || "none";
        throw new Error(`--without ${mechanism} must name one mechanism; found: ${found}`);
    }
    const copy = createScratchCopy();
    try {
        applyMutant(copy, mutants[0]);
        const script = join(copy, "dist/bench/experiment.js");
        const args = [script, "--load", loadFile, "--seeds", String(seedCount), "--json"];
        const run = spawnSync(process.execPath, args, { encoding: "utf8", maxBuffer: Number.POSITIVE_INFINITY });
        if (run.status !== 0) {
            throw new Error(`the replay without ${mutants[0].without} failed: ${run.stderr}`);
        }
        return { name: `without ${mutants[0].without}`, results: JSON.parse(run.stdout) as ReplayResult[] };
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
    const seedCount = Number(values.seeds);
    const load = values.load === undefined ? undefined : readLoad(values.load);
    if (values.load === undefined || load?.ok !== true || !Number.isInteger(seedCount) || seedCount < 1) {
        console.error(load?.ok === false ? load.error : usage);
        process.exitCode = badInputExitCode;
        return;
    }
    const results = await replaySeeds(load.value, seedCount);
    if (values.json) {
        console.log(JSON.stringify(results));
        return;
    }
    const loadFile = values.load;
    const variants = [
        { name: "as it is", results },
        ...values.without.map(mechanism => replayWithout(mechanism, loadFile, seedCount)),
    ];
    variants.forEach(variant => printVariant(variant, results));
    if (values.svg !== undefined) {
        writeFileSync(values.svg, await plotEarnedShares(variants));
    }
};

if (process.argv[1] === fileURLToPath(import.meta.url)) {
    await main();
}
