import { objectiveMs, uselessAfterMs } from "../jobs/objective.js";
import { isReleased, RunPhase } from "../jobs/progress.js";
import type { JobState, Run, TaskState, Unit } from "../jobs/progress.js";
import { isEnded } from "../jobs/types.js";
import { coresOf, occupiedBy, take } from "../planning/resources.js";
import type { Candidate, Occupant, Room } from "../planning/types.js";
import type { PlannerContext } from "./context.js";
import type { WorkerSession } from "./session.js";

/** Time lost by work that is stopped and resumed: the stop, the wait for a place and the reading of its progress. */
const resumeMs = 500;
/** Silence after which a worker gets no new work: two looks without an answer. */
const maxSilentMs = 700;

const isUsable = (context: PlannerContext, session: WorkerSession): boolean => {
    const { view } = session;
    return view !== undefined && !view.draining && session.isCleared() && session.silentMs() < maxSilentMs
        && !context.operator().evacuatedZones.has(view.availabilityZone) && !context.health.isResting(session.id);
};

/** Workers with what is free on them. */
export const surveyRooms = (context: PlannerContext): Room[] => {
    const rooms: Room[] = [];
    for (const session of context.sessions.values()) {
        const { view } = session;
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
            usable: isUsable(context, session),
            keptForUrgent: false,
            suspicion: context.health.suspicionOf(session.id),
            hasServing: false,
            hasFilling: false,
        };
        for (const task of context.runs.on(session)) {
            const { step } = task.unit;
            take(room.free, occupiedBy(step), 1);
            room.hasServing ||= step.targetMs !== undefined;
            room.hasFilling ||= step.fillsIdleCores;
        }
        rooms.push(room);
    }
    return rooms;
};

const acceleratorNeed = (job: JobState): number =>
    Math.max(0, ...job.submission.steps.map(step => step.taskCount * step.resources.accelerators));

/** Customers whose unended jobs of priority 0 fit into what is guaranteed to them. */
const guaranteedCustomers = (context: PlannerContext): Set<string> => {
    const needs = new Map<string, number>();
    for (const job of context.jobs.values()) {
        const { customer, priority } = job.submission;
        if (customer !== undefined && priority === 0 && !isEnded(job.phase)) {
            needs.set(customer, (needs.get(customer) ?? 0) + acceleratorNeed(job));
        }
    }
    const customers = context.operator().configuration?.customers ?? [];
    return new Set(
        customers
            .filter(customer => (needs.get(customer.name) ?? 0) <= customer.guaranteedAccelerators)
            .map(customer => customer.name),
    );
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
    !unit.complete && unit.dueAtMs <= wallMs && unit.notBeforeMs <= nowMs && isReleased(unit);

const toCandidate = (
    unit: Unit,
    taskIndexes: number[],
    guaranteed: ReadonlySet<string>,
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
        avoid: unit.avoid,
        avoidsStrictly: nowMs < unit.avoidUntilMs,
        runningOn: countRunning(unit),
        waitingMs: nowMs - unit.readySinceMs,
        objectiveInMs: unit.step.longRunning ? Number.MAX_SAFE_INTEGER : objectiveMs(submission) - ageMs,
        uselessInMs: unit.step.longRunning ? Number.MAX_SAFE_INTEGER : uselessAfterMs(submission) - ageMs,
        remainingChainMs: remainingChainMs(unit),
        guaranteed: submission.priority === 0 && unit.step.after.length === 0
            && submission.customer !== undefined && guaranteed.has(submission.customer),
    };
};

/** Steps whose tasks wait for a place. */
export const surveyCandidates = (context: PlannerContext): Candidate[] => {
    const nowMs = context.timer.nowMs();
    const wallMs = context.timer.wallClockMs();
    const guaranteed = guaranteedCustomers(context);
    const candidates: Candidate[] = [];
    for (const job of context.jobs.values()) {
        if (isEnded(job.phase) || job.cancelled) {
            continue;
        }
        for (const unit of job.units.values()) {
            const waiting = isWaiting(unit, nowMs, wallMs) ? waitingTasks(unit) : [];
            if (waiting.length > 0) {
                candidates.push(toCandidate(unit, waiting, guaranteed, nowMs, wallMs));
            }
        }
    }
    return candidates;
};

/** Work of a run that would have to be done again if it were stopped now, in core-milliseconds. */
const lostCoreMs = (task: TaskState, run: Run, nowMs: number): number => {
    // a stop saves the progress of work that can be resumed
    const lostMs = task.unit.step.checkpointing ? resumeMs : nowMs - run.orderedAtMs;
    return lostMs * coresOf(task.unit.step.resources);
};

const mayBeTakenBack = (unit: Unit): boolean =>
    !unit.complete && unit.step.maxUnavailable === undefined && unit.job.submission.priority > 0;

const toOccupant = (unit: Unit, tasks: readonly TaskState[], nowMs: number): Occupant => ({
    key: unit.key,
    priority: unit.job.submission.priority,
    resources: occupiedBy(unit.step),
    tasks: tasks.map(task => ({ taskIndex: task.index, workerId: task.run?.worker.id ?? "" })),
    lostCoreMs: tasks.reduce((sum, task) => sum + (task.run === undefined ? 0 : lostCoreMs(task, task.run, nowMs)), 0),
    evictions: unit.evictions,
});

/** Runs that may be taken back, those of a gang together. */
export const surveyOccupants = (context: PlannerContext): Occupant[] => {
    const nowMs = context.timer.nowMs();
    const occupants: Occupant[] = [];
    for (const job of context.jobs.values()) {
        for (const unit of job.units.values()) {
            if (!mayBeTakenBack(unit)) {
                continue;
            }
            const running = unit.tasks.filter(task => task.run?.phase === RunPhase.Running);
            if (!unit.step.gang) {
                running.forEach(task => occupants.push(toOccupant(unit, [task], nowMs)));
            }
            else if (running.length > 0 && running.length === unit.tasks.length) {
                occupants.push(toOccupant(unit, running, nowMs));
            }
        }
    }
    return occupants;
};

/** Accelerators that jobs of priority 0 use or wait for. */
export const surveyUrgentUse = (context: PlannerContext): number => {
    let accelerators = 0;
    for (const job of context.jobs.values()) {
        if (job.submission.priority === 0 && !isEnded(job.phase) && !job.cancelled) {
            accelerators += acceleratorNeed(job);
        }
    }
    return accelerators;
};
