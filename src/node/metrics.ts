import { StatsD } from "hot-shots";

/** Client of a StatsD server; does nothing when no server is configured. */
export interface Metrics {
    increment(name: string, tags?: Record<string, string>): void;
    timing(name: string, durationMs: number, tags?: Record<string, string>): void;
    gauge(name: string, value: number): void;
    close(): void;
}

/** Creates a client whose metrics carry the daemon's name as a prefix and the VM as a tag; send errors are ignored. */
export const createMetrics = (
    daemon: string,
    vm: string,
    target: { host: string; port: number; } | undefined,
): Metrics => {
    const client = new StatsD({
        host: target?.host ?? "127.0.0.1",
        port: target?.port ?? 8125,
        mock: target === undefined,
        prefix: `catkinswitch.${daemon}.`,
        globalTags: { vm },
        maxBufferSize: target === undefined ? 0 : 1_000,
        errorHandler: () => {},
    });
    return {
        increment: (name, tags = {}) => client.increment(name, 1, tags),
        timing: (name, durationMs, tags = {}) => client.timing(name, durationMs, tags),
        gauge: (name, value) => client.gauge(name, value),
        close: () => client.close(() => {}),
    };
};
