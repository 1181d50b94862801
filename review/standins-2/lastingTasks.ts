/** Case 10: a zone that holds the planner and a worker with lasting tasks loses power. */
import { setTimeout as sleep } from "node:timers/promises";
import { runCase, Verdict } from "./deployment.js";
import type { Deployment } from "./deployment.js";

const jobId = "00000000000000c1";
const taskCount = 4;
/** Time for which the zone is without power. */
const darkMs = 1_500;
/** A task that lasts has to run again from this time after its last run on, ... */
const mayWaitMs = 6_000;
/** ... but for this long, ... */
const maxIdleMs = 3_000;
/** ... if this time before that was calm, too. */
const calmBeforeMs = 4_000;
const observeMs = 20_000;

const job = {
    spec: JSON.stringify({ workMs: 3_600_000 }),
    steps: [{ count: taskCount, cpu: 4_000, "mem-mb": 1_000, gpu: 1, "estimate-ms": 60_000, "long-running": true }],
};

/** Time from the end of each task's last run to its next start; the present time for one that has not started again. */
const findGapsMs = ({ events }: Deployment): number[] => {
    const endedAt = new Map<string, number>();
    const gaps = new Map<string, number>();
    for (const { event, task, atMs } of events) {
        if (event === "end") {
            endedAt.set(task, atMs);
        }
        const sinceMs = endedAt.get(task);
        if (event === "start" && sinceMs !== undefined) {
            gaps.set(task, Math.max(gaps.get(task) ?? 0, atMs - sinceMs));
            endedAt.delete(task);
        }
    }
    return [...gaps.values(), ...[...endedAt.values()].map(atMs => Date.now() - atMs)];
};

await runCase({ folder: "review/10", workerIds: [], vmCount: 2, maxAttempts: 4 }, async (deployment, withTrouble) => {
    const { vms, note } = deployment;
    const lost = await deployment.addWorker("i-0a", "north-a");
    await deployment.addWorker("i-0b", "north-b");
    await deployment.addWorker("i-0c", "north-b");
    await sleep(1_500);
    if (!await deployment.submit(jobId, job)) {
        return Verdict.NotRun;
    }
    await sleep(5_000);
    if (lost.runningCount() !== taskCount) {
        note("the tasks do not run where the case needs them");
        return Verdict.NotRun;
    }
    if (withTrouble) {
        note("zone north-a loses power");
        deployment.signal(vms[0], "SIGKILL");
        lost.losePower();
        await sleep(darkMs);
        lost.close();
        await deployment.addWorker("i-0d", "north-a", lost.port);
        deployment.restart(vms[0]);
        note("zone north-a is back");
    }
    await sleep(observeMs);
    const allowedMs = Math.max(mayWaitMs, darkMs + calmBeforeMs) + maxIdleMs;
    const gapsMs = findGapsMs(deployment);
    const summary = `lasting tasks without a run for up to ${Math.max(0, ...gapsMs)} ms; ${allowedMs} ms are allowed`;
    note(summary);
    process.stdout.write(`${summary}\n`);
    return gapsMs.some(gapMs => gapMs > allowedMs) ? Verdict.Broken : Verdict.Held;
});
