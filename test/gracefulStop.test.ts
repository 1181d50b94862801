import { assert } from "chai";
import { interruptedAnswer } from "../platform/callers.js";
import { createGracefulStop } from "../src/node/gracefulStop.js";
import { createOpenRequests } from "../src/utils/openRequests.js";
import type { OpenRequest } from "../src/utils/openRequests.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";

const setUp = (graceMs: number) => {
    const timer = createVirtualTimer();
    const openRequests = createOpenRequests({ nowMs: timer.nowMs });
    const events: string[] = [];
    const record = (event: string): void => void events.push(`${timer.nowMs()} ${event}`);
    const { stop, onConnection } = createGracefulStop({
        timer,
        log: (_level, message, fields) => record(`${message} ${JSON.stringify(fields)}`),
        openRequests,
        graceMs: () => graceMs,
        describe: () => ({}),
        onLateConnection: () => record("late connection"),
        handOver: () => record("hand over"),
        closeListener: () => record("close"),
        readArrived: () => Promise.resolve(),
        interruptedAnswer,
        exit: () => record("exit"),
    });
    const addRequest = (method: string, isHandled = true): OpenRequest => {
        const request = openRequests.add(method, "/1", answer => {
            record(`${method} ${answer.status} ${answer.headers?.connection}`);
        });
        request.isHandled = isHandled;
        return request;
    };
    return { timer, openRequests, events, stop, onConnection, addRequest };
};

describe("a graceful stop", () => {
    it("hands over, closes the listener and exits within the grace period, once", async () => {
        const { timer, events, stop } = setUp(6_000);
        void stop();
        void stop();
        await timer.advance(6_000);
        assert.deepEqual(events, [
            "0 stopping {\"graceMs\":6000,\"openRequests\":0,\"oldestMs\":0}",
            "0 hand over",
            "3000 close",
            "3000 listener closed {\"lateConnections\":0,\"openRequests\":0,\"oldestMs\":0}",
            "5000 stopped {\"lateConnections\":0,\"interrupted\":0,\"oldestMs\":0,\"unanswered\":0}",
            "5000 exit",
        ]);
    });

    it("answers open requests by what may have happened, waits until the answers are sent, and exits", async () => {
        const { timer, openRequests, events, stop, addRequest } = setUp(2_000);
        const requests = [addRequest("POST"), addRequest("POST", false), addRequest("GET"), addRequest("DELETE")];
        void stop();
        await timer.advance(1_600);
        assert.deepEqual(events.slice(-4), [
            "1500 POST 504 close",
            "1500 POST 503 close",
            "1500 GET 503 close",
            "1500 DELETE 504 close",
        ]);
        requests.forEach(request => openRequests.remove(request));
        const late = addRequest("POST");
        assert.equal(events.at(-1), "1600 POST 503 close");
        openRequests.remove(late);
        await timer.advance(0);
        assert.deepEqual(events.slice(-2), [
            "1600 stopped {\"lateConnections\":0,\"interrupted\":4,\"oldestMs\":1500,\"unanswered\":0}",
            "1600 exit",
        ]);
    });

    it("exits before the end of the grace period although a caller does not read its answer", async () => {
        const { timer, events, stop, addRequest } = setUp(6_000);
        addRequest("POST");
        void stop();
        await timer.advance(6_000);
        assert.deepEqual(events.slice(-2), [
            "5500 stopped {\"lateConnections\":0,\"interrupted\":1,\"oldestMs\":5000,\"unanswered\":1}",
            "5500 exit",
        ]);
    });

    it("counts the connections that are accepted after it has begun", async () => {
        const { timer, events, stop, onConnection } = setUp(6_000);
        onConnection();
        void stop();
        onConnection();
        onConnection();
        await timer.advance(3_000);
        assert.lengthOf(events.filter(event => event.endsWith("late connection")), 2);
        assert.equal(events.at(-1), "3000 listener closed {\"lateConnections\":2,\"openRequests\":0,\"oldestMs\":0}");
    });
});
