import type { Check } from "../configuration/schema.js";
import { loadSettings } from "./settings.js";
import { surviveUnhandledRejections } from "./unexpectedErrors.js";

/** A running daemon. */
export interface Daemon {
    httpPort: number;
    peerPort: number;
    /** Finishes requests in progress and stops. */
    stop(): Promise<void>;
}

const exitBadSettings = 2;
const exitFailure = 1;

/** Prints the daemon's ports to standard output as JSON and stops the daemon on SIGTERM or SIGINT. */
const superviseDaemon = (daemon: Daemon): void => {
    process.stdout.write(`${JSON.stringify({ httpPort: daemon.httpPort, peerPort: daemon.peerPort })}\n`);
    let stopping = false;
    const stop = (): void => {
        if (!stopping) {
            stopping = true;
            void daemon.stop().then(() => process.exit(0), () => process.exit(exitFailure));
        }
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
};

/** Starts a daemon with the settings file given on the command line; exits with code 2 on invalid settings. */
export const runDaemon = async <Settings>(
    check: Check,
    start: (settings: Settings) => Promise<Daemon>,
): Promise<void> => {
    const file = process.argv[2];
    if (file === undefined) {
        process.stderr.write("usage: <daemon> SETTINGS-FILE\n");
        process.exit(exitBadSettings);
    }
    const settings = await loadSettings<Settings>(file, check);
    if (!settings.ok) {
        process.stderr.write(`${settings.error.file}:\n  ${settings.error.problems.join("\n  ")}\n`);
        process.exit(exitBadSettings);
    }
    superviseDaemon(await start(settings.value));
    surviveUnhandledRejections(detail =>
        process.stderr.write(`a promise that nobody awaits was rejected: ${detail}\n`)
    );
};
