import { assert } from "chai";
import { createCallerHandler } from "../platform/callers.js";
import { createEntryMetrics } from "../src/node/entryMetrics.js";
import type { EntryVm } from "../src/node/entryVm.js";
import type { JsonRequest } from "../src/utils/http.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { createConfiguration } from "./fixtures/queueConfiguration.js";

const jobId = "00000000000000a1";
const configuration = createConfiguration({
    queues: createConfiguration().queues.map(queue => ({ ...queue, isPublic: true })),
});

/** Asks a VM that answers after `tookMs` for a caller that waits `deadlineMs`; returns what it logs and counts. */
const askSlowVm = async (tookMs: number, deadlineMs: number) => {
    const timer = createVirtualTimer();
    const metrics = createEntryMetrics();
    const lines: { message: string; fields?: Record<string, unknown>; }[] = [];
    const phase: EntryVm["phase"] = async () => {
        await timer.sleep(tookMs);
        return "unavailable";
    };
    const handle = createCallerHandler({
        vm: { phase } as EntryVm,
        operator: { current: () => ({ configuration, evacuatedZones: new Set() }), ageMs: () => 0, onChange: () => {} },
        log: (_level, message, fields) => void lines.push({ message, fields }),
        metrics,
        nowMs: timer.nowMs,
        wallClockMs: timer.wallClockMs,
        maxConfigurationAgeMs: () => 5_000,
        isStopping: () => false,
    });
    const headers = { host: "doves.example", "deadline-ms": String(deadlineMs) };
    const answering = handle({ method: "GET", path: `/bookings/${jobId}`, headers } as unknown as JsonRequest);
    await timer.advance(tookMs + 1);
    const { status } = await answering;
    const late = lines.filter(line => line.message === "answered after the caller's deadline");
    return { status, late: late.map(line => line.fields), metrics: await metrics.render() };
};

describe("an answer to a caller", () => {
    it("is reported when it comes after the deadline", async () => {
        const { status, late, metrics } = await askSlowVm(80, 50);
        assert.equal(status, 503);
        assert.deepEqual(late, [{
            method: "GET",
            path: `/bookings/${jobId}`,
            status: 503,
            tookMs: 80,
            deadlineMs: 50,
        }]);
        assert.include(metrics, "catkinswitch_late_answers_total{method=\"GET\"} 1");
    });

    it("is not reported when it comes before the deadline", async () => {
        const { status, late, metrics } = await askSlowVm(40, 50);
        assert.equal(status, 503);
        assert.deepEqual(late, []);
        assert.notInclude(metrics, "catkinswitch_late_answers_total{method=\"GET\"}");
    });
});
