import { Command, Option } from "clipanion";
import { Cause, findCause } from "../tracing/findCause.js";
import type { LogLine } from "../tracing/logLines.js";
import { readLogs } from "../tracing/readLogs.js";
import { BaseCommand, ExitCode } from "./base.js";

const formatLine = (line: LogLine): string => {
    const { vm, daemon, logLevel, ...otherFields } = line.fields;
    const fields = Object.entries(otherFields).map(([name, value]) => `${name}=${JSON.stringify(value)}`).join(" ");
    return `${new Date(line.timeMs).toISOString()} ${String(vm ?? daemon ?? logLevel)} ${line.message} ${fields}`;
};

/** Prints the log lines of one job or request from the logs of all processes and the cause of its failure or delay. */
export class TraceCommand extends BaseCommand {
    static override paths = [["trace"]];
    static override usage = Command.Usage({
        description: "Show the log lines of a job and the cause of its failure or delay",
        details: "Exit codes: 0 cause found, 1 not in these logs, 2 a file cannot be read.",
        examples: [["Why was a booking late", "catkinswitch trace 5c0e7a21d94b36f8 --logs vm1.log --logs vm2.log"]],
    });

    jobId = Option.String({ name: "id" });
    logs = Option.Array("--logs", { required: true, description: "Log file of a process; may be given several times" });

    override async execute(): Promise<number> {
        const lines: LogLine[] = [];
        const read = await readLogs({ files: this.logs, onLine: line => lines.push(line) });
        if (!read.ok) {
            this.context.stderr.write(`${read.error}\n`);
            return ExitCode.BadInput;
        }
        const explanation = findCause(lines, this.jobId);
        this.print(explanation, [
            ...explanation.timeline.map(formatLine),
            `cause: ${explanation.cause}: ${explanation.detail}`,
        ]);
        return explanation.cause === Cause.NotInTheseLogs ? ExitCode.Refused : ExitCode.Ok;
    }
}
