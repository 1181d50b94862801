import { write, writeSync } from "node:fs";

/** Writes lines to a file descriptor asynchronously, with a bounded buffer. */
export interface BoundedWriter {
    writeLine(line: string): void;
    /** Writes the buffered lines synchronously, before the process exits. */
    flush(): void;
}

/** Delay before buffered lines are written, so that a burst of them takes one system call. */
const batchDelayMs = 50;
/** Limit on lines buffered for a slow reader; lines beyond it are dropped and counted. */
const maxPendingBytes = 512 * 1024;
/** Maximum size of one write, at which a pipe takes it whole and collectors that read in small pieces lose nothing. */
const maxWriteBytes = 4_096;

/** End of the next write: after the last whole line that fits, or within a line that does not. */
const endOfWrite = (buffer: Buffer, offset: number): number => {
    const limit = offset + maxWriteBytes;
    if (limit >= buffer.length) {
        return buffer.length;
    }
    const newline = buffer.lastIndexOf("\n", limit - 1);
    return newline < offset ? limit : newline + 1;
};

/** Creates a writer that drops lines instead of blocking on a slow reader and writes a line with their count. */
export const createBoundedWriter = (fileDescriptor: number): BoundedWriter => {
    let pendingLines: string[] = [];
    let pendingBytes = 0;
    let droppedCount = 0;
    /** Text of a batch that no write was started for yet; set while a batch is being written. */
    let unwritten: Buffer | undefined;
    let isScheduled = false;

    const drainPending = (): string => {
        if (droppedCount > 0) {
            pendingLines.push(JSON.stringify({ message: "log lines dropped", context: { count: droppedCount } }));
            droppedCount = 0;
        }
        const text = pendingLines.length === 0 ? "" : `${pendingLines.join("\n")}\n`;
        pendingLines = [];
        pendingBytes = 0;
        return text;
    };

    const writeBuffer = (buffer: Buffer): void => {
        const length = endOfWrite(buffer, 0);
        unwritten = buffer.subarray(length);
        write(fileDescriptor, buffer, 0, length, undefined, (error, written) => {
            const isBusy = (error as NodeJS.ErrnoException | null)?.code === "EAGAIN";
            const rest = buffer.subarray(error === null ? written : 0);
            if (rest.length > 0 && (error === null || isBusy)) {
                setTimeout(() => writeBuffer(rest), isBusy ? batchDelayMs : 0);
                return;
            }
            // an error other than EAGAIN means that the reader is closed, so there is nowhere to report it
            unwritten = undefined;
            schedule();
        });
    };

    const writePending = (): void => {
        isScheduled = false;
        const text = drainPending();
        if (text !== "") {
            writeBuffer(Buffer.from(text));
        }
    };

    const schedule = (): void => {
        if (unwritten === undefined && !isScheduled && (pendingLines.length > 0 || droppedCount > 0)) {
            isScheduled = true;
            setTimeout(writePending, batchDelayMs).unref();
        }
    };

    return {
        writeLine: line => {
            if (pendingBytes + line.length > maxPendingBytes) {
                droppedCount += 1;
            }
            else {
                pendingLines.push(line);
                pendingBytes += line.length;
            }
            schedule();
        },
        flush: () => {
            try {
                writeSync(fileDescriptor, `${unwritten?.toString() ?? ""}${drainPending()}`);
            }
            catch {
                // the reader is closed or busy while the process exits, so the lines are lost
            }
        },
    };
};
