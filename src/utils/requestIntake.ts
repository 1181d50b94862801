import { Socket } from "node:net";
import { createBodyBudget } from "./bodyBudget.js";
import type { BodyBudget, BudgetDecision } from "./bodyBudget.js";
import { createChunkPacer } from "./chunkPacer.js";
import type { ChunkPacer } from "./chunkPacer.js";
import { createParseQueue } from "./parseQueue.js";
import type { ParseQueue } from "./parseQueue.js";
import { createReadTurns } from "./readTurns.js";
import type { ReadTurns } from "./readTurns.js";
import { RefusalCause } from "./refusals.js";
import type { Refusal } from "./refusals.js";
import { createTimerService } from "./timer.js";
import type { TimerService } from "./timer.js";

/** Limits on what clients may take, for all servers of a process. */
export interface IntakeLimits {
    /** Limit on the memory of all request bodies in progress. */
    maxBodyBytesInProgress: number;
    /** Limit on the time in which a body arrives. */
    bodyTimeoutMs: number;
    /** Limit on the time in which the headers of a request arrive, or the first one on a new connection. */
    headerTimeoutMs: number;
    /** Time without a byte in either direction after which a connection is closed; 0 for no limit. */
    inactivityTimeoutMs: number;
    /** Chunks of bodies that are read in a second on average; 256 bytes count as another one. Larger bodies wait. */
    maxChunksPerS: number;
    /** Chunks of bodies after which a turn of the event loop reads no further connection. */
    maxChunksPerTurn: number;
    /** Limit on the requests of a server that wait for the answer to an earlier one on their connection. */
    maxPipelinedRequests: number;
}

/** Options of {@link createRequestIntake}. */
export interface RequestIntakeOptions {
    limits: IntakeLimits;
    timer: TimerService;
    /** Called for each decision to refuse clients. @default nothing is called */
    onRefusal?: (refusal: Refusal) => void;
}

/** What the servers of one process share to bound what clients take from it. */
export interface RequestIntake {
    readonly limits: IntakeLimits;
    readonly bodies: BodyBudget;
    readonly chunks: ChunkPacer;
    readonly parsing: ParseQueue;
    readonly turns: ReadTurns<Socket>;
    nowMs(): number;
    /** Notes that there is a body or a refused connection, so that limits on time are checked. */
    watch(): void;
    /** Destroys a connection after the time that its client has to read the answer. */
    destroyLater(socket: Socket): void;
    report(refusal: Refusal): void;
}

const megabyte = 1_048_576;

/** Limits of a process without settings for them; no client that keeps the documented limits reaches them. */
export const defaultIntakeLimits: IntakeLimits = {
    maxBodyBytesInProgress: 32 * megabyte,
    // the longest deadline of a caller that counts
    bodyTimeoutMs: 60_000,
    // clients keep idle connections for 15 s and send headers within 3 s
    headerTimeoutMs: 20_000,
    inactivityTimeoutMs: 0,
    // 5 MB; all bodies of ordinary callers together are some KB a second
    maxChunksPerS: 20_000,
    // 1 MB, or a single connection with chunks of a few bytes, which is read on 50 ms later
    maxChunksPerTurn: 4_000,
    // 5 KB each, or 40 KB with the largest headers
    maxPipelinedRequests: 1_024,
};

/** Share of the memory of bodies that may be parsed at a time: a value takes up to 29 times the size of its text. */
const parsedShare = 1 / 16;

/** Name of all servers of a process in decisions that concern all of them. */
const allServers = "all";
const sweepPeriodMs = 500;
/** Time in which the client of a refused request can read the answer: a round trip between regions and a lost packet. */
const readAnswerMs = 1_000;

const toRefusal = ({ cause, refused, inProgress }: BudgetDecision, nowMs: number): Refusal => ({
    server: allServers,
    cause: cause === "budget" ? RefusalCause.BodyBudget : RefusalCause.BodyTimeout,
    clients: refused.length,
    ageMs: Math.round(nowMs - refused[0].startedAtMs),
    stalledMs: Math.round(nowMs - refused[0].progressedAtMs),
    heldBytes: refused.reduce((sum, body) => sum + body.heldBytes, 0),
    inProgress,
});

/** Creates the intake of a process; one sweep checks the limits on time while there is something to check. */
export const createRequestIntake = ({ limits, timer, onRefusal }: RequestIntakeOptions): RequestIntake => {
    const report = (refusal: Refusal): void => onRefusal?.(refusal);
    const bodies = createBodyBudget({
        maxBytes: limits.maxBodyBytesInProgress,
        timeoutMs: limits.bodyTimeoutMs,
        nowMs: timer.nowMs,
        onDecision: decision => report(toRefusal(decision, timer.nowMs())),
    });
    /** Refused connections, in the order of their refusal, with the time at which they are destroyed. */
    const refused = new Map<Socket, number>();
    let isWatching = false;

    const sweep = (): void => {
        isWatching = false;
        bodies.refuseExpired();
        for (const [socket, destroyAtMs] of refused) {
            if (destroyAtMs > timer.nowMs()) {
                break;
            }
            refused.delete(socket);
            socket.destroy();
        }
        if (refused.size > 0 || bodies.receivingCount() > 0) {
            watch();
        }
    };

    const watch = (): void => {
        if (!isWatching) {
            isWatching = true;
            timer.after(sweepPeriodMs, sweep);
        }
    };

    return {
        limits,
        bodies,
        chunks: createChunkPacer({ timer, maxChunksPerS: limits.maxChunksPerS }),
        parsing: createParseQueue({ maxParsedBytes: limits.maxBodyBytesInProgress * parsedShare, timer }),
        turns: createReadTurns<Socket>({
            timer,
            maxChunksPerTurn: limits.maxChunksPerTurn,
            // the methods of the connections themselves lead to the turns
            pause: socket => void Socket.prototype.pause.call(socket),
            resume: socket => void Socket.prototype.resume.call(socket),
        }),
        nowMs: timer.nowMs,
        watch,
        destroyLater: socket => {
            refused.set(socket, timer.nowMs() + readAnswerMs);
            socket.once("close", () => refused.delete(socket));
            watch();
        },
        report,
    };
};

/** Creates an intake with default limits for a process that has one server, whose largest body is known. */
export const createDefaultIntake = (maxBodyBytes: number): RequestIntake => {
    const maxBodyBytesInProgress = Math.max(defaultIntakeLimits.maxBodyBytesInProgress, 4 * maxBodyBytes);
    return createRequestIntake({
        limits: { ...defaultIntakeLimits, maxBodyBytesInProgress },
        timer: createTimerService(),
    });
};
