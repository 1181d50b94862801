import { assert } from "chai";
import { connect } from "node:net";
import { closeGracefully, createJsonServer, listen } from "../src/utils/http.js";
import { createTimerService } from "../src/utils/timer.js";

const host = "127.0.0.1";
const cycles = 12;
const eventNames = ["error", "listening", "close"] as const;

const createTestServer = () => createJsonServer(async () => ({ status: 200, body: {} }));

const countListeners = (server: ReturnType<typeof createTestServer>) =>
    Object.fromEntries(eventNames.map(name => [name, server.listenerCount(name)]));

// guards against listeners of a server that pile up while a VM loses and regains contact again and again
describe("a server that is closed and opened again", () => {
    it("has as many event listeners as at its first opening", async () => {
        const server = createTestServer();
        const port = await listen(server, host, 0);
        const before = countListeners(server);
        for (let cycle = 0; cycle < cycles; cycle++) {
            await closeGracefully(server);
            await listen(server, host, port);
        }
        const after = countListeners(server);
        await closeGracefully(server);
        assert.deepEqual(after, before);
    });

    it("has as many event listeners as at its first opening while a connection stays open", async () => {
        const server = createTestServer();
        const port = await listen(server, host, 0);
        const before = countListeners(server);
        const socket = connect(port, host);
        await new Promise(resolve => socket.once("connect", resolve));
        // part of a request, so that the connection is not idle
        socket.write("GET / HTTP/1.1\r\n");
        for (let cycle = 0; cycle < cycles; cycle++) {
            void closeGracefully(server);
            await createTimerService().sleep(30);
            assert.isFalse(server.listening);
            await listen(server, host, port);
        }
        const after = countListeners(server);
        socket.destroy();
        await closeGracefully(server);
        assert.deepEqual({ ...after, error: 0 }, { ...before, error: 0 });
    });

    it("has no further event listeners after attempts on an address that is taken", async () => {
        const other = createTestServer();
        const port = await listen(other, host, 0);
        const server = createTestServer();
        const before = countListeners(server);
        for (let attempt = 0; attempt < cycles; attempt++) {
            assert.isTrue(await listen(server, host, port).then(() => false, () => true));
        }
        const after = countListeners(server);
        await closeGracefully(other);
        assert.deepEqual(after, before);
    });
});

// guards against clients that hold connections without a limit on their time
describe("a server whose listener is closed", () => {
    it("goes on limiting the time for headers on connections that are open", async () => {
        const timer = createTimerService();
        const server = createTestServer();
        server.headersTimeout = 300;
        const port = await listen(server, host, 0);
        const socket = connect(port, host);
        await new Promise(resolve => socket.once("connect", resolve));
        let isOpen = true;
        socket.on("error", () => {});
        socket.on("close", () => {
            isOpen = false;
        });
        socket.write("GET / HTTP/1.1\r\n");
        await timer.sleep(50);
        void closeGracefully(server);
        // the limits are checked once a second
        for (let waitedMs = 0; waitedMs < 3_000 && isOpen; waitedMs += 100) {
            socket.write("x");
            await timer.sleep(100);
        }
        const wasOpen = isOpen;
        socket.destroy();
        assert.isFalse(wasOpen);
    });
});
