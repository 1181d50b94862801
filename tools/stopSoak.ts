/** Runs the soak of stops for a range of seeds and prints a line for each; fails when a request was lost. */
import { parseArgs } from "node:util";
import { runStopSoak } from "../test/fixtures/stopSoak.js";

const msPerSecond = 1_000;

const main = async (): Promise<void> => {
    const { values } = parseArgs({
        options: {
            seed: { type: "string", default: "1" },
            seeds: { type: "string", default: "1" },
            seconds: { type: "string", default: "20" },
            vms: { type: "string", default: "3" },
            routes: { type: "string", default: "200" },
            callers: { type: "string", default: "24" },
        },
    });
    let hasFailed = false;
    for (let seed = Number(values.seed); seed < Number(values.seed) + Number(values.seeds); seed++) {
        const report = await runStopSoak({
            seed,
            durationMs: Number(values.seconds) * msPerSecond,
            vmCount: Number(values.vms),
            furtherRoutes: Number(values.routes),
            callerCount: Number(values.callers),
        });
        hasFailed ||= report.lost.length > 0 || report.badExits.length > 0;
        process.stdout.write(`${JSON.stringify({ seed, ...report })}\n`);
    }
    process.exit(hasFailed ? 1 : 0);
};

void main();
