import { assert } from "chai";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { listen } from "../src/utils/http.js";
import { createHttpClient } from "../src/utils/httpJsonClient.js";
import type { HttpClient, HttpOutcome } from "../src/utils/httpJsonClient.js";

const maxConnections = 24;
const silenceTimeoutMs = 500;
const answerTimeoutMs = 5_000;

describe("an HTTP client", () => {
    let server: Server;
    let client: HttpClient;
    /** Connections that the client has opened, in their order. */
    let opened: Socket[];
    let silent: Set<Socket>;
    let answer: (message: IncomingMessage, response: ServerResponse) => void;

    const answerAtOnce = (_message: IncomingMessage, response: ServerResponse): void => void response.end("{}");

    beforeEach(async () => {
        opened = [];
        silent = new Set();
        answer = answerAtOnce;
        server = createServer((message, response) => {
            if (!silent.has(message.socket)) {
                answer(message, response);
            }
        });
        server.on("connection", socket => opened.push(socket));
        // only the client closes connections
        server.keepAliveTimeout = 0;
        client = createHttpClient(`127.0.0.1:${await listen(server, "127.0.0.1", 0)}`, maxConnections);
    });

    afterEach(() => {
        client.close();
        server.closeAllConnections();
        server.close();
    });

    const get = (path: string, timeoutMs: number): Promise<HttpOutcome> =>
        client.call({ method: "GET", path, timeoutMs });

    /** Opens connections, which are idle afterwards. */
    const openIdle = async (count: number): Promise<void> => {
        const waiting: ServerResponse[] = [];
        answer = (_message, response) => {
            waiting.push(response);
            if (waiting.length === count) {
                waiting.forEach(each => each.end("{}"));
            }
        };
        await Promise.all(Array.from({ length: count }, () => get("/", answerTimeoutMs)));
        answer = answerAtOnce;
    };

    // guards against a timeout for each of the connections that fell silent while new ones worked
    for (const count of [1, 4, maxConnections]) {
        it(`waits for one timeout when its ${count} idle connections have fallen silent`, async () => {
            await openIdle(count);
            silent = new Set(opened);
            let timeouts = 0;
            while (timeouts <= count && !(await get("/", silenceTimeoutMs)).ok) {
                timeouts += 1;
            }
            assert.equal(timeouts, 1);
        });
    }

    it("uses a new connection after one of its idle connections was reset", async () => {
        await openIdle(4);
        const before = new Set(opened);
        answer = (message, response) => {
            if (before.has(message.socket)) {
                message.socket.resetAndDestroy();
            }
            else {
                response.end("{}");
            }
        };
        assert.isFalse((await get("/", answerTimeoutMs)).ok);
        assert.isTrue((await get("/", answerTimeoutMs)).ok);
    });

    it("keeps a connection that was answered after the call without an answer was sent", async () => {
        await openIdle(3);
        answer = (message, response) => {
            if (message.url !== "/lost") {
                response.end("{}");
            }
        };
        const lost = get("/lost", silenceTimeoutMs);
        await get("/", answerTimeoutMs);
        assert.isFalse((await lost).ok);
        assert.isTrue((await get("/", answerTimeoutMs)).ok);
        assert.lengthOf(opened, 3, "no connection was opened");
    });

    // guards against timeouts of calls that were answered while this process did not run
    it("returns an answer that arrived before its timeout although the event loop was blocked beyond it", async () => {
        await openIdle(1);
        answer = (_message, response) => {
            response.end("{}");
            const blockedUntilMs = performance.now() + 2 * silenceTimeoutMs;
            while (performance.now() < blockedUntilMs) {
                // the kernel has the answer, and the client's timer is due
            }
        };
        assert.isTrue((await get("/", silenceTimeoutMs)).ok);
    });
});
