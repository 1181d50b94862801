import { assert } from "chai";
import { Acceptance, acceptJob } from "../src/jobs/commands/acceptJob.js";
import type { CachedPhase } from "../src/jobs/phaseCache.js";
import { recallPhase } from "../src/jobs/queries/recallPhase.js";
import { createSentSubmissions } from "../src/jobs/sentSubmissions.js";
import type { SubmissionAdmission } from "../src/jobs/submissionAdmission.js";
import { JobPhase } from "../src/jobs/types.js";
import { createPhaseKnowledge } from "../src/node/phaseKnowledge.js";
import { StateErrorKind } from "../src/state/types.js";
import type { StateTable } from "../src/state/types.js";
import { fail } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { createStep, createSubmission } from "./fixtures/fleet.js";

const jobId = "00000000000000a1";
const deadlineMs = 3_000;
const retainMs = 45_000;
const tableTimeoutMs = 1_200;
const answerMs = 5;
const submission = createSubmission(jobId, [createStep()]);

const createPhase = (phase: JobPhase, recordVersion: number): CachedPhase => ({
    phase,
    owner: submission,
    submissionVersion: 1,
    recordVersion,
    endedAtMs: phase === JobPhase.Succeeded ? 0 : undefined,
});

/** What a VM knows that can ask others, of which those without an entry in `answers` are silent. */
const createKnowledge = (answers: Record<string, CachedPhase>, isPlanning: boolean) => {
    const timer = createVirtualTimer();
    const knowledge = createPhaseKnowledge({
        vm: "asking",
        timer,
        retainMs,
        askForPhase: async (vm, _jobId, timeoutMs) => {
            await timer.sleep(vm in answers ? answerMs : timeoutMs);
            // the client lets the event loop read what has arrived before it gives up
            await timer.sleep(vm in answers ? 0 : 1);
            return vm in answers ? { known: answers[vm] } : undefined;
        },
        isPlanning: () => isPlanning,
    });
    return { timer, knowledge };
};

// guards against a VM that speaks for all VMs that planned, or that is waited for by all
describe("phases of jobs that several VMs know", () => {
    it("are asked for by a planner that cannot confirm its term and has recorded one that is not final", async () => {
        const { timer, knowledge } = createKnowledge({ other: createPhase(JobPhase.Succeeded, 9) }, true);
        knowledge.observePlanner("other");
        knowledge.recordStored(jobId, createPhase(JobPhase.Running, 5));
        const recalled = recallPhase(knowledge, jobId, deadlineMs);
        await timer.advance(deadlineMs + 1);
        assert.equal((await recalled)?.phase, JobPhase.Succeeded);
    });

    for (const silent of [[], ["former"]]) {
        it(`acknowledge a submission that the planner knows, with ${silent.length} silent former planners`, async () => {
            const { timer, knowledge } = createKnowledge({ planner: createPhase(JobPhase.Queued, 5) }, false);
            [...silent, "planner"].forEach(knowledge.observePlanner);
            const unanswered = async () => {
                await timer.sleep(tableTimeoutMs);
                return fail({ kind: StateErrorKind.NoAnswer as const, detail: "silent" });
            };
            const state: StateTable = { commit: unanswered, read: unanswered, changes: unanswered };
            const accepted = acceptJob(
                {
                    ...knowledge,
                    state,
                    timer,
                    log: () => {},
                    admission: { admit: async () => undefined } as unknown as SubmissionAdmission,
                    sentSubmissions: createSentSubmissions(timer, retainMs),
                },
                submission,
                deadlineMs,
            );
            await timer.advance(2 * deadlineMs);
            assert.equal((await accepted).acceptance, Acceptance.Accepted);
        });
    }
});
