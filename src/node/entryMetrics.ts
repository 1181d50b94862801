import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** What an entry VM counts and measures. */
export interface EntryMetrics {
    /** A caller's request was answered. */
    noteRequest(method: string, status: number, durationMs: number): void;
    /** A request was refused; `reason` is one of a few fixed texts. */
    noteRefusal(reason: string): void;
    /** A call to the platform's table ended. */
    noteTableCall(operation: string, outcome: string, durationMs: number): void;
    /** An order to a worker ended. */
    noteOrder(kind: string, outcome: string, durationMs: number): void;
    /** A run was started `waitMs` after its tasks could start. */
    noteStart(priority: number, waitMs: number): void;
    /** A job ended `durationMs` after its acceptance. */
    noteJobEnd(phase: string, priority: number, durationMs: number): void;
    /** The term was gained or lost. */
    noteTerm(change: "gained" | "lost"): void;
    /** Work that waits for a place, by priority. */
    setWaiting(priority: number, count: number): void;
    /** All figures as text for scrapers. */
    render(): Promise<string>;
}

/** Bounds of the buckets of short calls, in seconds: the table answers in 4 ms, time-outs are about a second. */
const callBucketsS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5];
/** Bounds of the buckets of waits and completions, in seconds: from an urgent start to a job of many minutes. */
const jobBucketsS = [0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300, 1_800];
const msPerSecond = 1_000;

/** Creates metrics without entries. */
export const createEntryMetrics = (): EntryMetrics => {
    const registry = new Registry();
    const registers = [registry];
    const requests = new Histogram({
        name: "catkinswitch_request_seconds",
        help: "Time from reading a caller's request to its answer.",
        labelNames: ["method", "status"],
        buckets: callBucketsS,
        registers,
    });
    const refusals = new Counter({
        name: "catkinswitch_refusals_total",
        help: "Requests that were refused, by reason.",
        labelNames: ["reason"],
        registers,
    });
    const tableCalls = new Histogram({
        name: "catkinswitch_table_call_seconds",
        help: "Time of a call to the platform's table, by operation and outcome.",
        labelNames: ["operation", "outcome"],
        buckets: callBucketsS,
        registers,
    });
    const orders = new Histogram({
        name: "catkinswitch_order_seconds",
        help: "Time of an order to a worker, by kind and outcome.",
        labelNames: ["kind", "outcome"],
        buckets: callBucketsS,
        registers,
    });
    const starts = new Histogram({
        name: "catkinswitch_start_wait_seconds",
        help: "Time from when a step could start to the order to start it, by priority.",
        labelNames: ["priority"],
        buckets: jobBucketsS,
        registers,
    });
    const jobs = new Histogram({
        name: "catkinswitch_job_seconds",
        help: "Time from the acceptance of a job to its end, by phase and priority.",
        labelNames: ["phase", "priority"],
        buckets: jobBucketsS,
        registers,
    });
    const terms = new Counter({
        name: "catkinswitch_term_changes_total",
        help: "Times that this VM gained or lost the planner's term.",
        labelNames: ["change"],
        registers,
    });
    const waiting = new Gauge({
        name: "catkinswitch_waiting_tasks",
        help: "Tasks that wait for a place, by priority; only on the planner.",
        labelNames: ["priority"],
        registers,
    });
    return {
        noteRequest: (method, status, durationMs) => requests.observe({ method, status }, durationMs / msPerSecond),
        noteRefusal: reason => refusals.inc({ reason }),
        noteTableCall: (operation, outcome, durationMs) =>
            tableCalls.observe({ operation, outcome }, durationMs / msPerSecond),
        noteOrder: (kind, outcome, durationMs) => orders.observe({ kind, outcome }, durationMs / msPerSecond),
        noteStart: (priority, waitMs) => starts.observe({ priority }, waitMs / msPerSecond),
        noteJobEnd: (phase, priority, durationMs) => jobs.observe({ phase, priority }, durationMs / msPerSecond),
        noteTerm: change => terms.inc({ change }),
        setWaiting: (priority, count) => waiting.set({ priority }, count),
        render: () => registry.metrics(),
    };
};
