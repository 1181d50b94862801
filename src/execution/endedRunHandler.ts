import { activeRuns, isJobComplete, taskIdOf, taskKey } from "../jobs/progress.js";
import type { JobState, Run, TaskState, Unit } from "../jobs/progress.js";
import { isEnded, JobPhase } from "../jobs/types.js";
import { describeRunWork } from "./context.js";
import type { PlannerContext } from "./context.js";
import type { RunStopper } from "./runStopper.js";
import type { WorkerSession } from "./session.js";
import { createTaskCheckpoints } from "./taskCheckpoints.js";
import { EndKind } from "./types.js";
import type { EndedRun } from "./types.js";

/** Applies ended runs to the state of their tasks and jobs. */
export interface EndedRunHandler {
    /** Applies the end of a run, which was the task's current one until the caller removed it. */
    applyEnd(task: TaskState, run: Run, end: EndedRun): void;
    /** Applies the end of a run that was abandoned before; a success or failure still counts. */
    applyStaleEnd(task: TaskState, end: EndedRun, session: WorkerSession): void;
    /** Stores the checkpoint that a listed run reports; returns whether it is a new one. */
    applyCheckpoint(task: TaskState, run: Run, checkpoint: string): boolean;
    /** Ends a job that has not ended yet, and stops its runs. */
    endJob(job: JobState, phase: JobPhase, reason: string): void;
}

/** Time for which a failed task waits rather than run where it failed; runs of a few seconds end meanwhile. */
const mustAvoidMs = 2_000;
/** Delay before a long-running task that ended without an order is started again. */
const restartDelayMs = 150;

/** Creates the handler of a planner's ended runs. */
export const createEndedRunHandler = (context: PlannerContext, runStopper: RunStopper): EndedRunHandler => {
    const { log, timer, health } = context;
    const checkpoints = createTaskCheckpoints();

    /** From the second line on, the job's end cannot change, whoever plans. */
    const logWhenRecorded = async (job: JobState): Promise<void> => {
        if (await context.record(job)) {
            const { submission, phase, recordVersion: version } = job;
            log("info", "job end recorded", { jobId: submission.id, phase, version, term: context.term });
        }
    };

    const endJob = (job: JobState, phase: JobPhase, reason: string): void => {
        if (isEnded(job.phase)) {
            return;
        }
        job.phase = phase;
        job.reason = reason;
        job.endedAtMs = timer.wallClockMs();
        const { id, priority, acceptedAtMs } = job.submission;
        const durationMs = job.endedAtMs - acceptedAtMs;
        log("info", "job ended", { jobId: id, phase, reason, durationMs, term: context.term });
        context.metrics.recordJobEnd(phase, priority, durationMs);
        // the other members of a completed gang end without an order
        activeRuns(job).filter(({ task }) => !task.done).forEach(({ task, run }) =>
            runStopper.stop(task, run, `job ${phase}`)
        );
        void logWhenRecorded(job);
    };

    const completeUnit = (unit: Unit): void => {
        unit.complete = true;
        unit.tasks.forEach(task => {
            task.done = true;
        });
        if (isJobComplete(unit.job)) {
            endJob(unit.job, JobPhase.Succeeded, "all tasks are done");
        }
    };

    const completeTask = (task: TaskState): void => {
        task.done = true;
        if (task.unit.step.gang || task.unit.tasks.every(other => other.done)) {
            completeUnit(task.unit);
        }
    };

    /** Counts a failed run once; failures of a gang are counted on its first member. */
    const countFailure = (task: TaskState, run: number, session: WorkerSession): void => {
        const { unit } = task;
        const countedTask = unit.step.gang ? unit.tasks[0] : task;
        if (countedTask.failedRuns.has(run)) {
            return;
        }
        countedTask.failedRuns.add(run);
        unit.avoidedWorkers.add(session.id);
        unit.mustAvoidUntilMs = timer.nowMs() + mustAvoidMs;
        health.recordFailure(session.id, unit.job.submission.id);
        const { maxAttempts } = unit.job.submission;
        if (countedTask.failedRuns.size >= maxAttempts) {
            endJob(unit.job, JobPhase.Failed, `a task of step ${unit.stepIndex} failed ${maxAttempts} times`);
        }
    };

    const applyLongRunningEnd = (task: TaskState, end: EndedRun, session: WorkerSession): void => {
        task.unit.notBeforeMs = timer.nowMs() + restartDelayMs;
        if (end.kind === EndKind.Failed) {
            health.recordFailure(session.id, task.unit.job.submission.id);
        }
    };

    const applyEnd = (task: TaskState, run: Run, end: EndedRun): void => {
        const { unit } = task;
        const session = run.worker;
        const work = describeRunWork(task, run, timer.nowMs());
        checkpoints.applyEnd(task, run, end);
        const name = taskKey(taskIdOf(task));
        const { id: worker, bornMs } = session;
        const fields = { task: name, run: end.run, kind: end.kind, worker, bornMs, end: end.number };
        log("info", "run ended", { ...fields, ...work });
        if (unit.step.longRunning) {
            applyLongRunningEnd(task, end, session);
            return;
        }
        if (end.kind === EndKind.Done) {
            health.recordSuccess(session.id);
            completeTask(task);
            return;
        }
        if (end.kind === EndKind.Failed) {
            unit.failedRunMs += timer.nowMs() - run.orderedAtMs;
            countFailure(task, end.run, session);
        }
        if (unit.step.gang && !unit.complete) {
            runStopper.stopMembers(unit, end.run, `another member ended: ${end.kind}`);
        }
    };

    const applyStaleEnd = (task: TaskState, end: EndedRun, session: WorkerSession): void => {
        const { unit } = task;
        if (task.done || unit.step.longRunning) {
            return;
        }
        if (end.kind === EndKind.Failed) {
            countFailure(task, end.run, session);
        }
        if (end.kind !== EndKind.Done) {
            return;
        }
        log("warn", "an abandoned run has completed", { task: taskKey(taskIdOf(task)), run: end.run });
        const current = task.run;
        completeTask(task);
        if (current === undefined) {
            return;
        }
        // only a gang's members share the run; other tasks of the step may have runs with the same number
        if (unit.step.gang) {
            runStopper.stopMembers(unit, current.number, "an earlier run is done");
        }
        else {
            runStopper.stop(task, current, "an earlier run is done");
        }
    };

    return { applyEnd, applyStaleEnd, applyCheckpoint: checkpoints.apply, endJob };
};
