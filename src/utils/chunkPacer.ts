import type { TimerService } from "./timer.js";

/** A body whose chunks are counted. */
export interface PacedBody {
    /** Stops reading the body; what has been read from the connection still arrives. */
    pause(): void;
    resume(): void;
}

/** Bounds the processor time that bodies take which are large or come in very small chunks. */
export interface ChunkPacer {
    /** Counts a chunk, and pauses its body when there have been too many. */
    record(body: PacedBody, bytes: number): void;
    /** Forgets a body that has arrived or is not read further. */
    remove(body: PacedBody): void;
}

/** Options of {@link createChunkPacer}. */
export interface ChunkPacerOptions {
    timer: TimerService;
    /** Chunks that are read in a second on average. */
    maxChunksPerS: number;
}

/** Chunks in which a body arrives without being paused, or 64 KB; ordinary bodies have a few KB in few chunks. */
const freeChunkCount = 256;
/** Bytes that count as another chunk: 64 KB take some 0.8 ms with the garbage that they leave, a chunk 3 µs. */
const bytesPerChunk = 256;

/** Chunks as which a chunk counts by its size. */
export const countChunks = (bytes: number): number => 1 + bytes / bytesPerChunk;

/** Time between two checks whether paused bodies may go on. */
const tickMs = 50;
const msPerSecond = 1_000;

/**
 * Creates a pacer. A burst of one second's chunks passes; after that, bodies of many chunks share the rate, and the one
 * that has taken least goes on first. One read of a connection may exceed the rate by the chunks that it contains.
 */
export const createChunkPacer = ({ timer, maxChunksPerS }: ChunkPacerOptions): ChunkPacer => {
    const counts = new Map<PacedBody, { total: number; sinceResume: number; }>();
    const paused = new Set<PacedBody>();
    let allowance = maxChunksPerS;
    let filledAtMs = timer.nowMs();
    let isWaiting = false;

    const refill = (): void => {
        const nowMs = timer.nowMs();
        allowance = Math.min(maxChunksPerS, allowance + (nowMs - filledAtMs) * maxChunksPerS / msPerSecond);
        filledAtMs = nowMs;
    };

    const tick = (): void => {
        isWaiting = false;
        refill();
        // a body is expected to bring as much as between its last two pauses; how much is known only after it was read
        let expected = 0;
        const totalOf = (body: PacedBody): number => counts.get(body)?.total ?? 0;
        for (const body of [...paused].sort((left, right) => totalOf(left) - totalOf(right))) {
            if (allowance - expected <= 0) {
                break;
            }
            const count = counts.get(body);
            expected += Math.max(freeChunkCount, count?.sinceResume ?? 0);
            paused.delete(body);
            if (count !== undefined) {
                count.sinceResume = 0;
            }
            body.resume();
        }
        wait();
    };

    const wait = (): void => {
        if (!isWaiting && paused.size > 0) {
            isWaiting = true;
            timer.after(tickMs, tick);
        }
    };

    return {
        record: (body, bytes) => {
            const count = counts.get(body) ?? { total: 0, sinceResume: 0 };
            const cost = countChunks(bytes);
            counts.set(body, count);
            count.total += cost;
            count.sinceResume += cost;
            allowance -= cost;
            if (allowance < 0 && count.total > freeChunkCount && !paused.has(body)) {
                refill();
                if (allowance < 0) {
                    paused.add(body);
                    body.pause();
                    wait();
                }
            }
        },
        remove: body => {
            counts.delete(body);
            paused.delete(body);
        },
    };
};
