import { assert } from "chai";
import { createServer } from "node:http";
import type { Server } from "node:http";
import { createRelayPeers } from "../src/node/relayPeer.js";
import { createRelayedTable } from "../src/state/relay.js";
import type { RelayReply } from "../src/state/relay.js";
import { StateErrorKind } from "../src/state/types.js";
import type { StateTable, StateTransaction } from "../src/state/types.js";
import { listen } from "../src/utils/http.js";
import { fail } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";

const transaction: StateTransaction = {
    part: "p0",
    conditions: [],
    writes: [{ table: "jobs", key: "k", value: 1 }],
};

describe("a commit through a peer", () => {
    let server: Server | undefined;

    afterEach(() => {
        server?.close();
        server?.closeAllConnections();
    });

    /** A peer that gives every request the same answer. */
    const createPeerAnswering = async (status: number, text: string) => {
        server = createServer((message, response) => {
            message.resume();
            message.on("end", () => response.writeHead(status).end(text));
        });
        const port = await listen(server, "127.0.0.1", 0);
        return createRelayPeers(() => [{ name: "b", address: `127.0.0.1:${port}`, cores: 1 }]);
    };

    const commitThrough = async (status: number, text: string): Promise<RelayReply> => {
        const [peer] = (await createPeerAnswering(status, text))();
        return peer.perform({ operation: "commit", transaction });
    };

    const kindOf = (reply: RelayReply): StateErrorKind | undefined => reply.ok ? undefined : reply.error.kind;

    it("has the peer's reply as its result", async () => {
        assert.deepEqual(await commitThrough(200, "{\"ok\":true,\"value\":{\"version\":7}}"), {
            ok: true,
            value: { version: 7 },
        });
        const conflict = "{\"ok\":false,\"error\":{\"kind\":\"conflict\",\"rows\":[]}}";
        assert.equal(kindOf(await commitThrough(200, conflict)), StateErrorKind.Conflict);
    });

    for (const status of [500, 502, 503]) {
        it(`may have taken effect when the peer answers with status ${status}`, async () => {
            assert.equal(kindOf(await commitThrough(status, "{}")), StateErrorKind.NoAnswer);
        });
    }

    for (const status of [400, 404, 413]) {
        it(`has not taken effect when the peer rejects the request with status ${status}`, async () => {
            assert.equal(kindOf(await commitThrough(status, "{}")), StateErrorKind.Unavailable);
        });
    }

    for (
        const text of [
            "",
            "{\"ok\":tr",
            "null",
            "[]",
            "{}",
            "{\"ok\":true}",
            "{\"ok\":false}",
            "{\"ok\":false,\"error\":{}}",
        ]
    ) {
        it(`may have taken effect when the peer's reply is ${JSON.stringify(text)}`, async () => {
            const createPeers = await createPeerAnswering(200, text);
            const [peer] = createPeers();
            assert.equal(kindOf(await peer.perform({ operation: "commit", transaction })), StateErrorKind.NoAnswer);
            const unavailable = fail({ kind: StateErrorKind.Unavailable as const, detail: "unreachable" });
            const direct: StateTable = {
                commit: async () => unavailable,
                read: async () => unavailable,
                changes: async () => unavailable,
            };
            const table = createRelayedTable({
                direct,
                timer: createVirtualTimer(),
                log: () => {},
                peers: createPeers,
            });
            const written = await table.commit(transaction);
            assert.isTrue(!written.ok && written.error.kind === StateErrorKind.NoAnswer, JSON.stringify(written));
        });
    }
});

// guards against reads that wait for a connection which long polls hold
describe("a read through a peer", () => {
    let server: Server | undefined;

    afterEach(() => {
        server?.close();
        server?.closeAllConnections();
    });

    /** Long polls of a VM that plans: for the operator's table, the planner's, the workers and the jobs. */
    const longPolls = 4;
    const waitMs = 1_000;

    it("is answered while the long polls of a VM that plans wait at the same peer", async () => {
        server = createServer((message, response) => {
            let text = "";
            message.on("data", (chunk: Buffer) => text += chunk.toString());
            message.on("end", () => {
                const answer = (): unknown => response.end("{\"ok\":true,\"value\":{\"version\":1,\"rows\":[]}}");
                if (text.includes("\"changes\"")) {
                    setTimeout(answer, waitMs);
                }
                else {
                    answer();
                }
            });
        });
        const port = await listen(server, "127.0.0.1", 0);
        const [peer] = createRelayPeers(() => [{ name: "b", address: `127.0.0.1:${port}`, cores: 1 }])();
        let answeredPolls = 0;
        for (let poll = 0; poll < longPolls; poll++) {
            void peer.perform({ operation: "changes", table: `t${poll}`, afterVersion: 1, waitMs })
                .then(() => answeredPolls += 1);
        }
        const reply = await peer.perform({ operation: "read", range: { table: "jobs", part: "p0" } });
        assert.isTrue(reply.ok);
        assert.equal(answeredPolls, 0, "the read did not wait for a long poll");
    });
});
