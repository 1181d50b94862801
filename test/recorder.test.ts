import { assert } from "chai";
import { createTableClient } from "../platform/table.js";
import { createRecorder } from "../src/execution/recorder.js";
import type { Recorder } from "../src/execution/recorder.js";
import type { WorkerSession } from "../src/execution/session.js";
import { addDueOccurrences, restoreJob } from "../src/jobs/progress.js";
import type { JobState, Run } from "../src/jobs/progress.js";
import { jobParts, jobRowKey, JobRowKind, partOfJob, progressTable, termKey } from "../src/jobs/rows.js";
import { JobPhase } from "../src/jobs/types.js";
import type { JobRecord, JobSubmission } from "../src/jobs/types.js";
import { StateErrorKind } from "../src/state/types.js";
import type { StateError, StateTable, StateTransaction } from "../src/state/types.js";
import { fail } from "../src/utils/result.js";
import type { Result } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { createTableModel } from "../standins/fleet/tableModel.js";
import { CallFault, createFleet, createStep, createSubmission } from "./fixtures/fleet.js";

const term = 1;
const callMs = 2;

type CommitResult = Result<{ version: number; }, StateError>;

const maxEntries = 100;
const maxRequestBytes = 1_000_000;
const maxRowBytes = 65_536;

/** Encodes a transaction as it is sent to the platform's table. */
const encode = async (transaction: StateTransaction): Promise<string> => {
    let body: unknown;
    await createTableClient({
        call: async call => {
            body = call.body;
            return { ok: true, answer: { status: 200, body: {} } };
        },
        close: () => {},
    }).commit(transaction);
    return JSON.stringify(body);
};

/** The table's refusal of a transaction that is over its limits. */
const refuseOverLimits = async (transaction: StateTransaction): Promise<CommitResult | undefined> => {
    const { conditions, writes } = transaction;
    const rowBytes = writes.map(({ value }) => Buffer.byteLength(JSON.stringify(value) ?? ""));
    const isOver = conditions.length + writes.length > maxEntries || rowBytes.some(bytes => bytes > maxRowBytes)
        || (await encode(transaction)).length > maxRequestBytes;
    return isOver ? fail({ kind: StateErrorKind.Unavailable, detail: "over the limits" }) : undefined;
};

const createTerm = () => {
    const timer = createVirtualTimer();
    const model = createTableModel();
    const termVersions = new Map(jobParts.map(part => {
        const written = model.commit({
            part,
            conditions: [],
            writes: [{ table: progressTable, key: termKey, value: { term } }],
        });
        return [part, written.ok ? written.value.version : 0];
    }));
    const fixture = {
        timer,
        model,
        commits: [] as StateTransaction[],
        fenced: false,
        /** Answers a commit in place of the table. */
        intercept: (): CommitResult | undefined => undefined,
        recorder: undefined as Recorder | undefined,
        /** Phases that the recorder has reported as stored. */
        storedPhases: new Map<string, JobPhase>(),
        createJob: (submission: JobSubmission, record?: JobRecord): JobState =>
            restoreJob(submission, { record, submissionVersion: 0, recordVersion: 0, cancelled: false }, {
                findSession: (id, bornMs) => ({ id, bornMs }) as WorkerSession,
                nowMs: timer.nowMs(),
                ageMs: 0,
            }),
        /** Records jobs in the same turn; resolves with the results so far, after a time. */
        record: async (jobs: readonly JobState[], waitMs = 1_000): Promise<(boolean | undefined)[]> => {
            const results: (boolean | undefined)[] = jobs.map(() => undefined);
            jobs.forEach((job, index) =>
                void fixture.recorder?.record(job).then(recorded => results[index] = recorded)
            );
            await timer.advance(waitMs);
            return results;
        },
        deleteRows: (jobId: string): void => {
            const writes = [{ table: progressTable, key: jobRowKey(jobId, JobRowKind.Progress) }];
            model.commit({ part: partOfJob(jobId), conditions: [], writes });
        },
        storedRecord: (jobId: string): unknown =>
            model.read({ table: progressTable, part: partOfJob(jobId) }).rows
                .find(row => row.key === jobRowKey(jobId, JobRowKind.Progress))?.value,
    };
    const state: Pick<StateTable, "commit"> = {
        commit: async transaction => {
            fixture.commits.push(transaction);
            await timer.sleep(callMs);
            return fixture.intercept() ?? await refuseOverLimits(transaction) ?? model.commit(transaction);
        },
    };
    fixture.recorder = createRecorder({
        state: state as StateTable,
        timer,
        log: () => {},
        term,
        termVersions,
        onPhaseStored: (jobId, { phase }) => fixture.storedPhases.set(jobId, phase),
        onFenced: () => {
            fixture.fenced = true;
        },
    });
    return fixture;
};

/** Ids of jobs in the same part. */
const idsOfOnePart = (count: number): string[] => {
    const ids: string[] = [];
    for (let index = 0; ids.length < count; index++) {
        const id = `job${index}`;
        if (partOfJob(id) === jobParts[0]) {
            ids.push(id);
        }
    }
    return ids;
};

/** Record of a job whose tasks all run; each has a checkpoint and two failed runs. */
const createRecord = (taskCount: number): JobRecord => {
    const indexes = Array.from({ length: taskCount }, (_, index) => index);
    return {
        sequence: 0,
        term,
        phase: JobPhase.Running,
        units: {
            "0.0": {
                complete: false,
                done: [],
                failedRuns: Object.fromEntries(indexes.map(index => [index, [40_001, 41_001]])),
                checkpoints: Object.fromEntries(indexes.map(index => [index, "00000bb87a21d94b"])),
                runs: indexes.map(index => ({
                    index,
                    run: 42_001,
                    workerId: `worker-${String(index).padStart(9, "0")}`,
                    bornMs: 1_781_234_567_890,
                })),
            },
        },
    };
};

/** Submission of a job of two steps that is due every second. */
const createScheduled = (repeatCount: number, taskCount: number): JobSubmission => {
    const steps = [createStep({ taskCount }), createStep({ taskCount, after: [0] })];
    return createSubmission(idsOfOnePart(1)[0], steps, { repeatCount, startAtMs: 1_000, intervalMs: 1_000 });
};

/** Creates occurrences up to a number and completes all units. */
const completeOccurrencesUntil = (job: JobState, occurrences: number): void => {
    const lastDueAtMs = job.submission.startAtMs + (occurrences - 1) * job.submission.intervalMs;
    while (job.createdOccurrences < occurrences) {
        addDueOccurrences(job, lastDueAtMs, 0);
        job.units.forEach(unit => unit.complete = true);
    }
    for (const unit of job.units.values()) {
        unit.complete = true;
        unit.tasks.forEach(task => task.run = undefined);
    }
};

const runAllOpenTasks = (job: JobState): void => {
    const tasks = [...job.units.values()].filter(({ complete }) => !complete).flatMap(unit => unit.tasks);
    for (const [index, task] of tasks.entries()) {
        const worker = { id: `worker-${String(index).padStart(9, "0")}`, bornMs: 1_781_234_567_890 };
        task.run = { number: 42_001, worker } as Run;
    }
};

describe("the recorder of a term", () => {
    it("divides the records of many large jobs into transactions that the table takes", async () => {
        const fixture = createTerm();
        const taskCount = 400;
        const jobs = idsOfOnePart(40).map(id =>
            fixture.createJob(createSubmission(id, [createStep({ taskCount })]), createRecord(taskCount))
        );
        const recorded = await fixture.record(jobs);
        assert.deepEqual(recorded, jobs.map(() => true));
        assert.isAtMost(fixture.commits.length, 4, "it does not write them one by one");
    });

    it("stores a job with as many tasks as are accepted, each with a run, a checkpoint and failed runs", async () => {
        const fixture = createTerm();
        const taskCount = 600;
        const submission = createSubmission(idsOfOnePart(1)[0], [createStep({ taskCount })]);
        const job = fixture.createJob(submission, createRecord(taskCount));
        assert.deepEqual(await fixture.record([job]), [true]);
        const stored = fixture.storedRecord(submission.id) as JobRecord;
        assert.deepEqual(stored.units["0.0"].runs, createRecord(taskCount).units["0.0"].runs);
        assert.deepEqual(stored.units["0.0"].failedRuns, createRecord(taskCount).units["0.0"].failedRuns);
    });

    it("writes the other jobs of a part when the record of one does not fit a row", async () => {
        const fixture = createTerm();
        const [tooLarge, other] = idsOfOnePart(2).map(id =>
            fixture.createJob(createSubmission(id, [createStep({ taskCount: 1_000 })]), createRecord(1_000))
        );
        other.units.get("0.0")?.tasks.forEach(task => task.run = undefined);
        assert.deepEqual(await fixture.record([tooLarge, other]), [false, true]);
        assert.isFalse(fixture.fenced);
    });

    it("stores a job with thousands of complete occurrences, which are restored as complete", async () => {
        const fixture = createTerm();
        const submission = createScheduled(3_000, 2);
        const job = fixture.createJob(submission);
        completeOccurrencesUntil(job, 2_990);
        const reopened = job.units.get("17.1");
        assert.isDefined(reopened);
        reopened!.complete = false;
        assert.deepEqual(await fixture.record([job]), [true]);
        const restored = fixture.createJob(submission, fixture.storedRecord(submission.id) as JobRecord);
        assert.equal(restored.createdOccurrences, 2_990);
        const openUnits = [...restored.units.values()].filter(({ complete }) => !complete);
        assert.deepEqual(openUnits.map(unit => unit.key), [`${submission.id}.17.1`]);
        assert.isTrue(restored.units.get("18.1")?.tasks.every(task => task.done));
    });

    it("stores a job with many occurrences that are due at the same time", async () => {
        const fixture = createTerm();
        const submission = createScheduled(100, 40);
        const job = fixture.createJob(submission);
        for (let completed = 0; completed < submission.repeatCount; completed = job.createdOccurrences) {
            addDueOccurrences(job, Number.MAX_SAFE_INTEGER, 0);
            assert.isAbove(
                job.createdOccurrences,
                completed,
                "further occurrences start once earlier ones are complete",
            );
            runAllOpenTasks(job);
            assert.deepEqual(await fixture.record([job], 10), [true]);
            completeOccurrencesUntil(job, job.createdOccurrences);
        }
    });

    it("writes the other jobs of a part when the rows of one were deleted", async () => {
        const fixture = createTerm();
        const [deleted, other] = idsOfOnePart(2).map(id => fixture.createJob(createSubmission(id, [createStep()])));
        assert.deepEqual(await fixture.record([deleted, other]), [true, true]);
        fixture.deleteRows(deleted.submission.id);
        fixture.commits.length = 0;
        assert.deepEqual(await fixture.record([deleted, other]), [true, true]);
        assert.isAtMost(fixture.commits.length, 2);
        assert.isUndefined(fixture.storedRecord(deleted.submission.id), "the deleted row is not written again");
        assert.equal((fixture.storedRecord(other.submission.id) as { sequence: number; }).sequence, 2);
    });

    it("reports a phase as stored once the table has it, also if the answer was lost", async () => {
        const fixture = createTerm();
        const submission = createSubmission(idsOfOnePart(1)[0], [createStep()]);
        const job = fixture.createJob(submission, { ...createRecord(1), phase: JobPhase.Succeeded });
        const lost: CommitResult = fail({ kind: StateErrorKind.NoAnswer, detail: "lost" });
        fixture.intercept = () => lost;
        await fixture.record([job]);
        assert.isFalse(fixture.storedPhases.has(submission.id), "no write has taken effect");
        fixture.intercept = () => {
            fixture.intercept = () => undefined;
            fixture.model.commit(fixture.commits[fixture.commits.length - 1]);
            return lost;
        };
        await fixture.timer.advance(1_000);
        assert.equal(fixture.storedPhases.get(submission.id), JobPhase.Succeeded);
    });

    it("pauses before it repeats a write that was refused without the rows it conflicts with", async () => {
        const fixture = createTerm();
        const [job] = idsOfOnePart(1).map(id => fixture.createJob(createSubmission(id, [createStep()])));
        await fixture.record([job]);
        fixture.commits.length = 0;
        fixture.intercept = () => fail({ kind: StateErrorKind.Conflict, rows: [] });
        assert.deepEqual(await fixture.record([job]), [undefined]);
        assert.isAtMost(fixture.commits.length, 6);
        fixture.intercept = () => undefined;
        await fixture.timer.advance(1_000);
        assert.equal((fixture.storedRecord(job.submission.id) as { sequence: number; }).sequence, 2);
    });
});

describe("a job in the same part as one whose deletion got no answer", () => {
    it("runs although a worker reports an end of the deleted job", async () => {
        const fleet = createFleet({ workerCount: 2 });
        await fleet.timer.advance(1_000);
        const [deletedId, nextId] = idsOfOnePart(2);
        await fleet.submit(createSubmission(deletedId, [createStep()], {}, { workMs: 3_000 }));
        await fleet.timer.advance(500);
        const silent = fleet.workers.get(fleet.spans[0].worker);
        assert.isDefined(silent);
        silent!.unreachable = true;
        await fleet.timer.advance(20_000);
        fleet.commitFault = (_vm, { writes }) =>
            writes.some(write => write.value === undefined) ? CallFault.AnswerLost : CallFault.None;
        await fleet.timer.advance(40_000);
        silent!.unreachable = false;
        await fleet.timer.advance(2_000);
        await fleet.submit(createSubmission(nextId, [createStep()]));
        await fleet.timer.advance(3_000);
        assert.isDefined(fleet.spans.find(span => span.task.startsWith(`${nextId}.`)), "it was started");
    });
});
