import type { IncomingMessage } from "node:http";
import { countChunks } from "./chunkPacer.js";
import { RefusalCause } from "./refusals.js";
import type { RequestIntake } from "./requestIntake.js";

/** Outcome of reading the body of a request. */
export type BodyResult =
    | { kind: "received"; bytes: Buffer; }
    /** The body is refused and not read further. */
    | { kind: "refused"; cause: RefusalCause; }
    /** The connection was closed, or the request was answered before its body had arrived. */
    | { kind: "brokenOff"; };

/** A body that is being read. */
export interface BodyReading {
    result: Promise<BodyResult>;
    /** Memory that is reserved for it. */
    heldBytes(): number;
    /** Time at which bytes arrived last. */
    progressedAtMs(): number;
    /** Returns the memory; called when the request has been handled. */
    close(): void;
}

/** Options of {@link startReadingBody}. */
export interface ReadBodyOptions {
    maxBodyBytes: number;
    intake: RequestIntake;
    /** Whether the request has been answered already, by a stop of the process. */
    isAnswered: () => boolean;
}

/** First size of a buffer: most bodies fit. */
const minCapacityBytes = 4_096;

/** Growth of a buffer that is full; each step leaves the previous buffer to the garbage collector. */
const growthFactor = 4;

/** Size of the buffer for `neededBytes`: a multiple of the previous one, at most what the body may need. */
const nextCapacity = (capacityBytes: number, neededBytes: number, maxBytes: number): number => {
    const grown = Math.max(minCapacityBytes, capacityBytes * growthFactor, neededBytes);
    return Math.max(neededBytes, Math.min(grown, maxBytes));
};

/** Value of a body, which is `undefined` if there is none. */
export type ParsedBody = { kind: "parsed"; body: unknown; } | { kind: "malformed"; };

/** Parses a body that has arrived. */
export const parseBody = (bytes: Buffer): ParsedBody => {
    if (bytes.length === 0) {
        return { kind: "parsed", body: undefined };
    }
    try {
        return { kind: "parsed", body: JSON.parse(bytes.toString("utf8")) };
    }
    catch {
        return { kind: "malformed" };
    }
};

/** Stops reading from the connection of a request; what has been read still arrives. */
export const stopReading = (message: IncomingMessage): void => {
    // a stream that is read resumes its connection
    message._read = () => {};
    message.socket.pause();
};

const resumeReading = (message: IncomingMessage): void => {
    Reflect.deleteProperty(message, "_read");
    message.socket.resume();
};

/** Size that the headers declare; `undefined` for a chunked body. */
const declaredBytesOf = (message: IncomingMessage): number | undefined => {
    const header = message.headers["content-length"];
    return header === undefined ? undefined : Number(header);
};

/**
 * Reads the body of a request into one buffer that grows with what has arrived. After a refusal, the data that had been
 * read from the connection is dropped; the caller of this function stops reading from it.
 */
export const startReadingBody = (message: IncomingMessage, options: ReadBodyOptions): BodyReading => {
    const { maxBodyBytes, intake } = options;
    const declaredBytes = declaredBytesOf(message);
    const maxBytes = Math.min(maxBodyBytes, declaredBytes ?? maxBodyBytes);
    let buffer = Buffer.alloc(0);
    let sizeBytes = 0;
    let settle: ((result: BodyResult) => void) | undefined;
    const result = new Promise<BodyResult>(resolve => {
        settle = resolve;
    });
    const paced = {
        pause: () => stopReading(message),
        resume: () => resumeReading(message),
    };
    const finish = (outcome: BodyResult): void => {
        settle?.(outcome);
        settle = undefined;
        intake.chunks.remove(paced);
        buffer = Buffer.alloc(0);
    };
    const end = (outcome: BodyResult): void => {
        account.close();
        finish(outcome);
    };
    const account = intake.bodies.open(cause =>
        finish({ kind: "refused", cause: cause === "budget" ? RefusalCause.BodyBudget : RefusalCause.BodyTimeout })
    );

    const append = (chunk: Buffer): void => {
        const neededBytes = sizeBytes + chunk.length;
        if (neededBytes > buffer.length) {
            const capacityBytes = nextCapacity(buffer.length, neededBytes, maxBytes);
            if (!account.reserve(capacityBytes - buffer.length)) {
                return;
            }
            const grown = Buffer.allocUnsafeSlow(capacityBytes);
            buffer.copy(grown, 0, 0, sizeBytes);
            buffer = grown;
        }
        chunk.copy(buffer, sizeBytes);
        sizeBytes = neededBytes;
    };

    const onData = (chunk: Buffer): void => {
        if (settle === undefined) {
            return;
        }
        account.recordProgress();
        intake.chunks.record(paced, chunk.length);
        intake.turns.recordChunks(message.socket, countChunks(chunk.length));
        if (options.isAnswered()) {
            end({ kind: "brokenOff" });
        }
        else if (sizeBytes + chunk.length > maxBodyBytes) {
            end({ kind: "refused", cause: RefusalCause.BodyTooLarge });
        }
        else {
            append(chunk);
        }
    };

    // the parser hands over chunks by this method; the stream's own takes several times as long for each
    const pushToStream = message.push.bind(message);
    message.push = (chunk: Buffer | null): boolean => {
        if (chunk === null) {
            return pushToStream(chunk);
        }
        onData(chunk);
        return true;
    };
    // without a reader the stream does not end
    message.resume();
    message.once("end", () => {
        if (settle !== undefined) {
            // a connection that is paused goes on: Node.js reads the next request after a complete one
            account.complete();
            finish({ kind: "received", bytes: buffer.subarray(0, sizeBytes) });
        }
    });
    const breakOff = (): void => {
        if (settle !== undefined) {
            end({ kind: "brokenOff" });
        }
    };
    message.once("close", breakOff);
    message.on("error", breakOff);
    if ((declaredBytes ?? 0) > maxBodyBytes) {
        end({ kind: "refused", cause: RefusalCause.BodyTooLarge });
    }
    else {
        intake.watch();
    }
    return {
        result,
        heldBytes: () => account.heldBytes,
        progressedAtMs: () => account.progressedAtMs,
        close: account.close,
    };
};
