import { RunPhase, taskIdOf, taskKey, unitKeyOf } from "../jobs/progress.js";
import type { JobState, Run, TaskState } from "../jobs/progress.js";
import type { TaskId } from "../jobs/types.js";
import type { PlannerContext } from "./context.js";
import type { Endings } from "./endings.js";
import type { WorkerSession } from "./session.js";
import type { Stops } from "./stops.js";
import type { EndedTask, RunningTask, WorkerReport } from "./types.js";

/** Compares what workers say with what was ordered. */
export interface Reports {
    /** Takes a worker's report; `sentAtMs` is the steady time at which it was asked for. */
    onReport(session: WorkerSession, report: WorkerReport, sentAtMs: number): void;
    /** Gives up every run on a worker; with `gone` they have surely ended there and cannot start any more. */
    onRunsLost(session: WorkerSession, reason: string, gone: boolean): void;
}

const runKey = (task: TaskId, run: number): string => `${taskKey(task)}#${run}`;

/** Creates the part of a planner that takes workers' reports. */
export const createReports = (context: PlannerContext, stops: Stops, endings: Endings): Reports => {
    const { log, timer, runs } = context;

    const findTask = (id: TaskId): TaskState | undefined =>
        context.jobs.get(id.jobId)?.units.get(unitKeyOf(id.occurrence, id.step))?.tasks[id.index];

    const takeOne = (session: WorkerSession, end: EndedTask): JobState | undefined => {
        const task = findTask(end.task);
        if (task === undefined) {
            log("warn", "end of an unknown task", { task: taskKey(end.task), run: end.run, worker: session.id });
            return undefined;
        }
        if (task.run?.number === end.run && task.run.worker === session) {
            runs.clear(task);
            endings.takeEnd(task, end, session);
        }
        else {
            endings.takeLateEnd(task, end, session);
        }
        return task.unit.job;
    };

    /** Ends are acknowledged once what they mean is recorded. */
    const onEnds = (session: WorkerSession, ends: readonly EndedTask[]): void => {
        const touched = new Set(ends.map(end => takeOne(session, end)).filter(job => job !== undefined));
        const last = Math.max(...ends.map(end => end.number));
        void Promise.all([...touched].map(context.record)).then(recorded => {
            if (recorded.every(Boolean) && !context.isOver()) {
                session.acknowledge(last);
            }
        });
        context.requestRound();
    };

    const updateRun = (task: TaskState, run: Run, listed: RunningTask): void => {
        const nowMs = timer.nowMs();
        if (run.phase === RunPhase.Unknown || run.phase === RunPhase.Starting) {
            run.phase = RunPhase.Running;
            run.orderAnsweredAtMs = nowMs;
        }
        run.firstListedAtMs ??= nowMs;
        run.percent = listed.percent;
        run.usage = listed.usage;
        if (listed.checkpoint !== "" && listed.checkpoint !== task.checkpoint) {
            endings.saveCheckpoint(task, listed.checkpoint);
            run.checkpointedAtMs = nowMs;
        }
    };

    const isForeign = (listed: RunningTask, session: WorkerSession): boolean => {
        const run = findTask(listed.task)?.run;
        return run === undefined || run.number !== listed.run || run.worker !== session;
    };

    const loseRun = (task: TaskState, run: Run, reason: string): void => {
        const name = taskKey(taskIdOf(task));
        log("info", "run is over", { task: name, run: run.number, worker: run.worker.id, reason });
        runs.clear(task);
        if (task.unit.step.gang && !task.unit.complete) {
            stops.stopMembers(task.unit, run.number, "another member is lost");
        }
        void context.record(task.unit.job);
        context.requestRound();
    };

    /** A run that should be there and is not: make sure that it cannot start any more, then give it up. */
    const settleAbsent = (task: TaskState, run: Run, sentAtMs: number): void => {
        const isAnswered = run.orderAnsweredAtMs < sentAtMs;
        if (run.phase === RunPhase.Unknown) {
            stops.stop(task, run, "it is not known whether it started");
        }
        else if (run.phase === RunPhase.Running && isAnswered) {
            stops.stop(task, run, "the worker does not list it");
        }
        else if (run.phase === RunPhase.Stopping && isAnswered) {
            loseRun(task, run, "stopped");
        }
    };

    const compareRuns = (session: WorkerSession, report: WorkerReport, sentAtMs: number): void => {
        const ended = new Set(report.ended.map(end => runKey(end.task, end.run)));
        const running = new Map(report.running.map(listed => [runKey(listed.task, listed.run), listed]));
        for (const task of [...runs.on(session)]) {
            const { run } = task;
            const key = run === undefined ? "" : runKey(taskIdOf(task), run.number);
            const listed = running.get(key);
            if (run !== undefined && listed !== undefined) {
                updateRun(task, run, listed);
            }
            else if (run !== undefined && !ended.has(key)) {
                settleAbsent(task, run, sentAtMs);
            }
        }
    };

    const onReport = (session: WorkerSession, report: WorkerReport, sentAtMs: number): void => {
        compareRuns(session, report, sentAtMs);
        for (const foreign of report.running.filter(listed => isForeign(listed, session))) {
            const name = taskKey(foreign.task);
            log("warn", "a run that nobody wants is stopped", { task: name, run: foreign.run, worker: session.id });
            session.fenceRun(foreign.task, foreign.run);
        }
        if (report.ended.length > 0) {
            onEnds(session, report.ended);
        }
    };

    const onRunsLost = (session: WorkerSession, reason: string, gone: boolean): void => {
        for (const task of [...runs.on(session)]) {
            const { run } = task;
            if (run === undefined || run.phase === RunPhase.Recording) {
                continue;
            }
            if (!gone) {
                session.fenceRun(taskIdOf(task), run.number);
            }
            loseRun(task, run, reason);
        }
        context.requestRound();
    };

    return { onReport, onRunsLost };
};
