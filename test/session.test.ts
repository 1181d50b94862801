import { assert } from "chai";
import { createWorkerSession } from "../src/execution/session.js";
import type { SessionListener } from "../src/execution/session.js";
import type { HoldOrder, WorkerClient } from "../src/execution/types.js";
import { fail, succeed } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";

const answerMs = 2;
const noAnswerMs = 900;
const idleMs = 20_000;
const longPollMs = 1_000;

/** A session with a worker whose clock started `clockOffsetMs` before the timer; collects the polls that it is sent. */
const createSession = () => {
    const timer = createVirtualTimer();
    const holds: HoldOrder[] = [];
    const worker = { clockOffsetMs: 100_000, bornMs: 1, isSilent: false };
    let busy = true;
    let hasUnconfirmedStarts = false;
    let token = 0;
    const unused = async () => fail({ kind: "noAnswer" as const, detail: "not modelled" });
    const client: WorkerClient = {
        start: unused,
        stop: unused,
        pace: unused,
        hold: async order => {
            holds.push(order);
            const { isSilent } = worker;
            await timer.sleep(isSilent ? noAnswerMs : answerMs + (order.waitMs ?? 0));
            if (isSilent) {
                return fail({ kind: "noAnswer" as const, detail: "lost" });
            }
            const clockMs = timer.nowMs() + worker.clockOffsetMs;
            return succeed({ clockMs, bornMs: worker.bornMs, running: [], ended: [], endsComplete: true });
        },
        close: () => {},
    };
    const restarts: (number | undefined)[] = [];
    const listener: SessionListener = {
        isBusy: () => busy,
        hasUnconfirmedStarts: () => hasUnconfirmedStarts,
        onReport: () => {},
        onLeaseExpired: () => {},
        onRestarted: (_session, bornMs) => restarts.push(bornMs),
        onContactLost: () => {},
        onFenced: () => {},
    };
    const session = createWorkerSession({
        id: "w0",
        bornMs: 1,
        client,
        timer,
        log: () => {},
        nextFencingToken: () => ++token,
        mayRenew: () => true,
        isLeaseWithheld: () => false,
        leaseMs: () => 8_000,
        maxLeaseMs: 8_000,
        longestLeaseMs: 10_000,
        earlierLeasesExpireAtMs: 0,
        listener,
    });
    const setBusy = (value: boolean): void => {
        busy = value;
        session.resumePolling();
    };
    const setUnconfirmedStarts = (value: boolean): void => {
        hasUnconfirmedStarts = value;
        session.resumePolling();
    };
    return { timer, holds, worker, session, restarts, setBusy, setUnconfirmedStarts };
};

describe("an answer to an order whose reading of the clock is too low for the worker's incarnation", () => {
    it("is followed by a poll that carries no lease of that incarnation and shows which one answers", async () => {
        const { timer, holds, worker, session, restarts, setBusy } = createSession();
        await timer.advance(2_500);
        assert.isDefined(holds.at(-1)?.untilClockMs);
        setBusy(false);
        await timer.advance(idleMs);
        worker.clockOffsetMs = -timer.nowMs();
        worker.bornMs = 2;
        const sentAtMs = timer.nowMs();
        const before = holds.length;
        await timer.advance(10);
        setBusy(true);
        session.recordAnswer(timer.nowMs() + worker.clockOffsetMs, sentAtMs);
        await timer.advance(10);
        assert.isFalse(session.isSynced());
        assert.isUndefined(holds[before].untilClockMs);
        assert.equal(holds[before].acknowledged, 0);
        assert.equal(restarts[0], 2);
    });

    it("does not cost the session of a worker whose clock stood still", async () => {
        const { timer, worker, session, restarts, setBusy } = createSession();
        await timer.advance(2_500);
        setBusy(false);
        await timer.advance(idleMs);
        worker.clockOffsetMs -= 5_000;
        const sentAtMs = timer.nowMs();
        await timer.advance(10);
        setBusy(true);
        session.recordAnswer(timer.nowMs() + worker.clockOffsetMs, sentAtMs);
        assert.isFalse(session.isSynced());
        await timer.advance(10);
        assert.isTrue(session.isSynced());
        assert.deepEqual(restarts, []);
    });
});

describe("an answer that a slow clock or a late arrival explains", () => {
    it("leaves the session in sync", async () => {
        const { timer, worker, session, setBusy } = createSession();
        await timer.advance(2_500);
        setBusy(false);
        await timer.advance(idleMs);
        const slowClockMs = 2_500 + idleMs * 0.981 + worker.clockOffsetMs;
        session.recordAnswer(Math.floor(slowClockMs), timer.nowMs());
        assert.isTrue(session.isSynced());
        session.recordAnswer(2_000 + worker.clockOffsetMs, 1_900);
        assert.isTrue(session.isSynced());
    });
});

describe("the acknowledgement of ended runs", () => {
    // guards against the next incarnation of a worker, which numbers its ended runs anew and forgets those up to the number
    it("is sent until a poll with it was answered, and not after", async () => {
        const { timer, holds, session } = createSession();
        await timer.advance(2_500);
        const before = holds.length;
        session.acknowledge(7);
        await timer.advance(5_000);
        const sent = holds.slice(before).map(({ acknowledged }) => acknowledged);
        assert.equal(sent[0], 7);
        assert.isAbove(sent.length, 2);
        assert.deepEqual(new Set(sent.slice(1)), new Set([0]));
    });

    // guards against starts that wait for the end of a long poll, which keeps its acknowledgement in force
    it("does not wait for a run to end", async () => {
        const { timer, holds, session } = createSession();
        await timer.advance(2_500);
        session.acknowledge(7);
        await timer.advance(2_000);
        assert.deepEqual(holds.filter(({ acknowledged }) => acknowledged > 0).map(({ waitMs }) => waitMs), [undefined]);
    });

    it("is held back while a start waits or is unanswered", async () => {
        const { timer, holds, session } = createSession();
        await timer.advance(2_500);
        const endStarts = [session.recordStart(), session.recordStart()];
        session.acknowledge(7);
        await timer.advance(2_000);
        endStarts[0]();
        await timer.advance(2_000);
        assert.isTrue(holds.every(({ acknowledged }) => acknowledged === 0));
        endStarts[1]();
        await timer.advance(1);
        assert.equal(holds.at(-1)?.acknowledged, 7);
    });

    it("is held back while a start may have reached the next incarnation", async () => {
        const { timer, holds, session, setUnconfirmedStarts } = createSession();
        await timer.advance(2_500);
        setUnconfirmedStarts(true);
        session.acknowledge(7);
        await timer.advance(2_000);
        assert.isTrue(holds.every(({ acknowledged }) => acknowledged === 0));
        setUnconfirmedStarts(false);
        await timer.advance(1);
        assert.equal(holds.at(-1)?.acknowledged, 7);
    });

    it("keeps starts back until it is answered", async () => {
        const { timer, holds, session } = createSession();
        await timer.advance(2_500);
        session.acknowledge(7);
        while (holds.at(-1)?.acknowledged !== 7) {
            await timer.advance(1);
        }
        let isAnswered = false;
        void session.pendingAcknowledgement()?.then(() => {
            isAnswered = true;
        });
        await timer.advance(answerMs - 1);
        assert.isFalse(isAnswered);
        await timer.advance(1);
        assert.isTrue(isAnswered);
        assert.isUndefined(session.pendingAcknowledgement());
    });

    it("has later orders carry a higher token when it gets no answer", async () => {
        const { timer, holds, worker, session } = createSession();
        await timer.advance(2_500);
        const before = session.fencingToken;
        worker.isSilent = true;
        session.acknowledge(7);
        await timer.advance(longPollMs + noAnswerMs);
        worker.isSilent = false;
        assert.isAbove(session.fencingToken, before);
        await timer.advance(2_000);
        const sent = holds.filter(({ acknowledged }) => acknowledged === 7).map(({ fencingToken }) => fencingToken);
        assert.deepEqual(sent, [before, session.fencingToken]);
        assert.equal(holds.at(-1)?.fencingToken, session.fencingToken);
    });
});

describe("a reading of the worker's clock in an answer", () => {
    it("is known to come from this incarnation only if the next one's clock cannot be as far", async () => {
        const { timer, session } = createSession();
        await timer.advance(2_500);
        assert.isTrue(session.isOwnClock(100_000));
        assert.isFalse(session.isOwnClock(1_000));
        assert.isFalse(session.isOwnClock(15_000), "this VM may have been suspended");
    });
});
