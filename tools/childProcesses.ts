/** Child processes of the tools and tests: started from the built programs, and never left behind. */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

/** Flags that keep the heap of a daemon small; operators start the daemons with them too. */
const memoryFlags = ["--max-semi-space-size=1", "--optimize-for-size"];
const directory = fileURLToPath(new URL("..", import.meta.url));
/** Time for a process to become ready; it ends at once when the process does, so that only a hang takes this long. */
export const readyTimeoutMs = 120_000;
const children = new Set<ChildProcess>();
let watching = false;

/** Children that have not ended. */
export const runningChildren = (): readonly ChildProcess[] => [...children];

/** Ends what is left when this process ends, however it does. */
const watchOwnEnd = (): void => {
    if (watching) {
        return;
    }
    watching = true;
    process.once("exit", () => children.forEach(child => child.kill("SIGKILL")));
    (["SIGINT", "SIGTERM"] as const).forEach(signal => process.once(signal, () => process.exit(1)));
};

/** Starts a built program; `env` is added to the own environment. */
export const startChild = (program: string, args: readonly string[], env: NodeJS.ProcessEnv = {}): ChildProcess => {
    watchOwnEnd();
    const child = spawn(process.execPath, [...memoryFlags, join(directory, program), ...args], {
        env: { ...process.env, ...env },
        stdio: ["ignore", "pipe", "pipe"],
    });
    children.add(child);
    child.once("exit", () => children.delete(child));
    return child;
};

/** Resolves with the exit code of a process, `undefined` if a signal ended it. */
export const waitForExit = (child: ChildProcess): Promise<number | undefined> => {
    if (child.exitCode !== null || child.signalCode !== null) {
        return Promise.resolve(child.exitCode ?? undefined);
    }
    return new Promise(resolve => child.once("exit", code => resolve(code ?? undefined)));
};

/** Ends a process at once, also one that is paused. */
export const stopChild = async (child: ChildProcess): Promise<void> => {
    child.kill("SIGCONT");
    child.kill("SIGKILL");
    await waitForExit(child);
};

/** Resolves with the first line that a process writes, parsed; rejects when it ends before. */
export const firstLine = <Value>(child: ChildProcess): Promise<Value> =>
    new Promise((resolve, reject) => {
        let text = "";
        const timeout = setTimeout(() => reject(new Error("a process did not start in time")), readyTimeoutMs);
        child.once("exit", code => {
            clearTimeout(timeout);
            reject(new Error(`a process ended with ${code} before it was ready`));
        });
        child.stdout?.on("data", (chunk: Buffer) => {
            text += chunk.toString("utf8");
            if (text.includes("\n")) {
                clearTimeout(timeout);
                resolve(JSON.parse(text.split("\n")[0]) as Value);
            }
        });
    });
