import { gangMembersOf, RunPhase } from "../jobs/progress.js";
import type { Run, TaskState, Unit } from "../jobs/progress.js";
import type { Step } from "../jobs/types.js";
import { isNearData } from "../planning/placement.js";
import { runGuarded } from "../utils/runGuarded.js";
import { findTask } from "./context.js";
import type { PlannerContext } from "./context.js";
import type { ReportHandler } from "./reportHandler.js";
import type { WorkerSession } from "./session.js";
import { completePercent, EndKind } from "./types.js";
import type { EndedRun, ReportedRun, WorkerReport } from "./types.js";

/** Shortest span of an observation; polls and orders take a part of it. */
const minSpanMs = 800;
/** Least progress in an observation: it is reported in whole percents. */
const minPercents = 10;
/** Time without progress after which a span is not used: the run was held up. */
const minPauseMs = 1_500;
/** The same as a share of the declared time, for runs of which one percent takes long even on a slow worker. */
const pauseShare = 0.04;
/** Longest time between two reports, a long poll and its answer, for which the second tells when a run ended. */
const maxReportGapMs = 1_500;

/** What was observed of a run; of a gang there is one for all members. */
interface Track {
    run: number;
    /** Begin of the span under observation; `undefined` until progress is seen. */
    base?: { percent: number; atMs: number; };
    percent: number;
    /** Monotonic time at which the progress last changed. */
    changedAtMs: number;
    isFirstOfRun: boolean;
    hasEnded: boolean;
}

/** Whether tasks of a step work at the worker's full rate until they are complete. */
const isMeasurable = (step: Step): boolean =>
    !step.longRunning && !step.fillsIdleCores && step.targetMs === undefined && step.estimateMs > 0;

/** Workers of a run and, in a gang, of its other members; `undefined` if they are away from the data or in several racks. */
const comparableWorkers = (task: TaskState): readonly WorkerSession[] | undefined => {
    const workers = gangMembersOf(task).map(member => member.run?.worker);
    const rack = workers[0]?.descriptor?.rack;
    const isComparable = (worker: WorkerSession | undefined): worker is WorkerSession =>
        worker?.descriptor !== undefined && worker.descriptor.rack === rack
        && isNearData(worker.descriptor, task.unit.step);
    return workers.every(isComparable) ? workers : undefined;
};

/**
 * Begin of the work of a run; `undefined` if it is not known: an earlier planner may have started it, it loads a
 * checkpoint first, or it waits for the other members of its gang.
 */
const knownBegin = ({ unit, checkpoint }: TaskState, run: Run): Track["base"] =>
    unit.step.gang || checkpoint !== "" || run.phase === RunPhase.Unknown
        ? undefined
        : { percent: 0, atMs: run.orderedAtMs };

/** Records the speeds of workers from their reports, before a handler applies these. */
export const withSpeedRecording = (context: PlannerContext, reports: ReportHandler): ReportHandler => {
    const { timer, speeds, log } = context;
    const tracks = new WeakMap<TaskState | Unit, Track>();
    const lastReportAtMs = new WeakMap<WorkerSession, number>();

    const trackOf = (task: TaskState, run: Run): Track => {
        const key = task.unit.step.gang ? task.unit : task;
        const known = tracks.get(key);
        if (known?.run === run.number) {
            return known;
        }
        const base = knownBegin(task, run);
        const track: Track = {
            run: run.number,
            base,
            percent: base === undefined ? Number.POSITIVE_INFINITY : 0,
            changedAtMs: timer.nowMs(),
            isFirstOfRun: true,
            hasEnded: false,
        };
        tracks.set(key, track);
        return track;
    };

    /** Adds the span since its begin as an observation if it is long enough, and begins the next one. */
    const closeSpan = (task: TaskState, track: Track, percent: number): void => {
        const nowMs = timer.nowMs();
        const { base, isFirstOfRun } = track;
        if (base !== undefined && (nowMs - base.atMs < minSpanMs || percent - base.percent < minPercents)) {
            return;
        }
        const workers = comparableWorkers(task);
        if (base !== undefined && workers !== undefined) {
            const { unit } = task;
            const workMs = unit.step.estimateMs * (percent - base.percent) / completePercent;
            const { queue } = unit.job.submission;
            const { key: unitKey, step: { gang } } = unit;
            speeds.add({ unitKey, queue, gang, workers, workMs, fromMs: base.atMs, toMs: nowMs, isFirstOfRun });
            track.isFirstOfRun = false;
        }
        track.base = { percent, atMs: nowMs };
    };

    const isPaused = ({ changedAtMs }: Track, { estimateMs }: Step): boolean =>
        timer.nowMs() - changedAtMs > Math.max(minPauseMs, estimateMs * pauseShare);

    const onListed = (task: TaskState, run: Run, { percent }: ReportedRun): void => {
        const track = trackOf(task, run);
        if (track.percent === Number.POSITIVE_INFINITY) {
            // the next change shows that work goes on
            track.percent = percent;
        }
        else if (percent > track.percent) {
            if (isPaused(track, task.unit.step)) {
                track.base = undefined;
            }
            track.percent = percent;
            track.changedAtMs = timer.nowMs();
            closeSpan(task, track, percent);
        }
    };

    const onDone = (session: WorkerSession, task: TaskState, run: Run): void => {
        const track = trackOf(task, run);
        const inContactSinceMs = Math.max(lastReportAtMs.get(session) ?? 0, run.orderedAtMs);
        const isEndKnown = timer.nowMs() - inContactSinceMs <= maxReportGapMs;
        if (!track.hasEnded && track.base !== undefined && isEndKnown && !isPaused(track, task.unit.step)) {
            closeSpan(task, track, completePercent);
        }
        track.hasEnded = true;
    };

    /** Calls `action` with the task of a reported run if that is its current one and can be measured. */
    const forCurrent = (
        session: WorkerSession,
        reported: ReportedRun | EndedRun,
        action: (task: TaskState, run: Run) => void,
    ): void => {
        const task = findTask(context, reported.task);
        const run = task?.run;
        const isCurrent = run?.number === reported.run && run.worker === session && run.phase !== RunPhase.Stopping;
        if (task !== undefined && run !== undefined && isCurrent && isMeasurable(task.unit.step)) {
            action(task, run);
        }
    };

    const record = (session: WorkerSession, report: WorkerReport): void => {
        report.running.forEach(listed => forCurrent(session, listed, (task, run) => onListed(task, run, listed)));
        report.ended.filter(({ kind }) => kind === EndKind.Done)
            .forEach(end => forCurrent(session, end, (task, run) => onDone(session, task, run)));
        lastReportAtMs.set(session, timer.nowMs());
    };

    return {
        ...reports,
        onReport: (session, report, sentAtMs) => {
            runGuarded(
                () => record(session, report),
                detail => log("error", "the speed of a worker could not be recorded", { worker: session.id, detail }),
            );
            reports.onReport(session, report, sentAtMs);
        },
    };
};
