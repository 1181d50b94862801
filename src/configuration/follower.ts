import type { PlatformClient } from "../platform/types.js";
import type { TimerService, Unsubscribe } from "../utils/timer.js";
import { emptySnapshot, snapshotKey } from "./types.js";
import type { CurrentVersion, Snapshot } from "./types.js";

/** Called with each snapshot that the follower adopts. */
export type SnapshotListener = (snapshot: Snapshot) => void;

/** Holds the snapshot with the highest version received from the platform or a peer; the version never decreases. */
export interface ConfigurationFollower {
    /** Snapshot in force; the empty one until a first one is adopted. */
    current(): Snapshot;
    /** Version of the row that names the current snapshot; 0 while the snapshot is known from a peer only. */
    rowVersion(): number;
    /** Adopts a snapshot if its version is higher than the current one. */
    offer(snapshot: Snapshot): void;
    /** Applies the row that names the current version: fetches a newer snapshot, or confirms the current one. */
    applyCurrentVersion(row: { version: number; value: CurrentVersion; } | undefined): Promise<void>;
    /** Calls the listener with every snapshot adopted from now on. */
    subscribe(listener: SnapshotListener): Unsubscribe;
    /** Monotonic time at which the platform last confirmed the current version; `undefined` before the first time. */
    confirmedAtMs(): number | undefined;
}

/** Creates a follower that starts with the empty snapshot, version 0. */
export const createConfigurationFollower = (platform: PlatformClient, timer: TimerService): ConfigurationFollower => {
    const listeners = new Set<SnapshotListener>();
    let current = emptySnapshot();
    let currentRow: { version: number; configurationVersion: number; } = { version: 0, configurationVersion: 0 };
    let confirmedAtMs: number | undefined;

    const offer = (snapshot: Snapshot): void => {
        if (snapshot.version <= current.version) {
            return;
        }
        current = snapshot;
        listeners.forEach(listener => listener(snapshot));
    };

    const applyCurrentVersion = async (
        versionRow: { version: number; value: CurrentVersion; } | undefined,
    ): Promise<void> => {
        const rowReceivedAtMs = timer.nowMs();
        const version = versionRow?.value.version ?? 0;
        if (version < current.version) {
            return;
        }
        if (version > current.version) {
            const stored = await platform.read<Snapshot>(snapshotKey(version));
            if (!stored.ok || stored.value === undefined) {
                return;
            }
            offer(stored.value.value);
        }
        currentRow = { version: versionRow?.version ?? 0, configurationVersion: version };
        confirmedAtMs = rowReceivedAtMs;
    };

    return {
        current: () => current,
        rowVersion: () => currentRow.configurationVersion === current.version ? currentRow.version : 0,
        offer,
        applyCurrentVersion,
        subscribe: listener => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        confirmedAtMs: () => confirmedAtMs,
    };
};
