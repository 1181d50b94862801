import type { StateRow } from "../state/types.js";
import type { TimerService } from "../utils/timer.js";
import { createInheritedLeases, createWithheldLeases, noInheritedLeases } from "./leaseBounds.js";
import type { InheritedLeases, LeaseBounds } from "./leaseBounds.js";
import { asLease } from "./plannerLease.js";

/** Options of {@link createLeasePublication}. */
export interface LeasePublicationOptions {
    timer: TimerService;
    /** Bounds on the leases that the planner does not renew; `undefined` while it knows no more than it inherited. */
    leaseBounds: () => LeaseBounds | undefined;
    /** Called when such bounds are in force and the planner may extend leases that it withheld before. */
    onLeasesPublished: () => void;
    /** Time after which a lease that a planner grants now has certainly expired. */
    longestGrantMs: number;
    /** Like `longestGrantMs`, for a lease that an order which is carried out late grants to a worker's next incarnation. */
    longestLateGrantMs: number;
    /** Time since the last confirmation of its term in which a planner renews leases. */
    renewalWindowMs: number;
}

/** What a planner takes over from earlier ones about the leases of workers, and publishes for later ones. */
export interface LeasePublication {
    /**
     * Leases that earlier planners may have granted, from the lease row as it is when this VM acquires the term.
     * `observedAtMs` is the monotonic time at which this VM saw the row's last change.
     */
    inherit(row: StateRow | undefined, observedAtMs: number, vm: string): InheritedLeases;
    /** Begins a term with inherited leases, whose bounds were published as it was acquired. */
    begin(inherited: InheritedLeases, published: LeaseBounds): void;
    /** Bounds to publish now. */
    present(): LeaseBounds;
    /** Bounds to publish when the term is released, after which this planner renews nothing. */
    atRelease(): LeaseBounds;
    /** Records bounds that are being written. */
    recordSent(bounds: LeaseBounds): void;
    /** Records bounds that are in force. */
    recordInForce(bounds: LeaseBounds): void;
    /** Whether successors were, or may have been, told that this planner does not extend the lease of a worker. */
    isWithheld(workerId: string): boolean;
}

/** Creates the publication of a VM that is not the planner. */
export const createLeasePublication = (options: LeasePublicationOptions): LeasePublication => {
    const { timer, longestGrantMs, longestLateGrantMs, renewalWindowMs } = options;
    let inheritedLeases = noInheritedLeases;
    let withheldLeases = createWithheldLeases();

    const present = (): LeaseBounds => options.leaseBounds() ?? inheritedLeases.remaining();

    return {
        inherit: (row, observedAtMs, vm) => {
            if (row === undefined) {
                return noInheritedLeases;
            }
            const previous = asLease(row);
            // a planner that was an earlier process of this VM has ended
            const hasEnded = previous?.holder === vm;
            const sinceObservedMs = timer.nowMs() - observedAtMs;
            const renewedForMs = hasEnded ? Math.min(sinceObservedMs, renewalWindowMs) : renewalWindowMs;
            return createInheritedLeases({
                nowMs: timer.nowMs,
                observedAtMs,
                bounds: previous?.leases,
                unboundedMs: renewedForMs + longestGrantMs,
                nextIncarnationMs: renewedForMs + longestLateGrantMs,
                maxMs: renewalWindowMs + longestLateGrantMs,
            });
        },
        begin: (inherited, published) => {
            inheritedLeases = inherited;
            withheldLeases = createWithheldLeases();
            withheldLeases.recordInForce(published);
        },
        present,
        atRelease: () => {
            const { byWorker, othersMs = longestGrantMs } = present();
            return { byWorker, othersMs };
        },
        recordSent: bounds => withheldLeases.recordSent(bounds),
        recordInForce: bounds => {
            const wereWithheld = withheldLeases.isAnyWithheld();
            withheldLeases.recordInForce(bounds);
            if (wereWithheld) {
                options.onLeasesPublished();
            }
        },
        isWithheld: workerId => withheldLeases.isWithheld(workerId),
    };
};
