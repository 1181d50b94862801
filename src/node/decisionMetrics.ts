/** Metrics of the decisions under load and failure. */
import { Counter, Gauge } from "prom-client";
import type { Registry } from "prom-client";
import type { EntryMetrics } from "./entryMetrics.js";

/** Creates the metrics of the gate that refuses submissions while the table is unavailable. */
export const createGateMetrics = (
    registers: Registry[],
): Pick<EntryMetrics, "recordUnsentSubmission" | "setSubmissionGateClosed"> => {
    const unsentSubmissions = new Counter({
        name: "catkinswitch_unsent_submissions_total",
        help: "Submissions refused without being sent, as the table answered no operation, by priority.",
        labelNames: ["priority"],
        registers,
    });
    const submissionGate = new Gauge({
        name: "catkinswitch_submission_gate_closed",
        help: "1 while submissions are refused without being sent, as the table answers no operation.",
        registers,
    });
    return {
        recordUnsentSubmission: priority => unsentSubmissions.inc({ priority }),
        setSubmissionGateClosed: isClosed => submissionGate.set(isClosed ? 1 : 0),
    };
};

/** Creates the counters of decisions that keep gangs and other runs from being lost. */
export const createGangCounters = (
    registers: Registry[],
): Pick<EntryMetrics, "recordRepeatedStart" | "recordDepartureMove" | "setWorkersAtRisk"> => {
    const repeatedStarts = new Counter({
        name: "catkinswitch_repeated_starts_total",
        help: "Start orders of gang members that were sent again, by outcome; only on the planner.",
        labelNames: ["outcome"],
        registers,
    });
    const departureMoves = new Counter({
        name: "catkinswitch_departure_moves_total",
        help: "Runs and gangs moved from workers that are about to leave, by whether they resume; only on the planner.",
        labelNames: ["resumable"],
        registers,
    });
    const workersAtRisk = new Gauge({
        name: "catkinswitch_workers_at_risk",
        help: "Workers with a risk, by their recent history or their rack's; only on the planner.",
        registers,
    });
    return {
        setWorkersAtRisk: count => workersAtRisk.set(count),
        recordRepeatedStart: outcome => repeatedStarts.inc({ outcome }),
        recordDepartureMove: resumable => departureMoves.inc({ resumable: String(resumable) }),
    };
};

/** Creates the gauges of what a planner has found out about its work and its workers. */
export const createFleetMetrics = (
    registers: Registry[],
): Pick<EntryMetrics, "setPostponedJobs" | "setSlowWorkers"> => {
    const postponed = new Gauge({
        name: "catkinswitch_postponed_jobs",
        help: "Jobs placed after others since not all can be completed in time, by priority; only on the planner.",
        labelNames: ["priority"],
        registers,
    });
    const slowWorkers = new Gauge({
        name: "catkinswitch_slow_workers",
        help: "Workers that are taken for slow compared with the others; only on the planner.",
        registers,
    });
    return {
        setPostponedJobs: (priority, count) => postponed.set({ priority }, count),
        setSlowWorkers: count => slowWorkers.set(count),
    };
};
