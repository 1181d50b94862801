import { assert } from "chai";
import type { Server } from "node:http";
import { createCallerHandler } from "../platform/callers.js";
import { JobPhase } from "../src/jobs/types.js";
import { createEntryMetrics } from "../src/node/entryMetrics.js";
import type { EntryVm } from "../src/node/entryVm.js";
import { startListenerGate } from "../src/node/listenerGate.js";
import { closeGracefully, createJsonServer, listen } from "../src/utils/http.js";
import { createHttpClient } from "../src/utils/httpJsonClient.js";
import { createRandom } from "../src/utils/random.js";
import { createTimerService } from "../src/utils/timer.js";
import { createConfiguration } from "./fixtures/queueConfiguration.js";

const jobId = "00000000000000a1";
const deadlineMs = 3_000;
const maxTries = 5;
/** Longest part of its time for which a caller pauses that was refused; without an answer it asks again soon. */
const maxPauseShare = 0.36;
const reconnectMs = 80;
const vmCount = 14;
const unconfirmedCount = 10;
const callerCount = 60;
const maxAgeMs = 2_500;
/** Time in which a listener is closed or opened. */
const gateMs = 500;
const host = "127.0.0.1";
const configuration = createConfiguration({
    queues: createConfiguration().queues.map(queue => ({ ...queue, isPublic: true })),
});

/** VMs of a zone with real listeners, the first of which cannot confirm their configuration while `isCut` is set. */
const startZone = async () => {
    const timer = createTimerService();
    const zone = { isCut: false };
    const startVm = async (index: number) => {
        const ageMs = (): number => zone.isCut && index < unconfirmedCount ? 2 * maxAgeMs : 0;
        const server = createJsonServer(
            createCallerHandler({
                vm: { phase: async () => JobPhase.Succeeded } as unknown as EntryVm,
                operator: { current: () => ({ configuration, evacuatedZones: new Set() }), ageMs, onChange: () => {} },
                log: () => {},
                metrics: createEntryMetrics(),
                nowMs: timer.nowMs,
                wallClockMs: timer.wallClockMs,
                maxConfigurationAgeMs: () => maxAgeMs,
                isStopping: () => false,
            }),
            { maxBodyBytes: 1_000 },
        );
        const port = await listen(server, host, 0);
        const endGate = startListenerGate({
            timer,
            log: () => {},
            isUnconfirmed: () => ageMs() > maxAgeMs,
            isStopping: () => false,
            isListening: () => server.listening,
            listen: () => listen(server, host, port),
            close: () => void closeGracefully(server),
        });
        return { server, port, endGate };
    };
    const vms = await Promise.all(Array.from({ length: vmCount }, (_, index) => startVm(index)));
    const stop = (): void =>
        vms.forEach(({ server, endGate }) => {
            endGate();
            server.close();
            server.closeAllConnections();
        });
    return { timer, zone, vms, stop };
};

type Zone = Awaited<ReturnType<typeof startZone>>;

/** Asks one VM after the other over new connections; returns what is left of the caller's time, 0 without an answer. */
const ask = async ({ timer, vms }: Zone, random: () => number): Promise<number> => {
    const endsAtMs = timer.nowMs() + deadlineMs;
    for (let tries = 0; tries < maxTries && timer.nowMs() < endsAtMs;) {
        const { port } = vms[Math.floor(random() * vmCount)];
        const client = createHttpClient(`${host}:${port}`, 1);
        const leftMs = Math.round(endsAtMs - timer.nowMs());
        const headers = { host: "doves.example", "deadline-ms": String(leftMs) };
        const outcome = await client.call({ method: "GET", path: `/bookings/${jobId}`, headers, timeoutMs: leftMs });
        client.close();
        if (outcome.ok && outcome.answer.status === 200) {
            return endsAtMs - timer.nowMs();
        }
        tries += outcome.ok ? 1 : 0;
        const askedPauseMs = outcome.ok ? (outcome.answer.retryAfterS ?? 0) * 1_000 : 0;
        await timer.sleep(Math.max(reconnectMs, Math.min(askedPauseMs, leftMs * maxPauseShare)));
    }
    return 0;
};

// guards against callers whose tries are spent on VMs that have to refuse them
describe("callers of a zone of which most VMs cannot confirm their configuration", () => {
    let zone: Zone;

    beforeEach(async () => {
        zone = await startZone();
    });

    afterEach(() => zone.stop());

    it("are all answered by the other VMs, with half of their time left", async () => {
        zone.zone.isCut = true;
        await zone.timer.sleep(gateMs);
        const random = createRandom(7);
        const leftMs = await Promise.all(Array.from({ length: callerCount }, () => ask(zone, random)));
        assert.isAtLeast(Math.min(...leftMs), deadlineMs / 2);
    });

    it("reach all VMs again once these are in contact", async () => {
        const countListening = (): number =>
            zone.vms.filter(({ server }: { server: Server; }) => server.listening).length;
        zone.zone.isCut = true;
        await zone.timer.sleep(gateMs);
        assert.equal(countListening(), vmCount - unconfirmedCount);
        zone.zone.isCut = false;
        await zone.timer.sleep(gateMs);
        assert.equal(countListening(), vmCount);
    });
});
