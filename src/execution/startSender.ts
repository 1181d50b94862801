import { RunPhase, taskIdOf, taskKey } from "../jobs/progress.js";
import type { Result } from "../utils/result.js";
import type { PlannerContext } from "./context.js";
import type { RunStopper } from "./runStopper.js";
import type { WorkerSession } from "./session.js";
import { createStartOutcomes, isCurrent } from "./startOutcomes.js";
import type { PlacedTask } from "./startOutcomes.js";
import { startRetryDelayMs, startTimeoutMs } from "./startRetry.js";
import type { StartTries } from "./startRetry.js";
import { isAnswered } from "./types.js";
import type { OrderAnswer, OrderError, StartOrder } from "./types.js";

/** Sends start orders to workers, and repeats those of gang members that get no answer. */
export interface StartSender {
    /** Orders the worker to start a run in phase {@link RunPhase.Starting}; `spec` describes its work. */
    send(placed: PlacedTask, spec: string): void;
}

/**
 * Lease in a start order; the next poll extends it. It bounds the time until a start without an answer is abandoned on
 * an idle worker that stopped answering, and is long compared with the 0.9 s that an answer may take.
 */
const startLeaseMs = 2_000;

/** Time after the first try of a gang member's start after which the gang is stopped if it is not known to have started. */
const startKnownAfterMs = 2_000;

/** Whether runs may be started on a worker, apart from the extension of its lease. */
export const acceptsStarts = ({ operator }: PlannerContext, { descriptor, closed, isSynced }: WorkerSession): boolean =>
    descriptor !== undefined && !descriptor.draining && !closed && isSynced()
    && !operator().evacuatedZones.has(descriptor.availabilityZone);

const outcomeOf = (result: Result<unknown, OrderError>): string => {
    if (result.ok) {
        return "started";
    }
    return result.error.kind === "refused" ? result.error.refusal : `no answer: ${result.error.detail}`;
};

/** Kind of the outcome, as a label of a metric. */
const outcomeKindOf = (result: Result<unknown, OrderError>): string => result.ok ? "started" : result.error.kind;

/** Creates the part of a planner that sends start orders. */
export const createStartSender = (context: PlannerContext, runStopper: RunStopper): StartSender => {
    const { log, timer, metrics } = context;
    const { onStarted, onRefused, onUnanswered } = createStartOutcomes(context, runStopper);

    const createOrder = ({ task, run }: PlacedTask, spec: string): StartOrder => ({
        task: taskIdOf(task),
        run: run.number,
        spec,
        untilClockMs: run.worker.lease.untilClockMs(startLeaseMs),
        checkpoint: task.checkpoint,
        fencingToken: run.worker.fencingToken,
        gangSize: task.unit.step.gang ? task.unit.tasks.length : undefined,
    });

    const logOutcome = (
        { task, run }: PlacedTask,
        { count, firstSentAtMs }: StartTries,
        result: Result<unknown, OrderError>,
    ): void => {
        const fields = { task: taskKey(taskIdOf(task)), run: run.number, worker: run.worker.id };
        if (count === 1) {
            log("info", "start ordered", { ...fields, outcome: outcomeOf(result) });
            return;
        }
        metrics.recordRepeatedStart(outcomeKindOf(result));
        const sinceFirstMs = Math.round(timer.nowMs() - firstSentAtMs);
        log("info", "start repeated", { ...fields, try: count, sinceFirstMs, outcome: outcomeOf(result) });
    };

    const sendOnce = async (
        placed: PlacedTask,
        order: StartOrder,
        tries: StartTries,
    ): Promise<Result<OrderAnswer, OrderError> | undefined> => {
        const { task, run: { number, worker } } = placed;
        const recordOutcome = worker.lease.recordLease(order.untilClockMs);
        const endStart = worker.recordStart();
        const started = await worker.client?.start(order);
        endStart();
        if (started !== undefined) {
            recordOutcome(started);
            if (!isAnswered(started)) {
                context.unansweredStarts.record(worker.id, task, number);
            }
            logOutcome(placed, tries, started);
        }
        return started;
    };

    const mayRepeat = (placed: PlacedTask): boolean =>
        isCurrent(placed) && placed.run.phase === RunPhase.Starting && context.mayOrder()
        && acceptsStarts(context, placed.run.worker);

    /** Stops a gang whose run was moved to the worker's next session, unless that tells in time whether it has started. */
    const stopGangIfUnknown = async (placed: PlacedTask, firstSentAtMs: number): Promise<void> => {
        const { task, run } = placed;
        if (isCurrent(placed) || task.run?.number !== run.number || !task.unit.step.gang) {
            return;
        }
        await timer.sleep(Math.max(0, firstSentAtMs + startKnownAfterMs - timer.nowMs()));
        if (task.run?.number === run.number && !context.isTermOver()) {
            onUnanswered({ task, run: task.run });
        }
    };

    /**
     * Sends the order until it is answered or must not be sent again. Each try carries the lease of the first, so that none
     * is carried out after the time at which the run counts as ended.
     */
    const sendUntilAnswered = async (placed: PlacedTask, order: StartOrder): Promise<void> => {
        const { task, run: { worker } } = placed;
        const firstSentAtMs = timer.nowMs();
        for (let count = 1;; count++) {
            const tries: StartTries = { count, firstSentAtMs, lastSentAtMs: timer.nowMs() };
            const answerTimeoutMs = task.unit.step.gang ? startTimeoutMs(tries) : undefined;
            const started = await sendOnce(placed, { ...order, answerTimeoutMs }, tries);
            if (started === undefined || !isCurrent(placed)) {
                await stopGangIfUnknown(placed, firstSentAtMs);
                return;
            }
            if (started.ok) {
                onStarted(placed, started.value.clockMs, tries.lastSentAtMs);
                return;
            }
            if (started.error.kind === "refused") {
                onRefused(placed, started.error, tries);
                return;
            }
            if (answerTimeoutMs === undefined) {
                // a short wait for an answer does not show that the worker is silent
                worker.recordNoAnswer(started.error.detail);
            }
            worker.resumePolling(true);
            const delayMs = task.unit.step.gang ? startRetryDelayMs(tries, timer.nowMs()) : undefined;
            if (delayMs !== undefined && delayMs > 0) {
                await timer.sleep(delayMs);
            }
            if (delayMs === undefined || !mayRepeat(placed)) {
                onUnanswered(placed);
                await stopGangIfUnknown(placed, firstSentAtMs);
                return;
            }
        }
    };

    return {
        send: (placed, spec) => void sendUntilAnswered(placed, createOrder(placed, spec)),
    };
};
