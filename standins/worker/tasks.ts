import type { Resources } from "../../src/scheduling/types.js";
import { TaskState } from "../../src/workers/types.js";
import type { GangKey, HoldRequest, RenewRequest, StartRequest, TaskReport } from "../../src/workers/types.js";
import type { RecordEvent, WorkerEvent, WorkerSwitches } from "./types.js";

/** Description of the work that the stand-in understands. */
interface Work {
    runTimeMs?: number;
    fails?: boolean;
    ignoresCheckpoint?: boolean;
}

interface Task extends TaskReport {
    resources: Resources;
    work: Work;
    expiresAtMs: number;
    lastStepMs: number;
}

/** Tasks of one worker under leases. */
export interface TaskTable {
    hold(request: HoldRequest): string | undefined;
    release(gang: GangKey): void;
    start(request: StartRequest): string | undefined;
    renew(gangs: RenewRequest[], leaseMs: number): TaskReport[];
    /** Saves progress; `undefined` when a task ignores the request. */
    checkpoint(gangs: { jobId: string; attempt: number; }[]): TaskReport[] | undefined;
    stop(gangs: { jobId: string; attempt: number; }[]): void;
    /** Moves work forward and drops lapsed leases. */
    step(): void;
    reports(): TaskReport[];
}

const defaultRunTimeMs = 1_000;

const isSameGang = (task: Task, gang: GangKey): boolean =>
    task.jobId === gang.jobId && task.attempt === gang.attempt && task.planner === gang.planner;

const toReport = (task: Task): TaskReport => ({
    jobId: task.jobId,
    attempt: task.attempt,
    planner: task.planner,
    state: task.state,
    taskCount: task.taskCount,
    members: task.members,
    checkpointedMs: task.checkpointedMs,
    progressMs: task.progressMs,
});

const fits = (tasks: readonly Task[], request: HoldRequest, capacity: Resources): boolean =>
    (Object.keys(capacity) as (keyof Resources)[]).every(dimension => {
        const used = tasks.reduce((sum, task) => sum + task.taskCount * task.resources[dimension], 0);
        return used + request.taskCount * request.resourcesPerTask[dimension] <= capacity[dimension];
    });

/** Creates the tasks of one worker. */
export const createTaskTable = (
    capacity: Resources,
    switches: WorkerSwitches,
    record: RecordEvent,
    nowMs: () => number = Date.now,
): TaskTable => {
    let tasks: Task[] = [];
    const fencedAttempts = new Map<string, number>();

    const note = (kind: WorkerEvent["kind"], task: Task): void =>
        record({ kind, jobId: task.jobId, attempt: task.attempt, members: task.members.length });

    const isFenced = (gang: GangKey): boolean => (fencedAttempts.get(gang.jobId) ?? 0) >= gang.attempt;

    const lapse = (atMs: number): void => {
        const lapsed = tasks.filter(task => task.expiresAtMs <= atMs);
        tasks = tasks.filter(task => task.expiresAtMs > atMs);
        lapsed.forEach(task => note("taskLapsed", task));
    };

    const advance = (task: Task, atMs: number): void => {
        if (task.state !== TaskState.Running) {
            return;
        }
        task.progressMs += atMs - task.lastStepMs;
        task.lastStepMs = atMs;
        if (task.work.fails || switches.failEverything) {
            task.state = TaskState.Failed;
            note("taskFailed", task);
        }
        else if (task.progressMs >= (task.work.runTimeMs ?? defaultRunTimeMs)) {
            task.state = TaskState.Finished;
            note("taskFinished", task);
        }
    };

    const step = (): void => {
        lapse(nowMs());
        tasks.forEach(task => advance(task, nowMs()));
    };

    const hold = (request: HoldRequest): string | undefined => {
        step();
        if (tasks.some(task => isSameGang(task, request))) {
            return undefined;
        }
        if (switches.leaving || isFenced(request)) {
            return switches.leaving ? "the worker is leaving" : "the attempt was stopped";
        }
        if (!fits(tasks, request, capacity)) {
            return "not enough free resources";
        }
        const task = {
            ...request,
            state: TaskState.Held,
            resources: request.resourcesPerTask,
            members: [],
            checkpointedMs: 0,
            progressMs: 0,
            work: {},
            expiresAtMs: nowMs() + request.holdMs,
            lastStepMs: 0,
        };
        tasks.push(task);
        note("taskHeld", task);
        return undefined;
    };

    const start = (request: StartRequest): string | undefined => {
        step();
        const task = tasks.find(candidate => isSameGang(candidate, request));
        if (task === undefined || isFenced(request)) {
            return "no such hold; it may have expired";
        }
        if (task.state !== TaskState.Held) {
            return undefined;
        }
        Object.assign(task, {
            state: TaskState.Ready,
            members: request.members,
            work: (request.work ?? {}) as Work,
            checkpointedMs: request.resumeFromMs,
            progressMs: request.resumeFromMs,
            expiresAtMs: nowMs() + request.leaseMs,
        });
        note("taskReady", task);
        return undefined;
    };

    const renewTask = (task: Task, release: boolean, leaseMs: number): void => {
        task.expiresAtMs = nowMs() + leaseMs;
        if (release && task.state === TaskState.Ready) {
            task.state = TaskState.Running;
            task.lastStepMs = nowMs();
            note("taskRunning", task);
        }
    };

    const matching = (gang: { jobId: string; attempt: number; }): Task[] =>
        tasks.filter(task =>
            task.jobId === gang.jobId && task.attempt === gang.attempt && task.state !== TaskState.Held
        );

    const renew = (gangs: RenewRequest[], leaseMs: number): TaskReport[] => {
        step();
        gangs.forEach(gang => matching(gang).forEach(task => renewTask(task, gang.release, leaseMs)));
        return tasks.map(toReport);
    };

    const checkpoint = (gangs: { jobId: string; attempt: number; }[]): TaskReport[] | undefined => {
        step();
        const found = gangs.flatMap(matching);
        const saving = found.filter(task => !switches.ignoreCheckpoint && !task.work.ignoresCheckpoint);
        saving.forEach(task => {
            task.checkpointedMs = task.progressMs;
        });
        return saving.length === found.length ? found.map(toReport) : undefined;
    };

    const stop = (gangs: { jobId: string; attempt: number; }[]): void => {
        step();
        for (const gang of gangs) {
            fencedAttempts.set(gang.jobId, Math.max(gang.attempt, fencedAttempts.get(gang.jobId) ?? 0));
            const stopped = tasks.filter(task => task.jobId === gang.jobId && task.attempt <= gang.attempt);
            tasks = tasks.filter(task => !stopped.includes(task));
            stopped.forEach(task => note("taskStopped", task));
        }
    };

    return {
        hold,
        start,
        renew,
        checkpoint,
        stop,
        step,
        release: gang => {
            tasks = tasks.filter(task => !(task.state === TaskState.Held && isSameGang(task, gang)));
        },
        reports: () => tasks.map(toReport),
    };
};
