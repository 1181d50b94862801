/** Case 7: a tenant needs its guarantee while tasks that another tenant lets the system stop use all accelerators. */
import { setTimeout as sleep } from "node:timers/promises";
import { hotel, ledger, runCase, Verdict } from "./deployment.js";

const urgentJobId = "00000000000000d0";
const borrowingJobIds = ["00000000000000d1", "00000000000000d2", "00000000000000d3"];
const tasksPerJob = 8;
/** Time in which a claimed guarantee has to be served. */
const reclaimMs = 2_700;
const observeMs = 15_000;
const isMissAllowed = process.env.MISS_ALLOWED !== "0";

const borrowingJob = {
    spec: JSON.stringify({ workMs: 3_600_000 }),
    steps: [{
        count: tasksPerJob,
        cpu: 4_000,
        "mem-mb": 1_000,
        gpu: 1,
        "estimate-ms": 60_000,
        "long-running": true,
        ...(isMissAllowed ? { "miss-allowed": tasksPerJob } : {}),
    }],
};

const urgentJob = {
    spec: JSON.stringify({ workMs: 2_000 }),
    steps: [{ count: hotel.guaranteedGpus, cpu: 4_000, "mem-mb": 1_000, gpu: 1, "estimate-ms": 2_000 }],
};

await runCase(
    { folder: "review/7", workerIds: ["i-0a", "i-0b", "i-0c"], vmCount: 2, maxAttempts: 4 },
    async (deployment, withTrouble) => {
        const { events, note } = deployment;
        if (withTrouble) {
            for (const jobId of borrowingJobIds) {
                if (!await deployment.submit(jobId, borrowingJob, ledger)) {
                    return Verdict.NotRun;
                }
            }
            await sleep(5_000);
            const running = deployment.workers.reduce((sum, worker) => sum + worker.runningCount(), 0);
            note(`${running} tasks of the other tenant run`);
        }
        if (!await deployment.submit(urgentJobId, urgentJob)) {
            return Verdict.NotRun;
        }
        const acceptedAtMs = Date.now();
        await sleep(observeMs);
        const starts = new Map(
            events.filter(({ event, task }) => event === "start" && task.startsWith(urgentJobId))
                .reverse()
                .map(({ task, atMs }) => [task, atMs - acceptedAtMs]),
        );
        const inTime = [...starts.values()].filter(afterMs => afterMs <= reclaimMs).length;
        const { body } = await deployment.call(deployment.vms[0], "GET", urgentJobId);
        const summary =
            `${inTime} of ${hotel.guaranteedGpus} tasks began within ${reclaimMs} ms, ${starts.size} within `
            + `${observeMs} ms; the job is ${(body as { state?: string; } | undefined)?.state}`;
        note(summary);
        process.stdout.write(`${summary}\n`);
        return inTime < hotel.guaranteedGpus ? Verdict.Broken : Verdict.Held;
    },
);
