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

/** Creates a writer that drops lines instead of blocking on a slow reader and writes a line with their count. */
export const createBoundedWriter = (fileDescriptor: number): BoundedWriter => {
    let pendingLines: string[] = [];
    let pendingBytes = 0;
    let droppedCount = 0;
    let isWriting = false;
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

    const writeBuffer = (buffer: Buffer, offset: number): void => {
        write(fileDescriptor, buffer, offset, buffer.length - offset, undefined, (error, written) => {
            const isBusy = (error as NodeJS.ErrnoException | null)?.code === "EAGAIN";
            const end = offset + (error === null ? written : 0);
            if (end < buffer.length && (error === null || isBusy)) {
                setTimeout(() => writeBuffer(buffer, end), isBusy ? batchDelayMs : 0);
                return;
            }
            // an error other than EAGAIN means that the reader is closed, so there is nowhere to report it
            isWriting = false;
            schedule();
        });
    };

    const writePending = (): void => {
        isScheduled = false;
        const text = drainPending();
        if (text !== "") {
            isWriting = true;
            writeBuffer(Buffer.from(text), 0);
        }
    };

    const schedule = (): void => {
        if (!isWriting && !isScheduled && (pendingLines.length > 0 || droppedCount > 0)) {
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
                writeSync(fileDescriptor, drainPending());
            }
            catch {
                // the reader is closed or busy while the process exits, so the lines are lost
            }
        },
    };
};
