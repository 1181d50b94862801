import { assert } from "chai";
import type { Server } from "node:http";
import { deriveClientBounds } from "../src/node/machineLimits.js";
import { createBodyBudget } from "../src/utils/bodyBudget.js";
import { createChunkPacer } from "../src/utils/chunkPacer.js";
import { createJsonServer, listen } from "../src/utils/http.js";
import type { JsonHandler } from "../src/utils/http.js";
import { createRequestIntake, defaultIntakeLimits } from "../src/utils/requestIntake.js";
import { chooseConnectionToClose, ConnectionUse } from "../src/utils/shedding.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { formatRequest, openCallerConnection } from "./fixtures/callerConnection.js";
import type { CallerConnection } from "./fixtures/callerConnection.js";

const head = (path: string, header: string): string => `POST ${path} HTTP/1.1\r\nhost: a\r\n${header}\r\n\r\n`;

describe("the choice of clients to refuse", () => {
    // guards against a crowd that takes the place of the one ordinary request
    it("spares a body that makes progress while others are stalled", async () => {
        const timer = createVirtualTimer();
        const refused: string[] = [];
        const budget = createBodyBudget({ maxBytes: 100, timeoutMs: 60_000, nowMs: timer.nowMs, onDecision: () => {} });
        budget.open(() => refused.push("large and stalled")).reserve(50);
        budget.open(() => refused.push("small and stalled")).reserve(10);
        await timer.advance(2_000);
        const ordinary = budget.open(() => refused.push("ordinary"));
        assert.isTrue(ordinary.reserve(40));
        assert.isTrue(ordinary.reserve(20));
        assert.deepEqual(refused, ["large and stalled"]);
    });

    it("refuses a new body, and no other, when bodies that have arrived hold the budget", () => {
        const refused: string[] = [];
        const budget = createBodyBudget({ maxBytes: 100, timeoutMs: 60_000, nowMs: () => 0, onDecision: () => {} });
        const arrived = budget.open(() => refused.push("arrived"));
        arrived.reserve(90);
        arrived.complete();
        budget.open(() => refused.push("small")).reserve(5);
        assert.isFalse(budget.open(() => refused.push("new")).reserve(50));
        assert.deepEqual(refused, ["new"]);
        arrived.close();
        assert.equal(budget.heldBytes(), 5);
    });

    it("closes connections in the order of what they do, and never one with a complete request", () => {
        const at = (use: ConnectionUse, progressedAtMs: number) => ({ use, progressedAtMs, heldBytes: 1 });
        const connections = [
            at(ConnectionUse.Handling, 0),
            at(ConnectionUse.Receiving, 10_000),
            at(ConnectionUse.Unused, 10_000),
            at(ConnectionUse.Idle, 8_000),
            at(ConnectionUse.Receiving, 5_000),
            at(ConnectionUse.Unused, 5_000),
            at(ConnectionUse.Refused, 10_000),
        ];
        for (const expected of connections.slice(1).reverse()) {
            assert.equal(chooseConnectionToClose(connections, 10_000), expected);
            connections.splice(connections.indexOf(expected), 1);
        }
        assert.isUndefined(chooseConnectionToClose(connections, 10_000));
    });

    // guards against bodies in very small chunks that keep the event loop busy
    it("lets bodies in very small chunks wait for each other, and leaves others alone", async () => {
        const timer = createVirtualTimer();
        const pacer = createChunkPacer({ timer, maxChunksPerS: 1_000 });
        const events: string[] = [];
        const addBody = (name: string, chunkCount: number): void => {
            const body = {
                pause: () => events.push(`pause ${name}`),
                resume: () => events.push(`resume ${name}`),
            };
            Array.from({ length: chunkCount }, () => pacer.record(body, 1));
        };
        addBody("large", 1_200);
        addBody("small", 400);
        addBody("ordinary", 10);
        assert.deepEqual(events, ["pause large", "pause small"]);
        await timer.advance(900);
        assert.deepEqual(events.slice(2), ["resume small", "resume large"]);
    });

    it("leaves the smallest machine room for workers, the table and other entry VMs", () => {
        const bounds = deriveClientBounds({ maxDescriptors: 2_212, memoryMb: 210 });
        const { maxCallerConnections, maxOperationsConnections, maxReadinessConnections } = bounds;
        const needed = 200 + 32 + 20 + 4 * 246 + 4 * 45;
        assert.isAtMost(maxCallerConnections + maxOperationsConnections + maxReadinessConnections + needed, 2_212);
        assert.isAtLeast(maxOperationsConnections, 4 * 45);
        assert.isAtLeast(bounds.maxBodyBytesInProgress, 4 * 1_048_576);
    });
});

describe("a JSON server with limits", () => {
    const timer = createVirtualTimer();
    const answerPath: JsonHandler = async request => ({ status: 200, body: { path: request.path } });
    const connections: CallerConnection[] = [];
    const servers: Server[] = [];

    const start = async (
        handler = answerPath,
        maxConnections = 100,
        maxChunksPerS = 20_000,
    ): Promise<() => Promise<CallerConnection>> => {
        const limits = { ...defaultIntakeLimits, bodyTimeoutMs: 5_000, maxChunksPerS };
        const intake = createRequestIntake({ limits, timer });
        const server = createJsonServer(handler, { maxBodyBytes: 100_000, intake, maxConnections });
        servers.push(server);
        const address = `127.0.0.1:${await listen(server, "127.0.0.1", 0)}`;
        return async () => {
            const connection = await openCallerConnection(address) as CallerConnection;
            connections.push(connection);
            return connection;
        };
    };

    afterEach(() => {
        connections.splice(0).forEach(connection => connection.destroy());
        servers.splice(0).forEach(server => {
            server.closeAllConnections();
            server.close();
        });
    });

    for (const header of ["content-length: 100001", "transfer-encoding: chunked"]) {
        it(`answers a body over the limit before its end (${header}), and closes the connection`, async () => {
            const connection = await (await start())();
            const chunks = "ffff\r\n" + "1".repeat(65_535) + "\r\n";
            const answer = await connection.request(head("/1", header) + chunks + chunks);
            assert.deepInclude(answer, { status: 413, closes: true, retryAfterS: undefined });
            assert.deepInclude(answer?.body, { outcome: "notRun" });
            await timer.advance(2_000);
            assert.isUndefined(await connection.nextAnswer(), "the connection is closed");
        });
    }

    // guards against an answer that is lost because a later request on the connection is refused
    it("answers a complete request although a later one on its connection is refused", async () => {
        let finishFirst = (): void => {};
        const firstMayEnd = new Promise<void>(resolve => {
            finishFirst = resolve;
        });
        let onFirst = (): void => {};
        const firstArrived = new Promise<void>(resolve => {
            onFirst = resolve;
        });
        const connection = await (await start(async request => {
            onFirst();
            await firstMayEnd;
            return answerPath(request);
        }))();
        const second = head("/second", "content-length: 10") + "1";
        await connection.send(formatRequest("GET", "/first") + second);
        await firstArrived;
        await timer.advance(7_000);
        finishFirst();
        assert.deepInclude(await connection.nextAnswer(), { status: 200, body: { path: "/first" } });
        const refusal = await connection.nextAnswer();
        assert.deepInclude(refusal, { status: 408, closes: true, retryAfterS: 1 });
        assert.deepInclude(refusal?.body, { outcome: "notRun" });
    });

    // guards against connections that stay paused after their body has arrived
    it("answers a request on a connection whose previous body was paused as its end had been read", async () => {
        const connection = await (await start(answerPath, 100, 100))();
        const body = "1\r\n1\r\n".repeat(500) + "0\r\n\r\n";
        const first = await connection.request(head("/first", "transfer-encoding: chunked") + body);
        assert.deepInclude(first, { status: 200, body: { path: "/first" } });
        const second = await connection.request(formatRequest("GET", "/second"));
        assert.deepInclude(second, { status: 200, body: { path: "/second" } });
    });

    it("serves a single body of 50,000 chunks", async () => {
        const connection = await (await start())();
        const body = "1\r\n1\r\n".repeat(50_000) + "0\r\n\r\n";
        const answering = connection.request(head("/1", "transfer-encoding: chunked") + body);
        const advancing = setInterval(() => void timer.advance(50), 1);
        assert.deepInclude(await answering, { status: 200 });
        clearInterval(advancing);
    });

    it("closes an idle connection for a new one, and refuses a new one while all others have a request", async () => {
        const open = await start(request => request.path === "/slow" ? new Promise(() => {}) : answerPath(request), 2);
        const [slow, idle] = [await open(), await open()];
        await idle.request(formatRequest("GET", "/1"));
        await slow.send(formatRequest("GET", "/slow"));
        const next = await open();
        assert.deepInclude(await next.request(formatRequest("GET", "/2")), { status: 200 });
        assert.isFalse(idle.isOpen());
        assert.isTrue(slow.isOpen());
        await next.send(formatRequest("GET", "/slow"));
        await new Promise(resolve => setImmediate(resolve));
        const refused = await open();
        const answer = await refused.nextAnswer();
        assert.deepInclude(answer, { status: 503, closes: true, retryAfterS: 1 });
        assert.deepInclude(answer?.body, { outcome: "notRun" });
    });
});
