import { Command, Option } from "clipanion";
import { readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import type { PublishError } from "../configuration/commands/publish.js";
import { ChangeKind, findChanges } from "../configuration/queries/changes.js";
import type { StatementChange } from "../configuration/queries/changes.js";
import { checkTogether } from "../configuration/queries/checkTogether.js";
import { collectIntents } from "../configuration/queries/collect.js";
import type { FileProblem, LocatedIntent } from "../configuration/queries/collect.js";
import { findConflicts } from "../configuration/queries/conflicts.js";
import { explain } from "../configuration/queries/settings.js";
import type { Snapshot, Statement } from "../configuration/types.js";
import type { JobView } from "../jobs/queries/jobView.js";
import type { WorkerFacts } from "../workers/types.js";
import { BaseCommand, EntryCommand, ExitCode } from "./base.js";
import { send } from "./client.js";
import { readJsonFile } from "./input.js";

const baseFile = ".catkinswitch.json";

const formatProblem = (problem: FileProblem): string => `${problem.file}:${problem.line}: ${problem.detail}`;

/** Version of the last publish from this checkout; 0 if the base file is missing or invalid. */
const readBaseVersion = async (tree: string): Promise<number> => {
    try {
        const { baseVersion } = JSON.parse(await readFile(join(tree, baseFile), "utf8")) as { baseVersion: number; };
        return baseVersion;
    }
    catch {
        return 0;
    }
};

/** Checks a directory tree of statements without publishing it. */
export class CheckCommand extends BaseCommand {
    static override paths = [["check"]];
    static override usage = Command.Usage({
        description: "Check the statements of intent below a directory",
        examples: [["Check the examples", "catkinswitch check examples"]],
    });

    tree = Option.String({ name: "directory" });
    fleet = Option.String("--fleet", { description: "JSON file with the workers to check guarantees against" });

    override async execute(): Promise<number> {
        const collected = await collectIntents(this.tree);
        const fleet = this.fleet === undefined ? undefined : await readJsonFile(this.fleet);
        if (fleet !== undefined && !fleet.ok) {
            this.print({ problems: [fleet.error] }, [fleet.error]);
            return ExitCode.BadInput;
        }
        const workers = fleet?.value as WorkerFacts[] | undefined;
        const problems = [...collected.problems, ...checkTogether(collected.intents, workers)];
        const summary = `${collected.intents.length} statements, ${problems.length} problems`;
        this.print({ statements: collected.intents.length, problems }, [...problems.map(formatProblem), summary]);
        return problems.length === 0 ? ExitCode.Ok : ExitCode.BadInput;
    }
}

const describeError = (error: PublishError): string[] => {
    switch (error.kind) {
        case "problems":
            return error.problems.map(formatProblem);
        case "conflicts":
            return [
                `refused: version ${error.version} holds changes that this publish would undo`,
                ...error.conflicts.map(conflict =>
                    `  ${conflict.name}: changed by ${conflict.changedBy} in version ${conflict.changedInVersion}; ${conflict.detail}`
                ),
                `merge these changes into your checkout, then publish with --base ${error.version}`,
            ];
        case "raced":
            return ["refused: another publish came first; publish again"];
        case "unavailable":
            return [`not published: ${error.detail}`];
        case "unknown":
            return [`it is not known whether this was published: ${error.detail}`];
    }
};

const changeMarkers: Record<ChangeKind, string> = {
    [ChangeKind.Added]: "+",
    [ChangeKind.Changed]: "~",
    [ChangeKind.Removed]: "-",
};

const formatChange = ({ kind, name, file, fields }: StatementChange): string[] => [
    `${changeMarkers[kind]} ${name}  (${file})`,
    ...fields.map(({ field, before, after }) =>
        `    ${field}: ${JSON.stringify(before) ?? "absent"} -> ${JSON.stringify(after) ?? "absent"}`
    ),
];

/** Publishes a directory tree of statements as the next version. */
export class PublishCommand extends EntryCommand {
    static override paths = [["publish"]];
    static override usage = Command.Usage({
        description: "Publish the statements of intent below a directory",
        details:
            "Exit codes: 0 accepted or dry run without problems, 1 refused or outcome unknown, 2 invalid statements.",
        examples: [
            ["Publish as the operations team", "catkinswitch publish intents --as operations"],
            ["Preview the changes", "catkinswitch publish intents --as operations --dry-run"],
        ],
    });

    tree = Option.String({ name: "directory" });
    publisher = Option.String("--as", { required: true, description: "Who publishes" });
    dryRun = Option.Boolean("--dry-run", false, { description: "Show what would change and publish nothing" });
    base = Option.String("--base", { description: `Version this checkout is based on, default from ${baseFile}` });

    override async execute(): Promise<number> {
        const collected = await collectIntents(this.tree);
        const problems = [...collected.problems, ...checkTogether(collected.intents, undefined)];
        if (problems.length > 0) {
            this.print({ problems }, problems.map(formatProblem));
            return ExitCode.BadInput;
        }
        const baseVersion = this.base === undefined ? await readBaseVersion(this.tree) : Number(this.base);
        if (!Number.isInteger(baseVersion) || baseVersion < 0) {
            this.print({ detail: "bad base version" }, [`--base must be a version, not "${this.base}"`]);
            return ExitCode.BadInput;
        }
        if (this.dryRun) {
            return this.showChanges(baseVersion, collected.intents);
        }
        const body = { baseVersion, publisher: this.publisher, intents: collected.intents };
        const answer = await send(`${this.entry}/v1/configurations`, { method: "POST", body });
        if (answer.status !== 200) {
            return this.reportError(answer.body as { error?: PublishError; detail: string; });
        }
        const snapshot = answer.body as Snapshot;
        await writeFile(join(this.tree, baseFile), `${JSON.stringify({ baseVersion: snapshot.version })}\n`);
        this.print(snapshot, [`version ${snapshot.version} accepted with ${snapshot.statements.length} statements`]);
        return ExitCode.Ok;
    }

    private async showChanges(baseVersion: number, intents: readonly LocatedIntent[]): Promise<number> {
        const answer = await send(`${this.entry}/v1/configurations`);
        const current = answer.body as Snapshot;
        const conflicts = findConflicts(current, baseVersion, intents);
        if (conflicts.length > 0) {
            const error: PublishError = { kind: "conflicts", version: current.version, conflicts };
            return this.reportError({ error, detail: "conflicts" });
        }
        const changes = findChanges(current, intents);
        const summary = `${changes.length} statements would change after version ${current.version}; nothing published`;
        this.print({ version: current.version, changes }, [...changes.flatMap(formatChange), summary]);
        return ExitCode.Ok;
    }

    private reportError(problem: { error?: PublishError; detail: string; }): number {
        this.print(problem, problem.error === undefined ? [problem.detail] : describeError(problem.error));
        return problem.error?.kind === "problems" ? ExitCode.BadInput : ExitCode.Refused;
    }
}

const formatSettings = (statement: Statement): string =>
    JSON.stringify({
        calls: statement.calls,
        jobs: statement.jobs,
        guarantee: statement.guarantee,
        availabilityZonesOut: statement.availabilityZonesOut,
    });

const formatStatement = (statement: Statement): string[] => [
    `${statement.name}  (${statement.provenance.file}:${statement.provenance.line})`,
    `  reason:  ${statement.reason}`,
    `  owner:   ${statement.owner}`,
    `  changed: version ${statement.provenance.changedInVersion} by ${statement.provenance.changedBy}, ${
        new Date(statement.provenance.changedAtMs).toISOString()
    }`,
    `  states:  ${formatSettings(statement)}`,
];

/** Shows the statements about a customer, service, availability zone or job, or those with a given name or file. */
export class ExplainCommand extends EntryCommand {
    static override paths = [["explain"]];
    static override usage = Command.Usage({
        description:
            "Show the statements about a customer, service, availability zone or job, or one by name or file, with author and reason",
        examples: [
            ["Why is zone-a out of service", "catkinswitch explain zone-a"],
            ["Why was a job placed where it ran", "catkinswitch explain job:weddings.plan-7"],
        ],
    });

    subject = Option.String({ name: "subject" });

    override async execute(): Promise<number> {
        const answer = await send(`${this.entry}/v1/configurations`);
        const snapshot = answer.body as Snapshot;
        const lines: string[] = [];
        let subject = this.subject;
        if (subject.startsWith("job:")) {
            const job = await this.explainJob(subject.slice("job:".length));
            lines.push(...job.lines);
            subject = job.subject;
        }
        const statements = explain(snapshot, subject);
        lines.push(...statements.flatMap(formatStatement));
        this.print(
            { version: snapshot.version, statements },
            lines.length > 0 ? lines : [`no statement mentions "${subject}"`],
        );
        return lines.length > 0 ? ExitCode.Ok : ExitCode.Refused;
    }

    private async explainJob(jobId: string): Promise<{ lines: string[]; subject: string; }> {
        const answer = await send(`${this.entry}/v1/jobs/${encodeURIComponent(jobId)}`);
        if (answer.status !== 200) {
            throw new Error(`no job "${jobId}"`);
        }
        const job = answer.body as JobView;
        const lines = [`${jobId}: ${job.state}, ${job.reason}`];
        if (job.workers.length > 0) {
            lines.push(`  placed on ${job.workers.join(", ")} with priority ${job.priority}`);
        }
        return { lines, subject: job.customer ?? job.service };
    }
}
