import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { createClientMetrics } from "./clientMetrics.js";
import type { ClientMetrics } from "./clientMetrics.js";
import { createFleetMetrics, createGangCounters, createGateMetrics } from "./decisionMetrics.js";

/** Prometheus metrics of an entry VM. */
export interface EntryMetrics extends ClientMetrics {
    /** Records an answered request of a caller. */
    recordRequest(method: string, status: number, durationMs: number): void;
    /** Counts a refused request; `reason` becomes a label, so it is one of a few fixed texts. */
    recordRefusal(reason: string): void;
    /** Counts an answer that came later than its caller waits. */
    recordLateAnswer(method: string): void;
    /** Counts a connection that was closed before the answer to its request was complete. */
    recordBrokenAnswer(closedBy: string): void;
    /** Counts a caller's connection that was accepted after the stop of the process had begun. */
    recordConnectionWhileStopping(): void;
    /** Sets the function that counts the requests in progress, called when metrics are read. */
    watchOpenRequests(count: () => number): void;
    /** Records a completed call to the platform's table. */
    recordTableCall(operation: string, outcome: string, durationMs: number): void;
    /** Counts a submission that was refused without being sent, as the table answers no operation. */
    recordUnsentSubmission(priority: number): void;
    /** Sets whether submissions are refused without being sent. */
    setSubmissionGateClosed(isClosed: boolean): void;
    /** Records a completed order to a worker. */
    recordOrder(kind: string, outcome: string, durationMs: number): void;
    /** Records the start of a run, `waitMs` after its tasks could start. */
    recordStart(priority: number, waitMs: number): void;
    /** Counts a start order of a gang member that was sent again, by the outcome of that. */
    recordRepeatedStart(outcome: string): void;
    /** Counts a run, or a gang as one, that was moved from a worker that is about to leave. */
    recordDepartureMove(resumable: boolean): void;
    /** Sets the number of workers with a risk, by their recent history or their rack's. */
    setWorkersAtRisk(count: number): void;
    /** Records the end of a job, `durationMs` after its acceptance. */
    recordJobEnd(phase: string, priority: number, durationMs: number): void;
    /** Counts a term that this VM gained or lost as the planner. */
    recordTermChange(change: "gained" | "lost"): void;
    /** Sets the number of tasks of a priority that wait to be placed. */
    setWaitingTasks(priority: number, count: number): void;
    /** Sets the number of jobs of a priority that are postponed since not all waiting work can be completed in time. */
    setPostponedJobs(priority: number, count: number): void;
    /** Sets the number of runs that have been in a phase for longer than recording and ordering take. */
    setOverdueRuns(phase: string, count: number): void;
    /** Sets the number of workers that are taken for slow. */
    setSlowWorkers(count: number): void;
    /** Counts a unit that waits although there is room for it, once for each log line; `reason` becomes a label. */
    recordUnplaced(reason: string): void;
    /** Records the time that a planning round took. */
    recordPlanningRound(durationMs: number): void;
    /** Returns all metrics in the Prometheus text format. */
    render(): Promise<string>;
}

/** Upper bounds of histogram buckets for calls, in seconds: the table answers in 4 ms, timeouts are about 1 s. */
const callBucketsS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5];
/** Upper bounds of histogram buckets for waits and jobs, in seconds: from an urgent start to a job of many minutes. */
const jobBucketsS = [0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300, 1_800];
const msPerSecond = 1_000;

/** Creates the metrics in a new registry. */
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
    const lateAnswers = new Counter({
        name: "catkinswitch_late_answers_total",
        help: "Answers that came later than the caller waits, by method.",
        labelNames: ["method"],
        registers,
    });
    const brokenAnswers = new Counter({
        name: "catkinswitch_broken_answers_total",
        help: "Connections closed before the answer to their request was complete, by who closed them.",
        labelNames: ["closed_by"],
        registers,
    });
    const connectionsWhileStopping = new Counter({
        name: "catkinswitch_stopping_connections_total",
        help: "Callers' connections accepted after the stop of the process had begun.",
        registers,
    });
    let countOpenRequests = (): number => 0;
    new Gauge({
        name: "catkinswitch_open_requests",
        help: "Callers' requests in progress.",
        registers,
        collect() {
            this.set(countOpenRequests());
        },
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
    const overdueRuns = new Gauge({
        name: "catkinswitch_overdue_runs",
        help: "Runs that are neither started nor ended in the usual time, by phase; only on the planner.",
        labelNames: ["phase"],
        registers,
    });
    const unplaced = new Counter({
        name: "catkinswitch_unplaced_total",
        help: "Log lines about work that waits although there is room for it, by reason; only on the planner.",
        labelNames: ["reason"],
        registers,
    });
    const planningRounds = new Histogram({
        name: "catkinswitch_planning_round_seconds",
        help: "Time of a planning round; only on the planner.",
        buckets: callBucketsS,
        registers,
    });
    return {
        recordRequest: (method, status, durationMs) => requests.observe({ method, status }, durationMs / msPerSecond),
        recordRefusal: reason => refusals.inc({ reason }),
        recordLateAnswer: method => lateAnswers.inc({ method }),
        recordBrokenAnswer: closedBy => brokenAnswers.inc({ closed_by: closedBy }),
        ...createClientMetrics(registers),
        recordConnectionWhileStopping: () => connectionsWhileStopping.inc(),
        watchOpenRequests: count => {
            countOpenRequests = count;
        },
        recordTableCall: (operation, outcome, durationMs) =>
            tableCalls.observe({ operation, outcome }, durationMs / msPerSecond),
        ...createGateMetrics(registers),
        recordOrder: (kind, outcome, durationMs) => orders.observe({ kind, outcome }, durationMs / msPerSecond),
        recordStart: (priority, waitMs) => starts.observe({ priority }, waitMs / msPerSecond),
        ...createGangCounters(registers),
        recordJobEnd: (phase, priority, durationMs) => jobs.observe({ phase, priority }, durationMs / msPerSecond),
        recordTermChange: change => terms.inc({ change }),
        setWaitingTasks: (priority, count) => waiting.set({ priority }, count),
        setOverdueRuns: (phase, count) => overdueRuns.set({ phase }, count),
        ...createFleetMetrics(registers),
        recordUnplaced: reason => unplaced.inc({ reason }),
        recordPlanningRound: durationMs => planningRounds.observe(durationMs / msPerSecond),
        render: () => registry.metrics(),
    };
};
