import { assert } from "chai";
import type { Server } from "node:http";
import { createJsonServer, listen } from "../src/utils/http.js";
import { createRequestIntake, defaultIntakeLimits } from "../src/utils/requestIntake.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { formatRequest, openCallerConnection } from "./fixtures/callerConnection.js";
import type { CallerConnection } from "./fixtures/callerConnection.js";
import { startPlatformProcesses, waitUntil } from "./fixtures/platformProcesses.js";
import type { EntryVmProcess, PlatformProcesses } from "./fixtures/platformProcesses.js";
import { hasUnread, sendWhole, startCrowd, watchUsage } from "./fixtures/uncontrolledClients.js";
import type { ClientBehavior, Crowd, UsageWatch } from "./fixtures/uncontrolledClients.js";

/** Memory of the machine on which the process is tested. */
const memoryMb = 160;
const settings = {
    memoryMb,
    maxDescriptors: 300,
    maxBodyBytesInProgress: 4 * 1024 * 1024,
    maxCallerConnections: 120,
    maxOperationsConnections: 60,
    maxReadinessConnections: 8,
};
const maxReadingMs = 30_000;
const relayPath = "/v1/relay";

/** Text of `sizeBytes` whose value takes some twenty times its size. */
const formatObjects = (sizeBytes: number): string => `[${"{},".repeat(sizeBytes / 3)}1]`;

const jobBody = JSON.stringify({
    spec: "{}",
    steps: [{ count: 1, cpu: 4_000, "mem-mb": 1_024, gpu: 1, "estimate-ms": 100 }],
    further: 0,
});
const relayBody = JSON.stringify({
    operation: "read",
    range: { table: "jobs", part: "", from: "none", before: "none" },
    further: 0,
});

const extend = (body: string, sizeBytes: number): string =>
    body.replace("\"further\":0", `"further":${formatObjects(sizeBytes)}`);

interface Attack {
    address: "callers" | "operations";
    clientCount: number;
    behavior: ClientBehavior;
}

const attacks: Attack[] = [
    {
        address: "callers",
        clientCount: 40,
        behavior: sendWhole("/bookings/0000000000000001", extend(jobBody, 240_000)),
    },
    { address: "operations", clientCount: 12, behavior: sendWhole(relayPath, extend(relayBody, 900_000)) },
];

describe("uncontrolled clients that send complete bodies", function() {
    this.timeout(60_000);
    let processes: PlatformProcesses;
    let vm: EntryVmProcess;
    let watch: UsageWatch;
    let crowd: Crowd | undefined;

    beforeEach(async () => {
        processes = await startPlatformProcesses();
        vm = await processes.startVm("a", { maxHeapMb: 48, settings });
        watch = watchUsage(vm);
    });

    afterEach(async () => {
        crowd?.leave();
        await watch.stop();
        await processes.stop();
    });

    // guards against processes that run out of memory by the values of bodies that are inside the limits
    for (const { address, clientCount, behavior } of attacks) {
        it(`leave the process within its memory and serving while the table is silent: ${address}`, async () => {
            await processes.control("switches", { tableSilent: true });
            crowd = startCrowd(vm[address], clientCount, behavior);
            await crowd.sent;
            await waitUntil(async () => !vm.isRunning() || !await hasUnread(vm), maxReadingMs, "all is read");
            const connection = await openCallerConnection(vm.operations);
            const answer = await connection?.request(formatRequest("GET", "/v1/dump"));
            connection?.destroy();
            const peak = await watch.stop();
            assert.isTrue(vm.isRunning(), "the process runs");
            assert.equal(answer?.status, 200);
            assert.isAtMost(peak.memoryMb, memoryMb);
        });
    }
});

describe("a JSON server that parses large bodies", () => {
    const timer = createVirtualTimer();
    const connections: CallerConnection[] = [];
    let server: Server | undefined;

    const startServer = async (onRequest: (path: string) => Promise<void>): Promise<string> => {
        const intake = createRequestIntake({ limits: defaultIntakeLimits, timer });
        server = createJsonServer(async request => {
            await onRequest(request.path);
            return { status: 200, body: {} };
        }, { maxBodyBytes: 262_144, intake });
        return `127.0.0.1:${await listen(server, "127.0.0.1", 0)}`;
    };

    const open = async (address: string): Promise<CallerConnection> => {
        const connection = await openCallerConnection(address) as CallerConnection;
        connections.push(connection);
        return connection;
    };

    const large = (path: string): string => {
        const body = formatObjects(120_000);
        return `POST ${path} HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
    };

    afterEach(() => {
        connections.splice(0).forEach(connection => connection.destroy());
        server?.closeAllConnections();
        server?.close();
    });

    // guards against an event loop that is held by one body after the other
    it("leaves the event loop to others between two of them", async () => {
        const handled: string[] = [];
        const address = await startServer(async path => {
            handled.push(path);
        });
        const answers: Promise<unknown>[] = [];
        for (const path of ["/1", "/2", "/3"]) {
            answers.push((await open(address)).request(large(path)));
        }
        await answers[0];
        const small = await (await open(address)).request(formatRequest("POST", "/small", { body: {} }));
        assert.equal(small?.status, 200);
        assert.deepEqual(handled, ["/1", "/small"]);
        const advancing = setInterval(() => void timer.advance(50), 1);
        await Promise.all(answers);
        clearInterval(advancing);
        assert.deepEqual(handled, ["/1", "/small", "/2", "/3"]);
    });
});

describe("a JSON server with pipelined requests", () => {
    let server: Server | undefined;
    let connection: CallerConnection | undefined;

    afterEach(() => {
        connection?.destroy();
        server?.closeAllConnections();
        server?.close();
    });

    // guards against an event loop that is held by all requests that one read of a connection contains
    it("handles few of them in a turn of the event loop", async () => {
        const requestCount = 400;
        const maxInTurn = 64;
        let inTurn = 0;
        let mostInTurn = 0;
        server = createJsonServer(async () => {
            if (inTurn === 0) {
                setImmediate(() => {
                    inTurn = 0;
                });
            }
            inTurn += 1;
            mostInTurn = Math.max(mostInTurn, inTurn);
            return { status: 200, body: {} };
        });
        connection = await openCallerConnection(`127.0.0.1:${await listen(server, "127.0.0.1", 0)}`);
        await connection?.send(formatRequest("GET", "/").repeat(requestCount));
        for (let answered = 0; answered < requestCount; answered++) {
            assert.deepInclude(await connection?.nextAnswer(), { status: 200 });
        }
        assert.isAtMost(mostInTurn, maxInTurn);
    });
});
