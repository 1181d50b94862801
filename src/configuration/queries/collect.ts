import { readdir, readFile } from "node:fs/promises";
import { join, relative } from "node:path";
import { parseJsonWithComments } from "../../utils/jsonWithComments.js";
import { checkIntent } from "../schema.js";
import type { Intent } from "../types.js";

/** A statement of intent with the place it was read from. */
export interface SourcedIntent {
    intent: Intent;
    /** File relative to the root of the tree. */
    file: string;
    line: number;
}

/** Something wrong in a file. */
export interface FileProblem {
    file: string;
    line: number;
    detail: string;
}

/** What a tree of statement files holds. */
export interface CollectedIntents {
    intents: SourcedIntent[];
    problems: FileProblem[];
}

/** Ending of the files that hold a statement of intent. */
export const intentFileEnding = ".intent.jsonc";

const findFiles = async (root: string): Promise<string[]> => {
    const entries = await readdir(root, { recursive: true, withFileTypes: true });
    const files = entries.filter(entry => entry.isFile() && entry.name.endsWith(intentFileEnding));
    return files.map(entry => join(entry.parentPath, entry.name)).sort();
};

const readIntent = (text: string, file: string): CollectedIntents => {
    const parsed = parseJsonWithComments(text);
    if (!parsed.ok) {
        return { intents: [], problems: [{ file, ...parsed.error }] };
    }
    const problems = checkIntent(parsed.value.value).map(problem => ({
        file,
        line: parsed.value.lineOf(problem.path),
        detail: `${problem.path.length === 0 ? "the statement" : `"${problem.path.join(".")}"`} ${problem.expected}`,
    }));
    if (problems.length > 0) {
        return { intents: [], problems };
    }
    return { intents: [{ intent: parsed.value.value as Intent, file, line: parsed.value.lineOf([]) }], problems };
};

/** Reads every statement file below a directory and checks each against the schema. */
export const collectIntents = async (root: string): Promise<CollectedIntents> => {
    const collected: CollectedIntents = { intents: [], problems: [] };
    const files = await findFiles(root).catch((error: NodeJS.ErrnoException) => error);
    if (!Array.isArray(files)) {
        const detail = files.code === "ENOENT" ? "there is no such directory" : files.message;
        return { intents: [], problems: [{ file: root, line: 0, detail }] };
    }
    for (const path of files) {
        const read = readIntent(await readFile(path, "utf8"), relative(root, path));
        collected.intents.push(...read.intents);
        collected.problems.push(...read.problems);
    }
    return collected;
};
