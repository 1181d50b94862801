import { RunPhase, taskIdOf, taskKey } from "../jobs/progress.js";
import type { Run, TaskState, Unit } from "../jobs/progress.js";
import { isEnded, JobPhase } from "../jobs/types.js";
import type { Assignment } from "../planning/types.js";
import type { Result } from "../utils/result.js";
import type { PlannerContext } from "./context.js";
import type { WorkerSession } from "./session.js";
import type { Stops } from "./stops.js";
import { Refusal } from "./types.js";
import type { OrderError } from "./types.js";

/** Starts tasks where a round has placed them. */
export interface Starts {
    /** Records where tasks of a unit go, then starts them there. */
    start(unit: Unit, assignments: readonly Assignment[]): void;
}

/** Runs of one task that a planner can order in its term; the next term begins above them. */
const runsPerTerm = 1_000;
/** Age of a placement above which it is planned anew, since what it was based on has changed. */
const maxPlacementAgeMs = 1_500;

/**
 * Lease that a start carries; the look that follows it renews for longer. A start that got no answer on an idle worker
 * that fell silent is given up after this time, and it is long against the 0.9 s that the answer may take.
 */
const startLeaseMs = 2_000;

interface PlacedTask {
    task: TaskState;
    run: Run;
}

const isCurrent = ({ task, run }: PlacedTask): boolean => task.run === run;

const outcomeOf = (result: Result<unknown, OrderError>): string => {
    if (result.ok) {
        return "started";
    }
    return result.error.kind === "refused" ? result.error.refusal : `no answer: ${result.error.detail}`;
};

/** Why tasks cannot be started where they were placed a moment ago; `undefined` if they can. */
const findObstacle = (
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
    const { evacuatedZones } = context.operator();
    const isUnfit = ({ run: { worker } }: PlacedTask): boolean =>
        worker.descriptor === undefined || worker.descriptor.draining || worker.closed || !worker.isSynced()
        || evacuatedZones.has(worker.descriptor.availabilityZone);
    const unfit = placed.find(isUnfit);
    return unfit === undefined ? undefined : `worker ${unfit.run.worker.id} is not to be used any more`;
};

/** Creates the part of a planner that orders runs to start. */
export const createStarts = (context: PlannerContext, stops: Stops): Starts => {
    const { log, timer, runs, health, term } = context;
    const firstRun = (term - 1) * runsPerTerm;

    const giveUp = (unit: Unit, placed: readonly PlacedTask[], reason: string): void => {
        placed.filter(isCurrent).forEach(({ task }) => runs.clear(task));
        log("info", "placement given up", { unit: unit.key, reason });
        if (!isEnded(unit.job.phase)) {
            void context.record(unit.job);
        }
        context.requestRound();
    };

    const onRefused = ({ task, run }: PlacedTask, error: OrderError & { kind: "refused"; }): void => {
        if (error.refusal === Refusal.Unhealthy) {
            health.recordFault(run.worker.id);
        }
        if (error.clockMs !== undefined) {
            run.worker.recordAnswer(error.clockMs);
        }
        runs.clear(task);
        if (task.unit.step.gang) {
            stops.stopMembers(task.unit, run.number, "another member was refused");
        }
        run.worker.resumePolling(true);
        void context.record(task.unit.job);
        context.requestRound();
    };

    const onStarted = (run: Run, clockMs: number): void => {
        run.worker.recordAnswer(clockMs);
        if (run.phase === RunPhase.Starting) {
            run.phase = RunPhase.Running;
            run.orderAnsweredAtMs = timer.nowMs();
        }
        run.worker.resumePolling();
    };

    const send = async (placed: PlacedTask, spec: string): Promise<void> => {
        const { task, run } = placed;
        const { worker } = run;
        if (worker.client === undefined) {
            return;
        }
        const untilClockMs = worker.untilClockMs(startLeaseMs);
        worker.recordLease(untilClockMs);
        const started = await worker.client.start({
            task: taskIdOf(task),
            run: run.number,
            spec,
            untilClockMs,
            checkpoint: task.checkpoint,
            fencingToken: term,
            gangSize: task.unit.step.gang ? task.unit.tasks.length : undefined,
        });
        const name = taskKey(taskIdOf(task));
        log("info", "start ordered", { task: name, run: run.number, worker: worker.id, outcome: outcomeOf(started) });
        if (!isCurrent(placed)) {
            return;
        }
        if (started.ok) {
            onStarted(run, started.value.clockMs);
        }
        else if (started.error.kind === "refused") {
            onRefused(placed, started.error);
        }
        else {
            run.phase = run.phase === RunPhase.Starting ? RunPhase.Unknown : run.phase;
            worker.recordNoAnswer(started.error.detail);
            worker.resumePolling(true);
        }
    };

    const startRecorded = (unit: Unit, placed: readonly PlacedTask[], plannedAtMs: number): void => {
        const obstacle = findObstacle(context, unit, placed, plannedAtMs);
        if (obstacle !== undefined) {
            giveUp(unit, placed, obstacle);
            return;
        }
        for (const entry of placed.filter(isCurrent)) {
            entry.run.phase = RunPhase.Starting;
            entry.run.orderedAtMs = timer.nowMs();
            void send(entry, unit.job.submission.spec);
        }
    };

    const place = (task: TaskState, number: number, worker: WorkerSession): PlacedTask => {
        const nowMs = timer.nowMs();
        const run: Run = {
            number,
            worker,
            phase: RunPhase.Recording,
            orderedAtMs: nowMs,
            orderAnsweredAtMs: Number.POSITIVE_INFINITY,
            percent: 0,
            usage: 0,
            checkpointedAtMs: nowMs,
        };
        runs.set(task, run);
        return { task, run };
    };

    const start = (unit: Unit, assignments: readonly Assignment[]): void => {
        const plannedAtMs = timer.nowMs();
        const waitMs = plannedAtMs - (unit.readySinceMs ?? plannedAtMs);
        context.metrics.noteStart(unit.job.submission.priority, waitMs);
        const highest = Math.max(firstRun, ...unit.tasks.map(task => task.lastRunNumber));
        const placed: PlacedTask[] = [];
        for (const { taskIndex, workerId } of assignments) {
            const worker = context.sessions.get(workerId);
            const task = unit.tasks[taskIndex];
            if (worker !== undefined && task.run === undefined && !task.done) {
                const number = unit.step.gang ? highest + 1 : Math.max(firstRun, task.lastRunNumber) + 1;
                placed.push(place(task, number, worker));
            }
        }
        if (unit.job.phase === JobPhase.Queued) {
            unit.job.phase = JobPhase.Running;
        }
        void context.record(unit.job).then(recorded => {
            if (recorded) {
                startRecorded(unit, placed, plannedAtMs);
            }
        });
    };

    return { start };
};
