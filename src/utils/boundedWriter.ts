import { write, writeSync } from "node:fs";

/** Writes lines to a file descriptor without ever making the process wait. */
export interface BoundedWriter {
    writeLine(line: string): void;
    /** Writes what is left at the end of the process. */
    flush(): void;
}

/** Time for which lines are collected, so that a burst of them costs one system call. */
const collectMs = 50;
/** Lines that wait at most while the reader is slow; later ones are counted and left out. */
const maxWaitingBytes = 512 * 1024;

/** Creates a writer that drops lines rather than wait for a slow reader, and says how many it dropped. */
export const createBoundedWriter = (fileDescriptor: number): BoundedWriter => {
    let waiting: string[] = [];
    let waitingBytes = 0;
    let droppedCount = 0;
    let writing = false;
    let scheduled = false;

    const takeAll = (): string => {
        if (droppedCount > 0) {
            waiting.push(JSON.stringify({ message: "log lines dropped", context: { count: droppedCount } }));
            droppedCount = 0;
        }
        const text = waiting.length === 0 ? "" : `${waiting.join("\n")}\n`;
        waiting = [];
        waitingBytes = 0;
        return text;
    };

    const writeAll = (buffer: Buffer, offset: number): void => {
        write(fileDescriptor, buffer, offset, buffer.length - offset, undefined, (error, written) => {
            const isBusy = (error as NodeJS.ErrnoException | null)?.code === "EAGAIN";
            const end = offset + (error === null ? written : 0);
            if (end < buffer.length && (error === null || isBusy)) {
                setTimeout(() => writeAll(buffer, end), isBusy ? collectMs : 0);
                return;
            }
            // a closed reader leaves nowhere to report to
            writing = false;
            schedule();
        });
    };

    const start = (): void => {
        scheduled = false;
        const text = takeAll();
        if (text !== "") {
            writing = true;
            writeAll(Buffer.from(text), 0);
        }
    };

    const schedule = (): void => {
        if (!writing && !scheduled && (waiting.length > 0 || droppedCount > 0)) {
            scheduled = true;
            setTimeout(start, collectMs).unref();
        }
    };

    return {
        writeLine: line => {
            if (waitingBytes + line.length > maxWaitingBytes) {
                droppedCount += 1;
            }
            else {
                waiting.push(line);
                waitingBytes += line.length;
            }
            schedule();
        },
        flush: () => {
            try {
                writeSync(fileDescriptor, takeAll());
            }
            catch {
                // the reader is gone or busy at the very end; there is nobody left to tell
            }
        },
    };
};
