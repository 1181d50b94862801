/** Runs the soak of restarting workers with real processes for a range of seeds; fails when a rule was broken. */
import { parseArgs } from "node:util";
import { soakRestartsOfProcesses } from "../test/fixtures/restartProcessSoak.js";

const msPerSecond = 1_000;

const main = async (): Promise<void> => {
    const { values } = parseArgs({
        options: {
            seed: { type: "string", default: "1" },
            seeds: { type: "string", default: "1" },
            seconds: { type: "string", default: "20" },
        },
    });
    let hasFailed = false;
    for (let seed = Number(values.seed); seed < Number(values.seed) + Number(values.seeds); seed++) {
        const report = await soakRestartsOfProcesses({ seed, durationMs: Number(values.seconds) * msPerSecond });
        hasFailed ||= report.problems.length > 0;
        process.stdout.write(`${JSON.stringify({ seed, ...report })}\n`);
    }
    process.exit(hasFailed ? 1 : 0);
};

void main();
