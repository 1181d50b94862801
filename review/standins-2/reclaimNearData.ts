/** Case 10: a job that claims its tenant's guarantee waits for the rack of its data, which another guarantee uses. */
import { setTimeout as sleep } from "node:timers/promises";
import { hotel, ledger, runCase, Verdict, winery } from "./deployment.js";

const urgentJobId = "00000000000000d0";
const guaranteedJobId = "00000000000000d4";
const borrowingJobIds = ["00000000000000d1", "00000000000000d2"];
const dataRack = "r1-1";
/** Time in which a claimed guarantee has to be served. */
const reclaimMs = 2_700;
const observeMs = 15_000;

const jobOf = (workMs: number, fields: Record<string, unknown> = {}): unknown => ({
    spec: JSON.stringify({ workMs }),
    steps: [{ count: 8, cpu: 6_000, "mem-mb": 1_000, gpu: 1, "estimate-ms": workMs, ...fields }],
});

await runCase(
    { folder: "review/10", workerIds: [], vmCount: 2, maxAttempts: 4 },
    async (deployment, withTrouble) => {
        const { events, note } = deployment;
        for (const rack of [dataRack, "r1-2", "r1-3"]) {
            await deployment.addWorker(`i-${rack}`, { rack });
        }
        await sleep(1_500);
        if (!await deployment.submit(guaranteedJobId, jobOf(60_000, { "data-rack": dataRack }), winery)) {
            return Verdict.NotRun;
        }
        await sleep(1_000);
        for (const jobId of withTrouble ? borrowingJobIds : []) {
            if (!await deployment.submit(jobId, jobOf(60_000), ledger)) {
                return Verdict.NotRun;
            }
        }
        await sleep(5_000);
        note(
            `tasks at work: ${deployment.workers.map(({ id, runningCount }) => `${id} ${runningCount()}`).join(", ")}`,
        );
        if (!await deployment.submit(urgentJobId, jobOf(2_000, { "data-rack": dataRack }), hotel)) {
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
