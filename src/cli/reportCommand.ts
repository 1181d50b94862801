import { SingleBar } from "cli-progress";
import { Command, Option } from "clipanion";
import { readLogs } from "../tracing/readLogs.js";
import { createReportCollector, spanMs } from "../tracing/report.js";
import type { LoadReport, QueueReport } from "../tracing/report.js";
import { BaseCommand, ExitCode } from "./base.js";

const formatCounts = (counts: Partial<Record<string, number>>): string =>
    Object.entries(counts)
        .sort(([, left = 0], [, right = 0]) => right - left)
        .map(([name, count]) => `${name} ${Math.round(count ?? 0)}`)
        .join(", ");

const formatQueue = (queue: QueueReport): string[] => {
    const { accepted, inTime, late, failed, cancelled, unfinished } = queue;
    const outcomes = formatCounts({ accepted, inTime, late, failed, cancelled, unfinished });
    const lines = [`${queue.queue} (priority ${queue.priority}): ${outcomes}`];
    if (late > 0) {
        lines.push(
            `  late, by longest delay: ${formatCounts(queue.lateBy)}`,
            `  time lost by late jobs, ms: ${formatCounts(queue.lostMs)}`,
            `  late after runs that ended early: ${formatCounts(queue.lateAfter) || "none"}`,
            `  late during: ${formatCounts(queue.lateDuring) || "no disturbance in these logs"}`,
        );
    }
    return lines;
};

const formatReport = ({ queues, refused, waste, worstSpans, disturbances }: LoadReport): string[] => [
    ...queues.flatMap(formatQueue),
    `refused, accepted by no process: ${refused}`,
    "work thrown away:",
    ...waste.map(({ reason, runs, runSeconds, coreSeconds }) =>
        `  ${reason}: ${runs} runs, ${Math.round(runSeconds)} run-seconds, ${
            Math.round(coreSeconds)
        } core-seconds unsaved`
    ),
    `spans of ${spanMs / 1_000} s with most late and failed jobs:`,
    ...worstSpans.map(({ fromS, jobs, late, failed }) =>
        `  from ${fromS} s: ${late} late, ${failed} failed of ${jobs}`
    ),
    "disturbances:",
    ...disturbances.map(({ kind, count, seconds }) => `  ${kind}: ${count}, ${seconds} s in all`),
];

/** Reports from the logs of all processes which jobs were late, failed or refused and what work was thrown away. */
export class ReportCommand extends BaseCommand {
    static override paths = [["report"]];
    static override usage = Command.Usage({
        description: "Report late, failed and refused jobs, their delays and the work thrown away",
        details:
            "Reads the logs as streams. Exit codes: 0 report printed, 1 no log line found, 2 a file cannot be read.",
        examples: [["What bound the load last night", "catkinswitch report vm1.log vm2.log"]],
    });

    logs = Option.Rest({ name: "logs", required: 1 });

    override async execute(): Promise<number> {
        const collector = createReportCollector();
        let lineCount = 0;
        const bar = process.stderr.isTTY ? new SingleBar({ clearOnComplete: true }) : undefined;
        bar?.start(0, 0);
        const read = await readLogs({
            files: this.logs,
            onLine: line => {
                lineCount += 1;
                collector.add(line);
            },
            onProgress: (readBytes, totalBytes) => {
                bar?.setTotal(totalBytes);
                bar?.update(readBytes);
            },
        });
        bar?.stop();
        if (!read.ok) {
            this.context.stderr.write(`${read.error}\n`);
            return ExitCode.BadInput;
        }
        const report = collector.report();
        this.print(report, formatReport(report));
        return lineCount === 0 ? ExitCode.Refused : ExitCode.Ok;
    }
}
