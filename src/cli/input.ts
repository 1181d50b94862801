import { readFile } from "node:fs/promises";
import { parseJsonWithComments } from "../utils/jsonWithComments.js";
import { fail, succeed } from "../utils/result.js";
import type { Result } from "../utils/result.js";

/** Parses JSON with comments; the error starts with the source and the line. */
export const parseInput = (text: string, source: string): Result<unknown, string> => {
    const parsed = parseJsonWithComments(text);
    return parsed.ok ? succeed(parsed.value.value) : fail(`${source}:${parsed.error.line}: ${parsed.error.detail}`);
};

/** Reads a file of JSON with comments; the error starts with the file and, for invalid JSON, the line. */
export const readJsonFile = async (file: string): Promise<Result<unknown, string>> => {
    const text = await readFile(file, "utf8").catch((error: NodeJS.ErrnoException) => error);
    if (typeof text !== "string") {
        return fail(`${file}: ${text.code === "ENOENT" ? "there is no such file" : text.message}`);
    }
    return parseInput(text, file);
};
