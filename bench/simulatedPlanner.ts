/** A planner's state of workers and jobs without processes, to replay planning rounds in virtual time. */
import { queueConfigurationOf } from "../src/configuration/queries/queueConfiguration.js";
import type { Snapshot } from "../src/configuration/types.js";
import { createRunTable } from "../src/execution/context.js";
import type { PlannerContext } from "../src/execution/context.js";
import type { WorkerSession } from "../src/execution/session.js";
import { createSpeedHistory } from "../src/execution/speedHistory.js";
import { createUnansweredStarts } from "../src/execution/unansweredStarts.js";
import { createWorkerHealth } from "../src/execution/workerHealth.js";
import { createWorkerLease } from "../src/execution/workerLease.js";
import { restoreJob, RunPhase } from "../src/jobs/progress.js";
import type { JobState } from "../src/jobs/progress.js";
import type { JobSubmission } from "../src/jobs/types.js";
import { createEntryMetrics } from "../src/node/entryMetrics.js";
import type { Assignment } from "../src/planning/types.js";
import type { TimerService } from "../src/utils/timer.js";
import { workerPool } from "../src/workers/directory.js";
import type { WorkerFacts } from "../src/workers/types.js";

const maxBodyBytes = 65_536;

const createSession = (
    timer: TimerService,
    { name, availabilityZone, rack, capacity }: WorkerFacts,
): WorkerSession => ({
    id: name,
    bornMs: 0,
    descriptor: {
        id: name,
        service: workerPool,
        address: "",
        availabilityZone,
        labels: [rack],
        rack,
        capacity,
        bornMs: 0,
        draining: false,
    },
    client: undefined,
    fencingToken: 0,
    address: undefined,
    closed: false,
    isSynced: () => true,
    lease: createWorkerLease({ timer, leaseMs: 0, longestLeaseMs: 0, earlierLeasesExpireAtMs: 0 }),
    mayExtendLease: () => true,
    silentMs: () => 0,
    recordAnswer: () => {},
    isOwnClock: () => true,
    recordStart: () => () => {},
    pendingAcknowledgement: () => undefined,
    recordNoAnswer: () => {},
    fenceRun: () => {},
    pendingFenceCount: () => 0,
    pendingFences: () => [],
    earlierBornMs: () => undefined,
    acknowledge: () => {},
    resumePolling: () => {},
    close: () => {},
});

/** Context of the planner's own code, which collects the input of a round from it. */
export interface SimulatedPlanner extends PlannerContext {
    evacuatedZones: Set<string>;
    /** Adds a job whose tasks wait. */
    addJob(submission: JobSubmission): JobState;
    /** Starts a job's tasks on the assigned workers; `checkpoint` is empty if they save no progress. */
    run(job: JobState, assignments: readonly Assignment[], checkpoint: string): void;
    /** Removes a job's runs, so that its tasks wait again. */
    clearRuns(job: JobState): void;
    /** Removes a job without runs. */
    removeJob(id: string): void;
    /** Ids of the workers that a job runs on. */
    workersOf(job: JobState): string[];
}

/** Creates a simulated planner without jobs. */
export const createSimulatedPlanner = (
    workers: readonly WorkerFacts[],
    snapshot: Snapshot,
    timer: TimerService,
): SimulatedPlanner => {
    const evacuatedZones = new Set<string>();
    const metrics = createEntryMetrics();
    const state = { configuration: queueConfigurationOf(snapshot, maxBodyBytes), evacuatedZones };
    const sessions = new Map(workers.map(worker => [worker.name, createSession(timer, worker)]));
    const runs = createRunTable();
    const jobs = new Map<string, JobState>();
    const openJobs = new Set<JobState>();
    const tasksOf = (job: JobState) => [...job.units.values()].flatMap(unit => unit.tasks);
    const findSession = (name: string): WorkerSession => {
        const session = sessions.get(name);
        if (session === undefined) {
            throw new Error(`worker ${name} is not part of the simulated fleet`);
        }
        return session;
    };
    return {
        timer,
        log: () => {},
        metrics,
        term: 1,
        jobs,
        openJobs,
        sessions,
        runs,
        unansweredStarts: createUnansweredStarts(timer),
        health: createWorkerHealth(timer),
        speeds: createSpeedHistory(timer, () => {}, metrics),
        operator: () => state,
        mayOrder: () => true,
        record: async () => true,
        requestRound: () => {},
        isTermOver: () => false,
        evacuatedZones,
        addJob: submission => {
            const job = restoreJob(
                submission,
                { submissionVersion: 0, recordVersion: 0, cancelled: false },
                { findSession, nowMs: timer.nowMs(), ageMs: timer.nowMs() - submission.acceptedAtMs },
            );
            jobs.set(submission.id, job);
            openJobs.add(job);
            return job;
        },
        run: (job, assignments, checkpoint) => {
            const tasks = tasksOf(job);
            const nowMs = timer.nowMs();
            for (const { taskIndex, workerId } of assignments) {
                tasks[taskIndex].checkpoint = checkpoint;
                runs.set(tasks[taskIndex], {
                    number: 1,
                    worker: findSession(workerId),
                    phase: RunPhase.Running,
                    orderedAtMs: nowMs,
                    orderAnsweredAtMs: nowMs,
                    percent: 0,
                    usage: 0,
                    checkpointedAtMs: nowMs,
                });
            }
        },
        clearRuns: job => tasksOf(job).forEach(runs.clear),
        removeJob: id => {
            const job = jobs.get(id);
            if (job !== undefined) {
                jobs.delete(id);
                openJobs.delete(job);
            }
        },
        workersOf: job => [...new Set(tasksOf(job).flatMap(task => task.run?.worker.id ?? []))],
    };
};
