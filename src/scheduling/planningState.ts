import type { Snapshot } from "../configuration/types.js";
import { cellsOf, syncCells } from "./cells.js";
import { createFleet } from "./fleet.js";
import { hasEnded } from "./jobTable.js";
import type { StoredJob } from "./jobTable.js";
import { createLedger } from "./ledger.js";
import type { Ledger } from "./ledger.js";
import type { QueuedJob } from "./order.js";
import { JobState } from "./types.js";
import type { Worker } from "./types.js";

/** A job that the planner keeps track of. */
export interface TrackedJob {
    stored: StoredJob;
    /** A change of the job is under way. */
    busy: boolean;
    /** It did not save its progress when asked to; set until the planner changes. */
    ignoresCheckpoint?: boolean;
    /** Earliest wall-clock time of the next placement. */
    notBeforeMs: number;
    /** Wall-clock time since which no worker reports the job's tasks. */
    missingSinceMs?: number;
}

/** What the planner knows of workers and jobs; rebuilt from the table and the workers after every takeover. */
export interface PlanningState {
    jobs: Map<string, TrackedJob>;
    ledger(): Ledger;
    /** Follows a job's record in the ledger. */
    track(stored: StoredJob): TrackedJob;
    forget(jobId: string): void;
    queue(): QueuedJob[];
    /** Replaces the workers; allocations and cells are carried over. */
    setWorkers(workers: readonly Worker[]): void;
    /** Lets borrowers be asked again whose eviction did not succeed, at their true price. */
    noteFailedEvictions(): void;
    /** Fits cells to the guarantees of a snapshot; returns the units without a place. */
    applyGuarantees(snapshot: Snapshot): string[];
}

const sameWorkers = (ledger: Ledger, workers: readonly Worker[]): boolean =>
    ledger.fleet.workers.size === workers.length
    && workers.every(worker => {
        const known = ledger.fleet.workers.get(worker.name);
        return known !== undefined
            && known.rack === worker.rack
            && known.capacity.accelerators === worker.capacity.accelerators
            && known.capacity.cores === worker.capacity.cores
            && known.capacity.memoryGb === worker.capacity.memoryGb;
    });

/** Creates the state of a planner that has not read anything yet. */
export const createPlanningState = (): PlanningState => {
    const jobs = new Map<string, TrackedJob>();
    let ledger = createLedger(createFleet([]));

    const postPlacement = (stored: StoredJob): void => {
        const { spec, placement, state } = stored.record;
        if (state !== JobState.Placed || placement === undefined) {
            ledger.deallocate(spec.id);
            return;
        }
        const known = ledger.allocations.get(spec.id);
        if (known?.attempt === placement.attempt) {
            return;
        }
        const cell = placement.guaranteeUnit === undefined ? undefined : ledger.cells.get(placement.guaranteeUnit);
        if (cell !== undefined && placement.cell !== undefined) {
            ledger.setCell({ ...cell, members: placement.cell });
        }
        ledger.allocate({
            job: spec,
            attempt: placement.attempt,
            members: placement.members,
            class: placement.class,
            guaranteeUnit: placement.guaranteeUnit,
            startedAtMs: placement.placedAtMs,
            checkpointedAtMs: placement.placedAtMs,
            leaving: false,
        });
    };

    const track = (stored: StoredJob): TrackedJob => {
        const known = jobs.get(stored.record.spec.id);
        const tracked = known ?? { stored, busy: false, notBeforeMs: 0 };
        tracked.stored = stored;
        tracked.missingSinceMs = undefined;
        jobs.set(stored.record.spec.id, tracked);
        postPlacement(stored);
        return tracked;
    };

    const forget = (jobId: string): void => {
        jobs.delete(jobId);
        ledger.deallocate(jobId);
        ledger.dropClaim(jobId);
    };

    const setWorkers = (workers: readonly Worker[]): void => {
        if (sameWorkers(ledger, workers)) {
            workers.forEach(worker => {
                const known = ledger.fleet.workers.get(worker.name);
                if (known !== undefined) {
                    known.usable = worker.usable;
                }
            });
            return;
        }
        const previous = ledger;
        ledger = createLedger(createFleet(workers.map(worker => ({ ...worker }))));
        previous.cells.forEach(cell => ledger.setCell(cell));
        previous.allocations.forEach(allocation => ledger.allocate(allocation));
        previous.claims.forEach(claim => ledger.setClaim(claim));
    };

    const avoidOf = (tracked: TrackedJob): string[] | undefined => {
        const { failedOn } = tracked.stored.record;
        return failedOn.length === 0 ? undefined : failedOn;
    };

    const isWaiting = (tracked: TrackedJob): boolean =>
        !tracked.busy && tracked.stored.record.state === JobState.Queued && !tracked.stored.record.cancelRequested;

    return {
        jobs,
        ledger: () => ledger,
        track,
        forget,
        queue: () =>
            [...jobs.values()].filter(isWaiting).map(tracked => ({
                spec: { ...tracked.stored.record.spec, avoid: avoidOf(tracked) },
                attempts: tracked.stored.record.attempts,
                notBeforeMs: tracked.notBeforeMs,
            })),
        setWorkers,
        noteFailedEvictions: () => {
            for (const allocation of ledger.allocations.values()) {
                const tracked = jobs.get(allocation.job.id);
                allocation.leaving &&= tracked?.busy === true;
                if (tracked?.ignoresCheckpoint === true) {
                    allocation.job = { ...allocation.job, checkpointable: false };
                }
            }
        },
        applyGuarantees: snapshot => {
            const units = syncCells(ledger, cellsOf(snapshot.statements));
            jobs.forEach(tracked => {
                if (!hasEnded(tracked.stored.record.state) && !tracked.busy) {
                    postPlacement(tracked.stored);
                }
            });
            return units;
        },
    };
};
