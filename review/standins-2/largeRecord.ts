/** Case 9: the record of a scheduled job of which many times are due at once does not fit into a row. */
import { setTimeout as sleep } from "node:timers/promises";
import { hotel, ledger, runCase, Verdict } from "./deployment.js";
import type { Deployment } from "./deployment.js";

const scheduledJobId = "00000000000000b1";
const urgentJobId = "00000000000000b2";
const occurrences = 560;
const intervalMs = 50;
/** Time from the submission of the scheduled job until it is due for the first time. */
const untilFirstMs = 2_000;
/** Time for which the urgent job uses all cores. */
const urgentMs = 28_000;
/** Time after the end of the traffic, which is the last time of the job, at which the job is asked for. */
const finishMs = 14_000;
const stalledMs = 3_000;

const urgentJob = {
    spec: JSON.stringify({ workMs: urgentMs }),
    steps: [{ count: 16, cpu: 8_000, "mem-mb": 1_000, "estimate-ms": urgentMs }],
};

const scheduledJob = (): unknown => ({
    spec: JSON.stringify({ workMs: 200 }),
    steps: [{ count: 1, cpu: 100, "mem-mb": 10, "estimate-ms": 200 }],
    "repeat-count": occurrences,
    "start-ms": Date.now() + untilFirstMs,
    "interval-ms": intervalMs,
});

const stateOf = async ({ call, vms }: Deployment): Promise<string | undefined> => {
    const answers = await Promise.all(vms.map(vm => call(vm, "GET", scheduledJobId, undefined, ledger)));
    return (answers.find(({ status }) => status === 200)?.body as { state?: string; } | undefined)?.state;
};

await runCase(
    { folder: "review/9", workerIds: ["i-7f3a91c2", "i-7f3a91c3"], vmCount: 2, maxAttempts: 4 },
    async (deployment, withTrouble) => {
        const { workers, note, events } = deployment;
        if (withTrouble && !await deployment.submit(urgentJobId, urgentJob, hotel)) {
            return Verdict.NotRun;
        }
        await sleep(1_000);
        if (!await deployment.submit(scheduledJobId, scheduledJob(), ledger)) {
            return Verdict.NotRun;
        }
        await sleep(untilFirstMs + occurrences * intervalMs + finishMs);
        const stalledFromMs = Date.now();
        let isStalled = true;
        while (Date.now() - stalledFromMs < stalledMs) {
            isStalled &&= workers.every(worker => worker.runningCount() === 0);
            await sleep(20);
        }
        const state = await stateOf(deployment);
        const done = new Set(
            events.filter(({ how, task }) => how === "done" && task.startsWith(scheduledJobId)).map(({ task }) => task),
        ).size;
        const summary = `the scheduled job is ${state}; ${done} of ${occurrences} tasks are done; `
            + `nothing ran for ${stalledMs} ms on idle workers: ${isStalled}`;
        note(summary);
        process.stdout.write(`${summary}\n`);
        return done < occurrences && isStalled ? Verdict.Broken : Verdict.Held;
    },
);
