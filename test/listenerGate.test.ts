import { assert } from "chai";
import { createServer } from "node:http";
import { startListenerGate } from "../src/node/listenerGate.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";

/** Time in which the gate has checked several times. */
const checkMs = 400;

/** A gate in front of a listener that opens unless `cannotListen` is set. */
const createGate = () => {
    const timer = createVirtualTimer();
    const state = { isUnconfirmed: false, isStopping: false, isListening: true, cannotListen: false };
    const messages: string[] = [];
    startListenerGate({
        timer,
        log: (_level, message) => void messages.push(message),
        isUnconfirmed: () => state.isUnconfirmed,
        isStopping: () => state.isStopping,
        isListening: () => state.isListening,
        listen: async () => {
            if (state.cannotListen) {
                throw new Error("address in use");
            }
            state.isListening = true;
        },
        close: () => {
            state.isListening = false;
        },
    });
    return { timer, state, messages };
};

// guards against callers that spend their tries on a VM that has to refuse them
describe("the listener for callers", () => {
    it("is closed while the VM cannot confirm its configuration, and opened again afterwards", async () => {
        const { timer, state, messages } = createGate();
        await timer.advance(checkMs);
        assert.isTrue(state.isListening);
        state.isUnconfirmed = true;
        await timer.advance(checkMs);
        assert.isFalse(state.isListening);
        state.isUnconfirmed = false;
        await timer.advance(checkMs);
        assert.isTrue(state.isListening);
        assert.deepEqual(messages, ["callers refused: the configuration is not confirmed", "callers accepted again"]);
    });

    it("is tried again if it cannot be opened", async () => {
        const { timer, state } = createGate();
        Object.assign(state, { isListening: false, cannotListen: true });
        await timer.advance(checkMs);
        assert.isFalse(state.isListening);
        state.cannotListen = false;
        await timer.advance(checkMs);
        assert.isTrue(state.isListening);
    });

    it("is not closed by a process that confirms its configuration right after a pause", async () => {
        const { timer, state } = createGate();
        state.isUnconfirmed = true;
        await timer.advance(200);
        state.isUnconfirmed = false;
        await timer.advance(checkMs);
        assert.isTrue(state.isListening);
    });

    it("is not opened again by a process that stops", async () => {
        const { timer, state } = createGate();
        Object.assign(state, { isListening: false, isStopping: true });
        await timer.advance(checkMs);
        assert.isFalse(state.isListening);
    });

    it("can be opened again while connections from before are open", async () => {
        const server = createServer((_, response) => void response.end("ok"));
        const open = (port: number): Promise<number> =>
            new Promise(resolve =>
                server.listen(port, "127.0.0.1", () => resolve((server.address() as { port: number; }).port))
            );
        const port = await open(0);
        const url = `http://127.0.0.1:${port}/`;
        assert.equal(await (await fetch(url)).text(), "ok");
        server.close();
        assert.isTrue(await fetch(url).then(() => false, () => true), "connections are refused");
        await open(port);
        assert.equal(await (await fetch(url)).text(), "ok");
        server.close();
        server.closeAllConnections();
    });
});
