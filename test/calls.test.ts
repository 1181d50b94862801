import { assert } from "chai";
import fc from "fast-check";
import { runCall } from "../src/routing/commands/runCall.js";
import type { CallRunner } from "../src/routing/commands/runCall.js";
import { runOnce } from "../src/routing/commands/runOnce.js";
import { createRetryBudget } from "../src/routing/retryBudget.js";
import { Outcome } from "../src/routing/types.js";
import type { CallAnswer } from "../src/routing/types.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import type { VirtualTimer } from "../src/utils/virtualTimer.js";
import { Behaviour, buildCall, createScriptedEndpoint, createScriptedRunner } from "./fixtures/calls.js";
import type { ScriptedEndpoint } from "./fixtures/calls.js";
import { CommitFault, createFakePlatform, faultsFrom } from "./fixtures/platform.js";
import type { FakePlatform } from "./fixtures/platform.js";

/** Virtual time that a test observes; longer than the delay of a late request (60 s). */
const observationMs = 120_000;

const behaviours = fc.array(fc.constantFrom(...Object.values(Behaviour)), { minLength: 1, maxLength: 5 });
const commitFaults = fc.array(fc.constantFrom(...Object.values(CommitFault)), { maxLength: 6 });

const createEndpoints = (scripts: readonly (readonly Behaviour[])[], timer: VirtualTimer): ScriptedEndpoint[] =>
    scripts.map((script, index) => createScriptedEndpoint(`endpoint-${index}`, script, timer));

const runCountOf = (endpoints: readonly ScriptedEndpoint[]): number =>
    endpoints.reduce((sum, endpoint) => sum + endpoint.ran.length, 0);

const createSender = (
    name: string,
    endpoints: readonly ScriptedEndpoint[],
    platform: FakePlatform,
    timer: VirtualTimer,
) => {
    const runner = createScriptedRunner(endpoints, timer);
    return (change = {}): Promise<CallAnswer> => {
        const call = buildCall({ deadlineAtMs: timer.nowMs() + 1_000, ...change });
        return runOnce(
            {
                platform,
                timer,
                router: name,
                run: (attempted, attemptId) => runCall(runner, attempted, attemptId),
                onRecording: () => {},
            },
            call,
        );
    };
};

describe("the outcome of a call", () => {
    it("is \"not run\" only if it did not run and does not run later", async () => {
        await fc.assert(
            fc.asyncProperty(
                fc.array(behaviours, { minLength: 1, maxLength: 3 }),
                fc.boolean(),
                async (scripts, atMostOnce) => {
                    const timer = createVirtualTimer();
                    const endpoints = createEndpoints(scripts, timer);
                    const call = buildCall({ atMostOnce });
                    const answered = runCall(createScriptedRunner(endpoints, timer), call, "call");
                    await timer.advance(observationMs);
                    const answer = await answered;
                    if (answer.outcome === Outcome.NotRun) {
                        assert.equal(runCountOf(endpoints), 0);
                    }
                    if (answer.outcome === Outcome.Done) {
                        assert.isAtLeast(runCountOf(endpoints), 1);
                    }
                },
            ),
            { seed: 5, numRuns: 300 },
        );
    });

    it("is \"not run\" when no endpoint has free capacity before the deadline", async () => {
        const timer = createVirtualTimer();
        const endpoints = createEndpoints([[Behaviour.Busy]], timer);
        const answered = runCall(createScriptedRunner(endpoints, timer), buildCall(), "call");
        await timer.advance(2_000);
        assert.equal((await answered).outcome, Outcome.NotRun);
    });

    it("is \"unknown\" when the answer of a call that may run at most once is lost", async () => {
        const timer = createVirtualTimer();
        const endpoints = createEndpoints([[Behaviour.AnswerLost], [Behaviour.Done]], timer);
        const answered = runCall(createScriptedRunner(endpoints, timer), buildCall(), "call");
        await timer.advance(2_000);
        assert.equal((await answered).outcome, Outcome.Unknown);
        assert.equal(runCountOf(endpoints), 1);
    });

    it("is \"done\" at another endpoint after a request without an answer was fenced", async () => {
        const timer = createVirtualTimer();
        const endpoints = createEndpoints([[Behaviour.ArrivesLate], [Behaviour.Done]], timer);
        const answered = runCall(createScriptedRunner(endpoints, timer), buildCall(), "call");
        await timer.advance(observationMs);
        assert.equal((await answered).outcome, Outcome.Done);
        assert.equal(runCountOf(endpoints), 1);
    });
});

describe("a call that may run at most once", () => {
    it("runs at most once when requests, answers and commits are lost and it is sent repeatedly", async () => {
        await fc.assert(
            fc.asyncProperty(
                fc.array(behaviours, { minLength: 1, maxLength: 3 }),
                commitFaults,
                fc.array(fc.integer({ min: 0, max: 400 }), { minLength: 1, maxLength: 4 }),
                async (scripts, faults, sendAtMs) => {
                    const timer = createVirtualTimer();
                    const platform = createFakePlatform();
                    platform.faultOf = faultsFrom(faults);
                    const endpoints = createEndpoints(scripts, timer);
                    const answers = sendAtMs.map(async (atMs, index) => {
                        await timer.sleep(atMs);
                        return createSender(`router-${index}`, endpoints, platform, timer)();
                    });
                    await timer.advance(observationMs);
                    const outcomes = (await Promise.all(answers)).map(answer => answer.outcome);
                    // no second run may follow one that failed or whose answer was lost
                    assert.isAtMost(runCountOf(endpoints), 1);
                    if (outcomes.every(outcome => outcome === Outcome.NotRun)) {
                        assert.equal(runCountOf(endpoints), 0);
                    }
                },
            ),
            { seed: 7, numRuns: 300 },
        );
    });

    it("is answered from its record when its key is repeated", async () => {
        const timer = createVirtualTimer();
        const platform = createFakePlatform();
        const endpoints = createEndpoints([[Behaviour.Done]], timer);
        const first = createSender("one", endpoints, platform, timer)();
        await timer.advance(2_000);
        const second = createSender("two", endpoints, platform, timer)();
        await timer.advance(2_000);
        assert.deepEqual((await second).result, (await first).result);
        assert.equal(runCountOf(endpoints), 1);
    });

    it("is rejected when its key is reused with a different body", async () => {
        const timer = createVirtualTimer();
        const platform = createFakePlatform();
        const send = createSender("one", createEndpoints([[Behaviour.Done]], timer), platform, timer);
        void send();
        await timer.advance(2_000);
        const second = send({ body: { doves: 99 } });
        await timer.advance(2_000);
        assert.equal((await second).status, 422);
    });

    it("is \"not run\" while the platform is down, and runs once when it is sent again afterwards", async () => {
        const timer = createVirtualTimer();
        const platform = createFakePlatform();
        const endpoints = createEndpoints([[Behaviour.Done]], timer);
        const send = createSender("one", endpoints, platform, timer);
        platform.down = true;
        const during = send();
        await timer.advance(2_000);
        assert.equal((await during).outcome, Outcome.NotRun);
        platform.down = false;
        const after = send();
        await timer.advance(2_000);
        assert.equal((await after).outcome, Outcome.Done);
        assert.equal(runCountOf(endpoints), 1);
    });

    it("is not sent by a router that was paused until after the deadline", async () => {
        const timer = createVirtualTimer();
        const platform = createFakePlatform();
        const endpoints = createEndpoints([[Behaviour.Done]], timer);
        const commit = platform.commit.bind(platform);
        platform.commit = async transaction => {
            const committed = await commit(transaction);
            await timer.sleep(5_000);
            return committed;
        };
        const answered = createSender("one", endpoints, platform, timer)();
        await timer.advance(observationMs);
        assert.equal((await answered).outcome, Outcome.NotRun);
        assert.equal(runCountOf(endpoints), 0);
    });
});

describe("a call that may be repeated", () => {
    const send = async (
        scripts: readonly (readonly Behaviour[])[],
        change: (runner: CallRunner) => void = () => {},
    ): Promise<{ answer: CallAnswer; answeredAtMs: number; endpoints: ScriptedEndpoint[]; runner: CallRunner; }> => {
        const timer = createVirtualTimer();
        const endpoints = createEndpoints(scripts, timer);
        const runner = createScriptedRunner(endpoints, timer);
        change(runner);
        let answeredAtMs = 0;
        const answered = runCall(runner, buildCall({ atMostOnce: false }), "call").finally(() => {
            answeredAtMs = timer.nowMs();
        });
        await timer.advance(observationMs);
        return { answer: await answered, answeredAtMs, endpoints, runner };
    };

    it("is \"done\" by the endpoint that works on it for most of the time until its deadline", async () => {
        const { answer } = await send([[Behaviour.Slow], [Behaviour.Slow]]);
        assert.equal(answer.outcome, Outcome.Done, answer.detail);
    });

    it("is \"done\" by the endpoint that works on it for long when no retry is left", async () => {
        const { answer, endpoints } = await send([[Behaviour.Slow], [Behaviour.Done]], runner => {
            runner.budget = { recordFirstAttempt: () => {}, tryConsume: () => false, remaining: () => 0 };
        });
        assert.equal(answer.outcome, Outcome.Done, answer.detail);
        assert.equal(runCountOf(endpoints), 1);
    });

    it("is \"done\" by another endpoint before its deadline while the first one is silent", async () => {
        const { answer, answeredAtMs, endpoints } = await send([[Behaviour.Silent], [Behaviour.Done]]);
        assert.equal(answer.outcome, Outcome.Done, answer.detail);
        assert.isBelow(answeredAtMs, 700);
        assert.deepEqual(endpoints.map(endpoint => endpoint.outstanding), [0, 0]);
    });

    it("ends the attempt at a silent endpoint once another one has answered, and counts it as failed", async () => {
        const failed: string[] = [];
        const { endpoints } = await send([[Behaviour.Silent], [Behaviour.Done]], runner => {
            runner.endpoints.ejection.record = (name, hasFailed) => hasFailed && failed.push(name);
        });
        assert.deepEqual(endpoints.map(endpoint => endpoint.overtakenCount), [1, 0]);
        assert.deepEqual(failed, ["endpoint-0"]);
    });

    it("leaves the queue once it is answered while it waits for a second endpoint", async () => {
        const timer = createVirtualTimer();
        const runner = createScriptedRunner(createEndpoints([[Behaviour.Slow]], timer), timer);
        const answered = runCall(runner, buildCall({ atMostOnce: false }), "call");
        await timer.advance(650);
        assert.equal(runner.line.length(), 1);
        await timer.advance(100);
        assert.equal((await answered).outcome, Outcome.Done);
        assert.equal(runner.line.length(), 0);
    });

    it("is \"unknown\" with the reason for the doubt when no endpoint has room for a repetition", async () => {
        const { answer } = await send([[Behaviour.AnswerLost]]);
        assert.equal(answer.outcome, Outcome.Unknown);
        assert.match(answer.detail ?? "", /no endpoint had room before the deadline; .*may have run: no answer/);
    });

    it("is answered at its deadline when every endpoint is silent", async () => {
        const { answer, answeredAtMs, runner } = await send([[Behaviour.Silent], [Behaviour.Silent]]);
        assert.equal(answer.outcome, Outcome.Unknown);
        assert.isAtMost(answeredAtMs, 1_000);
        assert.equal(runner.line.length(), 0);
    });
});

describe("retries", () => {
    it("that have no endpoint left hold up no other calls", async () => {
        const timer = createVirtualTimer();
        const fails = Array.from(Array(4), () => Behaviour.Fails);
        const endpoints = createEndpoints([[...fails, Behaviour.Done]], timer);
        const runner = createScriptedRunner(endpoints, timer);
        const send = (deadlineAtMs: number, callId: string): Promise<CallAnswer> =>
            runCall(runner, buildCall({ atMostOnce: false, deadlineAtMs }), callId);
        fails.forEach((_behaviour, index) => void send(1_000, `failed-${index}`));
        await timer.advance(100);
        assert.equal(runner.line.length(), 4);
        let answer: CallAnswer | undefined;
        void send(2_000, "other").then(answered => {
            answer = answered;
        });
        await timer.advance(100);
        assert.equal(answer?.outcome, Outcome.Done);
    });

    it("stay within a share of the first attempts when everything fails", async () => {
        const timer = createVirtualTimer();
        const endpoints = createEndpoints([[Behaviour.Fails], [Behaviour.Fails], [Behaviour.Fails]], timer);
        const runner = createScriptedRunner(endpoints, timer);
        runner.budget = createRetryBudget();
        const calls = 500;
        for (let index = 0; index < calls; index++) {
            void runCall(
                runner,
                buildCall({ atMostOnce: false, deadlineAtMs: timer.nowMs() + 1_000 }),
                `call-${index}`,
            );
            await timer.advance(20);
        }
        const sent = endpoints.reduce((sum, endpoint) => sum + endpoint.sent, 0);
        assert.isAtMost(sent / calls, 1.25);
    });
});
