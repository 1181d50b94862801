import { createReadStream } from "node:fs";
import { stat } from "node:fs/promises";
import { createInterface } from "node:readline";
import { fail, succeed } from "../utils/result.js";
import type { Result } from "../utils/result.js";
import { parseLogLine } from "./logLines.js";
import type { LogLine } from "./logLines.js";

/** Options of {@link readLogs}. */
export interface ReadLogsOptions {
    files: readonly string[];
    /** Called with each line that is a log line of a daemon. */
    onLine: (line: LogLine) => void;
    /** Called with the number of bytes read so far and in all. @default not called */
    onProgress?: (readBytes: number, totalBytes: number) => void;
}

/** Reads log files as streams, one after the other; the error names the file that cannot be read. */
export const readLogs = async ({ files, onLine, onProgress }: ReadLogsOptions): Promise<Result<void, string>> => {
    let totalBytes = 0;
    let readBytes = 0;
    for (const file of files) {
        const found = await stat(file).catch((error: Error) => error);
        if (found instanceof Error) {
            return fail(`${file}: cannot be read: ${found.message}`);
        }
        totalBytes += found.size;
    }
    for (const file of files) {
        const stream = createReadStream(file);
        stream.on("data", chunk => {
            readBytes += chunk.length;
            onProgress?.(readBytes, totalBytes);
        });
        try {
            for await (const text of createInterface({ input: stream, crlfDelay: Infinity })) {
                const line = parseLogLine(text);
                if (line !== undefined) {
                    onLine(line);
                }
            }
        }
        catch (error) {
            return fail(`${file}: cannot be read: ${(error as Error).message}`);
        }
    }
    return succeed(undefined);
};
