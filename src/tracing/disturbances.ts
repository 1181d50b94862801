import type { LogLine } from "./logLines.js";

/** Disturbances that the logs show. */
export enum Disturbance {
    /** A process could not read a table. */
    TableUnreadable = "tableUnreadable",
    /** No process held the planner's term. */
    NoPlanner = "noPlanner",
    /** A worker did not answer. */
    WorkerSilent = "workerSilent",
}

interface Interval {
    kind: Disturbance;
    fromMs: number;
    toMs: number;
}

/** Intervals of disturbances, from the lines that report their ends. */
export interface Disturbances {
    add(line: LogLine): void;
    /** Kinds of disturbance within a span of wall-clock time. */
    overlapping(fromMs: number, toMs: number): Set<Disturbance>;
    /** Number and total length by kind. */
    totals(): { kind: Disturbance; count: number; seconds: number; }[];
}

const msPerSecond = 1_000;

/** Creates an empty collection. */
export const createDisturbances = (): Disturbances => {
    const intervals: Interval[] = [];
    /** Wall-clock time since which a process cannot read a table. */
    const unreadableSince = new Map<string, number>();

    const addSilence = (kind: Disturbance, { timeMs, fields }: LogLine): void => {
        const silentMs = Number(fields.silentMs);
        if (silentMs > 0) {
            intervals.push({ kind, fromMs: timeMs - silentMs, toMs: timeMs });
        }
    };

    const add = (line: LogLine): void => {
        const tableKey = `${line.vm}/${String(line.fields.table)}`;
        switch (line.message) {
            case "table cannot be read":
                unreadableSince.set(tableKey, line.timeMs);
                break;
            case "table readable again": {
                const fromMs = unreadableSince.get(tableKey);
                if (fromMs !== undefined) {
                    unreadableSince.delete(tableKey);
                    intervals.push({ kind: Disturbance.TableUnreadable, fromMs, toMs: line.timeMs });
                }
                break;
            }
            case "term gained":
                addSilence(Disturbance.NoPlanner, line);
                break;
            case "worker answers again":
                addSilence(Disturbance.WorkerSilent, line);
                break;
        }
    };

    return {
        add,
        overlapping: (fromMs, toMs) =>
            new Set(intervals.filter(one => one.fromMs <= toMs && one.toMs >= fromMs).map(one => one.kind)),
        totals: () =>
            Object.values(Disturbance).map(kind => {
                const ofKind = intervals.filter(interval => interval.kind === kind);
                const totalMs = ofKind.reduce((sum, { fromMs, toMs }) => sum + toMs - fromMs, 0);
                return { kind, count: ofKind.length, seconds: Math.round(totalMs / msPerSecond) };
            }),
    };
};
