/** Case 9: the record of a job with many tasks, each of which has failed once, does not fit into a row. */
import { setTimeout as sleep } from "node:timers/promises";
import { runCase, Verdict } from "./deployment.js";
import type { Deployment } from "./deployment.js";

const jobId = "00000000000000b1";
const taskCount = 600;
const workMs = 3_000;
/** Time for which two workers fail all that they start. */
const failingMs = 6_500;
/** Time after the end of the traffic and of the trouble at which the job is asked for. */
const finishMs = 14_000;
const stalledMs = 3_000;

/** Ids of the service and a UUID. */
const workerIds = Array.from(
    { length: 20 },
    (_, index) => `dovebook-3f6c1d${index + 10}-8e2b-4c57-9a01-5d7e90b3c4${index + 10}`,
);

const job = {
    spec: JSON.stringify({ workMs }),
    steps: [{ count: taskCount, cpu: 100, "mem-mb": 100, "estimate-ms": workMs }],
};

const stateOf = async ({ call, vms }: Deployment): Promise<string | undefined> => {
    const answers = await Promise.all(vms.map(vm => call(vm, "GET", jobId)));
    return (answers.find(({ status }) => status === 200)?.body as { state?: string; } | undefined)?.state;
};

await runCase({ folder: "review/9", workerIds, vmCount: 2, maxAttempts: 4 }, async (deployment, withTrouble) => {
    const { workers, note, events, failingWorkers } = deployment;
    if (withTrouble) {
        // the workers that an idle deployment fills first
        for (const id of [...workerIds].sort().slice(0, 2)) {
            failingWorkers.add(id);
            note(`${id} fails all that it starts`);
        }
    }
    if (!await deployment.submit(jobId, job)) {
        return Verdict.NotRun;
    }
    await sleep(failingMs);
    failingWorkers.clear();
    note("no worker fails any more");
    await sleep(finishMs);
    const startedBefore = events.filter(({ event }) => event === "start").length;
    const stalledFromMs = Date.now();
    let isStalled = true;
    while (Date.now() - stalledFromMs < stalledMs) {
        isStalled &&= workers.every(worker => worker.runningCount() === 0);
        await sleep(20);
    }
    const state = await stateOf(deployment);
    const done = new Set(events.filter(({ how }) => how === "done").map(({ task }) => task)).size;
    const failed = events.filter(({ event, how }) => event === "end" && how === "failed").length;
    const isIdle = isStalled && events.filter(({ event }) => event === "start").length === startedBefore;
    const summary =
        `the job is ${state}; ${done} of ${taskCount} tasks are done, ${failed} runs failed; nothing ran for `
        + `${stalledMs} ms on ${workers.length} idle workers: ${isIdle}`;
    note(summary);
    process.stdout.write(`${summary}\n`);
    return done < taskCount && isIdle && state !== "failed" ? Verdict.Broken : Verdict.Held;
});
