import { Command, Option } from "clipanion";
import type { JobView } from "../jobs/queries/jobView.js";
import { EntryCommand, ExitCode } from "./base.js";
import { send } from "./client.js";
import type { CliAnswer } from "./client.js";
import { parseInput, readJsonFile } from "./input.js";

/** Body of an HTTP answer that reports a failure. */
interface ProblemDetails {
    title: string;
    detail: string;
    outcome?: string;
}

const isOk = (answer: CliAnswer): boolean => answer.status < 300;

const formatProblem = (answer: CliAnswer): string[] => {
    const problem = answer.body as ProblemDetails;
    return [`${problem.outcome ?? "error"}: ${problem.title}: ${problem.detail}`];
};

/** Sends one call through a router. */
export class CallCommand extends EntryCommand {
    static override paths = [["call"]];
    static override usage = Command.Usage({
        description: "Call a service for a customer",
        examples: [["Book once", "catkinswitch call funeral-parlours booking --key order-17 --body '{\"doves\":12}'"]],
    });

    customer = Option.String({ name: "customer" });
    service = Option.String({ name: "service" });
    key = Option.String("--key", { description: "Idempotency key" });
    deadlineMs = Option.String("--deadline-ms", { description: "Time the call may take" });
    body = Option.String("--body", "{}", { description: "JSON body" });

    override async execute(): Promise<number> {
        const path = `/v1/customers/${encodeURIComponent(this.customer)}/services/${
            encodeURIComponent(this.service)
        }/calls`;
        const headers = {
            ...(this.key === undefined ? {} : { "idempotency-key": this.key }),
            ...(this.deadlineMs === undefined ? {} : { "deadline-ms": this.deadlineMs }),
        };
        const body = parseInput(this.body, "--body");
        if (!body.ok) {
            this.print({ detail: body.error }, [body.error]);
            return ExitCode.BadInput;
        }
        const answer = await send(`${this.entry}${path}`, { method: "POST", body: body.value, headers });
        const result = answer.body as { result?: unknown; };
        this.print(answer.body, isOk(answer) ? [`done: ${JSON.stringify(result.result)}`] : formatProblem(answer));
        return isOk(answer) ? ExitCode.Ok : ExitCode.Refused;
    }
}

const formatJob = ({ id, state, reason, workers }: JobView): string =>
    `${id}: ${state} (${reason})${workers.length === 0 ? "" : ` on ${workers.join(" ")}`}`;

/** Submits a job from a file. */
export class SubmitCommand extends EntryCommand {
    static override paths = [["submit"]];
    static override usage = Command.Usage({
        description: "Submit a job described in a JSON file with comments",
        examples: [["Submit", "catkinswitch submit train.jsonc --key night-17"]],
    });

    file = Option.String({ name: "file" });
    key = Option.String("--key", { description: "Idempotency key" });

    override async execute(): Promise<number> {
        const job = await readJsonFile(this.file);
        if (!job.ok) {
            this.print({ detail: job.error }, [job.error]);
            return ExitCode.BadInput;
        }
        const headers = this.key === undefined ? undefined : { "idempotency-key": this.key };
        const answer = await send(`${this.entry}/v1/jobs`, { method: "POST", body: job.value, headers });
        this.print(answer.body, isOk(answer) ? [formatJob(answer.body as JobView)] : formatProblem(answer));
        return isOk(answer) ? ExitCode.Ok : ExitCode.Refused;
    }
}

abstract class JobCommand extends EntryCommand {
    jobId = Option.String({ name: "job" });

    protected async sendForJob(method: "GET" | "DELETE"): Promise<number> {
        const answer = await send(`${this.entry}/v1/jobs/${encodeURIComponent(this.jobId)}`, { method });
        this.print(answer.body, isOk(answer) ? [formatJob(answer.body as JobView)] : formatProblem(answer));
        return isOk(answer) ? ExitCode.Ok : ExitCode.Refused;
    }
}

/** Shows the state of a job. */
export class StatusCommand extends JobCommand {
    static override paths = [["status"]];
    static override usage = Command.Usage({ description: "Show the state of a job and where it runs" });

    override execute(): Promise<number> {
        return this.sendForJob("GET");
    }
}

/** Cancels a job. */
export class CancelCommand extends JobCommand {
    static override paths = [["cancel"]];
    static override usage = Command.Usage({ description: "Cancel a job" });

    override execute(): Promise<number> {
        return this.sendForJob("DELETE");
    }
}

/** Prints the state dump of a router or scheduler as JSON. */
export class DumpCommand extends EntryCommand {
    static override paths = [["dump"]];
    static override usage = Command.Usage({ description: "Show the whole state of a router or scheduler as JSON" });

    override async execute(): Promise<number> {
        const answer = await send(`${this.entry}/v1/dump`);
        this.context.stdout.write(`${JSON.stringify(answer.body, undefined, 2)}\n`);
        return isOk(answer) ? ExitCode.Ok : ExitCode.Refused;
    }
}
