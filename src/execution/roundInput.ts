import { expiresAfterMs, objectiveMs } from "../jobs/objective.js";
import { areDependenciesComplete, RunPhase, workersOf } from "../jobs/progress.js";
import type { JobState, Run, TaskState, Unit } from "../jobs/progress.js";
import { isEnded } from "../jobs/types.js";
import { coreEquivalentsOf, occupiedBy, subtractResources } from "../planning/resources.js";
import type { Candidate, Occupant, WorkerInfo } from "../planning/types.js";
import type { UrgentUse } from "../planning/urgentDemand.js";
import type { PlannerContext } from "./context.js";
import { disruptionLimitOf } from "./disruptionLimit.js";
import { peakAccelerators } from "./guarantees.js";
import type { GuaranteeAllocations } from "./guarantees.js";
import { isResumable } from "./isResumable.js";
import { leaseRenewalWindowMs } from "./plannerElection.js";
import type { WorkerSession } from "./session.js";
import { usualLeaseMs } from "./workerLease.js";
import { addRackRisk } from "./workerRisk.js";

/** Time lost when a run is stopped and resumed: the stop, the wait for a placement and loading the checkpoint. */
const resumeCostMs = 500;
/** Time without an answer, two polls, after which a worker is assigned no new tasks. */
export const maxSilentMs = 700;

/** Whether a worker accepts work, apart from cooldowns. */
const isReady = (context: PlannerContext, session: WorkerSession): boolean => {
    const { descriptor } = session;
    return descriptor !== undefined && !descriptor.draining && session.isSynced() && session.silentMs() < maxSilentMs
        && session.mayExtendLease()
        && !context.operator().evacuatedZones.has(descriptor.availabilityZone);
};

/** Expected remaining time of a run that exceeded its declared time, as a share of its elapsed time. */
const overrunShare = 0.3;

/**
 * Expected remaining run time, from the declared time at the speed of the workers or, once that is exceeded, from the
 * elapsed time; infinite for a long-running task.
 */
const remainingMs = ({ run, unit }: TaskState, speed: number, nowMs: number): number => {
    if (unit.step.longRunning) {
        return Number.POSITIVE_INFINITY;
    }
    const elapsedMs = nowMs - (run?.orderedAtMs ?? nowMs);
    return Math.max(unit.step.estimateMs / speed - elapsedMs, elapsedMs * overrunShare);
};

/** Finds the speed at which a task runs, that of the slowest member of its gang; a gang is looked at once. */
const createRunSpeeds = ({ speeds }: PlannerContext) => {
    const byGang = new Map<Unit, number>();
    if (!speeds.knowsSlowWorkers()) {
        return () => 1;
    }
    return (task: TaskState, worker: WorkerSession): number => {
        if (!task.unit.step.gang) {
            return speeds.speedOf(worker);
        }
        const speed = byGang.get(task.unit) ?? speeds.slowestOf(workersOf(task));
        byGang.set(task.unit, speed);
        return speed;
    };
};

/** Whether the resources of a task's run count as migratable: it is resumable and not of priority 0. */
const isMigratable = (task: TaskState, nowMs: number): boolean =>
    task.run !== undefined && task.unit.job.submission.priority > 0 && isResumable(task, task.run, nowMs);

/** Time after its placement from which a run that is not recorded yet does not count as in use: writes take 4 ms. */
const unrecordedAfterMs = 500;

/**
 * Whether a worker's lease has most likely expired: the worker has not answered for the length of a lease, or it has not
 * answered this planner, and an earlier one would have had to renew the lease after it last confirmed its term.
 */
const hasMostLikelyLapsed = (session: WorkerSession, nowMs: number): boolean =>
    session.silentMs() >= usualLeaseMs
    || (!session.isSynced() && nowMs > session.lease.expiresAtMs() - leaseRenewalWindowMs);

/** Whether a run may be at work, or will be in a moment: it is recorded or was placed just now, and its lease lasts. */
const isAtWork = ({ run }: TaskState, session: WorkerSession, nowMs: number): boolean => {
    const staysUnrecorded = run?.phase === RunPhase.Recording && nowMs - run.orderedAtMs > unrecordedAfterMs;
    return !staysUnrecorded && !hasMostLikelyLapsed(session, nowMs);
};

/** Whether a task's run is being stopped, which takes less than a second. */
const isStopping = ({ run }: TaskState): boolean => run?.phase === RunPhase.Stopping;

/** Accumulates when the runs of a worker end, weighted by their sizes; reused for each worker. */
const createMeanOfEnds = () => {
    let size = 0;
    let endingSize = 0;
    let preemptibleSize = 0;
    let sumMs = 0;
    return {
        reset: (): void => {
            size =
                endingSize =
                preemptibleSize =
                sumMs =
                    0;
        },
        add: ({ unit: { job, step } }: TaskState, remainingRunMs: number): void => {
            const runSize = coreEquivalentsOf(occupiedBy(step));
            size += runSize;
            if (Number.isFinite(remainingRunMs)) {
                endingSize += runSize;
                preemptibleSize += job.submission.priority > 0 ? runSize : 0;
                sumMs += runSize * remainingRunMs;
            }
        },
        share: (): number => size === 0 ? 0 : endingSize / size,
        preemptibleShare: (): number => size === 0 ? 0 : preemptibleSize / size,
        meanMs: (): number => endingSize === 0 ? 0 : sumMs / endingSize,
    };
};

/** Collects the listed workers with their free resources. */
export const collectWorkers = (context: PlannerContext): WorkerInfo[] => {
    const workers: WorkerInfo[] = [];
    const speedOfRun = createRunSpeeds(context);
    const ends = createMeanOfEnds();
    for (const session of context.sessions.values()) {
        const { descriptor } = session;
        if (descriptor === undefined) {
            continue;
        }
        const ready = isReady(context, session);
        const coolingDown = ready && context.health.isCoolingDown(session.id);
        ends.reset();
        const worker: WorkerInfo = {
            workerId: session.id,
            service: descriptor.service,
            availabilityZone: descriptor.availabilityZone,
            rack: descriptor.rack,
            labels: descriptor.labels,
            capacity: descriptor.capacity,
            free: { ...descriptor.capacity },
            notAtWork: { milliCores: 0, memoryMb: 0, accelerators: 0 },
            migratable: { milliCores: 0, memoryMb: 0, accelerators: 0 },
            usable: ready && !coolingDown,
            coolingDown,
            isUrgentHeadroom: false,
            busyForMs: 0,
            backfillWindowMs: Number.POSITIVE_INFINITY,
            hasReservation: false,
            suspicion: context.health.suspicionOf(session.id),
            risk: context.health.riskOf(session.id),
            relativeSpeed: context.speeds.speedOf(session),
            hasServingTask: false,
            hasIdleFillingTask: false,
        };
        for (const task of context.runs.tasksOn(session)) {
            const { step } = task.unit;
            subtractResources(worker.free, occupiedBy(step), 1);
            if (!isAtWork(task, session, context.timer.nowMs())) {
                subtractResources(worker.notAtWork, occupiedBy(step), -1);
            }
            const migratable = isMigratable(task, context.timer.nowMs());
            if (migratable) {
                subtractResources(worker.migratable, occupiedBy(step), -1);
            }
            const leftMs = remainingMs(task, speedOfRun(task, session), context.timer.nowMs());
            worker.busyForMs = Math.max(worker.busyForMs, leftMs);
            ends.add(task, isStopping(task) ? 0 : leftMs);
            worker.hasServingTask ||= step.targetMs !== undefined;
            worker.hasIdleFillingTask ||= step.fillsIdleCores;
        }
        worker.endingShare = ends.share();
        worker.preemptibleShare = ends.preemptibleShare();
        worker.meanRemainingMs = ends.meanMs();
        workers.push(worker);
    }
    addRackRisk(workers);
    return workers;
};

/** Number of the unit's tasks that have a run, by worker id. */
const countRunningByWorker = (unit: Unit): Map<string, number> => {
    const counts = new Map<string, number>();
    for (const task of unit.tasks) {
        if (task.run !== undefined) {
            const { id } = task.run.worker;
            counts.set(id, (counts.get(id) ?? 0) + 1);
        }
    }
    return counts;
};

/** Declared time of the unit's step and of the longest step that directly depends on it. */
const remainingCriticalPathMs = (unit: Unit): number => {
    const { steps } = unit.job.submission;
    const successors = steps.map((step, index) => ({ step, index })).filter(({ step }) =>
        step.after.includes(unit.stepIndex)
    );
    const longestSuccessorMs = successors.reduce((most, { step }) => Math.max(most, step.estimateMs), 0);
    return unit.step.estimateMs + longestSuccessorMs;
};

/** Tasks to place; none of a gang while one of its members has a run or is done. */
const waitingTaskIndexes = (unit: Unit): number[] => {
    const waiting = unit.tasks.filter(task => !task.done && task.run === undefined).map(task => task.index);
    return unit.step.gang && waiting.length < unit.tasks.length ? [] : waiting;
};

const isDue = ({ dueAtMs }: Unit, wallMs: number): boolean => dueAtMs === undefined || dueAtMs <= wallMs;

/** Whether the turn of a unit's tasks has come. */
export const isWaiting = (unit: Unit, nowMs: number, wallMs: number): boolean =>
    !unit.complete && isDue(unit, wallMs) && unit.notBeforeMs <= nowMs && areDependenciesComplete(unit);

const toCandidate = (
    unit: Unit,
    taskIndexes: number[],
    guarantees: GuaranteeAllocations,
    nowMs: number,
    wallMs: number,
): Candidate => {
    const { submission } = unit.job;
    const ageMs = unit.dueAtMs === undefined ? nowMs - unit.job.acceptedAtMs : wallMs - unit.dueAtMs;
    const allowedMs = objectiveMs(submission) + submission.slackFactor * unit.failedRunMs;
    unit.readySinceMs ??= nowMs;
    unit.waitingSinceMs ??= nowMs;
    return {
        key: unit.key,
        job: submission,
        step: unit.step,
        taskIndexes,
        avoidedWorkers: unit.avoidedWorkers,
        mustAvoid: nowMs < unit.mustAvoidUntilMs,
        runningOn: countRunningByWorker(unit),
        waitingMs: nowMs - unit.readySinceMs,
        uninterruptedWaitMs: nowMs - unit.waitingSinceMs,
        timeToObjectiveMs: unit.step.longRunning ? Number.MAX_SAFE_INTEGER : allowedMs - ageMs,
        timeToExpiryMs: unit.step.longRunning ? Number.MAX_SAFE_INTEGER : expiresAfterMs(submission) - ageMs,
        remainingCriticalPathMs: remainingCriticalPathMs(unit),
        guaranteed: unit.step.after.length === 0 && guarantees.has(unit.job),
        reservedWorkers: guarantees.get(unit.job)?.reservedWorkers,
        preemptsNothing: unit.holdsPreemptionUntilMs > nowMs,
    };
};

/** Collects the steps that have tasks to place. */
export const collectCandidates = (context: PlannerContext, guarantees: GuaranteeAllocations): Candidate[] => {
    const nowMs = context.timer.nowMs();
    const wallMs = context.timer.wallClockMs();
    const candidates: Candidate[] = [];
    for (const job of context.openJobs) {
        if (isEnded(job.phase) || job.cancelled) {
            continue;
        }
        for (const unit of job.units.values()) {
            const waiting = isWaiting(unit, nowMs, wallMs) ? waitingTaskIndexes(unit) : [];
            if (waiting.length > 0) {
                candidates.push(toCandidate(unit, waiting, guarantees, nowMs, wallMs));
            }
            else {
                unit.waitingSinceMs = undefined;
            }
        }
    }
    return candidates;
};

/** Work that would be lost if a run were stopped now, in core-milliseconds. */
const lostCoreMs = (task: TaskState, run: Run, nowMs: number): number => {
    // a resumable run saves a checkpoint when it is stopped
    const lostMs = isResumable(task, run, nowMs) ? resumeCostMs : nowMs - run.orderedAtMs;
    return lostMs * coreEquivalentsOf(task.unit.step.resources);
};

const toOccupant = (
    unit: Unit,
    tasks: readonly TaskState[],
    nowMs: number,
    limits: Pick<Occupant, "guaranteed" | "disruptionLimit">,
): Occupant => ({
    key: unit.key,
    customer: unit.job.submission.customer,
    priority: unit.job.submission.priority,
    resources: occupiedBy(unit.step),
    tasks: tasks.map(task => ({ taskIndex: task.index, workerId: task.run?.worker.id ?? "" })),
    lostCoreMs: tasks.reduce((sum, task) => sum + (task.run === undefined ? 0 : lostCoreMs(task, task.run, nowMs)), 0),
    evictions: unit.evictions,
    resumable: tasks.every(task => task.run !== undefined && isResumable(task, task.run, nowMs)),
    ...limits,
});

/** Collects the runs that may be preempted, those of a gang as one occupant. */
export const collectOccupants = (context: PlannerContext, guarantees: GuaranteeAllocations): Occupant[] => {
    const nowMs = context.timer.nowMs();
    const occupants: Occupant[] = [];
    for (const job of context.openJobs) {
        const guaranteed = guarantees.has(job);
        for (const unit of job.units.values()) {
            if (unit.complete) {
                continue;
            }
            const running = unit.tasks.filter(task => task.run?.phase === RunPhase.Running);
            const limits = { guaranteed, disruptionLimit: disruptionLimitOf(unit) };
            if (!unit.step.gang) {
                running.forEach(task => occupants.push(toOccupant(unit, [task], nowMs, limits)));
            }
            else if (running.length > 0 && running.length === unit.tasks.length) {
                occupants.push(toOccupant(unit, running, nowMs, limits));
            }
        }
    }
    return occupants;
};

/** Monotonic time at which a job, or its latest occurrence, arrived; `undefined` before the first occurrence. */
const arrivalMs = ({ submission, acceptedAtMs, occurrenceAddedAtMs }: JobState): number | undefined =>
    submission.repeatCount === 0 ? acceptedAtMs : occurrenceAddedAtMs;

/** What jobs of priority 0 use or wait for. */
export const collectUrgentUse = (context: PlannerContext): UrgentUse => {
    const use: UrgentUse = { accelerators: 0 };
    for (const job of context.openJobs) {
        if (job.submission.priority === 0 && !isEnded(job.phase) && !job.cancelled) {
            use.accelerators += peakAccelerators(job);
            use.latestArrivalMs = Math.max(
                use.latestArrivalMs ?? Number.NEGATIVE_INFINITY,
                arrivalMs(job) ?? Number.NEGATIVE_INFINITY,
            );
        }
    }
    return use;
};
