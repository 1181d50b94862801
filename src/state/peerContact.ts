import type { TimerService } from "../utils/timer.js";

/** Whether other VMs answer this one. */
export interface PeerContact {
    /** Records that another VM has answered. */
    recordAnswer(): void;
    /** Whether there are other VMs and none of them has answered lately. */
    isIsolated(): boolean;
}

/**
 * Time without an answer after which a VM that relays counts as isolated: one that does not reach the table asks another
 * VM several times a second, and the same one again after 1.5 s.
 */
const isolatedAfterMs = 2_500;

/** Creates the contact of a VM that has had no answer yet. */
export const createPeerContact = (
    { nowMs }: Pick<TimerService, "nowMs">,
    others: () => readonly unknown[],
): PeerContact => {
    let answeredAtMs = Number.NEGATIVE_INFINITY;
    return {
        recordAnswer: () => {
            answeredAtMs = nowMs();
        },
        isIsolated: () => others().length > 0 && nowMs() - answeredAtMs > isolatedAfterMs,
    };
};
