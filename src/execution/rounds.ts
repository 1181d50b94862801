import { activeRuns, addOccurrence, nextDueAtMs } from "../jobs/progress.js";
import type { JobState, Unit } from "../jobs/progress.js";
import { isEnded } from "../jobs/types.js";
import { noReservations } from "../planning/reservations.js";
import { planRound } from "../planning/round.js";
import type { Candidate, Occupant, PreemptionClaim, Room, Round } from "../planning/types.js";
import { createUrgentDemand } from "../planning/urgentDemand.js";
import { attempt } from "../utils/unexpected.js";
import type { PlannerContext } from "./context.js";
import { followIdleRoom, guaranteedGangs, surveyCells, surveyGuarantees } from "./guarantees.js";
import type { Guarantees } from "./guarantees.js";
import type { Starts } from "./starts.js";
import type { Stops } from "./stops.js";
import { surveyCandidates, surveyOccupants, surveyRooms, surveyUrgentUse } from "./survey.js";
import type { Watch } from "./watch.js";

/** The planning rounds of a term. */
export interface Rounds {
    /** Plans soon. */
    request(): void;
    /** Runs the first round; earlier requests have no effect. */
    begin(): void;
    /** Room that is kept while others make way. */
    claims(): readonly PreemptionClaim[];
    stop(): void;
}

/** Time until a round after a change, so that changes of the same moment are planned together. */
const roundDelayMs = 4;
/** Time between rounds without a change: claims and pauses run out by time. */
const idleRoundMs = 250;
/** Share of the time that planning may take, so that orders and reports are not held up. */
const maxRoundShare = 0.3;
/** Priorities that the figures of waiting work show; queues use 0 to 2. */
const shownPriorities = [0, 1, 2];

const findUnit = (context: PlannerContext, key: string): Unit | undefined => {
    // a job's id may hold dots; occurrence and step are the last two parts
    const at = key.lastIndexOf(".", key.lastIndexOf(".") - 1);
    return context.jobs.get(key.slice(0, at))?.units.get(key.slice(at + 1));
};

const isOver = (job: JobState): boolean => isEnded(job.phase) && activeRuns(job).length === 0;

const noteWaiting = ({ metrics }: PlannerContext, candidates: readonly Candidate[]): void => {
    for (const priority of shownPriorities) {
        const waiting = candidates.filter(candidate => candidate.job.priority === priority);
        metrics.setWaiting(priority, waiting.reduce((sum, candidate) => sum + candidate.taskIndexes.length, 0));
    }
};

const carryOut = (context: PlannerContext, stops: Stops, starts: Starts, round: Round): void => {
    for (const { occupant, forKey } of round.evictions) {
        const unit = findUnit(context, occupant.key);
        if (unit === undefined) {
            continue;
        }
        unit.evictions += 1;
        for (const { taskIndex } of occupant.tasks) {
            const task = unit.tasks[taskIndex];
            if (task.run !== undefined) {
                stops.stop(task, task.run, `makes room for ${forKey}`);
            }
        }
    }
    for (const { candidate, assignments } of round.placements) {
        const unit = findUnit(context, candidate.key);
        if (unit !== undefined) {
            starts.start(unit, assignments);
        }
    }
};

/** Runs planning rounds soon after changes and at intervals. */
export const createRounds = (context: PlannerContext, stops: Stops, starts: Starts, watch: Watch): Rounds => {
    const { timer } = context;
    const urgentDemand = createUrgentDemand();
    let claims: PreemptionClaim[] = [];
    let places = noReservations;
    let due: (() => void) | undefined;
    let begun = false;
    let lastRoundMs = 0;

    const addDueOccurrences = (job: JobState): void => {
        while (!isEnded(job.phase) && nextDueAtMs(job) <= timer.wallClockMs()) {
            addOccurrence(job);
        }
    };

    const run = (): void => {
        due = undefined;
        if (!context.mayOrder()) {
            return;
        }
        const nowMs = timer.nowMs();
        attempt(() => plan(nowMs), detail => context.log("error", "a planning round failed", { detail }));
        lastRoundMs = timer.nowMs() - nowMs;
    };

    const prepare = (): void => {
        context.openJobs.forEach(job => isOver(job) ? context.openJobs.delete(job) : addDueOccurrences(job));
        watch.moveFromLeaving();
    };

    /** Guarantees with places of their own are looked after also while nothing waits. */
    const plan = (nowMs: number): void => {
        prepare();
        const rooms = guaranteedGangs(context).length > 0 ? surveyRooms(context) : undefined;
        const cells = rooms === undefined ? places.reservations : surveyCells(context, rooms, places);
        const guarantees = surveyGuarantees(context, cells);
        if (rooms !== undefined) {
            places = followIdleRoom(context, rooms, cells, guarantees);
        }
        const candidates = surveyCandidates(context, guarantees);
        noteWaiting(context, candidates);
        if (candidates.length > 0) {
            decide(nowMs, rooms ?? surveyRooms(context), candidates, guarantees);
        }
    };

    const decide = (nowMs: number, rooms: Room[], candidates: Candidate[], guarantees: Guarantees): void => {
        const expectedUrgent = urgentDemand.expected(nowMs, surveyUrgentUse(context), rooms);
        const occupants = (): Occupant[] => surveyOccupants(context, guarantees);
        const round = planRound({
            nowMs,
            workers: rooms,
            candidates,
            occupants,
            claims,
            urgentHeadroom: expectedUrgent,
        });
        claims = round.claims;
        carryOut(context, stops, starts, round);
    };

    const request = (): void => {
        if (due === undefined && begun && !context.isOver()) {
            due = timer.after(Math.max(roundDelayMs, lastRoundMs / maxRoundShare), run);
        }
    };

    const unsubscribe = timer.every(idleRoundMs, request);
    return {
        request,
        begin: () => {
            begun = true;
            run();
        },
        claims: () => claims,
        stop: () => {
            unsubscribe();
            due?.();
        },
    };
};
