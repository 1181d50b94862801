import { gangMembersOf, RunPhase, taskIdOf, taskKey } from "../jobs/progress.js";
import type { Run, TaskState } from "../jobs/progress.js";
import type { PlannerContext } from "./context.js";
import { latestMoveMs, mustDepart } from "./departures.js";
import type { DepartingRun } from "./departures.js";
import { disruptionLimitOf } from "./disruptionLimit.js";
import { isResumable } from "./isResumable.js";
import type { RunStopper } from "./runStopper.js";
import type { WorkerSession } from "./session.js";

/** Longest time for which work that was moved does not preempt other work; workers leave 5.5 s after a short notice. */
const maxPreemptionHoldMs = 6_000;

/** Whether stopping a task's run, with its gang, leaves enough tasks of its step available. */
const isWithinDisruptionLimit = (task: TaskState): boolean => {
    const limit = disruptionLimitOf(task.unit);
    if (limit === undefined) {
        return true;
    }
    const stopped = gangMembersOf(task).map(({ index }) => index);
    return new Set([...limit.unavailableTasks, ...stopped]).size <= limit.maxUnavailable;
};

/** Monotonic time at which a run began its work; members of a gang wait for the last one to start. */
const workStartMs = (task: TaskState, run: Run): number =>
    gangMembersOf(task).reduce(
        (latest, member) => Math.max(latest, member.run?.orderAnsweredAtMs ?? latest),
        run.orderAnsweredAtMs,
    );

/** Creates the part of a planner that moves runs from workers that are about to leave or whose zone is out of service. */
export const createEvacuation = (
    { timer, log, metrics, operator, sessions, runs }: PlannerContext,
    stopper: RunStopper,
) => {
    const stopWithGang = (task: TaskState, reason: string): void =>
        gangMembersOf(task).forEach(member => member.run !== undefined && stopper.stop(member, member.run, reason));

    const describe = (task: TaskState, run: Run, untilDepartureMs: number): DepartingRun => {
        const nowMs = timer.nowMs();
        const startedAtMs = Math.min(nowMs, workStartMs(task, run));
        const reportedAtMs = Math.max(startedAtMs, run.reportedAtMs ?? startedAtMs);
        return {
            untilDepartureMs: Math.round(untilDepartureMs),
            estimateMs: task.unit.step.estimateMs,
            percent: run.percent,
            workedMs: Math.round(reportedAtMs - startedAtMs),
            reportAgeMs: Math.round(nowMs - reportedAtMs),
            resumable: isResumable(task, run, nowMs),
        };
    };

    const mustLeave = (task: TaskState, run: DepartingRun): boolean => {
        // so late, what can resume is moved whatever limits disruptions, since it would be lost with its worker
        const isLastChance = run.resumable && run.untilDepartureMs < latestMoveMs;
        return isLastChance || (!task.unit.step.longRunning && mustDepart(run) && isWithinDisruptionLimit(task));
    };

    const move = (task: TaskState, { number, worker }: Run, run: DepartingRun): void => {
        const name = taskKey(taskIdOf(task));
        const members = gangMembersOf(task).length;
        log("info", "moving a run from a leaving worker", {
            task: name,
            run: number,
            worker: worker.id,
            members,
            ...run,
        });
        metrics.recordDepartureMove(run.resumable);
        const holdMs = Math.min(Math.max(0, run.untilDepartureMs), maxPreemptionHoldMs);
        task.unit.holdsPreemptionUntilMs = timer.nowMs() + holdMs;
        stopWithGang(task, "its worker is leaving");
    };

    const evacuateFromLeaving = (session: WorkerSession, untilDepartureMs: number): void => {
        for (const task of [...runs.tasksOn(session)]) {
            const { run } = task;
            if (run?.phase !== RunPhase.Running) {
                continue;
            }
            const departing = describe(task, run, untilDepartureMs);
            if (mustLeave(task, departing)) {
                move(task, run, departing);
            }
        }
    };

    const evacuateFromZone = (session: WorkerSession): void => {
        for (const task of [...runs.tasksOn(session)]) {
            const { run } = task;
            if (run?.phase === RunPhase.Running && isResumable(task, run, timer.nowMs())) {
                stopWithGang(task, "its availability zone is out");
            }
        }
    };

    return (): void => {
        const { configuration, evacuatedZones } = operator();
        for (const session of sessions.values()) {
            const { descriptor } = session;
            if (descriptor?.draining === true && descriptor.leavesAtMs !== undefined) {
                evacuateFromLeaving(session, descriptor.leavesAtMs - timer.nowMs());
            }
            const isZoneOut = descriptor !== undefined && evacuatedZones.has(descriptor.availabilityZone);
            if (isZoneOut && configuration?.evacuatesRunsFromZones === true) {
                evacuateFromZone(session);
            }
        }
    };
};
