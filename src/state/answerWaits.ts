import type { TimerService } from "../utils/timer.js";
import { keyOfPart } from "./tablePart.js";
import type { TablePart } from "./tablePart.js";

/** An operation that waits for an answer of its part. */
export interface AnswerWait {
    /** Time until the first probe, and between two; while several operations wait, the shortest one counts. */
    probeIntervalMs: number;
    /** Called at each answer of the part to an operation sent at `sentAtMs`; returns whether it sends its own again. */
    onAnswer(sentAtMs: number): boolean;
}

/** Options of {@link createAnswerWaits}. */
export interface AnswerWaitsOptions {
    timer: TimerService;
    probe: (target: TablePart) => void;
    /** Maximum number of probes between two calls of {@link AnswerWaits.startRound}. */
    maxProbesPerRound: number;
}

/** Operations that wait for an answer of their parts, which are probed in turn, however many wait. */
export interface AnswerWaits {
    /** Adds an operation; returns a function that removes it. */
    add(target: TablePart, wait: AnswerWait): () => void;
    /** Records an answer to an operation sent at `sentAtMs`; returns whether an operation was sent again. */
    recordAnswer(target: TablePart, sentAtMs: number): boolean;
    /** Parts for which operations wait. */
    targets(): TablePart[];
    /** Begins a round; returns the number of probes of the previous one. */
    startRound(): number;
}

/** Creates a set of operations that wait. */
export const createAnswerWaits = ({ timer, probe, maxProbesPerRound }: AnswerWaitsOptions): AnswerWaits => {
    /** The part that was probed least recently first. */
    const parts = new Map<string, { target: TablePart; waits: Set<AnswerWait>; }>();
    let probesInRound = 0;
    let dueAtMs = Number.POSITIVE_INFINITY;
    let cancelProbe = (): void => {};

    const scheduleProbe = (atMs: number): void => {
        if (atMs < dueAtMs) {
            cancelProbe();
            dueAtMs = atMs;
            cancelProbe = timer.after(atMs - timer.nowMs(), probeNext);
        }
    };

    const probeNext = (): void => {
        dueAtMs = Number.POSITIVE_INFINITY;
        const [next] = parts;
        if (next === undefined) {
            return;
        }
        const waits = [...parts.values()].flatMap(part => [...part.waits]);
        scheduleProbe(timer.nowMs() + Math.min(...waits.map(wait => wait.probeIntervalMs)));
        if (probesInRound < maxProbesPerRound) {
            probesInRound += 1;
            const [key, part] = next;
            parts.delete(key);
            parts.set(key, part);
            probe(part.target);
        }
    };

    return {
        add: (target, wait) => {
            const key = keyOfPart(target);
            const part = parts.get(key) ?? { target, waits: new Set() };
            part.waits.add(wait);
            parts.set(key, part);
            scheduleProbe(timer.nowMs() + wait.probeIntervalMs);
            return () => {
                part.waits.delete(wait);
                if (part.waits.size === 0 && parts.get(key) === part) {
                    parts.delete(key);
                }
            };
        },
        recordAnswer: (target, sentAtMs) =>
            [...parts.get(keyOfPart(target))?.waits ?? []].filter(wait => wait.onAnswer(sentAtMs)).length > 0,
        targets: () => [...parts.values()].map(({ target }) => target),
        startRound: () => {
            const probes = probesInRound;
            probesInRound = 0;
            return probes;
        },
    };
};
