/** Replays a workload through the planner's decision code in virtual time. */
import TinyQueue from "tinyqueue";
import { cellsOf, repairCells, syncCells } from "../src/scheduling/cells.js";
import { createFleet } from "../src/scheduling/fleet.js";
import { createLedger } from "../src/scheduling/ledger.js";
import type { Allocation } from "../src/scheduling/ledger.js";
import type { QueuedJob } from "../src/scheduling/order.js";
import { DecisionKind } from "../src/scheduling/plan.js";
import type { Decision, PlanRound } from "../src/scheduling/plan.js";
import { acceleratorsOf } from "../src/scheduling/resources.js";
import { createRunTimeModel } from "../src/scheduling/runTimes.js";
import { createWorkerHealth } from "../src/scheduling/workerHealth.js";
import { createRandom } from "../src/utils/random.js";
import { createMeter } from "./meter.js";
import type { JobOutcome, RunResult } from "./meter.js";
import { JobClass } from "./workload.js";
import type { Arrival, Workload, WorldEvent } from "./workload.js";

/** A job that runs. */
export interface Running {
    arrival: Arrival;
    allocation: Allocation;
    startedAtMs: number;
    endsAtMs: number;
    failing: boolean;
    leavesAtMs?: number;
}

interface Timed {
    atMs: number;
    run: () => void;
}

const planDelayMs = 100;
const startDelayMs = 150;
const graceMs = 1_200;
const restartMs = 15_000;
const failAfterMs = 20_000;
const idleRoundMs = 60_000;

/** Replays one workload under one policy. */
export const replay = (workload: Workload, plan: PlanRound, seed: number, reclaims: boolean): RunResult => {
    const random = createRandom(seed + 1);
    const agenda = new TinyQueue<Timed>([], (left, right) => left.atMs - right.atMs);
    const at = (atMs: number, run: () => void): void => agenda.push({ atMs, run });
    const fleet = createFleet(workload.workers.map(worker => ({ ...worker })));
    const ledger = createLedger(fleet);
    const runTimes = createRunTimeModel();
    const health = createWorkerHealth();
    const queue = new Map<string, QueuedJob>();
    const arrivals = new Map<string, Arrival>();
    const progress = new Map<string, number>();
    const running = new Map<string, Running>();
    const outcomes = new Map<string, JobOutcome>();
    const zonesOut = new Set<string>();
    const broken = new Set<string>();
    const entitledSinceMs = new Map<string, number>();
    const result = { rounds: 0, planMs: 0, slowestRoundMs: 0 };
    let nowMs = 0;
    let planScheduled = false;
    let idleScheduled = false;
    let openJobs = 0;

    syncCells(ledger, cellsOf(workload.statements));

    const meter = createMeter(workload, ledger, { running, queue, arrivals });

    const advanceTo = (atMs: number): void => {
        meter.pass(nowMs, atMs);
        nowMs = atMs;
    };

    const lose = (entry: Running, lostMs: number): void => {
        meter.lose(nowMs, lostMs * acceleratorsOf(entry.arrival.spec.shape));
    };

    const roundWhenIdle = (): void => {
        idleScheduled = false;
        if (!planScheduled) {
            round();
        }
    };

    const requestPlan = (): void => {
        if (!planScheduled) {
            planScheduled = true;
            at(nowMs + planDelayMs, round);
        }
    };

    const enqueue = (arrival: Arrival, attempts: number, avoid: string[] | undefined): void => {
        queue.set(arrival.spec.id, { spec: { ...arrival.spec, avoid }, attempts, notBeforeMs: 0 });
        requestPlan();
    };

    const release = (entry: Running): void => {
        running.delete(entry.arrival.spec.id);
        ledger.deallocate(entry.arrival.spec.id);
        requestPlan();
    };

    const complete = (entry: Running): void => {
        if (running.get(entry.arrival.spec.id) !== entry || entry.leavesAtMs !== undefined) {
            return;
        }
        release(entry);
        openJobs -= 1;
        runTimes.observe(entry.arrival.spec, entry.arrival.actualRunTimeMs);
        health.recordSuccess(entry.allocation.members.map(member => member.worker));
        const outcome = outcomes.get(entry.arrival.spec.id);
        if (outcome !== undefined) {
            outcome.completionMs = nowMs - entry.arrival.atMs;
        }
    };

    const failRun = (entry: Running): void => {
        if (running.get(entry.arrival.spec.id) !== entry) {
            return;
        }
        const workers = entry.allocation.members.map(member => member.worker);
        release(entry);
        health.recordFailure(entry.arrival.spec.id, workers, nowMs);
        lose(entry, failAfterMs);
        enqueue(entry.arrival, entry.allocation.attempt, workers);
    };

    const leave = (entry: Running): void => {
        if (running.get(entry.arrival.spec.id) !== entry) {
            return;
        }
        const { arrival } = entry;
        const ranMs = Math.max(0, nowMs - entry.startedAtMs);
        const saves = arrival.spec.checkpointable && !arrival.ignoresCheckpoint;
        progress.set(arrival.spec.id, (progress.get(arrival.spec.id) ?? 0) + (saves ? ranMs : 0));
        lose(entry, (saves ? 0 : ranMs) + restartMs);
        release(entry);
        enqueue(arrival, entry.allocation.attempt, undefined);
    };

    /** A job that ignores its checkpoint goes on unless the eviction is mandatory. */
    const refuseToLeave = (entry: Running): void => {
        entry.leavesAtMs = undefined;
        const allocation = ledger.allocations.get(entry.arrival.spec.id);
        if (allocation !== undefined) {
            allocation.leaving = false;
            allocation.job = { ...allocation.job, checkpointable: false };
        }
        if (nowMs >= entry.endsAtMs) {
            complete(entry);
        }
        requestPlan();
    };

    const evict = (jobId: string, mandatory: boolean): void => {
        const entry = running.get(jobId);
        if (entry === undefined || entry.leavesAtMs !== undefined) {
            return;
        }
        const takesMs = entry.arrival.ignoresCheckpoint ? graceMs : 200 + random() * (graceMs - 200);
        entry.leavesAtMs = nowMs + takesMs;
        const refuses = !mandatory && (entry.arrival.ignoresCheckpoint || !entry.arrival.spec.checkpointable);
        at(entry.leavesAtMs, () => refuses ? refuseToLeave(entry) : leave(entry));
    };

    const hasUnusedUnit = (customer: string): boolean => {
        const used = new Set([...ledger.allocations.values()].map(allocation => allocation.guaranteeUnit));
        return [...ledger.cells.values()].some(cell =>
            cell.customer === customer && cell.members.length > 0 && !used.has(cell.unit)
        );
    };

    /** Notes since when waiting jobs could have used an unused unit of their customer's guarantee. */
    const noteEntitled = (): void => {
        for (const { spec } of queue.values()) {
            const arrival = arrivals.get(spec.id);
            if (arrival?.class !== JobClass.Urgent || arrival.neverFits) {
                continue;
            }
            if (!hasUnusedUnit(spec.customer)) {
                entitledSinceMs.delete(spec.id);
            }
            else if (!entitledSinceMs.has(spec.id)) {
                entitledSinceMs.set(spec.id, nowMs - planDelayMs);
            }
        }
    };

    const entitledWait = (id: string): number | undefined => {
        const sinceMs = entitledSinceMs.get(id);
        return sinceMs === undefined ? undefined : nowMs + startDelayMs - sinceMs;
    };

    const startJob = (decision: Decision & { kind: DecisionKind.Place; }): void => {
        const { id } = decision.job.spec;
        const arrival = arrivals.get(id);
        const allocation = ledger.allocations.get(id);
        if (arrival === undefined || allocation === undefined) {
            return;
        }
        queue.delete(id);
        const outcome = outcomes.get(id);
        if (outcome !== undefined) {
            outcome.waitMs ??= nowMs + startDelayMs - arrival.atMs;
            outcome.guaranteeWaitMs ??= entitledWait(id);
        }
        const remainingMs = arrival.actualRunTimeMs - (progress.get(id) ?? 0)
            + (decision.job.attempts > 0 ? restartMs : 0);
        const startedAtMs = nowMs + startDelayMs;
        const failing = decision.members.some(member => broken.has(member.worker));
        const entry = { arrival, allocation, startedAtMs, endsAtMs: startedAtMs + remainingMs, failing };
        running.set(id, entry);
        if (failing) {
            at(startedAtMs + failAfterMs, () => failRun(entry));
        }
        else {
            at(entry.endsAtMs, () => complete(entry));
        }
    };

    const carryOut = (decision: Decision): void => {
        switch (decision.kind) {
            case DecisionKind.Place:
                return startJob(decision);
            case DecisionKind.Reclaim:
                return decision.victims.forEach(victim => evict(victim.job.id, decision.mandatory));
            case DecisionKind.Reject: {
                queue.delete(decision.job.spec.id);
                openJobs -= 1;
                const outcome = outcomes.get(decision.job.spec.id);
                if (outcome !== undefined) {
                    outcome.rejected = true;
                }
            }
        }
    };

    const refreshUsable = (): void => {
        for (const worker of fleet.workers.values()) {
            worker.usable = !zonesOut.has(worker.availabilityZone) && !health.isEjected(worker.name, nowMs);
        }
        repairCells(ledger);
    };

    const evictFromZonesOut = (): void => {
        for (const entry of [...running.values()]) {
            const zone = fleet.workers.get(entry.allocation.members[0].worker)?.availabilityZone ?? "";
            if (zonesOut.has(zone) && entry.arrival.spec.checkpointable) {
                evict(entry.arrival.spec.id, true);
            }
        }
    };

    const round = (): void => {
        planScheduled = false;
        refreshUsable();
        if (reclaims) {
            evictFromZonesOut();
        }
        noteEntitled();
        const beganMs = performance.now();
        const decisions = plan({ ledger, queue: [...queue.values()], runTimes, nowMs });
        const tookMs = performance.now() - beganMs;
        result.rounds += 1;
        result.planMs += tookMs;
        result.slowestRoundMs = Math.max(result.slowestRoundMs, tookMs);
        decisions.forEach(carryOut);
        if (queue.size > 0 && !idleScheduled) {
            idleScheduled = true;
            at(nowMs + idleRoundMs, roundWhenIdle);
        }
    };

    const cancelWave = (share: number): void => {
        for (const id of [...queue.keys(), ...running.keys()]) {
            if (random() < share) {
                const entry = running.get(id);
                if (entry !== undefined) {
                    release(entry);
                }
                queue.delete(id);
                openJobs -= 1;
                const outcome = outcomes.get(id);
                if (outcome !== undefined) {
                    outcome.cancelled = true;
                }
            }
        }
    };

    const change = (event: WorldEvent): void => {
        switch (event.kind) {
            case "zoneOut":
                zonesOut.add(event.zone);
                // work in the zone goes on elsewhere under every policy
                running.forEach(entry => {
                    const zone = fleet.workers.get(entry.allocation.members[0].worker)?.availabilityZone;
                    if (zone === event.zone && entry.arrival.spec.checkpointable) {
                        evict(entry.arrival.spec.id, true);
                    }
                });
                break;
            case "zoneIn":
                zonesOut.delete(event.zone);
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
        openJobs += 1;
        arrivals.set(arrival.spec.id, arrival);
        outcomes.set(arrival.spec.id, {
            class: arrival.class,
            accelerators: acceleratorsOf(arrival.spec.shape),
            runTimeMs: arrival.actualRunTimeMs,
            rejected: false,
            cancelled: false,
            neverFits: arrival.neverFits,
        });
        enqueue(arrival, 0, undefined);
    };

    workload.arrivals.forEach(arrival => at(arrival.atMs, () => arrive(arrival)));
    workload.events.forEach(event => at(event.atMs, () => change(event)));
    const limitMs = workload.endMs * 4;
    for (let next = agenda.pop(); next !== undefined && next.atMs < limitMs; next = agenda.pop()) {
        advanceTo(next.atMs);
        next.run();
        if (openJobs === 0 && nowMs > workload.endMs) {
            break;
        }
    }

    return {
        jobs: [...outcomes.values()],
        ...meter.shares(),
        rounds: result.rounds,
        planMs: result.planMs,
        slowestRoundMs: result.slowestRoundMs,
    };
};
