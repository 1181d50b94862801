import { readdir, readFile } from "node:fs/promises";
import { join, relative } from "node:path";
import { parseJsonWithComments } from "../../utils/jsonWithComments.js";
import { checkIntent } from "../schema.js";
import type { Intent } from "../types.js";

/** A statement of intent with its file and line. */
export interface LocatedIntent {
    intent: Intent;
    /** Path relative to the root of the tree. */
    file: string;
    line: number;
}

/** A problem in a statement file. */
export interface FileProblem {
    file: string;
    line: number;
    /** Description of the problem, for people. */
    detail: string;
}

/** Valid statements of a directory tree, and the problems of the others. */
export interface CollectedIntents {
    intents: LocatedIntent[];
    problems: FileProblem[];
}

/** Extension of the files that hold a statement of intent. */
export const intentFileExtension = ".intent.jsonc";

const findFiles = async (root: string): Promise<string[]> => {
    const entries = await readdir(root, { recursive: true, withFileTypes: true });
    const files = entries.filter(entry => entry.isFile() && entry.name.endsWith(intentFileExtension));
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

/** Reads and checks all statement files below a directory; a missing directory is reported as a problem. */
export const collectIntents = async (root: string): Promise<CollectedIntents> => {
    const collected: CollectedIntents = { intents: [], problems: [] };
    const files = await findFiles(root).catch((error: NodeJS.ErrnoException) => error);
    if (!Array.isArray(files)) {
        const detail = files.code === "ENOENT" ? "there is no such directory" : files.message;
        return { intents: [], problems: [{ file: root, line: 0, detail }] };
    }
    for (const path of files) {
        const fileResult = readIntent(await readFile(path, "utf8"), relative(root, path));
        collected.intents.push(...fileResult.intents);
        collected.problems.push(...fileResult.problems);
    }
    return collected;
};
