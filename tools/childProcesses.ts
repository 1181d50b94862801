/** Starts built programs as child processes of the tools and tests and kills them when this process exits. */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

/** Node.js flags that keep the heap small; operators start the daemons with the same flags. */
const memoryFlags = ["--max-semi-space-size=1", "--optimize-for-size"];
const buildDirectory = fileURLToPath(new URL("..", import.meta.url));
/** Time limit for a process to become ready; waiting ends early if it exits, so only a hang takes this long. */
export const readyTimeoutMs = 120_000;
const children = new Set<ChildProcess>();
let hasExitHandlers = false;

/** Returns the child processes that have not exited. */
export const runningChildren = (): readonly ChildProcess[] => [...children];

/** Kills the remaining children when this process exits, also on SIGINT or SIGTERM. */
const killChildrenOnExit = (): void => {
    if (hasExitHandlers) {
        return;
    }
    hasExitHandlers = true;
    process.once("exit", () => children.forEach(child => child.kill("SIGKILL")));
    (["SIGINT", "SIGTERM"] as const).forEach(signal => process.once(signal, () => process.exit(1)));
};

/** Starts a built program with this process's environment plus `env`. */
export const startChild = (program: string, args: readonly string[], env: NodeJS.ProcessEnv = {}): ChildProcess => {
    killChildrenOnExit();
    const child = spawn(process.execPath, [...memoryFlags, join(buildDirectory, program), ...args], {
        env: { ...process.env, ...env },
        stdio: ["ignore", "pipe", "pipe"],
    });
    children.add(child);
    child.once("exit", () => children.delete(child));
    return child;
};

/** Resolves with the exit code of a process, or `undefined` if a signal killed it. */
export const waitForExit = (child: ChildProcess): Promise<number | undefined> => {
    if (child.exitCode !== null || child.signalCode !== null) {
        return Promise.resolve(child.exitCode ?? undefined);
    }
    return new Promise(resolve => child.once("exit", code => resolve(code ?? undefined)));
};

/** Kills a process, also a paused one, and waits for its exit. */
export const killChild = async (child: ChildProcess): Promise<void> => {
    child.kill("SIGCONT");
    child.kill("SIGKILL");
    await waitForExit(child);
};

/** Resolves with the first line of a process's output, parsed as JSON; rejects on an earlier exit or a timeout. */
export const readFirstLine = <Value>(child: ChildProcess): Promise<Value> =>
    new Promise((resolve, reject) => {
        let text = "";
        const timeout = setTimeout(
            () => reject(new Error("the process did not become ready within the time limit")),
            readyTimeoutMs,
        );
        child.once("exit", code => {
            clearTimeout(timeout);
            reject(new Error(`the process exited with code ${code} before it was ready`));
        });
        child.stdout?.on("data", (chunk: Buffer) => {
            text += chunk.toString("utf8");
            if (text.includes("\n")) {
                clearTimeout(timeout);
                resolve(JSON.parse(text.split("\n")[0]) as Value);
            }
        });
    });
