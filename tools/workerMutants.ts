import type { Mutant } from "./mutants.js";

/** Mechanisms of the sessions with workers: incarnations of a worker, leases, fences and acknowledgements. */
export const workerMutants: readonly Mutant[] = [
    {
        without: "learning from a worker's clock that another incarnation of it answers",
        file: "execution/workerLease.js",
        find: "clock === undefined || sentAtMs < clock.atMs",
        replace: "true",
        tests: "test/session",
        fails: "is followed by a poll that carries no lease of that incarnation",
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
        without: "taking a list of ends that may go on for incomplete",
        file: "execution/reportHandler.js",
        find: "&& report.endsComplete",
        replace: "",
        tests: "listedEnds",
        fails: "has all of them recorded, and none of the tasks runs again",
    },
    {
        without: "handing the fences of a worker's incarnation to the session of the next",
        file: "execution/sessionLifecycle.js",
        find: "successor.fenceRun(task, run)",
        replace: "undefined",
        tests: "workerRestarts",
        fails: "does not start a run of its earlier incarnation",
    },
    {
        without: "fencing given up runs on the next incarnation of a worker",
        file: "execution/sessionLifecycle.js",
        find: "context.unansweredStarts.givenUpOn(id)",
        replace: "[]",
        tests: "cancelledJobs",
        fails: "starts nothing on the worker's next incarnation",
    },
    {
        without: "inheriting the bounds on leases that earlier planners published",
        file: "execution/leaseBounds.js",
        find: "byWorker.get(id) ?? othersMs",
        replace: "options.maxMs",
        tests: "leaseBounds",
        fails: "although the planner is killed every",
    },
    {
        without: "withholding the lease of a worker that successors were told of",
        file: "execution/leaseBounds.js",
        find: "published.some(bounds => covers(bounds, id))",
        replace: "false",
        tests: "leaseBounds",
        fails: "is not renewed once successors were told that it is not",
    },
    {
        without: "waiting for what a planner without a confirmed term may still renew",
        file: "execution/leasePublication.js",
        find: "hasEnded ? Math.min(sinceObservedMs, renewalWindowMs) : renewalWindowMs",
        replace: "0",
        tests: "leaseBounds",
        fails: "is not given up while its lease lasts",
    },
];
