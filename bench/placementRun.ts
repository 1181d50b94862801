/** Replays a workload in virtual time, with the planner's own code for the input of each round. */
import TinyQueue from "tinyqueue";
import { allocateGuarantees, reconcileReservations, updateReservations } from "../src/execution/guarantees.js";
import type { GuaranteeAllocations } from "../src/execution/guarantees.js";
import { isResumable } from "../src/execution/isResumable.js";
import { collectCandidates, collectOccupants, collectUrgentUse, collectWorkers } from "../src/execution/roundInput.js";
import { activeRuns, RunPhase } from "../src/jobs/progress.js";
import type { JobState } from "../src/jobs/progress.js";
import { fitsEmptyFleet } from "../src/planning/emptyFleet.js";
import { noReservations } from "../src/planning/reservations.js";
import type { Candidate, PreemptionClaim, Round } from "../src/planning/types.js";
import { createUrgentDemand } from "../src/planning/urgentDemand.js";
import { createRandom } from "../src/utils/random.js";
import type { TimerService } from "../src/utils/timer.js";
import type { Policy } from "./baselines.js";
import { acceleratorsOf, createMeter } from "./meter.js";
import { createSimulatedPlanner } from "./simulatedPlanner.js";
import type { JobOutcome, RunResult } from "./types.js";
import type { Arrival, Workload, WorkloadEvent } from "./workload.js";

interface RunningJob {
    arrival: Arrival;
    job: JobState;
    startedAtMs: number;
    /** It was ordered to stop and still occupies its workers. */
    leaving: boolean;
}

interface TimedEvent {
    atMs: number;
    run: () => void;
}

/** Time from a change to the planning round that it requests. */
const planningDelayMs = 100;
/** Time from a placement to the start of its run. */
const startDelayMs = 150;
/** Time to stop a run. */
const stopMs = 500;
/** Time to stop a run that ignores the request to checkpoint. */
const ignoredCheckpointStopMs = 1_200;
/** Extra run time of every run of a job but its first. */
const restartCostMs = 15_000;
/** Time until a run on a broken worker fails. */
const failureDelayMs = 20_000;
/** Time after a failure during which a job must not run on the worker again. */
const mustAvoidMs = 2_000;
/** Interval of rounds while work waits and nothing changes. */
const roundIntervalMs = 60_000;

/** Replays one workload under one policy; the seed selects the jobs that are cancelled. */
export const replay = (workload: Workload, policy: Policy, seed: number): RunResult => {
    const random = createRandom(seed + 1);
    const eventQueue = new TinyQueue<TimedEvent>([], (left, right) => left.atMs - right.atMs);
    const schedule = (atMs: number, run: () => void): void => eventQueue.push({ atMs, run });
    let nowMs = 0;
    const timer: TimerService = {
        nowMs: () => nowMs,
        wallClockMs: () => nowMs,
        every: () => () => {},
        after: () => () => {},
        sleep: async () => {},
    };
    const planner = createSimulatedPlanner(workload.workers, workload.snapshot, timer);
    const holders = new Set(
        workload.snapshot.statements.flatMap(({ guarantee, customer }) => guarantee && customer ? [customer] : []),
    );
    const urgentDemand = createUrgentDemand();
    const arrivals = new Map<string, Arrival>();
    const savedProgressMs = new Map<string, number>();
    const running = new Map<string, RunningJob>();
    const outcomes = new Map<string, JobOutcome>();
    const brokenWorkers = new Set<string>();
    const guaranteedSinceMs = new Map<string, number>();
    const seenCandidates = new Set<string>();
    const roundStats = { rounds: 0, planMs: 0, slowestRoundMs: 0 };
    let reservationState = noReservations;
    let claims: PreemptionClaim[] = [];
    let waiting: readonly Candidate[] = [];
    let roundScheduled = false;
    let idleRoundScheduled = false;
    let openJobs = 0;
    let revision = 0;

    const currentWorkers = () => collectWorkers(planner);
    const meter = createMeter(workload, {
        planner,
        running,
        workers: currentWorkers,
        waiting: () => waiting,
        revision: () => revision,
    });

    const requestRound = (): void => {
        if (!roundScheduled) {
            roundScheduled = true;
            schedule(nowMs + planningDelayMs, runRound);
        }
    };

    const releaseWorkers = ({ job }: RunningJob): void => {
        revision += 1;
        running.delete(job.submission.id);
        planner.clearRuns(job);
        requestRound();
    };

    const removeJob = (id: string): void => {
        planner.removeJob(id);
        openJobs -= 1;
    };

    const completeJob = (entry: RunningJob): void => {
        const { id } = entry.job.submission;
        if (running.get(id) !== entry || entry.leaving) {
            return;
        }
        planner.workersOf(entry.job).forEach(planner.health.recordSuccess);
        releaseWorkers(entry);
        removeJob(id);
        const outcome = outcomes.get(id);
        if (outcome !== undefined) {
            outcome.completionMs = nowMs - entry.arrival.atMs;
        }
    };

    const failRun = (entry: RunningJob): void => {
        const { id } = entry.job.submission;
        if (running.get(id) !== entry) {
            return;
        }
        const workers = planner.workersOf(entry.job).filter(worker => brokenWorkers.has(worker));
        for (const unit of entry.job.units.values()) {
            workers.forEach(worker => unit.avoidedWorkers.add(worker));
            unit.mustAvoidUntilMs = nowMs + mustAvoidMs;
        }
        workers.forEach(worker => planner.health.recordFailure(worker, id));
        releaseWorkers(entry);
        meter.recordLostWork(nowMs, failureDelayMs * acceleratorsOf(entry.job));
    };

    const stopRun = (id: string): void => {
        const entry = running.get(id);
        if (entry === undefined || entry.leaving) {
            return;
        }
        entry.leaving = true;
        for (const unit of entry.job.units.values()) {
            unit.evictions += 1;
            unit.tasks.forEach(task => {
                if (task.run !== undefined) {
                    task.run.phase = RunPhase.Stopping;
                }
            });
        }
        const { ignoresCheckpoint } = entry.arrival;
        const hasCheckpoint = entry.job.submission.steps[0].checkpointing && !ignoresCheckpoint;
        schedule(nowMs + (ignoresCheckpoint ? ignoredCheckpointStopMs : stopMs), () => {
            const elapsedMs = Math.max(0, nowMs - entry.startedAtMs);
            savedProgressMs.set(id, hasCheckpoint ? (savedProgressMs.get(id) ?? 0) + elapsedMs : 0);
            meter.recordLostWork(nowMs, (hasCheckpoint ? 0 : elapsedMs) * acceleratorsOf(entry.job));
            releaseWorkers(entry);
        });
    };

    const startRun = ({ candidate, assignments }: Round["placements"][number]): void => {
        const { id } = candidate.job;
        const arrival = arrivals.get(id);
        const job = planner.jobs.get(id);
        const outcome = outcomes.get(id);
        if (arrival === undefined || job === undefined || outcome === undefined) {
            return;
        }
        const isRestart = outcome.waitMs !== undefined;
        const startedAtMs = nowMs + startDelayMs;
        outcome.waitMs ??= startedAtMs - arrival.atMs;
        const guaranteedAtMs = guaranteedSinceMs.get(id);
        outcome.guaranteeWaitMs ??= guaranteedAtMs === undefined ? undefined : startedAtMs - guaranteedAtMs;
        planner.run(job, assignments, arrival.ignoresCheckpoint ? "" : "saved");
        const entry: RunningJob = { arrival, job, startedAtMs, leaving: false };
        running.set(id, entry);
        if (assignments.some(({ workerId }) => brokenWorkers.has(workerId))) {
            schedule(startedAtMs + failureDelayMs, () => failRun(entry));
            return;
        }
        const remainingMs = arrival.actualRunTimeMs - (savedProgressMs.get(id) ?? 0) + (isRestart ? restartCostMs : 0);
        schedule(startedAtMs + remainingMs, () => completeJob(entry));
    };

    /** A job is covered by a guarantee from its arrival, or from when its customer's earlier jobs no longer use it. */
    const recordGuaranteed = (guarantees: GuaranteeAllocations): void => {
        for (const { job: { id }, key } of waiting) {
            const job = planner.jobs.get(id);
            if (job === undefined || !guarantees.has(job)) {
                guaranteedSinceMs.delete(id);
            }
            else if (!guaranteedSinceMs.has(id)) {
                guaranteedSinceMs.set(id, seenCandidates.has(key) ? nowMs : arrivals.get(id)?.atMs ?? nowMs);
            }
            seenCandidates.add(key);
        }
    };

    const runRound = (): void => {
        roundScheduled = false;
        const workers = currentWorkers();
        const reservations = reconcileReservations(planner, workers, reservationState);
        const guarantees = allocateGuarantees(planner, reservations);
        reservationState = updateReservations(planner, workers, reservations, guarantees);
        waiting = collectCandidates(planner, guarantees);
        recordGuaranteed(guarantees);
        const occupants = () => collectOccupants(planner, guarantees);
        const urgentHeadroom = urgentDemand.expected(nowMs, collectUrgentUse(planner), workers);
        const startedMs = performance.now();
        const decisions = policy(
            { nowMs, workers, candidates: waiting, occupants, claims, urgentHeadroom },
            reservations,
            holders,
        );
        const durationMs = performance.now() - startedMs;
        roundStats.rounds += 1;
        roundStats.planMs += durationMs;
        roundStats.slowestRoundMs = Math.max(roundStats.slowestRoundMs, durationMs);
        claims = decisions.claims;
        revision += 1;
        decisions.evictions.forEach(({ occupant }) => stopRun(occupant.key.split(".")[0]));
        decisions.placements.forEach(startRun);
        const placed = new Set(decisions.placements.map(({ candidate }) => candidate.key));
        waiting = waiting.filter(candidate => !placed.has(candidate.key));
        if (waiting.length > 0 && !idleRoundScheduled) {
            idleRoundScheduled = true;
            schedule(nowMs + roundIntervalMs, () => {
                idleRoundScheduled = false;
                requestRound();
            });
        }
    };

    const cancelJobs = (share: number): void => {
        for (const id of [...planner.jobs.keys()].filter(() => random() < share)) {
            const entry = running.get(id);
            const outcome = outcomes.get(id);
            if (entry !== undefined) {
                releaseWorkers(entry);
            }
            if (outcome !== undefined) {
                outcome.cancelled = true;
            }
            removeJob(id);
        }
    };

    /** Stops resumable runs, under every policy, so that they continue in another zone. */
    const evacuateZone = (zone: string): void => {
        const workerIds = new Set(
            workload.workers.filter(worker => worker.availabilityZone === zone).map(({ name }) => name),
        );
        const canResume = (job: JobState): boolean =>
            activeRuns(job).every(({ task, run }) => isResumable(task, run, nowMs));
        for (const { job } of [...running.values()]) {
            if (canResume(job) && planner.workersOf(job).some(worker => workerIds.has(worker))) {
                stopRun(job.submission.id);
            }
        }
    };

    const applyEvent = (event: WorkloadEvent): void => {
        switch (event.kind) {
            case "zoneOut":
                planner.evacuatedZones.add(event.zone);
                evacuateZone(event.zone);
                break;
            case "zoneIn":
                planner.evacuatedZones.delete(event.zone);
                break;
            case "workerBreaks":
                brokenWorkers.add(event.worker);
                break;
            case "workerRepaired":
                brokenWorkers.delete(event.worker);
                break;
            case "massCancellation":
                cancelJobs(event.share);
        }
        requestRound();
    };

    const submitJob = (arrival: Arrival): void => {
        const { submission } = arrival;
        const rejected = !fitsEmptyFleet(submission.steps[0], workload.workers);
        outcomes.set(submission.id, {
            class: arrival.class,
            accelerators: submission.steps[0].taskCount * submission.steps[0].resources.accelerators,
            runTimeMs: arrival.actualRunTimeMs,
            rejected,
            cancelled: false,
            neverFits: arrival.neverFits,
        });
        if (!rejected) {
            openJobs += 1;
            arrivals.set(submission.id, arrival);
            planner.addJob(submission);
            requestRound();
        }
    };

    workload.arrivals.forEach(arrival => schedule(arrival.atMs, () => submitJob(arrival)));
    workload.events.forEach(event => schedule(event.atMs, () => applyEvent(event)));
    const maxSimulatedMs = workload.endMs * 4;
    for (let next = eventQueue.pop(); next !== undefined && next.atMs < maxSimulatedMs; next = eventQueue.pop()) {
        meter.recordInterval(nowMs, next.atMs);
        nowMs = next.atMs;
        next.run();
        if (openJobs === 0 && nowMs > workload.endMs) {
            break;
        }
    }
    return { jobs: [...outcomes.values()], ...meter.results(), ...roundStats };
};
