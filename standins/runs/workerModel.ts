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
import { parseJson } from "../../src/utils/parseJson.js";
import { fail, succeed } from "../../src/utils/result.js";
import type { Result } from "../../src/utils/result.js";
import type { TimerService, Unsubscribe } from "../../src/utils/timer.js";
import type { GangRegistry } from "./gangs.js";

/** What a task does, as its job's spec says in JSON. */
export interface WorkSpec {
    workMs: number;
    /** Times that it fails before it succeeds, on whatever worker. */
    failures: number;
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
    /** Whether it fails everything that it starts now. @default it does not */
    failsAll?: () => boolean;
    /** Whether the progress of what it ends now is kept. @default it is */
    savesProgress?: () => boolean;
    /** Gangs that its tasks may be members of. @default members do not wait for each other */
    gangs?: GangRegistry;
    /** Called when a span begins and when it ends. */
    onSpan?: (span: RunSpan) => void;
}

interface ActiveRun {
    task: TaskId;
    run: number;
    spec: WorkSpec;
    /** Absent while it waits for the other members of its gang. */
    span?: RunSpan;
    doneBeforeMs: number;
    cancel: Unsubscribe;
    /** Tells the gang that it has ended. */
    leave: (kind: EndKind) => void;
}

/** One incarnation of a worker. */
export interface WorkerModel {
    start(order: StartOrder): Result<{ clockMs: number; }, OrderError>;
    stop(task: TaskId, run: number, fencingToken: number): Result<{ clockMs: number; }, OrderError>;
    hold(order: HoldOrder): Result<WorkerReport, OrderError>;
    /** Calls back once at the next end. */
    onceEnded(listener: () => void): void;
    /** Ends everything without a trace, as a crash does. */
    crash(): void;
    runningCount(): number;
}

const nameOf = (task: TaskId): string => `${task.jobId}.${task.occurrence}.${task.step}.${task.index}`;

const defaultWorkMs = 1_000;

const parseSpec = (text: string): WorkSpec => {
    const spec = parseJson(text) as
        | { workMs?: number; runTimeMs?: number; failures?: number; fails?: boolean; }
        | undefined;
    return {
        workMs: spec?.workMs ?? spec?.runTimeMs ?? defaultWorkMs,
        failures: spec?.failures ?? (spec?.fails === true ? Number.POSITIVE_INFINITY : 0),
    };
};

const refusedAt = (refusal: Refusal, clockMs: number): OrderError => ({
    kind: "refused",
    refusal,
    clockMs,
    detail: refusal,
});

const failureCount = (spans: readonly RunSpan[], task: string): number =>
    spans.filter(span => span.task === task && span.kind === EndKind.Failed).length;

/** Ends that are listed until they are acknowledged. */
const createEndList = () => {
    let listed: { end: EndedTask; span?: RunSpan; }[] = [];
    let count = 0;
    let listeners: (() => void)[] = [];
    return {
        add: (end: Omit<EndedTask, "number">, span: RunSpan | undefined): void => {
            count += 1;
            listed.push({ end: { ...end, number: count }, span });
            const waiting = listeners;
            listeners = [];
            waiting.forEach(listener => listener());
        },
        /** Forgets ends up to a number and returns the others. */
        acknowledge: (number: number): EndedTask[] => {
            listed = listed.filter(({ end }) => end.number > number);
            return listed.map(({ end }) => end);
        },
        markUnseen: (): void => {
            for (const { span } of listed) {
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

/** The lease of everything on a worker, on its clock, which counts a share `rate` of real time. */
const createLease = (timer: TimerService, clockMs: () => number, rate: number, onLapse: () => void) => {
    let untilClockMs = 0;
    let cancel: Unsubscribe = () => {};
    return {
        /** Never shortens it. */
        extend: (until: number): void => {
            if (until > untilClockMs) {
                untilClockMs = until;
                cancel();
                cancel = timer.after((untilClockMs - clockMs()) / rate, onLapse);
            }
        },
        drop: (): void => cancel(),
    };
};

/** Creates a worker that has just started. */
export const createWorkerModel = (options: WorkerModelOptions): WorkerModel => {
    const { timer, spans } = options;
    const startedAtMs = timer.nowMs();
    const checkpointMs = options.checkpointMs ?? 500;
    const running = new Map<string, ActiveRun>();
    const highestRun = new Map<string, number>();
    const ends = createEndList();
    let fence = 0;

    const rate = options.clockRate ?? 1;
    const clockMs = (): number => Math.floor((timer.nowMs() - startedAtMs) * rate);

    const refuse = (refusal: Refusal) => fail(refusedAt(refusal, clockMs()));

    const workedMs = (active: ActiveRun): number =>
        active.doneBeforeMs + (active.span === undefined ? 0 : timer.nowMs() - active.span.fromMs);

    const checkpointOf = (active: ActiveRun): string =>
        options.savesProgress?.() === false
            ? ""
            : String(Math.floor(workedMs(active) / checkpointMs) * checkpointMs);

    const endSpan = (active: ActiveRun, kind?: EndKind): void => {
        if (active.span !== undefined) {
            active.span.toMs = timer.nowMs();
            active.span.kind = kind;
            options.onSpan?.(active.span);
        }
    };

    const end = (active: ActiveRun, kind: EndKind): void => {
        if (running.get(nameOf(active.task)) !== active) {
            return;
        }
        active.cancel();
        running.delete(nameOf(active.task));
        highestRun.set(nameOf(active.task), active.run);
        endSpan(active, kind);
        ends.add({ task: active.task, run: active.run, kind, checkpoint: checkpointOf(active) }, active.span);
        active.leave(kind);
    };

    const lapse = (): void => {
        ends.markUnseen();
        running.forEach(active => end(active, EndKind.Lapsed));
    };

    const lease = createLease(timer, clockMs, rate, lapse);

    const isOld = (name: string, run: number): boolean => run <= (highestRun.get(name) ?? 0);

    const raiseFence = (token: number): boolean => {
        fence = Math.max(fence, token);
        return token === fence;
    };

    const work = (active: ActiveRun, kind: EndKind): void => {
        const { task, run, spec, doneBeforeMs } = active;
        active.span = { task: nameOf(task), run, worker: options.id, fromMs: timer.nowMs() };
        spans.push(active.span);
        options.onSpan?.(active.span);
        active.cancel = timer.after(Math.max(1, spec.workMs - doneBeforeMs), () => end(active, kind));
    };

    const begin = (order: StartOrder): void => {
        const { task, run, gangSize = 1 } = order;
        const spec = parseSpec(order.spec);
        const failsNow = options.failsAll?.() === true || failureCount(spans, nameOf(task)) < spec.failures;
        const kind = failsNow ? EndKind.Failed : EndKind.Done;
        const doneBeforeMs = Number(order.checkpoint) || 0;
        const active: ActiveRun = { task, run, spec, doneBeforeMs, cancel: () => {}, leave: () => {} };
        running.set(nameOf(task), active);
        if (options.gangs === undefined || gangSize === 1) {
            work(active, kind);
            return;
        }
        const { gangs } = options;
        const key = `${task.jobId}.${task.occurrence}.${task.step}#${run}`;
        const member = { work: () => work(active, kind), end: (how: EndKind) => end(active, how) };
        active.leave = how => gangs.leave(key, member, how);
        gangs.join(key, gangSize, member);
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
            lease.extend(order.untilClockMs);
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
            lease.extend(order.untilClockMs ?? 0);
            const ended = ends.acknowledge(order.acknowledged);
            return succeed({ clockMs: clockMs(), bornMs: options.bornMs, running: listRunning(), ended });
        },
        onceEnded: ends.onceAdded,
        crash: () => {
            lease.drop();
            const lost = [...running.values()];
            running.clear();
            for (const active of lost) {
                active.cancel();
                endSpan(active);
                active.leave(EndKind.Broken);
            }
        },
        runningCount: () => running.size,
    };
};
