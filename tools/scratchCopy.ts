/** Scratch copies of the build in which mechanisms are switched off. */
import { cpSync, mkdtempSync, readFileSync, symlinkSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type { Mutant } from "./mutants.js";

const root = fileURLToPath(new URL("../..", import.meta.url));

/** Creates a copy of the build in a temporary folder; the caller removes it. */
export const createScratchCopy = (): string => {
    const copy = mkdtempSync(join(tmpdir(), "catkinswitch-failing-"));
    cpSync(join(root, "dist"), join(copy, "dist"), { recursive: true });
    cpSync(join(root, "examples"), join(copy, "examples"), { recursive: true });
    cpSync(join(root, "package.json"), join(copy, "package.json"));
    cpSync(join(root, "KNOWN-RED.txt"), join(copy, "KNOWN-RED.txt"));
    symlinkSync(join(root, "node_modules"), join(copy, "node_modules"));
    return copy;
};

/** Applies a mutant to a copy and returns a function that restores it; throws if the mutant no longer applies. */
export const applyMutant = (copy: string, mutant: Mutant): () => void => {
    const path = join(copy, "dist/src", mutant.file);
    const original = readFileSync(path, "utf8");
    if (!original.includes(mutant.find)) {
        throw new Error(`${mutant.file} does not contain: ${mutant.find}`);
    }
    writeFileSync(path, original.replaceAll(mutant.find, mutant.replace));
    return () => writeFileSync(path, original);
};
