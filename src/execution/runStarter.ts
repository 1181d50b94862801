import { requeueUnstarted, RunPhase } from "../jobs/progress.js";
import type { Run, TaskState, Unit } from "../jobs/progress.js";
import { leavesRoomInRow } from "../jobs/recordSize.js";
import { isEnded, JobPhase } from "../jobs/types.js";
import type { Assignment } from "../planning/types.js";
import type { PlannerContext } from "./context.js";
import type { RunStopper } from "./runStopper.js";
import type { WorkerSession } from "./session.js";
import { isCurrent } from "./startOutcomes.js";
import type { PlacedTask } from "./startOutcomes.js";
import { acceptsStarts, createStartSender } from "./startSender.js";

/** Starts tasks on the workers that a planning round assigned to them. */
export interface RunStarter {
    /** Records the placement of a unit's tasks, then orders the workers to start them. */
    start(unit: Unit, assignments: readonly Assignment[]): void;
}

/** Run numbers of a task that each term may use, so that a later planner never reuses a number. */
const runNumbersPerTerm = 1_000;
/** Age above which a placement is discarded and planned again, because its input is out of date. */
const maxPlacementAgeMs = 1_500;

/** Share of the placed tasks of a step that stay placed each time that their record is too large. */
const keptShare = 0.8;

/** Reason why a placement is no longer valid once it is recorded; `undefined` if it is. */
const findPlacementProblem = (
    context: PlannerContext,
    unit: Unit,
    placed: readonly PlacedTask[],
    plannedAtMs: number,
): string | undefined => {
    if (isEnded(unit.job.phase) || unit.job.cancelled) {
        return "the job has ended";
    }
    if (unit.step.gang && !placed.every(isCurrent)) {
        return "a member was given up";
    }
    if (!context.mayOrder()) {
        return "the term is not confirmed";
    }
    if (context.timer.nowMs() - plannedAtMs > maxPlacementAgeMs) {
        return "recording it took too long";
    }
    const isUnusable = ({ run: { worker } }: PlacedTask): boolean =>
        !acceptsStarts(context, worker) || !worker.mayExtendLease();
    const unusable = placed.find(isUnusable);
    return unusable === undefined ? undefined : `worker ${unusable.run.worker.id} is not to be used any more`;
};

/** Assigns a task to a worker with a run that is still to be recorded. */
const placeTask = (
    { timer, runs }: PlannerContext,
    task: TaskState,
    number: number,
    worker: WorkerSession,
): PlacedTask => {
    const nowMs = timer.nowMs();
    const run: Run = {
        number,
        worker,
        phase: RunPhase.Recording,
        orderedAtMs: nowMs,
        orderAnsweredAtMs: Number.POSITIVE_INFINITY,
        percent: 0,
        usage: 0,
        ownCheckpoint: task.checkpoint,
        checkpointedAtMs: nowMs,
    };
    runs.set(task, run);
    return { task, run };
};

/**
 * Takes back placements with which the job's record would leave no room in its row: of independent tasks as many as it
 * takes, of a gang all. Returns those that stay.
 */
const withdrawUnrecordable = (
    { log, runs }: PlannerContext,
    unit: Unit,
    placed: readonly PlacedTask[],
): readonly PlacedTask[] => {
    const kept = [...placed];
    while (kept.length > 0 && !leavesRoomInRow(unit.job)) {
        const withdrawn = kept.splice(unit.step.gang ? 0 : Math.floor(kept.length * keptShare));
        withdrawn.forEach(({ task }) => runs.clear(task));
    }
    if (kept.length < placed.length) {
        const counts = { placed: placed.length, kept: kept.length };
        log("info", "placement reduced to what fits the job's record", { unit: unit.key, ...counts });
    }
    return kept;
};

const groupByWorker = (placed: readonly PlacedTask[]): PlacedTask[][] => {
    const groups = new Map<WorkerSession, PlacedTask[]>();
    for (const entry of placed) {
        const group = groups.get(entry.run.worker) ?? [];
        group.push(entry);
        groups.set(entry.run.worker, group);
    }
    return [...groups.values()];
};

/** Creates the part of a planner that sends start orders. */
export const createRunStarter = (context: PlannerContext, runStopper: RunStopper): RunStarter => {
    const { log, timer, runs, term } = context;
    const startSender = createStartSender(context, runStopper);
    const runNumberBase = (term - 1) * runNumbersPerTerm;

    const abandonPlacement = (unit: Unit, placed: readonly PlacedTask[], reason: string): void => {
        placed.filter(isCurrent).forEach(({ task }) => runs.clear(task));
        log("info", "placement given up", { unit: unit.key, reason });
        requeueUnstarted(unit.job);
        if (!isEnded(unit.job.phase)) {
            void context.record(unit.job);
        }
        context.requestRound();
    };

    const send = (unit: Unit, placed: readonly PlacedTask[]): void => {
        for (const entry of placed.filter(isCurrent)) {
            entry.run.phase = RunPhase.Starting;
            entry.run.orderedAtMs = timer.nowMs();
            startSender.send(entry, unit.job.submission.spec);
        }
    };

    /** Sends the orders once acknowledgements that are on their way to the workers are answered; no others follow until then. */
    const sendAfterAcknowledgements = (unit: Unit, placed: readonly PlacedTask[], plannedAtMs: number): void => {
        const pending = placed.flatMap(({ run }) => run.worker.pendingAcknowledgement() ?? []);
        if (pending.length === 0) {
            send(unit, placed);
            return;
        }
        const endWaits = placed.map(({ run }) => run.worker.recordStart());
        void Promise.all(pending).then(() => {
            const problem = findPlacementProblem(context, unit, placed, plannedAtMs);
            if (problem === undefined) {
                send(unit, placed);
            }
            else {
                abandonPlacement(unit, placed, problem);
            }
            endWaits.forEach(endWait => endWait());
        });
    };

    const startRecorded = (unit: Unit, placed: readonly PlacedTask[], plannedAtMs: number): void => {
        const problem = findPlacementProblem(context, unit, placed, plannedAtMs);
        if (problem !== undefined) {
            abandonPlacement(unit, placed, problem);
            return;
        }
        if (!placed.every(isCurrent)) {
            // the record names runs that were withdrawn since; their tasks are placed again
            void context.record(unit.job);
            context.requestRound();
        }
        const groups = unit.step.gang ? [placed] : groupByWorker(placed);
        groups.forEach(group => sendAfterAcknowledgements(unit, group, plannedAtMs));
    };

    const start = (unit: Unit, assignments: readonly Assignment[]): void => {
        const plannedAtMs = timer.nowMs();
        const waitMs = plannedAtMs - (unit.readySinceMs ?? plannedAtMs);
        context.metrics.recordStart(unit.job.submission.priority, waitMs);
        const highestRun = Math.max(runNumberBase, ...unit.tasks.map(task => task.lastRunNumber));
        const assigned: PlacedTask[] = [];
        for (const { taskIndex, workerId } of assignments) {
            const worker = context.sessions.get(workerId);
            const task = unit.tasks[taskIndex];
            if (worker !== undefined && task.run === undefined && !task.done) {
                const number = unit.step.gang ? highestRun + 1 : Math.max(runNumberBase, task.lastRunNumber) + 1;
                assigned.push(placeTask(context, task, number, worker));
            }
        }
        const placed = withdrawUnrecordable(context, unit, assigned);
        if (placed.length === 0) {
            return;
        }
        if (unit.job.phase === JobPhase.Queued) {
            unit.job.phase = JobPhase.Running;
        }
        void context.record(unit.job).then(recorded => {
            if (recorded) {
                startRecorded(unit, placed, plannedAtMs);
            }
            else if (!context.isTermOver()) {
                abandonPlacement(unit, placed, "it could not be recorded");
            }
        });
    };

    return { start };
};
