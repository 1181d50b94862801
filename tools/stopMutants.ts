/** Mutants of what an entry VM does around signals, stops and closing connections. */
import type { Mutant } from "./mutants.js";

/** Mechanisms of starts, stops and reloads, and of the HTTP server that they close. */
export const stopMutants: readonly Mutant[] = [
    {
        without: "answering open requests before the process exits",
        file: "node/gracefulStop.js",
        find: "openRequests.interrupt(options.interruptedAnswer);",
        replace: "",
        tests: "gracefulStop",
        fails: "answers open requests by what may have happened",
    },
    {
        without: "reading what has arrived before a server closes",
        file: "utils/http.js",
        find: "await acceptBacklog(server);",
        replace: "",
        tests: "http.test",
        fails: "answers a request that arrived on an idle connection",
    },
    {
        without: "reading the settings again after a signal during the start",
        file: "../platform/signals.js",
        find: "if (isReloadPending)",
        replace: "if (false)",
        tests: "platformProcesses",
        fails: "read the settings again after a SIGHUP that arrived while they were starting",
    },
    {
        without: "answering pipelined requests while connections are being closed",
        file: "utils/http.js",
        find: "newestResponses.get(response.req.socket) === response",
        replace: "true",
        tests: "http.test",
        fails: "sent without waiting for the previous answer",
    },
    {
        without: "reading changed settings one after the other",
        file: "../platform/entryProcess.js",
        find: "reloading = reloading.then(reloadSettings);",
        replace: "void reloadSettings();",
        tests: "platformProcesses",
        fails: "keep the newest settings when SIGHUP arrives again",
    },
    {
        without: "reading what has arrived before an idle connection is closed",
        file: "utils/http.js",
        find: "server.on(\"timeout\", socket => void closeInactive(socket));",
        replace: "",
        tests: "http.test",
        fails: "answers a request that arrived on an idle connection before it times out",
    },
];
