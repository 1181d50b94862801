/** Case 8: a lasting task that failed waits for a place while workers are kept free for a gang that cannot start. */
import { setTimeout as sleep } from "node:timers/promises";
import { ledger, runCase, Verdict } from "./deployment.js";

const otherJobId = "00000000000000e0";
const lastingJobId = "00000000000000e1";
const gangJobId = "00000000000000e2";
/** Accelerators of a worker. */
const wholeWorker = 8;
/** Tasks beside the observed one, of one accelerator each: they fill a worker and half of another one. */
const otherTasks = 13;
/** Time after which the first run of the observed task fails. */
const untilFailureMs = 10_000;
const untilGangMs = 3_000;
/** A task that lasts has to run again from this time after its last run on, ... */
const mayWaitMs = 6_000;
/** ... but for this long. */
const maxIdleMs = 3_000;
const observeMs = 25_000;

const lastingStep = { cpu: 8_000, "mem-mb": 1_000, gpu: 1, "estimate-ms": 60_000, "long-running": true };

const otherJob = {
    spec: JSON.stringify({ workMs: 3_600_000 }),
    steps: [{ count: otherTasks, ...lastingStep }],
};

const lastingJob = {
    spec: JSON.stringify({ workMs: untilFailureMs, failures: 1 }),
    steps: [{ count: 1, ...lastingStep }],
};

const gangJob = {
    spec: JSON.stringify({ workMs: 30_000 }),
    steps: [{ count: 2, cpu: 26_000, "mem-mb": 50_000, gpu: wholeWorker, "estimate-ms": 30_000, gang: true }],
};

await runCase(
    { folder: "review/8", workerIds: ["i-0a", "i-0b", "i-0c"], vmCount: 2, maxAttempts: 4 },
    async (deployment, withTrouble) => {
        const { events, note, workers } = deployment;
        const accepted = await deployment.submit(otherJobId, otherJob, ledger)
            && await deployment.submit(lastingJobId, lastingJob, ledger);
        if (!accepted) {
            return Verdict.NotRun;
        }
        await sleep(untilGangMs);
        if (withTrouble && !await deployment.submit(gangJobId, gangJob, ledger)) {
            return Verdict.NotRun;
        }
        await sleep(untilFailureMs - untilGangMs + observeMs);
        const observed = events.filter(({ task, event }) => task.startsWith(lastingJobId) && event !== "noted");
        const failedAtMs = observed.find(({ how }) => how === "failed")?.atMs;
        if (failedAtMs === undefined) {
            return Verdict.NotRun;
        }
        const startedAgainAtMs = observed.find(({ event, atMs }) => event === "start" && atMs >= failedAtMs)?.atMs;
        const gapMs = (startedAgainAtMs ?? Date.now()) - failedAtMs;
        const running = workers.map(worker => `${worker.id} ${worker.runningCount()}`).join(", ");
        const summary = `the lasting task had no run for ${gapMs} ms`
            + `${startedAgainAtMs === undefined ? " and has none yet" : ""}; tasks at work: ${running}`;
        note(summary);
        process.stdout.write(`${summary}\n`);
        return gapMs > mayWaitMs + maxIdleMs ? Verdict.Broken : Verdict.Held;
    },
);
