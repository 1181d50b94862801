import { assert } from "chai";
import type { Server } from "node:http";
import type { CachedPhase } from "../src/jobs/phaseCache.js";
import { JobPhase } from "../src/jobs/types.js";
import { createEntryMetrics } from "../src/node/entryMetrics.js";
import type { EntryVm } from "../src/node/entryVm.js";
import { createOperationsServer } from "../src/node/operationsHttp.js";
import { createPhaseClient, phasePath } from "../src/node/phasePeer.js";
import type { RelayedTable } from "../src/state/relay.js";
import { createJsonServer, listen } from "../src/utils/http.js";
import { createHttpClient } from "../src/utils/httpJsonClient.js";
import { createRequestIntake, defaultIntakeLimits } from "../src/utils/requestIntake.js";
import { createTimerService } from "../src/utils/timer.js";

const jobId = "00000000000000a1";
const askMs = 300;
const known: CachedPhase = {
    phase: JobPhase.Succeeded,
    owner: { customer: "hotel", queue: "bookings" },
    submissionVersion: 3,
    recordVersion: 9,
};

describe("a VM that is asked for a job's phase by another one", () => {
    const servers: Server[] = [];

    afterEach(() =>
        servers.splice(0).forEach(server => {
            server.close();
            server.closeAllConnections();
        })
    );

    const listenOn = async (server: Server): Promise<string> => {
        servers.push(server);
        return `127.0.0.1:${await listen(server, "127.0.0.1", 0)}`;
    };

    /** The operations server of a VM that knows one job; returns its address. */
    const startVm = (): Promise<string> =>
        listenOn(createOperationsServer({
            vm: { knownPhase: id => id === jobId ? known : undefined } as EntryVm,
            metrics: createEntryMetrics(),
            table: {} as RelayedTable,
            relayedTables: new Set(),
            intake: createRequestIntake({ limits: defaultIntakeLimits, timer: createTimerService() }),
            maxConnections: 10,
        }));

    const ask = (address: string, id = jobId, vm = "b") =>
        createPhaseClient(() => [{ name: "b", address, cores: 1 }])(vm, id, askMs);

    it("tells what it knows", async () => {
        assert.deepEqual(await ask(await startVm()), { known });
    });

    it("tells nothing of a job that it does not know, and rejects what asks for no job", async () => {
        const address = await startVm();
        assert.deepEqual(await ask(address, "00000000000000b2"), {});
        const call = { method: "POST" as const, path: phasePath, body: { jobId: 7 }, timeoutMs: askMs };
        const outcome = await createHttpClient(address, 1).call(call);
        assert.equal(outcome.ok && outcome.answer.status, 400);
    });

    for (
        const [title, body] of Object.entries({
            "names no phase": { known: { ...known, phase: "lost" } },
            "names no owner": { known: { ...known, owner: {} } },
            "has no versions": { known: { phase: known.phase, owner: known.owner } },
            "names no time of the end": { known: { ...known, endedAtMs: "now" } },
            "is no object": "succeeded",
        })
    ) {
        it(`gives no valid answer if that ${title}`, async () => {
            const address = await listenOn(
                createJsonServer(async () => ({ status: 200, body }), { maxBodyBytes: 999 }),
            );
            assert.isUndefined(await ask(address));
        });
    }

    it("gives no answer if it is not listed, refuses connections, or does not answer in time", async () => {
        const address = await startVm();
        assert.isUndefined(await ask(address, jobId, "c"));
        assert.isUndefined(await ask("127.0.0.1:1"));
        const silent = await listenOn(createJsonServer(() => new Promise(() => {}), { maxBodyBytes: 999 }));
        const startedAtMs = performance.now();
        assert.isUndefined(await ask(silent));
        assert.isAtLeast(performance.now() - startedAtMs, askMs - 1);
    });
});
