#!/usr/bin/env node
import { Builtins, Cli } from "clipanion";
import { CheckCommand, ExplainCommand, PublishCommand } from "../cli/intentCommands.js";
import { ReportCommand } from "../cli/reportCommand.js";
import { TraceCommand } from "../cli/traceCommand.js";
import { CallCommand, CancelCommand, DumpCommand, StatusCommand, SubmitCommand } from "../cli/workCommands.js";

const cli = new Cli({ binaryLabel: "catkinswitch", binaryName: "catkinswitch", binaryVersion: "0.1.0" });
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
cli.register(CheckCommand);
cli.register(PublishCommand);
cli.register(ExplainCommand);
cli.register(CallCommand);
cli.register(SubmitCommand);
cli.register(StatusCommand);
cli.register(CancelCommand);
cli.register(DumpCommand);
cli.register(TraceCommand);
cli.register(ReportCommand);
void cli.runExit(process.argv.slice(2));
