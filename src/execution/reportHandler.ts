import { RunPhase, taskIdOf, taskKey } from "../jobs/progress.js";
import type { JobState, Run, TaskState } from "../jobs/progress.js";
import { isEnded } from "../jobs/types.js";
import { describeRunWork, findTask, runKey } from "./context.js";
import type { PlannerContext } from "./context.js";
import type { EndedRunHandler } from "./endedRunHandler.js";
import { createMissingRunHandler } from "./missingRuns.js";
import type { RunStopper } from "./runStopper.js";
import type { WorkerSession } from "./session.js";
import type { EndedRun, ReportedRun, WorkerReport } from "./types.js";

/** Reconciles the reports of workers with the runs that the planner has ordered. */
export interface ReportHandler {
    /** Applies a worker's report; `sentAtMs` is the monotonic time at which it was requested. */
    onReport(session: WorkerSession, report: WorkerReport, sentAtMs: number): void;
    /**
     * Abandons every run on a worker, so that its task can start elsewhere. With `confirmedEnded` the runs have
     * certainly ended and cannot start any more; otherwise each is fenced on the worker.
     */
    abandonRuns(session: WorkerSession, reason: string, confirmedEnded: boolean): void;
}

/** Whether other members of a run's gang do not have that run any more, so that it would wait for them until it ends alone. */
const isLeftByGang = ({ unit }: TaskState, run: Run): boolean =>
    unit.step.gang && !unit.complete && unit.tasks.some(member => member.run?.number !== run.number);

/** Creates the handler of a planner's reports from workers. */
export const createReportHandler = (
    context: PlannerContext,
    runStopper: RunStopper,
    endedRuns: EndedRunHandler,
): ReportHandler => {
    const { log, timer, runs } = context;

    const applyEnd = (session: WorkerSession, end: EndedRun): JobState | undefined => {
        const task = findTask(context, end.task);
        if (task === undefined) {
            log("warn", "ended run of an unknown task", { task: taskKey(end.task), run: end.run, worker: session.id });
            return undefined;
        }
        task.unit.job.hasStarted = true;
        if (task.run?.number === end.run && task.run.worker === session) {
            const { run } = task;
            runs.clear(task);
            endedRuns.applyEnd(task, run, end);
        }
        else {
            endedRuns.applyStaleEnd(task, end, session);
        }
        return task.unit.job;
    };

    /** Applies ended runs, and acknowledges them once the changed jobs are recorded. */
    const applyEnds = (session: WorkerSession, ends: readonly EndedRun[]): void => {
        const changedJobs = new Set(ends.map(end => applyEnd(session, end)).filter(job => job !== undefined));
        const highestNumber = ends.reduce((highest, end) => Math.max(highest, end.number), 0);
        void Promise.all([...changedJobs].map(context.record)).then(recorded => {
            if (recorded.every(Boolean) && !context.isTermOver()) {
                session.acknowledge(highestNumber);
            }
        });
        context.requestRound();
    };

    const updateRun = (task: TaskState, run: Run, listed: ReportedRun): void => {
        const nowMs = timer.nowMs();
        if (run.phase === RunPhase.Unknown || run.phase === RunPhase.Starting) {
            run.phase = RunPhase.Running;
            run.orderAnsweredAtMs = nowMs;
            // its stop was ordered in an earlier session of the worker; members of a completed gang end by themselves
            if (isEnded(task.unit.job.phase) && !task.done) {
                runStopper.stop(task, run, `job ${task.unit.job.phase}`);
            }
            else if (isLeftByGang(task, run)) {
                runStopper.stop(task, run, "another member is lost");
            }
        }
        run.firstListedAtMs ??= nowMs;
        task.unit.job.hasStarted = true;
        run.percent = listed.percent;
        run.reportedAtMs = nowMs;
        run.usage = listed.usage;
        if (endedRuns.applyCheckpoint(task, run, listed.checkpoint)) {
            run.checkpointedAtMs = nowMs;
        }
    };

    /** Whether a run on a worker is not, or no longer, a task's current run there. */
    const isOrphaned = (listed: ReportedRun, session: WorkerSession): boolean => {
        const run = findTask(context, listed.task)?.run;
        return run === undefined || run.number !== listed.run || run.worker !== session;
    };

    const abandonRun = (task: TaskState, run: Run, reason: string): void => {
        const name = taskKey(taskIdOf(task));
        const work = describeRunWork(task, run, timer.nowMs());
        log("info", "run is over", { task: name, run: run.number, worker: run.worker.id, reason, ...work });
        runs.clear(task);
        if (task.unit.step.gang && !task.unit.complete) {
            runStopper.stopMembers(task.unit, run.number, "another member is lost");
        }
        void context.record(task.unit.job);
        context.requestRound();
    };

    const missingRuns = createMissingRunHandler(context, runStopper, abandonRun);

    /** Follows the runs of a worker; one that is not listed may have ended while ends are left that are not listed yet. */
    const compareRuns = (session: WorkerSession, report: WorkerReport, sentAtMs: number): void => {
        const ended = new Set(report.ended.map(end => runKey(end.task, end.run)));
        const running = new Map(report.running.map(listed => [runKey(listed.task, listed.run), listed]));
        for (const task of [...runs.tasksOn(session)]) {
            const { run } = task;
            const key = run === undefined ? "" : runKey(taskIdOf(task), run.number);
            const listed = running.get(key);
            if (run !== undefined && listed !== undefined) {
                updateRun(task, run, listed);
            }
            else if (run !== undefined && !ended.has(key) && report.endsComplete) {
                missingRuns.resolve(task, run, sentAtMs);
            }
        }
    };

    const onReport = (session: WorkerSession, report: WorkerReport, sentAtMs: number): void => {
        compareRuns(session, report, sentAtMs);
        for (const orphan of report.running.filter(listed => isOrphaned(listed, session))) {
            const name = taskKey(orphan.task);
            log("warn", "stopping an orphaned run", { task: name, run: orphan.run, worker: session.id });
            session.fenceRun(orphan.task, orphan.run);
        }
        if (report.ended.length > 0) {
            applyEnds(session, report.ended);
        }
    };

    const abandonRuns = (session: WorkerSession, reason: string, confirmedEnded: boolean): void => {
        for (const task of [...runs.tasksOn(session)]) {
            const { run } = task;
            if (run === undefined || run.phase === RunPhase.Recording) {
                continue;
            }
            if (!confirmedEnded) {
                session.fenceRun(taskIdOf(task), run.number);
            }
            abandonRun(task, run, reason);
        }
        context.requestRound();
    };

    return { onReport, abandonRuns };
};
