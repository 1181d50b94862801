/** Replays a workload through the planner's surveys and decisions on virtual time. */
import TinyQueue from "tinyqueue";
import { allocateGuarantees, reconcileReservations, updateReservations } from "../src/execution/guarantees.js";
import type { GuaranteeAllocations } from "../src/execution/guarantees.js";
import {
    collectCandidates,
    collectOccupants,
    collectWorkers,
    sumUrgentAccelerators,
} from "../src/execution/roundInput.js";
import { isResumable } from "../src/execution/savedProgress.js";
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
import { createPlanningWorld } from "./planningWorld.js";
import type { JobOutcome, RunResult } from "./types.js";
import type { Arrival, Workload, WorldEvent } from "./workload.js";

interface Running {
    arrival: Arrival;
    job: JobState;
    startedAtMs: number;
    leaving: boolean;
}

interface Timed {
    atMs: number;
    run: () => void;
}

const planDelayMs = 100;
const startDelayMs = 150;
/** Time to stop a run, and for one that saves no progress. */
const leaveMs = 500;
const stubbornLeaveMs = 1_200;
const restartMs = 15_000;
const failAfterMs = 20_000;
const avoidMs = 2_000;
/** Time between rounds without a change while work waits. */
const idleRoundMs = 60_000;

/** Replays one workload under one policy. */
export const replay = (workload: Workload, plan: Policy, seed: number): RunResult => {
    const random = createRandom(seed + 1);
    const agenda = new TinyQueue<Timed>([], (left, right) => left.atMs - right.atMs);
    const at = (atMs: number, run: () => void): void => agenda.push({ atMs, run });
    let nowMs = 0;
    const timer: TimerService = {
        nowMs: () => nowMs,
        wallClockMs: () => nowMs,
        every: () => () => {},
        after: () => () => {},
        sleep: async () => {},
    };
    const world = createPlanningWorld(workload.workers, workload.snapshot, timer);
    const holders = new Set(
        workload.snapshot.statements.flatMap(({ guarantee, customer }) => guarantee && customer ? [customer] : []),
    );
    const urgentDemand = createUrgentDemand();
    const arrivals = new Map<string, Arrival>();
    const progress = new Map<string, number>();
    const running = new Map<string, Running>();
    const outcomes = new Map<string, JobOutcome>();
    const broken = new Set<string>();
    const entitledSinceMs = new Map<string, number>();
    const seen = new Set<string>();
    const result = { rounds: 0, planMs: 0, slowestRoundMs: 0 };
    let places = noReservations;
    let claims: PreemptionClaim[] = [];
    let waiting: readonly Candidate[] = [];
    let planScheduled = false;
    let idleScheduled = false;
    let openJobs = 0;
    let revision = 0;

    const rooms = () => collectWorkers(world);
    const meter = createMeter(workload, { world, running, rooms, waiting: () => waiting, revision: () => revision });

    const requestPlan = (): void => {
        if (!planScheduled) {
            planScheduled = true;
            at(nowMs + planDelayMs, round);
        }
    };

    const release = ({ job }: Running): void => {
        revision += 1;
        running.delete(job.submission.id);
        world.clear(job);
        requestPlan();
    };

    const forget = (id: string): void => {
        world.removeJob(id);
        openJobs -= 1;
    };

    const complete = (entry: Running): void => {
        const { id } = entry.job.submission;
        if (running.get(id) !== entry || entry.leaving) {
            return;
        }
        world.workersOf(entry.job).forEach(world.health.recordSuccess);
        release(entry);
        forget(id);
        const outcome = outcomes.get(id);
        if (outcome !== undefined) {
            outcome.completionMs = nowMs - entry.arrival.atMs;
        }
    };

    const failRun = (entry: Running): void => {
        const { id } = entry.job.submission;
        if (running.get(id) !== entry) {
            return;
        }
        const workers = world.workersOf(entry.job).filter(worker => broken.has(worker));
        for (const unit of entry.job.units.values()) {
            workers.forEach(worker => unit.avoidedWorkers.add(worker));
            unit.mustAvoidUntilMs = nowMs + avoidMs;
        }
        workers.forEach(worker => world.health.recordFailure(worker, id));
        release(entry);
        meter.lose(nowMs, failAfterMs * acceleratorsOf(entry.job));
    };

    const evict = (id: string): void => {
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
        const saves = entry.job.submission.steps[0].checkpointing && !ignoresCheckpoint;
        at(nowMs + (ignoresCheckpoint ? stubbornLeaveMs : leaveMs), () => {
            const doneMs = Math.max(0, nowMs - entry.startedAtMs);
            progress.set(id, saves ? (progress.get(id) ?? 0) + doneMs : 0);
            meter.lose(nowMs, (saves ? 0 : doneMs) * acceleratorsOf(entry.job));
            release(entry);
        });
    };

    const start = ({ candidate, assignments }: Round["placements"][number]): void => {
        const { id } = candidate.job;
        const arrival = arrivals.get(id);
        const job = world.jobs.get(id);
        const outcome = outcomes.get(id);
        if (arrival === undefined || job === undefined || outcome === undefined) {
            return;
        }
        const isRestart = outcome.waitMs !== undefined;
        const startedAtMs = nowMs + startDelayMs;
        outcome.waitMs ??= startedAtMs - arrival.atMs;
        const sinceMs = entitledSinceMs.get(id);
        outcome.guaranteeWaitMs ??= sinceMs === undefined ? undefined : startedAtMs - sinceMs;
        world.run(job, assignments, arrival.ignoresCheckpoint ? "" : "saved");
        const entry: Running = { arrival, job, startedAtMs, leaving: false };
        running.set(id, entry);
        if (assignments.some(({ workerId }) => broken.has(workerId))) {
            at(startedAtMs + failAfterMs, () => failRun(entry));
            return;
        }
        const remainingMs = arrival.actualRunTimeMs - (progress.get(id) ?? 0) + (isRestart ? restartMs : 0);
        at(startedAtMs + remainingMs, () => complete(entry));
    };

    /** A guarantee is due from the arrival, or from when its customer's earlier work no longer uses it. */
    const noteEntitled = (guarantees: GuaranteeAllocations): void => {
        for (const { job: { id }, key } of waiting) {
            const job = world.jobs.get(id);
            if (job === undefined || !guarantees.has(job)) {
                entitledSinceMs.delete(id);
            }
            else if (!entitledSinceMs.has(id)) {
                entitledSinceMs.set(id, seen.has(key) ? nowMs : arrivals.get(id)?.atMs ?? nowMs);
            }
            seen.add(key);
        }
    };

    const round = (): void => {
        planScheduled = false;
        const current = rooms();
        const cells = reconcileReservations(world, current, places);
        const guarantees = allocateGuarantees(world, cells);
        places = updateReservations(world, current, cells, guarantees);
        waiting = collectCandidates(world, guarantees);
        noteEntitled(guarantees);
        const occupants = () => collectOccupants(world, guarantees);
        const expectedUrgent = urgentDemand.expected(nowMs, sumUrgentAccelerators(world), current);
        const beganMs = performance.now();
        const decided = plan(
            { nowMs, workers: current, candidates: waiting, occupants, claims, urgentHeadroom: expectedUrgent },
            cells,
            holders,
        );
        const tookMs = performance.now() - beganMs;
        result.rounds += 1;
        result.planMs += tookMs;
        result.slowestRoundMs = Math.max(result.slowestRoundMs, tookMs);
        claims = decided.claims;
        revision += 1;
        decided.evictions.forEach(({ occupant }) => evict(occupant.key.split(".")[0]));
        decided.placements.forEach(start);
        const placed = new Set(decided.placements.map(({ candidate }) => candidate.key));
        waiting = waiting.filter(candidate => !placed.has(candidate.key));
        if (waiting.length > 0 && !idleScheduled) {
            idleScheduled = true;
            at(nowMs + idleRoundMs, () => {
                idleScheduled = false;
                requestPlan();
            });
        }
    };

    const cancelWave = (share: number): void => {
        for (const id of [...world.jobs.keys()].filter(() => random() < share)) {
            const entry = running.get(id);
            const outcome = outcomes.get(id);
            if (entry !== undefined) {
                release(entry);
            }
            if (outcome !== undefined) {
                outcome.cancelled = true;
            }
            forget(id);
        }
    };

    /** Work that saves its progress goes on elsewhere under every policy. */
    const leaveZone = (zone: string): void => {
        const names = new Set(
            workload.workers.filter(worker => worker.availabilityZone === zone).map(({ name }) => name),
        );
        const canMove = (job: JobState): boolean =>
            activeRuns(job).every(({ task, run }) => isResumable(task, run, nowMs));
        for (const { job } of [...running.values()]) {
            if (canMove(job) && world.workersOf(job).some(worker => names.has(worker))) {
                evict(job.submission.id);
            }
        }
    };

    const change = (event: WorldEvent): void => {
        switch (event.kind) {
            case "zoneOut":
                world.evacuatedZones.add(event.zone);
                leaveZone(event.zone);
                break;
            case "zoneIn":
                world.evacuatedZones.delete(event.zone);
                break;
            case "workerBreaks":
                broken.add(event.worker);
                break;
            case "workerMended":
                broken.delete(event.worker);
                break;
            case "cancelWave":
                cancelWave(event.share);
        }
        requestPlan();
    };

    const arrive = (arrival: Arrival): void => {
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
            world.addJob(submission);
            requestPlan();
        }
    };

    workload.arrivals.forEach(arrival => at(arrival.atMs, () => arrive(arrival)));
    workload.events.forEach(event => at(event.atMs, () => change(event)));
    const limitMs = workload.endMs * 4;
    for (let next = agenda.pop(); next !== undefined && next.atMs < limitMs; next = agenda.pop()) {
        meter.pass(nowMs, next.atMs);
        nowMs = next.atMs;
        next.run();
        if (openJobs === 0 && nowMs > workload.endMs) {
            break;
        }
    }
    return { jobs: [...outcomes.values()], ...meter.shares(), ...result };
};
