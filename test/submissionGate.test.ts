import { assert } from "chai";
import {
    chooseRetryAfterMs,
    createSubmissionGate,
    decideSubmission,
    GateDecisionKind,
    updateSubmissionGate,
} from "../src/jobs/submissionGate.js";
import { addUnanswered, createOutageEvidence, unansweredMs } from "../src/state/outageEvidence.js";
import { createTableContact } from "../src/state/tableContact.js";
import { StateErrorKind } from "../src/state/types.js";
import type { StateTable } from "../src/state/types.js";
import { createRandom } from "../src/utils/random.js";
import { fail } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";

const random = createRandom(1);
const answeredAt1000 = createOutageEvidence(1_000);
const failOn = (parts: string[], dueAtMs: number, failedAtMs: number) =>
    parts.reduce((evidence, part) => addUnanswered(evidence, { part, dueAtMs }, failedAtMs), answeredAt1000);
const decide = (gate = createSubmissionGate(), nowMs = 0, priority = 1) =>
    decideSubmission(gate, { priority, nowMs, mayWaitMs: 1_500, random });

describe("the submission gate", () => {
    it("closes only after operations on two parts were due for longer than a write takes", () => {
        const closed = updateSubmissionGate(createSubmissionGate(), failOn(["p0", "p1"], 1_000, 2_201));
        assert.equal(closed.outageSinceMs, 1_000);
        const isOpenAfter = (evidence: typeof answeredAt1000): boolean =>
            updateSubmissionGate(createSubmissionGate(), evidence).outageSinceMs === undefined;
        assert.isTrue(isOpenAfter(failOn(["p0", "p1"], 1_000, 2_200)), "a write may still be answered");
        assert.isTrue(isOpenAfter(failOn(["p0", "p0", "planner"], 1_000, 9_000)), "one part of jobs alone");
    });

    // guards against a gate that closes on an idle VM, or for one part that is silent among others
    it("gets no older by silence, nor by a time before the latest answer", () => {
        const failedOnce = failOn(["p0", "p1"], 1_000, 1_004);
        assert.equal(unansweredMs(failedOnce), 4, "whatever the time, if nothing else was due");
        assert.equal(unansweredMs(failOn(["p0"], 0, 1_200)), 200, "the table answered another operation at 1 s");
    });

    it("opens with the first answer, for priority 0 first", () => {
        const closed = updateSubmissionGate(createSubmissionGate(), failOn(["p0", "p1"], 1_000, 3_000));
        const open = updateSubmissionGate(closed, createOutageEvidence(5_000));
        assert.deepEqual(open.pastOutagesMs, [4_000]);
        assert.deepEqual(decide(open, 5_000, 0), { kind: GateDecisionKind.Send });
        assert.deepEqual(decide(open, 5_000, 1), { kind: GateDecisionKind.Wait, waitMs: 250 });
        assert.deepEqual(decide(open, 5_250, 1), { kind: GateDecisionKind.Send });
        assert.deepEqual(decide(open, 5_250, 9), { kind: GateDecisionKind.Wait, waitMs: 250 });
        const hurried = decideSubmission(open, { priority: 2, nowMs: 5_000, mayWaitMs: 100, random });
        assert.equal(hurried.kind, GateDecisionKind.Refuse);
    });

    // guards against callers that use up their retries during the outage, and against a burst of them after it
    it("asks callers back by how long outages have lasted, spread over half of the estimate", () => {
        const draw = (outageMs: number, past: number[]) =>
            Array.from({ length: 200 }, () => chooseRetryAfterMs(outageMs, past, random));
        const early = draw(1_200, [3_200, 3_200, 9_000, 800]);
        assert.isAtLeast(Math.min(...early), 1_000);
        assert.isAtMost(Math.max(...early), 2_000);
        assert.isAbove(new Set(early).size, 50, "callers do not return together");
        assert.isAtMost(Math.max(...draw(60_000, [])), 3_000, "callers wait for about 3 s");
        assert.isAtMost(Math.max(...draw(3_100, [3_200])), 1_000, "the outage is nearly over");
    });
});

describe("the contact with the table", () => {
    // guards against a gate that closes whenever nothing changes for as long as a long poll waits
    it("does not take a long poll that waits for an operation without an answer", async () => {
        const timer = createVirtualTimer();
        const lost = async () => {
            await timer.sleep(31_200);
            return fail({ kind: StateErrorKind.NoAnswer as const, detail: "lost" });
        };
        const state: StateTable = { commit: lost, read: lost, changes: lost };
        let evidence = answeredAt1000;
        const contact = createTableContact({ state, timer, onResult: result => (evidence = result) });
        void contact.table.changes("planner", 1, 30_000);
        await timer.advance(30_200);
        assert.equal(contact.evidence(300).unanswered, 0);
        await timer.advance(200);
        assert.equal(unansweredMs(contact.evidence(300)), 400);
        await timer.advance(800);
        assert.equal(unansweredMs(evidence), 1_200);
    });
});
