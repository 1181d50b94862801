import { activeRuns, addDueOccurrences } from "../jobs/progress.js";
import type { JobState, Unit } from "../jobs/progress.js";
import { isEnded } from "../jobs/types.js";
import { untilLatestStartMs, workOf } from "../planning/order.js";
import { isExposed } from "../planning/placement.js";
import { noReservations } from "../planning/reservations.js";
import { planRound } from "../planning/round.js";
import type { Candidate, Occupant, Postponements, PreemptionClaim, Round, WorkerInfo } from "../planning/types.js";
import { createUrgentDemand } from "../planning/urgentDemand.js";
import { runGuarded } from "../utils/runGuarded.js";
import type { PlannerContext } from "./context.js";
import { collectCustomerUse } from "./customerLimits.js";
import { allocateGuarantees, guaranteedGangs, reconcileReservations, updateReservations } from "./guarantees.js";
import type { GuaranteeAllocations } from "./guarantees.js";
import { createPostponementReporter } from "./postponementReporter.js";
import { collectCandidates, collectOccupants, collectUrgentUse, collectWorkers } from "./roundInput.js";
import type { RunMonitor } from "./runMonitor.js";
import type { RunStarter } from "./runStarter.js";
import type { RunStopper } from "./runStopper.js";
import { createWaitReporter } from "./waitReporter.js";

/** Schedules the planning rounds of a term. */
export interface RoundScheduler {
    /** Schedules a round, unless one is scheduled already. */
    request(): void;
    /** Runs the first round; requests before that have no effect. */
    start(): void;
    /** Time since the first round; 0 before. */
    runningMs(): number;
    /** Resources claimed for candidates while the runs preempted for them end. */
    claims(): readonly PreemptionClaim[];
    stop(): void;
}

/** Delay of a round after a change, so that changes of the same moment are planned together. */
const roundDelayMs = 4;
/** Interval between rounds without a change: claims and cooldowns expire by time alone. */
const roundIntervalMs = 250;
/** Maximum share of the time spent in planning, so that orders and reports are not delayed. */
const maxPlanningShare = 0.3;
/** Maximum pause for that: a round may also seem long because the process was held up, and waiting work has a bound. */
const maxPauseMs = 500;
/** Interval at which it is judged whether all waiting work can be completed in time; rounds may be 4 ms apart. */
const judgeLoadIntervalMs = 50;
/** Priorities reported in the metric of waiting tasks; queues use 0 to 2. */
const reportedPriorities = [0, 1, 2];

const findUnit = (context: PlannerContext, key: string): Unit | undefined => {
    // a job id may contain dots; occurrence and step are the last two parts of the key
    const at = key.lastIndexOf(".", key.lastIndexOf(".") - 1);
    return context.jobs.get(key.slice(0, at))?.units.get(key.slice(at + 1));
};

/** Whether the job has ended and none of its runs is left. */
const isFinished = (job: JobState): boolean => isEnded(job.phase) && activeRuns(job).length === 0;

const reportWaitingTasks = ({ metrics }: PlannerContext, candidates: readonly Candidate[]): void => {
    for (const priority of reportedPriorities) {
        const waiting = candidates.filter(candidate => candidate.job.priority === priority);
        metrics.setWaitingTasks(priority, waiting.reduce((sum, candidate) => sum + candidate.taskIndexes.length, 0));
    }
};

/** Logs for whom runs are preempted, how long that work can wait and how much work is lost. */
const logPreemptions = ({ log }: PlannerContext, candidates: readonly Candidate[], { evictions }: Round): void => {
    const victimsByKey = new Map<string, Occupant[]>();
    evictions.forEach(({ occupant, forKey }) =>
        victimsByKey.set(forKey, [...victimsByKey.get(forKey) ?? [], occupant])
    );
    for (const candidate of candidates.filter(({ key }) => victimsByKey.has(key))) {
        const victims = victimsByKey.get(candidate.key) ?? [];
        log("info", "preempting other work", {
            unit: candidate.key,
            priority: candidate.job.priority,
            guaranteed: candidate.guaranteed,
            slackMs: Math.round(untilLatestStartMs(candidate)),
            waitingMs: Math.round(candidate.waitingMs),
            coreMs: Math.round(workOf(candidate)),
            victims: victims.length,
            lostCoreMs: Math.round(victims.reduce((sum, victim) => sum + victim.lostCoreMs, 0)),
        });
    }
};

/** Logs where wide gangs that cannot resume are placed while some workers are at risk. */
const logRiskyPlacements = ({ log, metrics }: PlannerContext, workers: readonly WorkerInfo[], round: Round): void => {
    const atRisk = new Map(workers.filter(({ risk }) => risk > 0).map(({ workerId, risk }) => [workerId, risk]));
    metrics.setWorkersAtRisk(atRisk.size);
    for (const { candidate, assignments } of round.placements) {
        if (atRisk.size > 0 && isExposed(candidate)) {
            const risks = [...new Set(assignments.map(({ workerId }) => workerId))].map(id => atRisk.get(id) ?? 0);
            const placed = { tasks: assignments.length, workers: risks.length };
            const used = { usedAtRisk: risks.filter(risk => risk > 0).length, highestRisk: Math.max(...risks) };
            log("info", "wide gang placed", { unit: candidate.key, ...placed, atRisk: atRisk.size, ...used });
        }
    }
};

const applyRound = (context: PlannerContext, runStopper: RunStopper, runStarter: RunStarter, round: Round): void => {
    for (const { occupant, forKey } of round.evictions) {
        const unit = findUnit(context, occupant.key);
        if (unit === undefined) {
            continue;
        }
        unit.evictions += 1;
        for (const { taskIndex } of occupant.tasks) {
            const task = unit.tasks[taskIndex];
            if (task.run !== undefined) {
                runStopper.stop(task, task.run, `makes room for ${forKey}`);
            }
        }
    }
    for (const { candidate, assignments } of round.placements) {
        const unit = findUnit(context, candidate.key);
        if (unit !== undefined) {
            runStarter.start(unit, assignments);
        }
    }
};

/** Creates the scheduler of planning rounds, which run shortly after changes and at a fixed interval. */
export const createRoundScheduler = (
    context: PlannerContext,
    runStopper: RunStopper,
    runStarter: RunStarter,
    runMonitor: RunMonitor,
): RoundScheduler => {
    const { timer } = context;
    const urgentDemand = createUrgentDemand();
    const waitReporter = createWaitReporter(context);
    const postponementReporter = createPostponementReporter(context);
    let claims: PreemptionClaim[] = [];
    let postponements: Postponements = new Map();
    let loadJudgedAtMs = Number.NEGATIVE_INFINITY;
    let reservationState = noReservations;
    let cancelScheduled: (() => void) | undefined;
    let startedAtMs: number | undefined;
    let lastRoundDurationMs = 0;

    const runRound = (): void => {
        cancelScheduled = undefined;
        if (!context.mayOrder()) {
            return;
        }
        const nowMs = timer.nowMs();
        runGuarded(() => plan(nowMs), detail => context.log("error", "a planning round failed", { detail }));
        lastRoundDurationMs = timer.nowMs() - nowMs;
        context.metrics.recordPlanningRound(lastRoundDurationMs);
    };

    const prepareRound = (): void => {
        for (const job of context.openJobs) {
            if (isFinished(job)) {
                context.openJobs.delete(job);
            }
            else if (!isEnded(job.phase)) {
                addDueOccurrences(job, timer.wallClockMs(), timer.nowMs());
            }
        }
        runMonitor.evacuateRuns();
    };

    /** Reservations of guaranteed gangs are updated even while no candidate waits. */
    const plan = (nowMs: number): void => {
        prepareRound();
        const workers = guaranteedGangs(context).length > 0 ? collectWorkers(context) : undefined;
        const reservations = workers === undefined
            ? reservationState.reservations
            : reconcileReservations(context, workers, reservationState);
        const guarantees = allocateGuarantees(context, reservations);
        if (workers !== undefined) {
            reservationState = updateReservations(context, workers, reservations, guarantees);
        }
        const candidates = collectCandidates(context, guarantees);
        reportWaitingTasks(context, candidates);
        if (candidates.length > 0) {
            planCandidates(nowMs, workers ?? collectWorkers(context), candidates, guarantees);
        }
        else {
            postponements = new Map();
        }
        postponementReporter.onRound(candidates, postponements);
        waitReporter.reportHeldUnits();
    };

    const planCandidates = (
        nowMs: number,
        workers: WorkerInfo[],
        candidates: Candidate[],
        guarantees: GuaranteeAllocations,
    ): void => {
        const urgentHeadroom = urgentDemand.expected(nowMs, collectUrgentUse(context), workers);
        const occupants = (): Occupant[] => collectOccupants(context, guarantees);
        const { limits: customerUses, shares: shareUses } = collectCustomerUse(context);
        const keepsPostponements = nowMs - loadJudgedAtMs < judgeLoadIntervalMs;
        loadJudgedAtMs = keepsPostponements ? loadJudgedAtMs : nowMs;
        const round = planRound({
            nowMs,
            workers,
            candidates,
            occupants,
            claims,
            urgentHeadroom,
            customerUses,
            shareUses,
            postponements,
            keepsPostponements,
        });
        claims = round.claims;
        postponements = round.postponements;
        logPreemptions(context, candidates, round);
        logRiskyPlacements(context, workers, round);
        applyRound(context, runStopper, runStarter, round);
        waitReporter.onRound(workers, candidates, round);
    };

    const request = (): void => {
        if (cancelScheduled === undefined && startedAtMs !== undefined && !context.isTermOver()) {
            const pauseMs = Math.min(lastRoundDurationMs / maxPlanningShare, maxPauseMs);
            cancelScheduled = timer.after(Math.max(roundDelayMs, pauseMs), runRound);
        }
    };

    const unsubscribe = timer.every(roundIntervalMs, request);
    return {
        request,
        start: () => {
            startedAtMs = timer.nowMs();
            runRound();
        },
        runningMs: () => startedAtMs === undefined ? 0 : timer.nowMs() - startedAtMs,
        claims: () => claims,
        stop: () => {
            unsubscribe();
            cancelScheduled?.();
        },
    };
};
