/**
 * A worker crashes and starts again under its id while the planner's machine stands still. The planner then acknowledges
 * an end of the earlier life to the next one, where that number belongs to another task.
 */
import { findPlanner, hasTrouble, runScript, sleep, waitUntil } from "../standins-3/scenario.mjs";

/** Number of attempts: whether the planner notices the new life in time depends on which channel it takes first. */
const maxRounds = 6;
/** Length of the freeze. */
const freezeMs = 600;
/** Time for which the worker is down. */
const downMs = 200;
/** Time after its start at which the worker writes its entry; workers write one about every 1.5 s. */
const firstEntryAfterMs = 700;
const firstWorkMs = 2_000;
const secondWorkMs = 200;

const buildJob = workMs => ({
    spec: JSON.stringify({ workMs }),
    steps: [{ count: 1, cpu: 4_000, "mem-mb": 1_024, gpu: 8, "estimate-ms": workMs, requirements: "x" }],
});

const toId = number => number.toString(16).padStart(16, "0");

// one of seven workers crashes: less than the share of 0.15
const workers = Array.from({ length: 7 }, (_, index) => ({ id: `w${index}`, labels: index === 0 ? ["x"] : [] }));

await runScript(import.meta.url, async ({ store, record, events, call, startVm, workers: [worker] }) => {
    const vms = [await startVm("frontend-1"), await startVm("frontend-2"), await startVm("frontend-3")];
    const startsOf = id => events.filter(({ event, task }) => event === "started" && task.startsWith(id));
    const endsOf = id => events.filter(({ event, task }) => event === "ended" && task.startsWith(id));
    const submit = async (vm, id, workMs) => {
        if ((await call(vm, "POST", `/lohu930/${id}`, { body: buildJob(workMs) })).status !== 200) {
            throw new Error(`job ${id} was not accepted`);
        }
    };

    /** A start after a run has ended `done`, if that end was taken note of. */
    const judge = id => {
        const acknowledged = events.find(({ event, task, how }) =>
            event === "end acknowledged" && how === "done" && task.startsWith(id)
        );
        const startedAgain = startsOf(id).find(start =>
            acknowledged !== undefined && start.run > acknowledged.run && start.atMs >= acknowledged.atMs
        );
        record({ event: "judged", acknowledged, startedAgain });
        return startedAgain && `TWICE: ${startedAgain.task} was started again as run ${startedAgain.run} after run`
            + ` ${acknowledged.run} had ended done and was acknowledged`;
    };

    const playRound = async round => {
        const planner = await findPlanner(store, vms);
        const other = vms.find(vm => vm !== planner);
        const [firstId, secondId] = [toId(2 * round + 0xa0), toId(2 * round + 0xa1)];
        await submit(other, firstId, firstWorkMs);
        if (!await waitUntil(async () => startsOf(firstId).length > 0, 10_000)) {
            throw new Error("the first job did not start");
        }
        const endsAtMs = performance.now() + firstWorkMs;
        // its task needs the whole worker, so it waits for the end of the first
        await submit(other, secondId, secondWorkMs);
        await sleep(endsAtMs - 100 - performance.now());
        if (hasTrouble) {
            const frozenAtMs = performance.now();
            planner.signal("SIGSTOP");
            await waitUntil(async () => endsOf(firstId).length > 0, 2_000);
            await sleep(30);
            worker.crash();
            await sleep(downMs);
            const restarted = worker.restart(firstEntryAfterMs);
            await sleep(frozenAtMs + freezeMs - performance.now());
            planner.signal("SIGCONT");
            await restarted;
        }
        const hasSucceeded = async id => (await call(other, "GET", `/lohu930/${id}`)).body?.state === "succeeded";
        const isOver = async () => await hasSucceeded(firstId) && await hasSucceeded(secondId);
        if (!await waitUntil(async () => (await sleep(200), isOver()), 15_000)) {
            throw new Error("a job did not end");
        }
        return judge(secondId);
    };

    await sleep(1_500);
    for (let round = 0; round < maxRounds; round++) {
        const violation = await playRound(round);
        if (violation !== undefined) {
            return violation;
        }
    }
    return undefined;
}, { workers });
