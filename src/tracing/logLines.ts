/** One line of a process's log. */
export interface LogLine {
    /** Wall-clock time. */
    timeMs: number;
    vm: string;
    message: string;
    fields: Record<string, unknown>;
}

/** Parses one line as the daemons write it; `undefined` for anything else, which may stand between them. */
export const parseLogLine = (text: string): LogLine | undefined => {
    try {
        const { context, message, time } = JSON.parse(text.slice(text.indexOf("{"))) as {
            context: Record<string, unknown>;
            message: string;
            time: number;
        };
        if (typeof message !== "string" || typeof time !== "number" || typeof context !== "object") {
            return undefined;
        }
        return { timeMs: time, vm: String(context.vm), message, fields: context };
    }
    catch {
        return undefined;
    }
};

const namesJob = (value: unknown, jobId: string): boolean =>
    typeof value === "string" && (value === jobId || value.startsWith(`${jobId}.`) || value.endsWith(`/${jobId}`));

/** Lines about one job or request, in the order of their time. */
export const linesOf = (lines: readonly LogLine[], jobId: string): LogLine[] =>
    lines
        .filter(({ fields }) =>
            [fields.jobId, fields.task, fields.unit, fields.path].some(value => namesJob(value, jobId))
        )
        .sort((left, right) => left.timeMs - right.timeMs);
