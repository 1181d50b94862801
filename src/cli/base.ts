import { Command, Option } from "clipanion";

/** Exit codes of the command line. */
export enum ExitCode {
    Ok = 0,
    /** The request was valid and was refused, or its outcome is unknown. */
    Refused = 1,
    /** The input is invalid. */
    BadInput = 2,
}

/** Base of all commands: the `--json` option and the output. */
export abstract class BaseCommand extends Command {
    json = Option.Boolean("--json", false, { description: "Print JSON for machines" });

    /** Prints the value as JSON if `--json` is given, the lines otherwise. */
    protected print(value: unknown, lines: readonly string[]): void {
        const text = this.json ? JSON.stringify(value, undefined, 2) : lines.join("\n");
        this.context.stdout.write(`${text}\n`);
    }
}

/** Base of the commands that send requests to an entry VM. */
export abstract class EntryCommand extends BaseCommand {
    entry = Option.String("--entry", process.env.CATKINSWITCH_ENTRY ?? "http://127.0.0.1:8080", {
        description: "Address of a scheduler or router, default from CATKINSWITCH_ENTRY",
    });
}
