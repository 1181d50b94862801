/** Model of a worker for stand-ins and tests: runs tasks under a lease and refuses stale fencing tokens. */
import { EndKind, Refusal } from "../../src/execution/types.js";
import type {
    EndedRun,
    HoldOrder,
    OrderError,
    ReportedRun,
    StartOrder,
    WorkerReport,
} from "../../src/execution/types.js";
import type { TaskId } from "../../src/jobs/types.js";
import { parseJson } from "../../src/utils/parseJson.js";
import { fail, succeed } from "../../src/utils/result.js";
import type { Result } from "../../src/utils/result.js";
import type { TimerService, Unsubscribe } from "../../src/utils/timer.js";
import type { GangRegistry } from "./gangs.js";

/** Simulated work of a task, parsed from the JSON spec of its job. */
export interface WorkSpec {
    workMs: number;
    /** Number of runs that fail, counted over all workers, before one succeeds. */
    failures: number;
    /** Largest deviation of a task's work from `workMs`, as a share of it; none in a gang. @default 0 */
    unevenShare?: number;
}

/** Interval in which one run of a task worked; recorded for checks. */
export interface RunSpan {
    task: string;
    run: number;
    worker: string;
    fromMs: number;
    /** Unset while the task runs. */
    toMs?: number;
    kind?: EndKind;
    /** The worker's lease expired, or it crashed, before this end was acknowledged: nothing may rely on it. */
    unseenAtLapse?: boolean;
}

/** Options of {@link createWorkerModel}. */
export interface WorkerModelOptions {
    id: string;
    timer: TimerService;
    /** Wall-clock time at which the worker started. */
    bornMs: number;
    /** Receives every span; also counted for {@link WorkSpec.failures}. */
    spans: RunSpan[];
    /** Work between two checkpoints. @default 500 */
    checkpointMs?: number;
    /** Rate of the worker's clock relative to real time. @default 1 */
    clockRate?: number;
    /** Rate at which it works. @default 1 */
    speed?: number;
    /** Longest lease that it accepts. @default 10000 */
    longestLeaseMs?: number;
    /** Whether every run that starts now fails. @default it does not */
    failsAll?: () => boolean;
    /** Whether it saves checkpoints of its runs; otherwise it reports empty ones. @default it does */
    savesCheckpoints?: () => boolean;
    /** Gangs of the workers that run together. @default members do not wait for each other */
    gangs?: GangRegistry;
    /** Called when a span begins and when it ends. */
    onSpan?: (span: RunSpan) => void;
}

interface ActiveRun {
    task: TaskId;
    run: number;
    spec: WorkSpec;
    /** Unset while the run waits for the other members of its gang. */
    span?: RunSpan;
    /** Work done by earlier runs, from the checkpoint. */
    resumedWorkMs: number;
    /** Rate at which it works. */
    speed: number;
    cancel: Unsubscribe;
    /** Reports the run's end to its gang. */
    leaveGang: (kind: EndKind) => void;
}

/** One incarnation of a worker. */
export interface WorkerModel {
    start(order: StartOrder): Result<{ clockMs: number; }, OrderError>;
    stop(task: TaskId, run: number, fencingToken: number): Result<{ clockMs: number; }, OrderError>;
    hold(order: HoldOrder): Result<WorkerReport, OrderError>;
    /** Calls the listener once, at the next end of a run. */
    onceEnded(listener: () => void): void;
    /** Drops all runs without listing them as ended, as a crash does. */
    crash(): void;
    runningCount(): number;
}

/** Number of ended runs that a worker lists in one answer; the others follow once these are acknowledged. */
export const maxListedEnds = 500;

const formatTaskId = (task: TaskId): string => `${task.jobId}.${task.occurrence}.${task.step}.${task.index}`;

const defaultWorkMs = 1_000;

const parseSpec = (text: string): WorkSpec => {
    const spec = parseJson(text) as
        | { workMs?: number; runTimeMs?: number; failures?: number; fails?: boolean; unevenShare?: number; }
        | undefined;
    return {
        workMs: spec?.workMs ?? spec?.runTimeMs ?? defaultWorkMs,
        failures: spec?.failures ?? (spec?.fails === true ? Number.POSITIVE_INFINITY : 0),
        unevenShare: spec?.unevenShare,
    };
};

/** Fractional part of its multiples spreads evenly between 0 and 1. */
const goldenRatio = 0.618_034;

/** Work of one task: those of a step spread evenly over the range that its specification allows. */
const workOfTask = (spec: WorkSpec, { task: { index }, gangSize = 1 }: StartOrder): WorkSpec => {
    const deviation = 2 * ((index + 1) * goldenRatio % 1) - 1;
    return gangSize > 1 ? spec : { ...spec, workMs: spec.workMs * (1 + (spec.unevenShare ?? 0) * deviation) };
};

const toRefusedError = (refusal: Refusal, clockMs: number): OrderError => ({
    kind: "refused",
    refusal,
    clockMs,
    detail: refusal,
});

const countFailures = (spans: readonly RunSpan[], task: string): number =>
    spans.filter(span => span.task === task && span.kind === EndKind.Failed).length;

/** Creates the list of ended tasks, each kept until it is acknowledged. */
const createEndedTaskList = () => {
    let entries: { end: EndedRun; span?: RunSpan; }[] = [];
    let lastNumber = 0;
    let listeners: (() => void)[] = [];
    return {
        add: (end: Omit<EndedRun, "number">, span: RunSpan | undefined): void => {
            lastNumber += 1;
            entries.push({ end: { ...end, number: lastNumber }, span });
            const notified = listeners;
            listeners = [];
            notified.forEach(listener => listener());
        },
        /** Removes the entries up to a number. */
        acknowledge: (number: number): void => {
            entries = entries.filter(({ end }) => end.number > number);
        },
        /** The first entries, as many as one answer lists. */
        list: (): Pick<WorkerReport, "ended" | "endsComplete"> => ({
            ended: entries.slice(0, maxListedEnds).map(({ end }) => end),
            endsComplete: entries.length < maxListedEnds,
        }),
        markUnacknowledged: (): void => {
            for (const { span } of entries) {
                if (span !== undefined) {
                    span.unseenAtLapse = true;
                }
            }
        },
        onceAdded: (listener: () => void): void => {
            listeners.push(listener);
        },
    };
};

/** Creates the lease of all runs on a worker, timed by the worker's clock. */
const createLease = (options: WorkerModelOptions, clockMs: () => number, onExpiry: () => void) => {
    const { timer, clockRate: rate = 1, longestLeaseMs = 10_000 } = options;
    let untilClockMs = 0;
    let cancel: Unsubscribe = () => {};
    return {
        /** Extends the lease by up to its maximum; an earlier end than the present one is ignored. */
        extend: (requestedUntil: number): void => {
            const until = Math.min(requestedUntil, clockMs() + longestLeaseMs);
            if (until > untilClockMs) {
                untilClockMs = until;
                cancel();
                cancel = timer.after((untilClockMs - clockMs()) / rate, onExpiry);
            }
        },
        cancel: (): void => cancel(),
    };
};

/** Work that a run has done by a monotonic time, with that of the runs that it resumes. */
const workDoneMsAt = ({ span, resumedWorkMs, speed }: ActiveRun, nowMs: number): number =>
    resumedWorkMs + (span === undefined ? 0 : (nowMs - span.fromMs) * speed);

/** Latest checkpoint that a run has saved by a monotonic time. */
const checkpointAt = (active: ActiveRun, nowMs: number, checkpointMs: number): string =>
    String(Math.floor(workDoneMsAt(active, nowMs) / checkpointMs) * checkpointMs);

/** Creates a worker that has just started, without runs. */
export const createWorkerModel = (options: WorkerModelOptions): WorkerModel => {
    const { timer, spans, checkpointMs = 500 } = options;
    const startedAtMs = timer.nowMs();
    const running = new Map<string, ActiveRun>();
    const highestRun = new Map<string, number>();
    const endedTasks = createEndedTaskList();
    let highestToken = 0;

    const rate = options.clockRate ?? 1;
    const clockMs = (): number => Math.floor((timer.nowMs() - startedAtMs) * rate);

    const refuse = (refusal: Refusal) => fail(toRefusedError(refusal, clockMs()));

    const checkpointOf = (active: ActiveRun): string =>
        options.savesCheckpoints?.() === false ? "" : checkpointAt(active, timer.nowMs(), checkpointMs);

    const endSpan = (active: ActiveRun, kind?: EndKind): void => {
        if (active.span !== undefined) {
            active.span.toMs = timer.nowMs();
            active.span.kind = kind;
            options.onSpan?.(active.span);
        }
    };

    const endRun = (active: ActiveRun, kind: EndKind): void => {
        if (running.get(formatTaskId(active.task)) !== active) {
            return;
        }
        active.cancel();
        running.delete(formatTaskId(active.task));
        highestRun.set(formatTaskId(active.task), active.run);
        endSpan(active, kind);
        endedTasks.add({ task: active.task, run: active.run, kind, checkpoint: checkpointOf(active) }, active.span);
        active.leaveGang(kind);
    };

    const expireLease = (): void => {
        endedTasks.markUnacknowledged();
        running.forEach(active => endRun(active, EndKind.Lapsed));
    };

    const lease = createLease(options, clockMs, expireLease);

    const isOldRun = (name: string, run: number): boolean => run <= (highestRun.get(name) ?? 0);

    const acceptToken = (token: number): boolean => {
        highestToken = Math.max(highestToken, token);
        return token === highestToken;
    };

    const startWork = (active: ActiveRun, kind: EndKind, speed: number): void => {
        const { task, run, spec, resumedWorkMs } = active;
        active.speed = speed;
        active.span = { task: formatTaskId(task), run, worker: options.id, fromMs: timer.nowMs() };
        spans.push(active.span);
        options.onSpan?.(active.span);
        active.cancel = timer.after(Math.max(1, (spec.workMs - resumedWorkMs) / speed), () => endRun(active, kind));
    };

    const startRun = (order: StartOrder): void => {
        const { task, run, gangSize = 1 } = order;
        const spec = workOfTask(parseSpec(order.spec), order);
        const willFail = options.failsAll?.() === true || countFailures(spans, formatTaskId(task)) < spec.failures;
        const kind = willFail ? EndKind.Failed : EndKind.Done;
        const resumedWorkMs = Number(order.checkpoint) || 0;
        const speed = options.speed ?? 1;
        const active: ActiveRun = { task, run, spec, resumedWorkMs, speed, cancel: () => {}, leaveGang: () => {} };
        running.set(formatTaskId(task), active);
        if (options.gangs === undefined || gangSize === 1) {
            startWork(active, kind, speed);
            return;
        }
        const { gangs } = options;
        const key = `${task.jobId}.${task.occurrence}.${task.step}#${run}`;
        const work = (gangSpeed: number) => startWork(active, kind, gangSpeed);
        const member = { speed, work, end: (endKind: EndKind) => endRun(active, endKind) };
        active.leaveGang = endKind => gangs.leave(key, member, endKind);
        gangs.join(key, gangSize, member);
    };

    const listRunningTasks = (): ReportedRun[] =>
        [...running.values()].map(active => ({
            task: active.task,
            run: active.run,
            checkpoint: checkpointOf(active),
            percent: Math.floor(100 * workDoneMsAt(active, timer.nowMs()) / Math.max(1, active.spec.workMs)),
            usage: 0,
        }));

    return {
        start: order => {
            const name = formatTaskId(order.task);
            if (!acceptToken(order.fencingToken)) {
                return refuse(Refusal.Fenced);
            }
            if (order.untilClockMs <= clockMs()) {
                return refuse(Refusal.Late);
            }
            lease.extend(order.untilClockMs);
            const current = running.get(name);
            if (current?.run !== order.run && (current !== undefined || isOldRun(name, order.run))) {
                return refuse(Refusal.OldRun);
            }
            if (current === undefined) {
                startRun(order);
            }
            return succeed({ clockMs: clockMs() });
        },
        stop: (task, run, fencingToken) => {
            if (!acceptToken(fencingToken)) {
                return refuse(Refusal.Fenced);
            }
            const active = running.get(formatTaskId(task));
            if (active !== undefined && active.run <= run) {
                endRun(active, EndKind.Stopped);
            }
            highestRun.set(formatTaskId(task), Math.max(run, highestRun.get(formatTaskId(task)) ?? 0));
            return succeed({ clockMs: clockMs() });
        },
        hold: order => {
            if (!acceptToken(order.fencingToken)) {
                return refuse(Refusal.Fenced);
            }
            lease.extend(order.untilClockMs ?? 0);
            endedTasks.acknowledge(order.acknowledged);
            const listed = { running: listRunningTasks(), ...endedTasks.list() };
            return succeed({ clockMs: clockMs(), bornMs: options.bornMs, ...listed });
        },
        onceEnded: endedTasks.onceAdded,
        crash: () => {
            lease.cancel();
            endedTasks.markUnacknowledged();
            const lost = [...running.values()];
            running.clear();
            for (const active of lost) {
                active.cancel();
                endSpan(active);
                active.leaveGang(EndKind.Broken);
            }
        },
        runningCount: () => running.size,
    };
};
