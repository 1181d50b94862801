import { assert } from "chai";
import type { CachedPhase } from "../src/jobs/phaseCache.js";
import { queryJobPhase } from "../src/jobs/queries/jobPhase.js";
import { recallPhase } from "../src/jobs/queries/recallPhase.js";
import { jobParts, partOfJob } from "../src/jobs/rows.js";
import { JobPhase } from "../src/jobs/types.js";
import { createPhaseKnowledge } from "../src/node/phaseKnowledge.js";
import { StateErrorKind } from "../src/state/types.js";
import type { StateTable } from "../src/state/types.js";
import { fail } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import type { VirtualTimer } from "../src/utils/virtualTimer.js";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import { silenceParts } from "./fixtures/silentParts.js";

const deadlineMs = 3_000;
const retryAfterMs = 1_000;
const access = { customer: "hotel" };
const jobId = "00000000000000a1";
const settledMs = 8_000;
/** Longer than the retention of ended jobs in the fleet, and a check of it. */
const retainedMs = 45_000;
const longMs = 600_000;
/** Time within which a read counts as refused at once: that after which a relayed read would be in doubt. */
const refusedAtOnceMs = 100;
/** A table that answers each read within the time that it may take, but later than a read is in doubt. */
const slowReadMs = 400;

/** A fleet of which the parts in `silent` answer nothing and the reads of the parts in `slow` take `slowReadMs`. */
const createFleetOfParts = async () => {
    const silent = new Set<string | undefined>();
    const slow = new Set<string | undefined>();
    const wrapTable = (_vm: string, direct: StateTable, timer: VirtualTimer): StateTable => {
        const slowDown = async <Value>(isSlow: () => boolean, operation: () => Promise<Value>): Promise<Value> => {
            const result = await operation();
            await timer.sleep(isSlow() ? slowReadMs : 0);
            return result;
        };
        const slowTable: StateTable = {
            ...direct,
            read: range => slowDown(() => slow.has(range.part), () => direct.read(range)),
            changes: (table, afterVersion, waitMs) =>
                slowDown(() => slow.size > 0, () => direct.changes(table, afterVersion, waitMs)),
        };
        return silenceParts(slowTable, silent, timer);
    };
    const fleet = createFleet({ wrapTable, workerCount: 8, vmCount: 5 });
    await fleet.timer.advance(1_000);
    const ask = async (vm: string) => {
        const startedAtMs = fleet.timer.nowMs();
        let tookMs = 0;
        const answer = fleet.vms.get(vm)?.phase(jobId, { access, deadlineMs, retryAfterMs }).then(phase => {
            tookMs = fleet.timer.nowMs() - startedAtMs;
            return phase;
        });
        await fleet.timer.advance(deadlineMs);
        return { phase: await answer, tookMs };
    };
    const submit = (workMs: number) => fleet.submit(createSubmission(jobId, [createStep()], {}, { workMs }));
    const others = (...names: string[]): string[] => [...fleet.vms.keys()].filter(name => !names.includes(name));
    const planner = (): string => fleet.planner() ?? "";
    /** Makes the planner hand its term over; returns the VM that held it. */
    const handOver = async (waitMs: number): Promise<string> => {
        const former = planner();
        fleet.relativePowerOf = vm => vm === former ? 0.1 : 1;
        await fleet.timer.advance(waitMs);
        return former;
    };
    return { fleet, silent, slow, ask, submit, others, planner, handOver };
};

// guards against answers that contradict what the table has answered, or would answer in time
describe("what VMs tell of a job's phase without the table", () => {
    describe("when a job was deleted after its retention and submitted again under its id", () => {
        it("is not the earlier job's end, told by a VM that planned then", async () => {
            const { fleet, silent, ask, submit, others, planner, handOver } = await createFleetOfParts();
            await submit(500);
            await fleet.timer.advance(settledMs);
            const former = await handOver(settledMs);
            const next = planner();
            await fleet.timer.advance(retainedMs);
            assert.isTrue(fleet.logLines.some(({ message }) => message === "ended jobs deleted"));
            await submit(longMs);
            await fleet.timer.advance(1_000);
            const [asked] = others(former, next);
            assert.deepInclude(await ask(asked), { phase: JobPhase.Running });
            const [unaware] = others(former, next, asked);
            silent.add(partOfJob(jobId));
            fleet.killVm(next);
            assert.notEqual((await ask(unaware)).phase, JobPhase.Succeeded);
        });

        it("is not the earlier job's end, remembered by the VM itself, while the table answers in time", async () => {
            const { fleet, slow, ask, submit, others, planner } = await createFleetOfParts();
            await submit(500);
            await fleet.timer.advance(settledMs);
            const [asked] = others(planner());
            assert.deepInclude(await ask(asked), { phase: JobPhase.Succeeded });
            await fleet.timer.advance(retainedMs);
            assert.isTrue(fleet.logLines.some(({ message }) => message === "ended jobs deleted"));
            await submit(longMs);
            await fleet.timer.advance(1_000);
            slow.add(partOfJob(jobId));
            assert.deepInclude(await ask(asked), { phase: JobPhase.Running });
        });
    });

    it("does not replace the table's answer about a cancelled job, which comes in time", async () => {
        const { fleet, slow, ask, submit, others, planner } = await createFleetOfParts();
        await submit(longMs);
        await fleet.timer.advance(1_000);
        const [asked] = others(planner());
        jobParts.forEach(part => slow.add(part));
        await fleet.timer.advance(1_000);
        const cancelled = fleet.vms.get(asked)?.cancel(jobId, { access, deadlineMs });
        let outcome: string | undefined;
        void cancelled?.then(result => {
            outcome = result;
        });
        while (outcome === undefined) {
            await fleet.timer.advance(1);
        }
        assert.equal(outcome, "done");
        assert.deepInclude(await ask(asked), { phase: JobPhase.Cancelled });
    });

    it("is answered by the planner to its own callers as soon as to other VMs", async () => {
        const { fleet, silent, ask, submit, others, planner } = await createFleetOfParts();
        await submit(longMs);
        await fleet.timer.advance(1_000);
        silent.add(partOfJob(jobId));
        const told = await ask(others(planner())[0]);
        const own = await ask(planner());
        assert.deepEqual([told.phase, own.phase], [JobPhase.Running, JobPhase.Running]);
        assert.isAtMost(own.tookMs, told.tookMs);
    });

    it("is not what a VM recorded in a term that has ended, told to its own callers after the job's end was shown", async () => {
        const { fleet, silent, ask, submit, others, planner, handOver } = await createFleetOfParts();
        await submit(20_000);
        await fleet.timer.advance(1_000);
        const former = await handOver(30_000);
        const next = planner();
        assert.deepInclude(await ask(others(former, next)[0]), { phase: JobPhase.Succeeded });
        silent.add(partOfJob(jobId));
        fleet.killVm(next);
        assert.notEqual((await ask(former)).phase, JobPhase.Running);
    });

    it("is still found after VMs held the term that never came to plan", async () => {
        const { fleet, silent, ask, submit, others, planner, handOver } = await createFleetOfParts();
        await submit(500);
        await fleet.timer.advance(settledMs);
        const knowing = planner();
        const asked = others(knowing)[3];
        silent.add(partOfJob(jobId));
        const weak = new Set([knowing, asked]);
        await handOver(1_000);
        const holders: string[] = [];
        while (holders.length < 3) {
            await fleet.timer.advance(2_000);
            holders.push(planner());
            weak.add(planner());
            fleet.relativePowerOf = vm => weak.has(vm) ? 0.1 : 1;
        }
        assert.equal(new Set(holders).size, 3, holders.join());
        const begun = fleet.logLines.filter(({ message }) => message === "planning begins").map(({ vm }) => vm);
        assert.deepEqual([...new Set(begun)], [knowing]);
        assert.deepInclude(await ask(asked), { phase: JobPhase.Succeeded });
    });

    it("is found by a VM that started after the term was handed over, before the next planner came to plan", async () => {
        const { fleet, silent, ask, submit, others, planner, handOver } = await createFleetOfParts();
        await submit(500);
        await fleet.timer.advance(settledMs);
        silent.add(partOfJob(jobId));
        const knowing = await handOver(settledMs);
        fleet.startVm("vm9");
        await fleet.timer.advance(3_000);
        assert.deepInclude(await ask(others(knowing, planner(), "vm9")[0]), { phase: JobPhase.Succeeded });
        assert.deepInclude(await ask("vm9"), { phase: JobPhase.Succeeded });
    });

    it("is not waited for again during an outage, once the VMs that planned have not answered", async () => {
        const timer = createVirtualTimer();
        const { observePlanner, ...knowledge } = createPhaseKnowledge({
            vm: "a",
            timer,
            retainMs: retainedMs,
            askForPhase: async (_vm, _jobId, timeoutMs) => {
                await timer.sleep(timeoutMs);
                return undefined;
            },
            isPlanning: () => false,
        });
        observePlanner("b");
        const unused = async () => fail({ kind: StateErrorKind.Unavailable, detail: "an outage" } as const);
        const context = {
            state: { commit: unused, read: unused, changes: unused },
            timer,
            log: () => {},
            ...knowledge,
            isOutage: () => true,
            isUnreachable: () => true,
        };
        const measure = async (): Promise<number> => {
            const startedAtMs = timer.nowMs();
            const read = queryJobPhase(context, jobId, { access, deadlineMs, retryAfterMs })
                .then(() => timer.nowMs() - startedAtMs);
            await timer.advance(deadlineMs);
            return read;
        };
        await measure();
        assert.isBelow(await measure(), refusedAtOnceMs);
    });

    describe("when several VMs that planned are asked", () => {
        const owner = { customer: "hotel", queue: "bookings" };
        const createPhase = (phase: JobPhase, recordVersion: number): CachedPhase => ({
            phase,
            owner,
            submissionVersion: 1,
            recordVersion,
            endedAtMs: phase === JobPhase.Succeeded ? 0 : undefined,
        });

        /** Asks for a phase that each VM tells after a time; returns what is known then and what is remembered. */
        const askAll = async (answers: Record<string, [answerMs: number, known: CachedPhase]>) => {
            const timer = createVirtualTimer();
            const { observePlanner, ...knowledge } = createPhaseKnowledge({
                vm: "asking",
                timer,
                retainMs: retainedMs,
                askForPhase: async vm => {
                    const [answerMs, known] = answers[vm];
                    await timer.sleep(answerMs);
                    return { known };
                },
                isPlanning: () => false,
            });
            Object.keys(answers).forEach(observePlanner);
            const asked = recallPhase(knowledge, jobId, deadlineMs);
            await timer.advance(deadlineMs);
            return { told: (await asked)?.phase, remembered: knowledge.cache.get(jobId)?.phase };
        };

        it("is the end that one of them knows, although another one answers first that the job runs", async () => {
            const known = await askAll({
                former: [2, createPhase(JobPhase.Running, 5)],
                next: [200, createPhase(JobPhase.Succeeded, 9)],
            });
            assert.deepEqual(known, { told: JobPhase.Succeeded, remembered: JobPhase.Succeeded });
        });

        it("is the newest of those that are not final, in whatever order they come", async () => {
            const newer = createPhase(JobPhase.Running, 9);
            const older = createPhase(JobPhase.Queued, 5);
            const newest = { told: JobPhase.Running, remembered: JobPhase.Running };
            assert.deepEqual(await askAll({ former: [2, older], next: [200, newer] }), newest);
            assert.deepEqual(await askAll({ former: [200, older], next: [2, newer] }), newest);
        });
    });
});
