import type { StateRow } from "../state/types.js";
import type { TimerService } from "../utils/timer.js";
import { asLease } from "./plannerLease.js";
import type { PlannerLease } from "./plannerLease.js";

/** The planner's lease row as this VM's local copy of the table shows it. */
export interface LeaseObserver {
    /** Applies a change of the lease row. */
    observe(row: StateRow): void;
    /** The lease; `undefined` if there is none, or another writer's value that is no lease. */
    lease(): PlannerLease | undefined;
    /** Version of the row; 0 if there is none. */
    version(): number;
    /** Monotonic time at which this VM saw its last change. */
    changedAtMs(): number;
    /** Highest term that any version of the row has named. */
    highestTerm(): number;
    /** Time without a change, as far as this VM could have seen one. */
    silentMs(): number;
    /** Counts the time without a change from now on. */
    restartSilence(): void;
}

/** Creates an observer that has seen no row yet. */
export const createLeaseObserver = (timer: TimerService): LeaseObserver => {
    let row: StateRow | undefined;
    let changedAtMs = timer.nowMs();
    let silentSinceMs = timer.nowMs();
    let highestTerm = 0;
    return {
        observe: changed => {
            if (changed.version > (row?.version ?? -1)) {
                row = changed;
                changedAtMs = timer.nowMs();
                silentSinceMs = changedAtMs;
                highestTerm = Math.max(highestTerm, asLease(changed)?.term ?? 0);
            }
        },
        lease: () => asLease(row),
        version: () => row?.version ?? 0,
        changedAtMs: () => changedAtMs,
        highestTerm: () => highestTerm,
        silentMs: () => timer.nowMs() - silentSinceMs,
        restartSilence: () => {
            silentSinceMs = timer.nowMs();
        },
    };
};
