import { expiresAfterMs, objectiveMs } from "../jobs/objective.js";
import { areDependenciesComplete, RunPhase } from "../jobs/progress.js";
import type { Run, TaskState, Unit } from "../jobs/progress.js";
import { isEnded } from "../jobs/types.js";
import { coreEquivalentsOf, occupiedBy, subtractResources } from "../planning/resources.js";
import type { Candidate, Occupant, Room } from "../planning/types.js";
import type { PlannerContext } from "./context.js";
import { withinLimits } from "./customerLimits.js";
import { acceleratorNeed } from "./guarantees.js";
import type { Guarantees } from "./guarantees.js";
import { savesProgress } from "./savedProgress.js";
import type { WorkerSession } from "./session.js";

/** Time lost by work that is stopped and resumed: the stop, the wait for a place and the reading of its progress. */
const resumeMs = 500;
/** Silence after which a worker gets no new work: two looks without an answer. */
const maxSilentMs = 700;

const isUsable = (context: PlannerContext, session: WorkerSession): boolean => {
    const { descriptor: view } = session;
    return view !== undefined && !view.draining && session.isSynced() && session.silentMs() < maxSilentMs
        && !context.operator().evacuatedZones.has(view.availabilityZone) && !context.health.isCoolingDown(session.id);
};

/** Share of its time so far that a run which has outlasted its declared time is expected to need yet. */
const overrunShare = 0.3;

/** Declared time that a run still needs; one that has outlasted it is expected to go on for a while. */
const remainingMs = ({ run, unit }: TaskState, nowMs: number): number => {
    const elapsedMs = nowMs - (run?.orderedAtMs ?? nowMs);
    return Math.max(unit.step.estimateMs - elapsedMs, elapsedMs * overrunShare);
};

const isMovable = (task: TaskState, nowMs: number): boolean =>
    task.run !== undefined && task.unit.job.submission.priority > 0 && savesProgress(task, task.run, nowMs);

/** Workers with what is free on them. */
export const surveyRooms = (context: PlannerContext): Room[] => {
    const rooms: Room[] = [];
    for (const session of context.sessions.values()) {
        const { descriptor: view } = session;
        if (view === undefined) {
            continue;
        }
        const room: Room = {
            workerId: session.id,
            service: view.service,
            availabilityZone: view.availabilityZone,
            rack: view.rack,
            labels: view.labels,
            capacity: view.capacity,
            free: { ...view.capacity },
            migratable: { milliCores: 0, memoryMb: 0, accelerators: 0 },
            usable: isUsable(context, session),
            isUrgentHeadroom: false,
            busyForMs: 0,
            backfillWindowMs: Number.POSITIVE_INFINITY,
            hasReservation: false,
            suspicion: context.health.suspicionOf(session.id),
            hasServingTask: false,
            hasIdleFillingTask: false,
        };
        for (const task of context.runs.on(session)) {
            const { step } = task.unit;
            subtractResources(room.free, occupiedBy(step), 1);
            if (isMovable(task, context.timer.nowMs())) {
                subtractResources(room.migratable, occupiedBy(step), -1);
            }
            room.busyForMs = Math.max(room.busyForMs, remainingMs(task, context.timer.nowMs()));
            room.hasServingTask ||= step.targetMs !== undefined;
            room.hasIdleFillingTask ||= step.fillsIdleCores;
        }
        rooms.push(room);
    }
    return rooms;
};

const countRunning = (unit: Unit): Map<string, number> => {
    const counts = new Map<string, number>();
    for (const task of unit.tasks) {
        if (task.run !== undefined) {
            const { id } = task.run.worker;
            counts.set(id, (counts.get(id) ?? 0) + 1);
        }
    }
    return counts;
};

const remainingChainMs = (unit: Unit): number => {
    const { steps } = unit.job.submission;
    const after = steps.map((step, index) => ({ step, index })).filter(({ step }) =>
        step.after.includes(unit.stepIndex)
    );
    const rest = after.reduce((most, { step }) => Math.max(most, step.estimateMs), 0);
    return unit.step.estimateMs + rest;
};

const waitingTasks = (unit: Unit): number[] => {
    const waiting = unit.tasks.filter(task => !task.done && task.run === undefined).map(task => task.index);
    return unit.step.gang && waiting.length < unit.tasks.length ? [] : waiting;
};

const isWaiting = (unit: Unit, nowMs: number, wallMs: number): boolean =>
    !unit.complete && unit.dueAtMs <= wallMs && unit.notBeforeMs <= nowMs && areDependenciesComplete(unit);

const toCandidate = (
    unit: Unit,
    taskIndexes: number[],
    guarantees: Guarantees,
    nowMs: number,
    wallMs: number,
): Candidate => {
    const { submission } = unit.job;
    const ageMs = wallMs - unit.dueAtMs;
    unit.readySinceMs ??= nowMs;
    return {
        key: unit.key,
        job: submission,
        step: unit.step,
        taskIndexes,
        avoidedWorkers: unit.avoidedWorkers,
        mustAvoid: nowMs < unit.mustAvoidUntilMs,
        runningOn: countRunning(unit),
        waitingMs: nowMs - unit.readySinceMs,
        timeToObjectiveMs: unit.step.longRunning ? Number.MAX_SAFE_INTEGER : objectiveMs(submission) - ageMs,
        timeToExpiryMs: unit.step.longRunning ? Number.MAX_SAFE_INTEGER : expiresAfterMs(submission) - ageMs,
        remainingCriticalPathMs: remainingChainMs(unit),
        guaranteed: unit.step.after.length === 0 && guarantees.has(unit.job),
        reservedWorkers: guarantees.get(unit.job)?.cell,
    };
};

/** Steps whose tasks wait for a place. */
export const surveyCandidates = (context: PlannerContext, guarantees: Guarantees): Candidate[] => {
    const nowMs = context.timer.nowMs();
    const wallMs = context.timer.wallClockMs();
    const candidates: Candidate[] = [];
    for (const job of context.openJobs) {
        if (isEnded(job.phase) || job.cancelled) {
            continue;
        }
        for (const unit of job.units.values()) {
            const waiting = isWaiting(unit, nowMs, wallMs) ? waitingTasks(unit) : [];
            if (waiting.length > 0) {
                candidates.push(toCandidate(unit, waiting, guarantees, nowMs, wallMs));
            }
        }
    }
    return withinLimits(context, candidates);
};

/** Work of a run that would have to be done again if it were stopped now, in core-milliseconds. */
const lostCoreMs = (task: TaskState, run: Run, nowMs: number): number => {
    // a stop saves the progress of work that can be resumed
    const lostMs = savesProgress(task, run, nowMs) ? resumeMs : nowMs - run.orderedAtMs;
    return lostMs * coreEquivalentsOf(task.unit.step.resources);
};

const mayBeTakenBack = (unit: Unit): boolean => !unit.complete && unit.step.maxUnavailable === undefined;

const toOccupant = (unit: Unit, tasks: readonly TaskState[], guaranteed: boolean, nowMs: number): Occupant => ({
    key: unit.key,
    priority: unit.job.submission.priority,
    resources: occupiedBy(unit.step),
    tasks: tasks.map(task => ({ taskIndex: task.index, workerId: task.run?.worker.id ?? "" })),
    lostCoreMs: tasks.reduce((sum, task) => sum + (task.run === undefined ? 0 : lostCoreMs(task, task.run, nowMs)), 0),
    evictions: unit.evictions,
    guaranteed,
    resumable: tasks.every(task => task.run !== undefined && savesProgress(task, task.run, nowMs)),
});

/** Runs that may be taken back, those of a gang together. */
export const surveyOccupants = (context: PlannerContext, guarantees: Guarantees): Occupant[] => {
    const nowMs = context.timer.nowMs();
    const occupants: Occupant[] = [];
    for (const job of context.openJobs) {
        const covered = guarantees.has(job);
        for (const unit of job.units.values()) {
            if (!mayBeTakenBack(unit)) {
                continue;
            }
            const running = unit.tasks.filter(task => task.run?.phase === RunPhase.Running);
            if (!unit.step.gang) {
                running.forEach(task => occupants.push(toOccupant(unit, [task], covered, nowMs)));
            }
            else if (running.length > 0 && running.length === unit.tasks.length) {
                occupants.push(toOccupant(unit, running, covered, nowMs));
            }
        }
    }
    return occupants;
};

/** Accelerators that jobs of priority 0 use or wait for. */
export const surveyUrgentUse = (context: PlannerContext): number => {
    let accelerators = 0;
    for (const job of context.openJobs) {
        if (job.submission.priority === 0 && !isEnded(job.phase) && !job.cancelled) {
            accelerators += acceleratorNeed(job);
        }
    }
    return accelerators;
};
