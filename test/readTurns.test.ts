import { assert } from "chai";
import type { Server } from "node:http";
import type { PacedBody } from "../src/utils/chunkPacer.js";
import { createJsonServer, listen } from "../src/utils/http.js";
import { createReadTurns } from "../src/utils/readTurns.js";
import { createRequestIntake, defaultIntakeLimits } from "../src/utils/requestIntake.js";
import type { RequestIntake } from "../src/utils/requestIntake.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { formatRequest, openCallerConnection } from "./fixtures/callerConnection.js";
import type { CallerConnection } from "./fixtures/callerConnection.js";

const crowdSize = 30;
/** Fits into the buffers of a connection, and takes more than a turn of the event loop may. */
const smallChunks = "POST /crowd HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
    + "1\r\n1\r\n".repeat(5_000);

/** What a server reads of the bodies that it receives. */
interface ReadCounts {
    /** The largest number of bodies that were read in one turn of the event loop. */
    maxBodiesInTurn: number;
    bodies: Set<PacedBody>;
}

/** Adds counts to an intake. */
const countReads = (intake: RequestIntake): { counted: RequestIntake; counts: ReadCounts; } => {
    const counts: ReadCounts = { maxBodiesInTurn: 0, bodies: new Set() };
    const inTurn = new Set<PacedBody>();
    const record: RequestIntake["chunks"]["record"] = (body, bytes) => {
        if (inTurn.size === 0) {
            setImmediate(() => inTurn.clear());
        }
        inTurn.add(body);
        counts.maxBodiesInTurn = Math.max(counts.maxBodiesInTurn, inTurn.size);
        counts.bodies.add(body);
        intake.chunks.record(body, bytes);
    };
    return { counted: { ...intake, chunks: { ...intake.chunks, record } }, counts };
};

const nextTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

describe("the bound on what is read in a turn of the event loop", () => {
    const timer = createVirtualTimer();
    let events: string[];

    const createTurns = () =>
        createReadTurns<string>({
            timer,
            maxChunksPerTurn: 1_000,
            pause: name => events.push(`pause ${name}`),
            resume: name => events.push(`resume ${name}`),
        });

    beforeEach(() => {
        events = [];
    });

    // guards against ordinary callers who wait behind those who take most
    it("reads the newest connections of each kind first after a rest, and those with most chunks last", async () => {
        const turns = createTurns();
        ["most", "more", "answered", "older", "newer"].forEach(name => turns.add(name, "callers"));
        turns.add("check", "readiness");
        turns.recordAnswer("answered");
        turns.recordChunks("more", 400);
        turns.recordChunks("most", 700);
        assert.sameMembers(
            events.splice(0),
            ["most", "more", "answered", "older", "newer", "check"].map(name => `pause ${name}`),
        );
        await timer.advance(60);
        assert.deepEqual(events.slice(3), ["older", "more", "most"].map(name => `resume ${name}`));
        assert.sameMembers(events.slice(0, 3), ["newer", "answered", "check"].map(name => `resume ${name}`));
    });

    // guards against refused connections that are read on after a rest, and new ones that are read during it
    it("leaves a connection paused that is not to be read, and pauses a new one until the rest ends", async () => {
        const turns = createTurns();
        ["large", "refused"].forEach(name => turns.add(name, "callers"));
        turns.recordChunks("large", 2_000);
        turns.pause("refused");
        turns.add("new", "callers");
        assert.equal(events.at(-1), "pause new");
        turns.resume("new");
        assert.equal(events.at(-1), "pause new");
        events = [];
        await timer.advance(60);
        assert.deepEqual(events, ["resume new", "resume large"]);
    });

    // guards against stops that reset connections whose requests have arrived
    it("ends a rest when a stop reads what has arrived", async () => {
        const turns = createTurns();
        turns.add("large", "callers");
        turns.recordChunks("large", 2_000);
        events = [];
        await turns.readArrived();
        assert.deepEqual(events, ["resume large"]);
    });
});

describe("turns of the event loop beside many bodies in very small chunks", () => {
    const timer = createVirtualTimer();
    const connections: CallerConnection[] = [];
    let server: Server;
    let address: string;
    let counts: ReadCounts;

    const open = async (): Promise<CallerConnection> => {
        const connection = await openCallerConnection(address) as CallerConnection;
        connections.push(connection);
        return connection;
    };

    /** Opens connections that are accepted and idle. */
    const openAccepted = async (count: number): Promise<CallerConnection[]> => {
        const opened = await Promise.all(Array.from({ length: count }, open));
        await Promise.all(opened.map(connection => connection.request(formatRequest("GET", "/1"))));
        return opened;
    };

    /** Lets time pass until a condition holds or nothing is read any more. */
    const pass = async (isOver: () => boolean): Promise<void> => {
        for (let turn = 0; turn < 2_000 && !isOver(); turn++) {
            await nextTurn();
            await timer.advance(10);
        }
    };

    beforeEach(async () => {
        const { counted, counts: readCounts } = countReads(createRequestIntake({ limits: defaultIntakeLimits, timer }));
        counts = readCounts;
        server = createJsonServer(async () => ({ status: 200, body: {} }), { intake: counted });
        address = `127.0.0.1:${await listen(server, "127.0.0.1", 0)}`;
    });

    afterEach(() => {
        connections.splice(0).forEach(connection => connection.destroy());
        server.closeAllConnections();
        server.close();
    });

    // guards against an event loop that reads a whole crowd before it turns to timers and other callers
    it("do not read a crowd that is ready at once in one turn, and read all of it in the end", async () => {
        const crowd = await openAccepted(crowdSize);
        crowd.forEach(connection => void connection.send(smallChunks));
        await pass(() => counts.bodies.size === crowdSize);
        assert.equal(counts.bodies.size, crowdSize);
        assert.isAtMost(counts.maxBodiesInTurn, 2);
    });

    // guards against an ordinary caller who waits behind the crowd
    it("answer an ordinary request on a new connection before most of the crowd is read", async () => {
        const crowd = await openAccepted(crowdSize);
        crowd.forEach(connection => void connection.send(smallChunks));
        const answering = open().then(connection => connection.request(formatRequest("GET", "/2")));
        let isAnswered = false;
        void answering.then(() => {
            isAnswered = true;
        });
        await pass(() => isAnswered);
        assert.deepInclude(await answering, { status: 200 });
        assert.isBelow(counts.bodies.size, crowdSize / 2);
    });
});
