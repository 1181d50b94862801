import { taskKey } from "../jobs/progress.js";
import type { TaskId } from "../jobs/types.js";
import type { Log } from "../node/logs.js";
import type { TimerService } from "../utils/timer.js";
import { attempt } from "../utils/unexpected.js";
import { Refusal } from "./types.js";
import type { OrderError, WorkerClient, WorkerReport, WorkerView } from "./types.js";
import { createWorkerLease } from "./workerLease.js";

/** What a planner wants to hear from its sessions. */
export interface SessionListener {
    /** Whether anything runs there or was ordered, so that it has to be watched. */
    isBusy(session: WorkerSession): boolean;
    /** `sentAtMs` is the steady time at which the report was asked for. */
    onReport(session: WorkerSession, report: WorkerReport, sentAtMs: number): void;
    /** Called once when the lease of everything on the worker has surely ended without contact. */
    onLapsed(session: WorkerSession): void;
    /** Called when another incarnation answers at the address. */
    onReborn(session: WorkerSession): void;
    /** Called when the worker has seen a higher fencing token. */
    onFenced(session: WorkerSession): void;
}

/** Options of {@link createWorkerSession}. */
export interface WorkerSessionOptions {
    id: string;
    bornMs: number;
    /** Absent for a worker that is known only from records and not listed. */
    view?: WorkerView;
    client?: WorkerClient;
    timer: TimerService;
    log: Log;
    /** Number of the planner's term. */
    fencingToken: number;
    /** Whether the planner may still renew leases. */
    mayRenew: () => boolean;
    leaseMs: number;
    /** Steady time until which runs that an earlier planner ordered may be alive without contact. */
    inheritedLapseAtMs: number;
    listener: SessionListener;
}

/** One term's dealings with one incarnation of a worker. */
export interface WorkerSession {
    readonly id: string;
    readonly bornMs: number;
    view: WorkerView | undefined;
    readonly client: WorkerClient | undefined;
    /** Whether it has answered under this term, so that what runs there is known. */
    isCleared(): boolean;
    /** Time without contact; 0 while it answers. */
    silentMs(): number;
    /** End of a lease of at most `maxMs` for an order sent now, on the worker's clock. */
    untilClockMs(maxMs?: number): number;
    /** Notes that an order with a lease is being sent. */
    noteLease(untilClockMs: number): void;
    /** Notes an answer's clock. */
    noteClock(clockMs: number): void;
    /** Notes that an order got no answer. */
    noteSilence(reason: string): void;
    /** Makes the run impossible there before the lease is renewed again. */
    fenceRun(task: TaskId, run: number): void;
    /** Number of runs that have to be made impossible yet. */
    fenceCount(): number;
    /** Lets ends up to a number be acknowledged, once they are recorded. */
    acknowledge(number: number): void;
    /** Goes on watching, if it paused; with `atOnce` the next look does not wait for an end. */
    wake(atOnce?: boolean): void;
    close(): void;
    readonly closed: boolean;
}

/** Time that a look waits for an end; renews the lease several times before it lapses. */
const watchMs = 1_000;
/** Pause after a look that got no answer. */
const retryMs = 300;
/** Pause between looks while listed ends cannot be recorded. */
const unrecordedPauseMs = 300;

/** Starts dealing with a worker: learns what runs there, renews its lease and reports what ends. */
export const createWorkerSession = (options: WorkerSessionOptions): WorkerSession => {
    const { timer, log, client, fencingToken, listener } = options;
    const lease = createWorkerLease(timer, options.leaseMs, options.inheritedLapseAtMs);
    const contact = createContact(timer, log, options.id);
    const ends = { listed: 0, acknowledged: 0, confirmed: 0 };
    const sleeper = createSleeper(timer);
    let cleared = false;
    let closed = false;
    let lapsed = false;

    const noteClock = (clockMs: number): void => {
        lease.noteClock(clockMs);
        contact.noteAnswer();
        lapsed = false;
    };

    const noteError = (error: OrderError): void => {
        if (error.kind === "noAnswer") {
            contact.noteSilence(error.detail);
            return;
        }
        if (error.clockMs !== undefined) {
            noteClock(error.clockMs);
        }
        if (error.refusal === Refusal.Fenced) {
            listener.onFenced(session);
        }
        if (error.refusal === Refusal.OtherIncarnation) {
            listener.onReborn(session);
        }
    };

    const fences = createFences(fencingToken, noteError);

    const checkLapse = (): void => {
        const outOfContact = contact.silentMs() > 0 || client === undefined;
        if (!lapsed && outOfContact && timer.nowMs() > lease.lapseAtMs()) {
            lapsed = true;
            cleared = false;
            listener.onLapsed(session);
        }
    };

    /** The first look renews nothing: what runs there is not known yet. */
    const look = async (active: WorkerClient): Promise<boolean> => {
        const sentAtMs = timer.nowMs();
        // a renewal without an answer may have arrived, so a silent worker gets none until it answers
        const mayRenew = cleared && contact.silentMs() === 0 && options.mayRenew();
        const untilClockMs = mayRenew ? lease.untilClockMs() : undefined;
        lease.noteSent(untilClockMs ?? 0);
        const atOnce = sleeper.takeAtOnce();
        const mayWait = cleared && ends.listed === ends.acknowledged && listener.isBusy(session) && !atOnce;
        const { acknowledged } = ends;
        const waitMs = mayWait ? watchMs : undefined;
        const held = await active.hold({ fencingToken, acknowledged, untilClockMs, waitMs });
        if (closed) {
            return true;
        }
        if (!held.ok) {
            noteError(held.error);
            return false;
        }
        if (held.value.bornMs !== options.bornMs) {
            listener.onReborn(session);
            return true;
        }
        noteClock(held.value.clockMs);
        lease.forgetInherited();
        ends.confirmed = Math.max(ends.confirmed, acknowledged);
        ends.listed = Math.max(ends.listed, acknowledged, ...held.value.ended.map(end => end.number));
        cleared = true;
        attempt(() => listener.onReport(session, held.value, sentAtMs), noteUnexpected(log, options.id));
        return true;
    };

    const run = async (active: WorkerClient): Promise<void> => {
        while (!closed) {
            const isAcknowledged = ends.acknowledged === ends.confirmed;
            if (cleared && fences.count() === 0 && isAcknowledged && !listener.isBusy(session)) {
                await sleeper.sleep(Number.POSITIVE_INFINITY);
                continue;
            }
            const ok = await fences.send(active) && await look(active);
            checkLapse();
            if (!ok) {
                await sleeper.sleep(retryMs);
            }
            else if (ends.listed > ends.acknowledged) {
                // ends that are not recorded yet would be listed again at once
                await sleeper.sleep(unrecordedPauseMs);
            }
        }
    };

    const session: WorkerSession = {
        id: options.id,
        bornMs: options.bornMs,
        view: options.view,
        client,
        isCleared: () => cleared,
        silentMs: contact.silentMs,
        untilClockMs: lease.untilClockMs,
        noteLease: lease.noteSent,
        noteClock,
        noteSilence: contact.noteSilence,
        fenceRun: (task, number) => {
            fences.add(task, number);
            sleeper.wake(false);
        },
        fenceCount: fences.count,
        acknowledge: number => {
            if (number > ends.acknowledged) {
                ends.acknowledged = number;
                sleeper.wake(false);
            }
        },
        wake: atOnce => sleeper.wake(atOnce === true),
        close: () => {
            closed = true;
            sleeper.wake(false);
            client?.close();
        },
        get closed() {
            return closed;
        },
    };
    if (client === undefined) {
        const unsubscribe = timer.every(retryMs, () => closed || lapsed ? unsubscribe() : checkLapse());
    }
    else {
        void run(client);
    }
    return session;
};

const noteUnexpected = (log: Log, worker: string) => (detail: string): void =>
    log("error", "a report could not be taken", { worker, detail });

/** Notices when a worker stops answering and when it answers again. */
const createContact = (timer: TimerService, log: Log, worker: string) => {
    let lastAnswerAtMs = timer.nowMs();
    let silentSinceMs: number | undefined;
    return {
        silentMs: (): number => silentSinceMs === undefined ? 0 : timer.nowMs() - silentSinceMs,
        noteAnswer: (): void => {
            lastAnswerAtMs = timer.nowMs();
            if (silentSinceMs !== undefined) {
                log("info", "worker answers again", { worker, silentMs: Math.round(lastAnswerAtMs - silentSinceMs) });
                silentSinceMs = undefined;
            }
        },
        noteSilence: (reason: string): void => {
            if (silentSinceMs === undefined) {
                silentSinceMs = lastAnswerAtMs;
                log("warn", "worker does not answer", { worker, reason });
            }
        },
    };
};

/** Runs that are made impossible on a worker by stopping them there, whether they have started or not. */
const createFences = (fencingToken: number, noteError: (error: OrderError) => void) => {
    const waiting = new Map<string, { task: TaskId; run: number; }>();
    return {
        add: (task: TaskId, run: number): void => {
            waiting.set(`${taskKey(task)}#${run}`, { task, run });
        },
        count: (): number => waiting.size,
        /** Resolves with false when the worker does not answer. */
        send: async (client: WorkerClient): Promise<boolean> => {
            for (const [key, { task, run }] of [...waiting]) {
                const stopped = await client.stop(task, run, fencingToken);
                if (!stopped.ok) {
                    noteError(stopped.error);
                    if (stopped.error.kind === "noAnswer") {
                        return false;
                    }
                }
                waiting.delete(key);
            }
            return true;
        },
    };
};

/** A pause that can be cut short, also by a wake-up that came just before it. */
const createSleeper = (timer: TimerService) => {
    let wakeUp: (() => void) | undefined;
    let woken = false;
    let atOnce = false;
    return {
        sleep: async (durationMs: number): Promise<void> => {
            if (!woken) {
                await new Promise<void>(resolve => {
                    const cancel = Number.isFinite(durationMs) ? timer.after(durationMs, resolve) : undefined;
                    wakeUp = () => {
                        cancel?.();
                        resolve();
                    };
                });
            }
            wakeUp = undefined;
            woken = false;
        },
        wake: (lookAtOnce: boolean): void => {
            woken = true;
            atOnce ||= lookAtOnce;
            wakeUp?.();
        },
        takeAtOnce: (): boolean => {
            const taken = atOnce;
            atOnce = false;
            woken = false;
            return taken;
        },
    };
};
