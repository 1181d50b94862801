import { assert } from "chai";
import { Acceptance } from "../src/jobs/commands/acceptJob.js";
import { Cancellation } from "../src/jobs/commands/cancelStoredJob.js";
import { jobParts, partOfJob, plannerPart } from "../src/jobs/rows.js";
import { JobPhase } from "../src/jobs/types.js";
import type { StateTable } from "../src/state/types.js";
import type { VirtualTimer } from "../src/utils/virtualTimer.js";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import { silenceParts } from "./fixtures/silentParts.js";

/** Timeout of a call to the table. */
const tableTimeoutMs = 1_200;
/** Times that callers wait; the shorter ones are what is left to callers that ask again. */
const deadlinesMs = [485, 1_160, 3_000];
const retryAfterMs = 1_000;
const customer = "hotel";
const jobIds = Array.from({ length: 24 }, (_, index) => `00000000000000${(index + 16).toString(16)}`);
const jobId = jobIds[0];
/** Time in which the jobs end, and after which a planner without the table has not confirmed its term for long. */
const settledMs = 8_000;

/** A fleet on which no operation on the parts in `silent` is answered, whichever VM sends it. */
const createFleetOfSilentParts = async () => {
    const silent = new Set<string | undefined>();
    const wrapTable = (_vm: string, direct: StateTable, timer: VirtualTimer): StateTable =>
        silenceParts(direct, silent, timer);
    const fleet = createFleet({ wrapTable, workerCount: 8 });
    await fleet.timer.advance(1_000);
    const silence = (...parts: (string | undefined)[]): void => parts.forEach(part => silent.add(part));
    const silenceAll = (): void => silence(undefined, plannerPart, ...jobParts);
    const bystander = (): string => [...fleet.vms.keys()].find(name => name !== fleet.planner()) ?? "";
    /** Phases that a VM answers, to callers who all ask at the same moment; `"too late"` after their deadline. */
    const ask = async (vm: string, ids: readonly string[], deadlineMs: number, access = { customer }) => {
        const read = async (id: string) => {
            const startedAtMs = fleet.timer.nowMs();
            const phase = await fleet.vms.get(vm)?.phase(id, { access, deadlineMs, retryAfterMs });
            return fleet.timer.nowMs() - startedAtMs < deadlineMs ? phase : "too late";
        };
        const answers = Promise.all(ids.map(read));
        await fleet.timer.advance(2 * deadlineMs + tableTimeoutMs);
        return answers;
    };
    return { fleet, silence, silenceAll, bystander, ask };
};

type SilentParts = Awaited<ReturnType<typeof createFleetOfSilentParts>>;

/** A fleet on which all of the jobs have ended. */
const createFleetOfEndedJobs = async (): Promise<SilentParts> => {
    const parts = await createFleetOfSilentParts();
    for (const id of jobIds) {
        await parts.fleet.submit(createSubmission(id, [createStep()], {}, { workMs: 500 }));
    }
    await parts.fleet.timer.advance(settledMs);
    return parts;
};

const allSucceeded = jobIds.map(() => JobPhase.Succeeded);

// guards against callers that wait in vain for a job's state while VMs that are in touch know how it ended
describe("the phase of a job that has ended, on a VM that was not asked for it before", () => {
    for (const deadlineMs of deadlinesMs) {
        it(`is answered in ${deadlineMs} ms while the job's part of the table is silent for all VMs`, async () => {
            const { silence, bystander, ask } = await createFleetOfEndedJobs();
            silence(...jobParts);
            assert.deepEqual(await ask(bystander(), jobIds, deadlineMs), allSucceeded);
        });

        it(`is answered in ${deadlineMs} ms while a silent table keeps the planner from confirming its term`, async () => {
            const { fleet, silenceAll, bystander, ask } = await createFleetOfEndedJobs();
            const asked = bystander();
            silenceAll();
            await fleet.timer.advance(settledMs);
            assert.deepEqual(await ask(asked, jobIds, deadlineMs), allSucceeded);
        });
    }

    /** A fleet whose planner has handed its term over since the jobs ended. */
    const createFleetAfterHandover = async () => {
        const parts = await createFleetOfEndedJobs();
        const { fleet, silence } = parts;
        const former = fleet.planner() ?? "";
        fleet.relativePowerOf = vm => vm === former ? 0.1 : 1;
        await fleet.timer.advance(settledMs);
        const next = fleet.planner() ?? "";
        assert.notEqual(next, former);
        const asked = [...fleet.vms.keys()].find(name => name !== former && name !== next) ?? "";
        silence(plannerPart, ...jobParts);
        return { ...parts, former, next, asked };
    };

    it("is answered after the term was handed over, and the next planner's process was killed", async () => {
        const { fleet, ask, next, asked } = await createFleetAfterHandover();
        fleet.killVm(next);
        assert.deepEqual(await ask(asked, [jobId], 3_000), [JobPhase.Succeeded]);
    });

    it("is answered after the term was handed over, and the former planner's process was killed", async () => {
        const { fleet, ask, former, asked } = await createFleetAfterHandover();
        fleet.killVm(former);
        assert.deepEqual(await ask(asked, [jobId], 3_000), [JobPhase.Succeeded]);
    });

    it("is not told to another customer", async () => {
        const { silence, bystander, ask } = await createFleetOfEndedJobs();
        silence(...jobParts);
        assert.deepEqual(await ask(bystander(), [jobId], 3_000, { customer: "winery" }), ["unavailable"]);
    });
});

describe("the phase of a job that has not ended", () => {
    const createFleetOfRunningJob = async (workMs: number) => {
        const parts = await createFleetOfSilentParts();
        await parts.fleet.submit(createSubmission(jobId, [createStep()], {}, { workMs }));
        await parts.fleet.timer.advance(500);
        return parts;
    };

    it("is answered by the planner while the job's part of the table is silent", async () => {
        const { silence, bystander, ask } = await createFleetOfRunningJob(60_000);
        silence(partOfJob(jobId));
        assert.deepEqual(await ask(bystander(), [jobId], 3_000), [JobPhase.Running]);
    });

    it("is not shown as ended before the end is in the table", async () => {
        const { fleet, silence, bystander, ask } = await createFleetOfRunningJob(1_000);
        silence(partOfJob(jobId));
        await fleet.timer.advance(2_000);
        assert.include(fleet.logLines.map(({ message }) => message), "job ended");
        assert.deepEqual(await ask(bystander(), [jobId], 3_000), [JobPhase.Running]);
    });

    it("is answered by a planner that cannot confirm its term, if nothing else is known", async () => {
        const { fleet, silenceAll, bystander, ask } = await createFleetOfRunningJob(60_000);
        const asked = bystander();
        silenceAll();
        await fleet.timer.advance(settledMs);
        assert.deepEqual(await ask(asked, [jobId], 3_000), [JobPhase.Running]);
    });

    it("is not answered from the memory of a VM whose term was handed over", async () => {
        const { fleet, silence, ask } = await createFleetOfRunningJob(60_000);
        const former = fleet.planner() ?? "";
        fleet.relativePowerOf = vm => vm === former ? 0.1 : 1;
        await fleet.timer.advance(settledMs);
        const next = fleet.planner() ?? "";
        silence(plannerPart, ...jobParts);
        fleet.killVm(next);
        const asked = [...fleet.vms.keys()].find(name => name !== former) ?? "";
        assert.deepEqual(await ask(asked, [jobId], 3_000), ["unavailable"]);
        assert.deepEqual(await ask(former, [jobId], 3_000), ["unavailable"]);
    });
});

// guards against callers that are told that the outcome is open although VMs in touch know it
describe("while the job's part of the table is silent", () => {
    const writeMs = 3_000;
    const resolveAfter = async <Value>({ fleet }: SilentParts, promise: Promise<Value> | undefined) => {
        await fleet.timer.advance(writeMs);
        return promise;
    };

    it("the cancellation of a job that has ended is acknowledged", async () => {
        const parts = await createFleetOfEndedJobs();
        parts.silence(...jobParts);
        const vm = parts.fleet.vms.get(parts.bystander());
        const cancelled = vm?.cancel(jobId, { access: { customer }, deadlineMs: writeMs });
        assert.equal(await resolveAfter(parts, cancelled), Cancellation.Done);
    });

    it("the cancellation of another customer's job is not acknowledged", async () => {
        const parts = await createFleetOfEndedJobs();
        parts.silence(...jobParts);
        const vm = parts.fleet.vms.get(parts.bystander());
        const cancelled = vm?.cancel(jobId, { access: { customer: "winery" }, deadlineMs: writeMs });
        assert.equal(await resolveAfter(parts, cancelled), Cancellation.Unavailable);
    });

    it("the cancellation of a job that runs is not acknowledged", async () => {
        const parts = await createFleetOfSilentParts();
        await parts.fleet.submit(createSubmission(jobId, [createStep()], {}, { workMs: 60_000 }));
        await parts.fleet.timer.advance(500);
        parts.silence(...jobParts);
        const vm = parts.fleet.vms.get(parts.bystander());
        const cancelled = vm?.cancel(jobId, { access: { customer }, deadlineMs: writeMs });
        assert.equal(await resolveAfter(parts, cancelled), Cancellation.Unavailable);
    });

    for (const owner of [customer, "winery"]) {
        const isOwner = owner === customer;
        it(`a submission of ${isOwner ? "the same" : "another"} customer under a stored id ${isOwner ? "is" : "is not"} acknowledged`, async () => {
            const parts = await createFleetOfEndedJobs();
            parts.silence(...jobParts);
            const vm = parts.fleet.vms.get(parts.bystander());
            const repeated = createSubmission(jobId, [createStep()], { customer: owner });
            const accepted = await resolveAfter(parts, vm?.accept(repeated, writeMs));
            assert.equal(accepted?.acceptance, isOwner ? Acceptance.Accepted : Acceptance.Unknown);
        });
    }

    it("a submission under an id that nobody knows is not acknowledged", async () => {
        const parts = await createFleetOfEndedJobs();
        parts.silence(...jobParts);
        const vm = parts.fleet.vms.get(parts.bystander());
        const accepted = await resolveAfter(
            parts,
            vm?.accept(createSubmission("00000000000000b2", [createStep()]), writeMs),
        );
        assert.equal(accepted?.acceptance, Acceptance.Unknown);
    });
});
