/** Mutants of what bounds the clients of an entry VM. */
import type { Mutant } from "./mutants.js";

/** Mechanisms that refuse or slow down clients that take too much. */
export const clientMutants: readonly Mutant[] = [
    {
        without: "the budget of bodies in progress",
        file: "utils/bodyBudget.js",
        find: "if (neededBytes <= 0)",
        replace: "if (true)",
        tests: "clientLimits",
        fails: "refuses a new body, and no other, when bodies that have arrived hold the budget",
    },
    {
        without: "refusing stalled bodies before others",
        file: "utils/shedding.js",
        find: "(1 + stalledMsOf(right, nowMs))",
        replace: "0",
        tests: "clientLimits",
        fails: "spares a body that makes progress while others are stalled",
    },
    {
        without: "the time limit of a body",
        file: "utils/requestIntake.js",
        find: "bodies.refuseExpired();",
        replace: "",
        tests: "clientLimits",
        fails: "answers a complete request although a later one on its connection is refused",
    },
    {
        without: "refusing a body over the limit before its end",
        file: "utils/readBody.js",
        find: "sizeBytes + chunk.length > maxBodyBytes",
        replace: "false",
        tests: "clientLimits",
        fails: "answers a body over the limit before its end (transfer-encoding: chunked)",
    },
    {
        without: "the bound on connections",
        file: "utils/connectionLimit.js",
        find: "if (connections.size >= maxConnections)",
        replace: "if (false)",
        tests: "uncontrolledClients",
        fails: "idle connections on the callers' address",
    },
    {
        without: "keeping connections with a complete request",
        file: "utils/shedding.js",
        find: "case ConnectionUse.Handling:\n            return undefined;",
        replace: "case ConnectionUse.Handling:\n            return 0;",
        tests: "clientLimits",
        fails: "closes an idle connection for a new one",
    },
    {
        without: "pacing bodies in very small chunks",
        file: "utils/chunkPacer.js",
        find: "if (allowance < 0 && count.total > freeChunkCount && !paused.has(body))",
        replace: "if (false)",
        tests: "clientLimits",
        fails: "lets bodies in very small chunks wait for each other",
    },
    {
        without: "the bound on what is read in a turn of the event loop",
        file: "utils/readTurns.js",
        find: "chunksInTurn > maxChunksPerTurn && endRest === undefined",
        replace: "false",
        tests: "readTurns",
        fails: "do not read a crowd that is ready at once in one turn",
    },
    {
        without: "reading ordinary connections first after a rest",
        file: "utils/readTurns.js",
        find: "inOrder().forEach(",
        replace: "[...entries.values()].filter(entry => entry.isRead).forEach(",
        tests: "readTurns",
        fails: "reads the newest connections of each kind first after a rest",
    },
];
