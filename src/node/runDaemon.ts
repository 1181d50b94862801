import type { Check } from "../configuration/schema.js";
import { loadSettings } from "./settings.js";

/** A running daemon. */
export interface Daemon {
    httpPort: number;
    peerPort: number;
    /** Finishes what is in progress and stops. */
    stop(): Promise<void>;
}

const exitBadSettings = 2;
const exitFailure = 1;

/** Reports on standard output where the daemon listens, and stops it on SIGTERM or SIGINT. */
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

/** Runs a daemon from the settings file named on the command line. */
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
};
