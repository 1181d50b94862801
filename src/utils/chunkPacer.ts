import type { TimerService } from "./timer.js";

/** A body whose chunks are counted. */
export interface PacedBody {
    chunkCount: number;
    /** Stops reading the body; what has been read from the connection still arrives. */
    pause(): void;
    resume(): void;
}

/** Bounds the processor time that bodies in very small chunks take. */
export interface ChunkPacer {
    /** Counts a chunk, and pauses its body when there have been too many. */
    record(body: PacedBody): void;
    /** Forgets a body that has arrived or is not read further. */
    remove(body: PacedBody): void;
}

/** Options of {@link createChunkPacer}. */
export interface ChunkPacerOptions {
    timer: TimerService;
    /** Chunks that are read in a second on average. */
    maxChunksPerS: number;
}

/** Chunks in which a body arrives without being paused; ordinary ones come in one for 16 KB or more. */
const freeChunkCount = 256;
/** Time between two checks whether paused bodies may go on. */
const tickMs = 50;
const msPerSecond = 1_000;

/**
 * Creates a pacer. A burst of one second's chunks passes; after that, bodies of many chunks share the rate, and the one
 * that has taken least goes on first. One read of a connection may exceed the rate by the chunks that it contains.
 */
export const createChunkPacer = ({ timer, maxChunksPerS }: ChunkPacerOptions): ChunkPacer => {
    const paused = new Set<PacedBody>();
    let allowance = maxChunksPerS;
    let filledAtMs = timer.nowMs();
    let isWaiting = false;

    const refill = (): void => {
        const nowMs = timer.nowMs();
        allowance = Math.min(maxChunksPerS, allowance + (nowMs - filledAtMs) * maxChunksPerS / msPerSecond);
        filledAtMs = nowMs;
    };

    const findSmallest = (): PacedBody | undefined => {
        let smallest: PacedBody | undefined;
        for (const body of paused) {
            if (smallest === undefined || body.chunkCount < smallest.chunkCount) {
                smallest = body;
            }
        }
        return smallest;
    };

    const tick = (): void => {
        isWaiting = false;
        refill();
        // one at a time: how many chunks a connection holds is known only after it was read
        const body = allowance > 0 ? findSmallest() : undefined;
        if (body !== undefined) {
            paused.delete(body);
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
        record: body => {
            body.chunkCount += 1;
            allowance -= 1;
            if (allowance < 0 && body.chunkCount > freeChunkCount && !paused.has(body)) {
                refill();
                if (allowance < 0) {
                    paused.add(body);
                    body.pause();
                    wait();
                }
            }
        },
        remove: body => void paused.delete(body),
    };
};
