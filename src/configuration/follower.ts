import type { PlatformClient } from "../platform/types.js";
import type { TimerService, Unsubscribe } from "../utils/timer.js";
import { emptySnapshot, snapshotKey } from "./types.js";
import type { CurrentVersion, Snapshot } from "./types.js";

/** Called with every newly accepted snapshot. */
export type SnapshotListener = (snapshot: Snapshot) => void;

/** Keeps the highest version that has been seen by any path; it never goes back. */
export interface ConfigurationFollower {
    current(): Snapshot;
    /** Version of the table row behind the current snapshot, 0 if it came from a peer. */
    rowVersion(): number;
    /** Takes a snapshot over if its version is higher. */
    offer(snapshot: Snapshot): void;
    /** Takes note of the row that names the current version and fetches the snapshot when it is new. */
    see(row: { version: number; value: CurrentVersion; } | undefined): Promise<void>;
    subscribe(listener: SnapshotListener): Unsubscribe;
    /** Monotonic time of the last confirmation by the platform. */
    confirmedAtMs(): number | undefined;
}

/** Creates a follower without any version yet. */
export const createConfigurationFollower = (platform: PlatformClient, timer: TimerService): ConfigurationFollower => {
    const listeners = new Set<SnapshotListener>();
    let current = emptySnapshot();
    let row: { version: number; names: number; } = { version: 0, names: 0 };
    let confirmedAtMs: number | undefined;

    const offer = (snapshot: Snapshot): void => {
        if (snapshot.version <= current.version) {
            return;
        }
        current = snapshot;
        listeners.forEach(listener => listener(snapshot));
    };

    const see = async (seen: { version: number; value: CurrentVersion; } | undefined): Promise<void> => {
        const askedAtMs = timer.nowMs();
        const version = seen?.value.version ?? 0;
        if (version < current.version) {
            return;
        }
        if (version > current.version) {
            const read = await platform.read<Snapshot>(snapshotKey(version));
            if (!read.ok || read.value === undefined) {
                return;
            }
            offer(read.value.value);
        }
        row = { version: seen?.version ?? 0, names: version };
        confirmedAtMs = askedAtMs;
    };

    return {
        current: () => current,
        rowVersion: () => row.names === current.version ? row.version : 0,
        offer,
        see,
        subscribe: listener => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        confirmedAtMs: () => confirmedAtMs,
    };
};
