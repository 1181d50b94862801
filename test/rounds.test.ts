import { assert } from "chai";
import { createRunTable } from "../src/execution/context.js";
import { createRoundScheduler } from "../src/execution/rounds.js";
import { createSpeedHistory } from "../src/execution/speedHistory.js";
import { createUnansweredStarts } from "../src/execution/unansweredStarts.js";
import { createWorkerHealth } from "../src/execution/workerHealth.js";
import { createEntryMetrics } from "../src/node/entryMetrics.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";

/** Creates a scheduler of rounds without work; each round takes as long as `durationMs` returns. */
const createRounds = (durationMs: () => number) => {
    const virtual = createVirtualTimer();
    let busyMs = 0;
    const timer = { ...virtual, nowMs: () => virtual.nowMs() + busyMs };
    const startedAtMs: number[] = [];
    const context = {
        timer,
        log: () => {},
        metrics: createEntryMetrics(),
        term: 1,
        jobs: new Map(),
        openJobs: new Set<never>(),
        sessions: new Map(),
        runs: createRunTable(),
        unansweredStarts: createUnansweredStarts(timer),
        health: createWorkerHealth(timer),
        speeds: createSpeedHistory(timer, () => {}, createEntryMetrics()),
        operator: () => ({ configuration: undefined, evacuatedZones: new Set<string>() }),
        mayOrder: () => true,
        record: async () => true,
        requestRound: () => {},
        isTermOver: () => false,
    };
    const rounds = createRoundScheduler(
        context,
        { stop: () => {}, stopMembers: () => {} },
        { start: () => {} },
        {
            onReport: () => {},
            evacuateRuns: () => {
                startedAtMs.push(timer.nowMs());
                busyMs += durationMs();
            },
        },
    );
    return { rounds, startedAtMs, advance: virtual.advance };
};

describe("planning rounds", () => {
    it("go on soon after one during which the process was held up", async () => {
        const heldUpMs = 900;
        let round = 0;
        const { rounds, startedAtMs, advance } = createRounds(() => round++ === 0 ? heldUpMs : 1);
        rounds.start();
        await advance(5_000);
        rounds.stop();
        assert.isBelow(startedAtMs[1] - startedAtMs[0] - heldUpMs, 1_000);
    });

    it("leave time for orders and reports when each takes long", async () => {
        const roundMs = 60;
        const { rounds, startedAtMs, advance } = createRounds(() => roundMs);
        rounds.start();
        for (let atMs = 0; atMs < 5_000; atMs += 5) {
            rounds.request();
            await advance(5);
        }
        rounds.stop();
        assert.isBelow(startedAtMs.length * roundMs / startedAtMs[startedAtMs.length - 1], 0.35);
        assert.isAbove(startedAtMs.length, 10);
    });
});
