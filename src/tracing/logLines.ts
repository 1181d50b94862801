/** One parsed line of a process's log. */
export interface LogLine {
    /** Wall-clock time in milliseconds since the epoch. */
    timeMs: number;
    vm: string;
    message: string;
    fields: Record<string, unknown>;
}

/** Parses a log line of a daemon, also behind a prefix; returns `undefined` for output of any other form. */
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

/** Matches a job's id, the id of one of its tasks or units (`JOB.…`) and a path that ends with the id. */
const refersToJob = (value: unknown, jobId: string): boolean =>
    typeof value === "string" && (value === jobId || value.startsWith(`${jobId}.`) || value.endsWith(`/${jobId}`));

/** Selects the lines about one job or request, ordered by time. */
export const linesOfJob = (lines: readonly LogLine[], jobId: string): LogLine[] =>
    lines
        .filter(({ fields }) =>
            [fields.jobId, fields.task, fields.unit, fields.path].some(value => refersToJob(value, jobId))
        )
        .sort((left, right) => left.timeMs - right.timeMs);
