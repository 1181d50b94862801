import { assert } from "chai";
import type { Server } from "node:http";
import { closeGracefully, createJsonServer, listen } from "../src/utils/http.js";
import type { JsonHandler } from "../src/utils/http.js";
import { formatRequest, openCallerConnection } from "./fixtures/callerConnection.js";
import type { CallerConnection } from "./fixtures/callerConnection.js";

/** Time for which Node.js keeps an idle connection beyond the timeout that it announces. */
const keepAliveMarginMs = 1_000;

describe("a JSON server", () => {
    let server: Server;
    let address: string;
    let handler: JsonHandler;
    const connections: CallerConnection[] = [];

    const track = (connection: CallerConnection | undefined): CallerConnection => {
        assert.isDefined(connection);
        connections.push(connection as CallerConnection);
        return connection as CallerConnection;
    };

    beforeEach(async () => {
        handler = async request => ({ status: 200, body: { path: request.path } });
        server = createJsonServer(request => handler(request));
        address = `127.0.0.1:${await listen(server, "127.0.0.1", 0)}`;
    });

    afterEach(() => {
        connections.splice(0).forEach(connection => connection.destroy());
        server.closeAllConnections();
        server.close();
    });

    // guards against callers' mistakes that were answered as errors of the server
    for (const target of ["//", "//:", "http://[", "//host:port/"]) {
        it(`refuses the request target ${target}`, async () => {
            const connection = track(await openCallerConnection(address));
            assert.equal((await connection.request(formatRequest("GET", target)))?.status, 400);
        });
    }

    it("answers a request that arrived on an idle connection before it closes gracefully", async () => {
        const connection = track(await openCallerConnection(address));
        await connection.request(formatRequest("GET", "/first"));
        const answer = connection.request(formatRequest("GET", "/second"));
        void closeGracefully(server);
        assert.deepInclude(await answer, { status: 200, body: { path: "/second" } });
    });

    it("serves the connections that waited to be accepted when it closes gracefully", async () => {
        const opening = Array.from({ length: 10 }, () => openCallerConnection(address));
        // the kernel has completed the handshakes once the connections have been requested, in the next tick
        await new Promise<void>(resolve => process.nextTick(resolve));
        void closeGracefully(server);
        for (const opened of opening) {
            const connection = track(await opened);
            assert.deepInclude(await connection.request(formatRequest("GET", "/first")), { status: 200 });
        }
        assert.isUndefined(await openCallerConnection(address), "the listener is closed");
    });

    it("answers requests that were sent without waiting for the previous answer before it closes their connection", async () => {
        let onSecond = (): void => {};
        const secondArrived = new Promise<void>(resolve => {
            onSecond = resolve;
        });
        handler = async request => {
            await (request.path === "/first" ? secondArrived : onSecond());
            return { status: 200, body: { path: request.path }, headers: { connection: "close" } };
        };
        const connection = track(await openCallerConnection(address));
        await connection.send(formatRequest("GET", "/first") + formatRequest("GET", "/second"));
        assert.deepInclude(await connection.nextAnswer(), { body: { path: "/first" }, closes: false });
        assert.deepInclude(await connection.nextAnswer(), { body: { path: "/second" }, closes: true });
    });

    // guards against connections that were closed as idle while their next request had arrived
    it("answers a request that arrived on an idle connection before it times out", async () => {
        server.keepAliveTimeout = 200;
        const connection = track(await openCallerConnection(address));
        await connection.request(formatRequest("GET", "/first"));
        const answer = connection.request(formatRequest("GET", "/second"));
        const blockedUntilMs = performance.now() + server.keepAliveTimeout + 2 * keepAliveMarginMs;
        while (performance.now() < blockedUntilMs) {
            // the kernel has the request, and the timer of the idle connection is due
        }
        assert.deepInclude(await answer, { status: 200, body: { path: "/second" } });
    });

    it("closes a connection that has been idle for its timeout", async () => {
        server.keepAliveTimeout = 50;
        const connection = track(await openCallerConnection(address));
        await connection.request(formatRequest("GET", "/first"));
        assert.isUndefined(await connection.nextAnswer());
        assert.isFalse(connection.isOpen());
    });

    it("closes an idle connection on which one byte arrived as it timed out", async () => {
        server.keepAliveTimeout = 200;
        const connection = track(await openCallerConnection(address));
        await connection.request(formatRequest("GET", "/first"));
        void connection.send("G");
        const blockedUntilMs = performance.now() + server.keepAliveTimeout + 2 * keepAliveMarginMs;
        while (performance.now() < blockedUntilMs) {
            // the kernel has the byte, and the timer of the idle connection is due
        }
        assert.isUndefined(await connection.nextAnswer());
        assert.isFalse(connection.isOpen());
    });
});
