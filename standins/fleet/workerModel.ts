/** Model of a worker for stand-ins and tests: runs tasks under a lease and obeys the highest fencing token. */
import { EndKind, Refusal } from "../../src/execution/types.js";
import type {
    EndedTask,
    HoldOrder,
    OrderError,
    RunningTask,
    StartOrder,
    WorkerReport,
} from "../../src/execution/types.js";
import type { TaskId } from "../../src/jobs/types.js";
import { fail, succeed } from "../../src/utils/result.js";
import type { Result } from "../../src/utils/result.js";
import type { TimerService, Unsubscribe } from "../../src/utils/timer.js";

/** What a task does, as its job's spec says in JSON. */
export interface WorkSpec {
    workMs: number;
    /** Times that it fails before it succeeds, on whatever worker. */
    failures?: number;
}

/** One span in which a task ran, for checks. */
export interface RunSpan {
    task: string;
    run: number;
    worker: string;
    fromMs: number;
    /** Unset while it runs. */
    toMs?: number;
    kind?: EndKind;
    /** The lease on the worker ended before the end was acknowledged, so that nobody may rely on it. */
    unseenAtLapse?: boolean;
}

/** Options of {@link createWorkerModel}. */
export interface WorkerModelOptions {
    id: string;
    timer: TimerService;
    /** Wall-clock time of its start. */
    bornMs: number;
    /** Every span in which a task ran is added here. */
    spans: RunSpan[];
    /** Work whose progress is saved this often. @default 500 */
    checkpointMs?: number;
    /** Share of real time that its clock counts. @default 1 */
    clockRate?: number;
    /** Fails everything that it starts. @default false */
    failsAll?: boolean;
}

interface ActiveRun {
    task: TaskId;
    run: number;
    spec: WorkSpec;
    span: RunSpan;
    doneBeforeMs: number;
    cancel: Unsubscribe;
}

/** One incarnation of a worker. */
export interface WorkerModel {
    start(order: StartOrder): Result<{ clockMs: number; }, OrderError>;
    stop(task: TaskId, run: number, fencingToken: number): Result<{ clockMs: number; }, OrderError>;
    hold(order: HoldOrder): Result<WorkerReport, OrderError>;
    /** Calls back once at the next end. */
    onceEnded(listener: () => void): void;
    hasEnds(acknowledged: number): boolean;
    /** Ends everything without a trace, as a crash does. */
    crash(): void;
    runningCount(): number;
}

const nameOf = (task: TaskId): string => `${task.jobId}.${task.occurrence}.${task.step}.${task.index}`;

const parseSpec = (text: string): WorkSpec => {
    try {
        return JSON.parse(text) as WorkSpec;
    }
    catch {
        return { workMs: 1_000 };
    }
};

const markUnseen = (span: RunSpan): void => {
    span.unseenAtLapse = true;
};

/** Creates a worker that has just started. */
export const createWorkerModel = (options: WorkerModelOptions): WorkerModel => {
    const { timer, spans } = options;
    const startedAtMs = timer.nowMs();
    const checkpointMs = options.checkpointMs ?? 500;
    const running = new Map<string, ActiveRun>();
    const highestRun = new Map<string, number>();
    let ended: EndedTask[] = [];
    const spanOfEnd = new Map<number, RunSpan>();
    let endCount = 0;
    let fence = 0;
    let untilClockMs = 0;
    let cancelLapse: Unsubscribe | undefined;
    let listeners: (() => void)[] = [];

    const rate = options.clockRate ?? 1;
    const clockMs = (): number => Math.floor((timer.nowMs() - startedAtMs) * rate);

    const refuse = (refusal: Refusal): { ok: false; error: OrderError; } =>
        fail({ kind: "refused", refusal, clockMs: clockMs(), detail: refusal });

    const workedMs = (active: ActiveRun): number => active.doneBeforeMs + timer.nowMs() - active.span.fromMs;

    const checkpointOf = (active: ActiveRun): string =>
        String(Math.floor(workedMs(active) / checkpointMs) * checkpointMs);

    const end = (active: ActiveRun, kind: EndKind): void => {
        active.cancel();
        running.delete(nameOf(active.task));
        highestRun.set(nameOf(active.task), active.run);
        active.span.toMs = timer.nowMs();
        active.span.kind = kind;
        endCount += 1;
        spanOfEnd.set(endCount, active.span);
        ended.push({ number: endCount, task: active.task, run: active.run, kind, checkpoint: checkpointOf(active) });
        const waiting = listeners;
        listeners = [];
        waiting.forEach(listener => listener());
    };

    const lapse = (): void => {
        ended.flatMap(({ number }) => spanOfEnd.get(number) ?? []).forEach(markUnseen);
        [...running.values()].forEach(active => end(active, EndKind.Lapsed));
    };

    const lease = (until: number): void => {
        if (until > untilClockMs) {
            untilClockMs = until;
            cancelLapse?.();
            cancelLapse = timer.after((untilClockMs - clockMs()) / rate, lapse);
        }
    };

    const isOld = (name: string, run: number): boolean => run <= (highestRun.get(name) ?? 0);

    const raiseFence = (token: number): boolean => {
        fence = Math.max(fence, token);
        return token === fence;
    };

    const failsAt = (order: StartOrder, spec: WorkSpec): boolean => {
        const name = nameOf(order.task);
        const failed = spans.filter(span => span.task === name && span.kind === EndKind.Failed).length;
        return options.failsAll === true || failed < (spec.failures ?? 0);
    };

    const begin = (order: StartOrder): void => {
        const name = nameOf(order.task);
        const spec = parseSpec(order.spec);
        const span: RunSpan = { task: name, run: order.run, worker: options.id, fromMs: timer.nowMs() };
        spans.push(span);
        const doneBeforeMs = Number(order.checkpoint) || 0;
        const kind = failsAt(order, spec) ? EndKind.Failed : EndKind.Done;
        const cancel = timer.after(Math.max(1, spec.workMs - doneBeforeMs), () => end(active, kind));
        const active: ActiveRun = { task: order.task, run: order.run, spec, span, doneBeforeMs, cancel };
        running.set(name, active);
    };

    const listRunning = (): RunningTask[] =>
        [...running.values()].map(active => ({
            task: active.task,
            run: active.run,
            checkpoint: checkpointOf(active),
            percent: Math.floor(100 * workedMs(active) / Math.max(1, active.spec.workMs)),
            usage: 0,
        }));

    return {
        start: order => {
            const name = nameOf(order.task);
            if (!raiseFence(order.fencingToken)) {
                return refuse(Refusal.Fenced);
            }
            if (order.untilClockMs <= clockMs()) {
                return refuse(Refusal.Late);
            }
            lease(order.untilClockMs);
            const present = running.get(name);
            if (present?.run !== order.run && (present !== undefined || isOld(name, order.run))) {
                return refuse(Refusal.OldRun);
            }
            if (present === undefined) {
                begin(order);
            }
            return succeed({ clockMs: clockMs() });
        },
        stop: (task, run, fencingToken) => {
            if (!raiseFence(fencingToken)) {
                return refuse(Refusal.Fenced);
            }
            const active = running.get(nameOf(task));
            if (active !== undefined && active.run <= run) {
                end(active, EndKind.Stopped);
            }
            highestRun.set(nameOf(task), Math.max(run, highestRun.get(nameOf(task)) ?? 0));
            return succeed({ clockMs: clockMs() });
        },
        hold: order => {
            if (!raiseFence(order.fencingToken)) {
                return refuse(Refusal.Fenced);
            }
            lease(order.untilClockMs ?? 0);
            ended = ended.filter(one => one.number > order.acknowledged);
            return succeed({ clockMs: clockMs(), bornMs: options.bornMs, running: listRunning(), ended: [...ended] });
        },
        onceEnded: listener => {
            listeners.push(listener);
        },
        hasEnds: acknowledged => ended.some(one => one.number > acknowledged),
        crash: () => {
            cancelLapse?.();
            for (const active of [...running.values()]) {
                active.cancel();
                active.span.toMs = timer.nowMs();
            }
            running.clear();
        },
        runningCount: () => running.size,
    };
};
