import { assert } from "chai";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { createEndpointConnections } from "../src/routing/connections.js";
import { AttemptKind } from "../src/routing/types.js";
import { createCancellation } from "../src/utils/cancellation.js";

type Answer = (requestId: string, response: ServerResponse) => void;

const readRequestId = async (message: IncomingMessage): Promise<string> => {
    let text = "";
    for await (const chunk of message) {
        text += String(chunk);
    }
    return (JSON.parse(text) as { requestId: string; }).requestId;
};

const send = (response: ServerResponse, headerId: string, body: string): void => {
    response.writeHead(200, { "request-id": headerId, "content-length": Buffer.byteLength(body) });
    response.end(body);
};

const bodyFor = (requestId: string): string => JSON.stringify({ requestId, result: { for: requestId } });

describe("connections to an endpoint", () => {
    let server: Server;
    let sockets: Set<unknown>;
    let answer: Answer;

    beforeEach(async () => {
        sockets = new Set();
        server = createServer((message, response) => {
            sockets.add(message.socket);
            void readRequestId(message).then(requestId => answer(requestId, response));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    });

    afterEach(() => {
        server.closeAllConnections();
        server.close();
    });

    const connect = () => createEndpointConnections(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);

    const request = (requestId: string) => ({ requestId, customer: "customer", service: "service", body: {} });

    const invalidAnswers: Record<string, Answer> = {
        "belongs to another request": (_requestId, response) => send(response, "other", bodyFor("other")),
        "carries the body of another request": (requestId, response) => send(response, requestId, bodyFor("other")),
        "is truncated": (requestId, response) => send(response, requestId, bodyFor(requestId).slice(0, 20)),
        "ends before its Content-Length": (requestId, response) => {
            response.writeHead(200, { "request-id": requestId, "content-length": 500 });
            response.write(bodyFor(requestId), () => response.destroy());
        },
        "comes after the time-out": (requestId, response) => {
            setTimeout(() => send(response, requestId, bodyFor(requestId)), 300);
        },
    };

    for (const [name, invalidAnswer] of Object.entries(invalidAnswers)) {
        it(`reject an answer that ${name}, and close the connection`, async () => {
            const connections = connect();
            answer = invalidAnswer;
            const rejected = await connections.send(request("one"), 150);
            assert.equal(rejected.attempt.kind, AttemptKind.Doubtful);
            assert.equal(connections.openCount(), 0);
            answer = (requestId, response) => send(response, requestId, bodyFor(requestId));
            const next = await connections.send(request("two"), 1_000);
            assert.deepEqual(next.attempt, { kind: AttemptKind.Done, result: { for: "two" } });
            assert.equal(sockets.size, 2, "the second request uses a new connection");
        });
    }

    it("end a request that is cancelled, and close its connection", async () => {
        const connections = connect();
        const cancellation = createCancellation();
        answer = () => cancellation.cancel();
        const ended = await connections.send(request("one"), 10_000, cancellation);
        assert.equal(ended.attempt.kind, AttemptKind.Doubtful);
        assert.equal(connections.openCount(), 0);
    });

    it("are reused after a complete answer", async () => {
        const connections = connect();
        answer = (requestId, response) => send(response, requestId, bodyFor(requestId));
        await connections.send(request("one"), 1_000);
        await connections.send(request("two"), 1_000);
        assert.equal(sockets.size, 1);
    });

    it("return to each of 60 concurrent requests its own answer", async () => {
        const connections = connect();
        answer = (requestId, response) => {
            setTimeout(() => send(response, requestId, bodyFor(requestId)), Math.random() * 20);
        };
        const ids = Array.from(Array(60).keys(), index => `request-${index}`);
        const replies = await Promise.all(ids.map(id => connections.send(request(id), 5_000)));
        replies.forEach((reply, index) => {
            assert.deepEqual(reply.attempt, { kind: AttemptKind.Done, result: { for: ids[index] } });
        });
    });

    it("distinguish a request that was not sent from one without an answer", async () => {
        const connections = createEndpointConnections("http://127.0.0.1:1");
        const reply = await connections.send(request("one"), 500);
        assert.equal(reply.attempt.kind, AttemptKind.NotSent);
    });
});
