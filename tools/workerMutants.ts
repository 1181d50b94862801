import type { Mutant } from "./mutants.js";

/** Mechanisms of the sessions with workers: lives of a worker, leases, fences and acknowledgements. */
export const workerMutants: readonly Mutant[] = [
    {
        without: "learning from a worker's clock that another life of it answers",
        file: "execution/workerLease.js",
        find: "clock === undefined || sentAtMs < clock.atMs",
        replace: "true",
        tests: "test/session",
        fails: "is followed by a poll that carries no lease of that life",
    },
    {
        without: "sending an acknowledgement only until it is answered",
        file: "execution/endCursor.js",
        find: "acknowledged > confirmed ? acknowledged : 0",
        replace: "acknowledged",
        tests: "test/session",
        fails: "is sent until a poll with it was answered",
    },
    {
        without: "handing the fences of a worker's life to the session of the next",
        file: "execution/sessionLifecycle.js",
        find: "successor.fenceRun(task, run)",
        replace: "undefined",
        tests: "workerRestarts",
        fails: "does not start a run of its earlier life",
    },
];
