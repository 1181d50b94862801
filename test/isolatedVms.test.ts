import { assert } from "chai";
import { createCallerHandler } from "../platform/callers.js";
import { JobPhase } from "../src/jobs/types.js";
import { createEntryMetrics } from "../src/node/entryMetrics.js";
import type { EntryVm } from "../src/node/entryVm.js";
import type { JsonRequest } from "../src/utils/http.js";
import { createRandom } from "../src/utils/random.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { createConfiguration } from "./fixtures/queueConfiguration.js";

const jobId = "00000000000000a1";
const deadlineMs = 3_000;
const maxTries = 5;
/** Longest part of its time for which a caller pauses, and the pause of one that is asked for none. */
const maxPauseShare = 0.36;
const minPauseMs = 80;
const vmCount = 14;
const callerCount = 200;
const configuration = createConfiguration({
    queues: createConfiguration().queues.map(queue => ({ ...queue, isPublic: true })),
});

/** VMs of a zone; the first `unconfirmedCount` cannot confirm their configuration. */
const createZone = (unconfirmedCount: number, isIsolated: boolean) => {
    const timer = createVirtualTimer();
    const random = createRandom(7);
    const createHandler = (_: unknown, index: number) => {
        const options = {
            vm: { phase: async () => JobPhase.Succeeded } as unknown as EntryVm,
            operator: {
                current: () => ({ configuration, evacuatedZones: new Set<string>() }),
                ageMs: () => index < unconfirmedCount ? 10_000 : 0,
                onChange: () => {},
            },
            log: () => {},
            metrics: createEntryMetrics(),
            nowMs: timer.nowMs,
            wallClockMs: timer.wallClockMs,
            maxConfigurationAgeMs: () => 2_500,
            isStopping: () => false,
            isIsolated: () => isIsolated,
        };
        return createCallerHandler(options);
    };
    const handlers = Array.from({ length: vmCount }, createHandler);

    /** Asks one VM after the other; returns what is left of the caller's time, `undefined` without an answer. */
    const ask = async (): Promise<number | undefined> => {
        const endsAtMs = timer.nowMs() + deadlineMs;
        for (let tries = 0; tries < maxTries && timer.nowMs() < endsAtMs; tries++) {
            const leftMs = endsAtMs - timer.nowMs();
            const headers = { host: "doves.example", "deadline-ms": String(leftMs) };
            const handle = handlers[Math.floor(random() * vmCount)];
            const answer = await handle(
                { method: "GET", path: `/bookings/${jobId}`, headers } as unknown as JsonRequest,
            );
            if (answer.status === 200) {
                return leftMs;
            }
            const askedPauseMs = Number(answer.headers?.["retry-after"]) * 1_000;
            await timer.sleep(Math.max(minPauseMs, Math.min(askedPauseMs, leftMs * maxPauseShare)));
        }
        return undefined;
    };

    const askAll = async (): Promise<(number | undefined)[]> => {
        const asked = Promise.all(Array.from({ length: callerCount }, ask));
        await timer.advance(2 * deadlineMs);
        return asked;
    };
    return { askAll };
};

// guards against callers whose time is over before they meet a VM that is in touch
describe("a caller whose tries meet VMs that cannot confirm their configuration", () => {
    it("is answered with half of its time left if these are isolated and one of its tries meets another VM", async () => {
        const leftMs = (await createZone(10, true).askAll()).filter(left => left !== undefined);
        assert.isAbove(leftMs.length, callerCount / 2);
        assert.isAtLeast(Math.min(...leftMs), deadlineMs / 2);
    });

    it("spreads its tries over its time if these hear from other VMs, as the table answers none of them", async () => {
        const { askAll } = createZone(vmCount, false);
        assert.deepEqual([...new Set(await askAll())], [undefined]);
        const [leftMs = 0] = (await createZone(vmCount - 1, false).askAll()).filter(left => left !== undefined).sort();
        assert.isBelow(leftMs, deadlineMs / 2);
    });
});
