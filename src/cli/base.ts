import { Command, Option } from "clipanion";

/** Exit codes of the command line. */
export enum ExitCode {
    Ok = 0,
    /** The request was understood and refused, or its fate is unknown. */
    Refused = 1,
    /** The input is wrong. */
    BadInput = 2,
}

/** Options and output that all commands share. */
export abstract class BaseCommand extends Command {
    json = Option.Boolean("--json", false, { description: "Print JSON for machines" });

    /** Prints a value: as JSON, or as the lines for people. */
    protected print(value: unknown, lines: readonly string[]): void {
        const text = this.json ? JSON.stringify(value, undefined, 2) : lines.join("\n");
        this.context.stdout.write(`${text}\n`);
    }
}

/** Base of the commands that talk to an entry VM. */
export abstract class EntryCommand extends BaseCommand {
    entry = Option.String("--entry", process.env.CATKINSWITCH_ENTRY ?? "http://127.0.0.1:8080", {
        description: "Address of a scheduler or router, default from CATKINSWITCH_ENTRY",
    });
}
